//! Which tasks an owner places where, one story each.

use std::collections::BTreeSet;

use oriolefork::cell::job::{RunOutcome, Step};
use oriolefork::cell::machine::{Call, Message};

use super::model::{self, cores};
use super::story::Story;

/// One member of a gang is lost. The others would hold their room and wait for it.
#[test]
fn gang_stops_when_a_member_is_gone() {
    let mut story = Story::begin(3);
    let gang = Step { gang: true, ..model::step(3, cores(6)) };
    let starts = story.running(1, gang);
    assert_eq!(starts.len(), 3);
    let numbers: BTreeSet<u32> = starts.iter().map(|(_, start)| start.run.number).collect();
    assert_eq!(numbers.len(), 1, "members share the number of their try");
    story.report(starts[0].0, &[], &[(1, starts[0].1.run, RunOutcome::Failed)]);
    story.pass(5);
    assert_eq!(story.stops().len(), 2);
}

#[test]
fn gang_waits_until_all_members_fit() {
    let mut story = Story::begin(2);
    let gang = Step { gang: true, ..model::step(3, cores(6)) };
    assert!(story.running(1, gang).is_empty());
}

#[test]
fn room_is_never_exceeded() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(5, cores(3)));
    assert_eq!(starts.len(), 2, "8 cores hold two tasks of 3");
}

#[test]
fn drained_worker_gets_nothing_new() {
    let mut story = Story::begin(1);
    let mut roster = model::roster(1, cores(8));
    let mut listed = (*roster.changed[0].1).clone();
    listed.draining = true;
    roster.changed[0].1 = listed.into();
    story.tell(Message::WorkersChanged(roster));
    assert!(story.running(1, model::step(1, cores(1))).is_empty());
}

/// A nightly job fills the gaps of a worker that serves a mailbox, and its users wait. The two kinds of
/// tasks never share a worker, whichever comes first.
#[test]
fn filling_task_stays_away_from_serving_ones() {
    let mut story = Story::begin(2);
    let serving =
        Step { long_running: true, latency_target_ms: Some(50), ..model::step(1, cores(1)) };
    let filling = Step { opportunistic: true, ..model::step(1, cores(4)) };
    let first = story.running(1, serving.clone());
    let second = story.running(2, filling);
    assert_ne!(first[0].0, second[0].0);
    let third = story.running(3, serving);
    assert_eq!(third[0].0, first[0].0, "not beside what fills");
}

/// After an outage most open jobs are so late that they earn nothing, and rounds pass them over in
/// favour of those that do; their callers still wait for the work to be done.
#[test]
fn worthless_job_is_placed_all_the_same() {
    let mut story = Story::begin(1);
    let long = story.running(1, model::step(1, cores(8)));
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(8)))));
    story.store_all();
    for _ in 0..60 {
        story.pass(1_000);
        story.report(0, &[long[0].1.run], &[]);
    }
    assert!(story.starts().is_empty(), "the first one still runs");
    story.report(0, &[], &[(1, long[0].1.run, RunOutcome::Succeeded)]);
    for _ in 0..20 {
        story.pass(20);
        story.store_all();
    }
    assert_eq!(story.starts().len(), 1);
}
