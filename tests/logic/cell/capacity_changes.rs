//! Workers whose capacity shrinks and grows again while tasks run.

use std::rc::Rc;
use std::time::Duration;

use oriolefork::cell::dependencies::{RosterUpdate, StartCommand, WorkerError};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::timings::Timings;
use oriolefork::resource::Amount;

use super::harness::OwnerHarness;
use super::model::{self, cores};

/// Updates the listed capacity of worker `w0`.
fn resize(harness: &mut OwnerHarness, capacity: Amount) {
    let present = vec![("w0".into(), Rc::new(model::listed(0, capacity)))];
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: Vec::new(),
        is_complete: false,
        ..RosterUpdate::default()
    }));
    harness.advance(1);
}

/// Places four tasks of two cores each on the only worker; the append of the placement is pending.
fn harness_with_placed_tasks() -> OwnerHarness {
    let mut harness = OwnerHarness::new(1);
    harness.call(1, Call::Submit(model::job(1, model::step(4, cores(2)))));
    harness
}

fn started_cpu_millis(starts: &[(usize, StartCommand)]) -> u64 {
    starts.len() as u64 * cores(2).cpu_millis
}

/// Guards against start commands that wait for the store while their worker's capacity shrinks, and
/// that would then exceed it.
#[test]
fn shrink_holds_back_starts_not_yet_sent() {
    let mut harness = harness_with_placed_tasks();
    assert_eq!(
        started_cpu_millis(&harness.drain_starts()),
        0,
        "no start is sent before its placement is stored"
    );
    resize(&mut harness, cores(3));
    harness.complete_appends();
    harness.advance(10);
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 2_000);
}

/// Guards against repeating an unanswered start after the worker's capacity has shrunk below what
/// the task needs: the first start may not have arrived.
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
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 0, "no start is repeated");
    harness.advance(10);
    assert_eq!(harness.drain_stops().len(), 4);
}

/// Guards against sending starts that waited for the store based on the worker's capacity from
/// before the outage, when the outage lasts longer than a capacity reading is valid.
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
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 0, "its capacity may have shrunk");
    resize(&mut harness, cores(3));
    harness.advance(50);
    harness.complete_appends();
    assert_eq!(started_cpu_millis(&harness.drain_starts()), 2_000);
}

/// Guards against capacity that stays unused after it has grown again.
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
