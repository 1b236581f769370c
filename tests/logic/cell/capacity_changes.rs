//! Workers whose room shrinks and grows again while they run.

use std::rc::Rc;
use std::time::Duration;

use oriolefork::cell::dependencies::{RosterUpdate, StartCommand, WorkerError};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::timings::Timings;
use oriolefork::resource::Amount;

use super::harness::OwnerHarness;
use super::model::{self, cores};

/// The list says what worker `w0` has from now on.
fn resize(harness: &mut OwnerHarness, capacity: Amount) {
    let present = vec![("w0".into(), Rc::new(model::listed(0, capacity)))];
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: Vec::new(),
        is_complete: false,
    }));
    harness.advance(1);
}

/// Four tasks of two cores each, placed on the one worker, their placement on its way to the store.
fn harness_with_placed_tasks() -> OwnerHarness {
    let mut harness = OwnerHarness::new(1);
    harness.call(1, Call::Submit(model::job(1, model::step(4, cores(2)))));
    harness
}

fn started_cpu_millis(starts: &[(usize, StartCommand)]) -> u64 {
    starts.len() as u64 * cores(2).cpu_millis
}

/// Guards against orders that wait for the store while their worker's room shrinks, and that would
/// bring it over what it has by then.
#[test]
fn shrink_holds_back_starts_not_yet_sent() {
    let mut harness = harness_with_placed_tasks();
    assert_eq!(
        started_cpu_millis(&harness.drain_starts()),
        0,
        "nothing leaves before its placement is stored"
    );
    resize(&mut harness, cores(3));
    harness.complete_appends();
    harness.advance(10);
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 2_000);
}

/// Guards against repeating an order that had no answer once the room for it is gone: the first one may
/// not have arrived.
#[test]
fn shrink_stops_unanswered_starts() {
    let mut harness = harness_with_placed_tasks();
    harness.complete_appends();
    let starts = harness.drain_starts();
    assert_eq!(started_cpu_millis(&starts), 8_000);
    resize(&mut harness, cores(3));
    for start in &starts {
        harness.answer_start(start, Err(WorkerError::Unknown("no answer".to_owned())));
    }
    harness.advance(50);
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 0, "nothing is sent again");
    harness.advance(10);
    assert_eq!(harness.drain_stops().len(), 4);
}

/// Guards against what waited for the store going out by the room that a worker had before the store was
/// away, for longer than such room counts.
#[test]
fn stale_capacity_holds_back_starts() {
    const MAX_AGE: Duration = Duration::from_secs(3);
    let timings = Timings { capacity_max_age: Some(MAX_AGE), ..Timings::default() };
    let mut harness = OwnerHarness::with_timings(timings, 1);
    harness.call(1, Call::Submit(model::job(1, model::step(4, cores(2)))));
    for _ in 0..50 {
        harness.advance(100);
        harness.report(0, &[], &[]);
    }
    harness.call(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 0, "its room may have shrunk");
    resize(&mut harness, cores(3));
    harness.advance(50);
    harness.complete_appends();
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 2_000);
}

/// Guards against room that stays unused after it has grown again.
#[test]
fn regrown_capacity_is_used() {
    let mut harness = harness_with_placed_tasks();
    resize(&mut harness, cores(1));
    harness.complete_appends();
    harness.advance(100);
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 0);
    resize(&mut harness, cores(8));
    harness.complete_appends();
    harness.advance(100);
    harness.complete_appends();
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 8_000);
}
