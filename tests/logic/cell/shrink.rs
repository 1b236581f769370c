//! Workers whose room shrinks and grows again while they run.

use std::rc::Rc;
use std::time::Duration;

use oriolefork::cell::dependencies::{RosterUpdate, StartCommand, WorkerError};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::timings::Timings;
use oriolefork::resource::Amount;

use super::model::{self, cores};
use super::story::Story;

/// The list says what worker `w0` has from now on.
fn resize(story: &mut Story, capacity: Amount) {
    let present = vec![("w0".into(), Rc::new(model::listed(0, capacity)))];
    story.tell(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: Vec::new(),
        is_complete: false,
    }));
    story.pass(1);
}

/// Four tasks of two cores each, placed on the one worker, their placement on its way to the store.
fn placed() -> Story {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(4, cores(2)))));
    story
}

fn ordered(starts: &[(usize, StartCommand)]) -> u64 {
    starts.len() as u64 * cores(2).cpu_millis
}

/// Guards against orders that wait for the store while their worker's room shrinks, and that would
/// bring it over what it has by then.
#[test]
fn shrink_before_the_order_leaves_keeps_it_back() {
    let mut story = placed();
    assert_eq!(ordered(&story.starts()), 0, "nothing leaves before its placement is stored");
    resize(&mut story, cores(3));
    story.store_all();
    story.pass(10);
    assert_eq!(ordered(&story.starts()), 2_000);
}

/// Guards against repeating an order that had no answer once the room for it is gone: the first one may
/// not have arrived.
#[test]
fn shrink_stops_what_has_no_answer() {
    let mut story = placed();
    story.store_all();
    let starts = story.starts();
    assert_eq!(ordered(&starts), 8_000);
    resize(&mut story, cores(3));
    for start in &starts {
        story.started(start, Err(WorkerError::Unknown("no answer".to_owned())));
    }
    story.pass(50);
    assert_eq!(ordered(&story.starts()), 0, "nothing is sent again");
    story.pass(10);
    assert_eq!(story.stops().len(), 4);
}

/// Guards against what waited for the store going out by the room that a worker had before the store was
/// away, for longer than such room counts.
#[test]
fn shrink_that_the_list_cannot_tell_is_waited_for() {
    const KNOWN: Duration = Duration::from_secs(3);
    let timings = Timings { capacity_max_age: Some(KNOWN), ..Timings::default() };
    let mut story = Story::begin_with(timings, 1);
    story.ask(1, Call::Submit(model::job(1, model::step(4, cores(2)))));
    for _ in 0..50 {
        story.pass(100);
        story.report(0, &[], &[]);
    }
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    assert_eq!(ordered(&story.starts()), 0, "its room may have shrunk");
    resize(&mut story, cores(3));
    story.pass(50);
    story.store_all();
    assert_eq!(ordered(&story.starts()), 2_000);
}

/// Guards against room that stays unused after it has grown again.
#[test]
fn shrink_that_is_over_lets_tasks_go_on() {
    let mut story = placed();
    resize(&mut story, cores(1));
    story.store_all();
    story.pass(100);
    assert_eq!(ordered(&story.starts()), 0);
    resize(&mut story, cores(8));
    story.store_all();
    story.pass(100);
    story.store_all();
    assert_eq!(ordered(&story.starts()), 8_000);
}
