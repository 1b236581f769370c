//! What waits for the store, and what an owner does while the store is slow or away, one story each.

use oriolefork::cell::job::{Phase, RunOutcome};
use oriolefork::cell::machine::{Answer, Call};
use oriolefork::cell::peer::HandoverOffer;
use oriolefork::cell::timings::{OFFER_TO_ANYONE_AFTER, OFFER_TO_FASTER_AFTER, SLOW_APPEND};

use super::model::{self, cores, id};
use super::story::Story;

/// A caller is told that its job is accepted, and the owner dies before the record is stored: the
/// job is gone without a trace. So the answer waits for the store.
#[test]
fn submit_answers_once_stored() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(story.answer(1), None);
    story.store();
    assert_eq!(story.answer(1), Some(Answer::Accepted));
}

/// An owner starts a task whose placement is not stored and dies; its successor, which cannot
/// reach that worker, starts the task a second time beside the first.
#[test]
fn start_waits_for_its_placement() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(20);
    assert!(!story.machine.runs.is_empty(), "it is placed");
    assert!(story.starts().is_empty(), "the placement is not stored yet");
    story.store_all();
    assert_eq!(story.starts().len(), 1);
}

/// The store answers nobody for seconds. Callers whose jobs are queued behind the hanging append
/// could only be told that nobody knows whether they run; most of them would give up.
#[test]
fn submit_refused_while_the_store_is_stuck() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(SLOW_APPEND.as_millis() as u64 + 10);
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    assert_eq!(story.answer(2), None);
    story.pass(OFFER_TO_ANYONE_AFTER.as_millis() as u64);
    assert_eq!(story.answer(2), Some(Answer::Unavailable));
    assert_eq!(story.answer(1), None, "it may be stored");
    story.ask(3, Call::Submit(model::job(3, model::step(1, cores(1)))));
    assert_eq!(story.answer(3), Some(Answer::Unavailable));
    assert!(!story.machine.state.jobs.contains_key(&id(2)));
}

/// The store answers all instances but the owner. Callers waited for a second until another took the
/// cell over, since the owner offered it only after the time that a slow store takes.
#[test]
fn offer_rises_while_an_append_hangs() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(story.offer(), HandoverOffer::NotOffered);
    story.pass(OFFER_TO_FASTER_AFTER.as_millis() as u64 + 1);
    assert_eq!(story.offer(), HandoverOffer::IfFaster);
    story.pass(OFFER_TO_ANYONE_AFTER.as_millis() as u64);
    assert_eq!(story.offer(), HandoverOffer::Anyone);
    story.store_all();
    assert_eq!(story.offer(), HandoverOffer::NotOffered);
}

#[test]
fn submit_admitted_when_a_slow_append_ends() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(SLOW_APPEND.as_millis() as u64 + 10);
    story.ask(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    assert_eq!(story.answer(2), Some(Answer::Accepted));
}

/// The store is back, but the last append hangs on a dead connection: without a second try every
/// caller waits for its timeout.
#[test]
fn append_repeated_beside_a_hanging_one() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.pass(250);
    let appends = story.appends();
    assert_eq!(appends.len(), 2);
    assert_eq!(appends[0], appends[1], "the same number is taken once");
}

#[test]
fn append_refused_is_repeated_under_its_number() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    let first = story.appends();
    story.refuse_append();
    story.pass(300);
    assert_eq!(story.appends().last(), first.last());
}

/// A worker ends a task, the owner tells a caller *completed* and dies before the end is stored; the
/// worker crashes as well. The successor runs a task again that the caller knows to be done.
#[test]
fn completed_shows_once_stored() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(1, cores(1)));
    let run = starts[0].1.run;
    story.report(0, &[], &[(1, run, RunOutcome::Succeeded)]);
    story.pass(5);
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Running)));
    story.store_all();
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Completed)));
}

/// The worker may forget an end only when it is stored, or a successor would never hear of it.
#[test]
fn end_forgotten_once_stored() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(1, cores(1)));
    story.report(0, &[], &[(7, starts[0].1.run, RunOutcome::Succeeded)]);
    story.pass(5);
    assert_eq!(story.machine.workers["w0"].last_recorded_end, 0);
    story.store_all();
    assert_eq!(story.machine.workers["w0"].last_recorded_end, 7);
}

/// An owner that was replaced without knowing must not say that a job does not exist: its successor
/// may have accepted it.
#[test]
fn unknown_is_vouched_for_only_with_the_store() {
    let mut story = Story::begin(1);
    assert_eq!(story.phase(5), Some(Answer::Unknown));
    story.pass(2_000);
    assert_eq!(story.phase(6), Some(Answer::Unavailable));
}
