//! What earlier owners left on workers that no later one reaches.

use std::rc::Rc;

use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{PollReport, RosterUpdate};
use oriolefork::cell::job::{Run, RunOutcome, Step, StepKey, TaskKey};
use oriolefork::cell::machine::{Call, Effect, Message};
use oriolefork::cell::record::{Batch, Record};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::{LEASE, LEASE_GRANT_WINDOW};
use oriolefork::clock::{Instant, Unix};

use super::model::{self, cores, id};
use super::story::{Story, UNIX, WORKER_CLOCK};

/// Time within which a job has to go on beside free workers once its site is calm, in milliseconds.
const GOES_ON_MS: u64 = 14_000;

/// The same once a worker has answered in another life, in milliseconds.
const NEXT_LIFE_MS: u64 = 1_000;

/// A gang of two, one of them on a worker that left while its cell changed hands.
fn left_behind(first: &str) -> (State, [Run; 2]) {
    let job = model::job(1, Step { gang: true, ..model::step(2, cores(1)) });
    let step = StepKey { job: id(1), occurrence: 0, step: 0 };
    let runs = [0, 1].map(|index| Run { task: TaskKey { step, index }, number: 1 });
    let placed = |worker: &str, run| Record::Placed { worker: worker.into(), runs: vec![run] };
    let accepted = Record::Accepted { at: Unix::from_millis(UNIX), job };
    let records = vec![accepted, placed(first, runs[0]), placed("gone", runs[1])];
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(1), Unix::from_millis(UNIX)));
    state.apply_batch(Batch { epoch: Epoch(1), at: Unix::from_millis(UNIX), records });
    state.apply_batch(model::claim(Epoch(2), Unix::from_millis(UNIX)));
    (state, runs)
}

/// Callers see a job stand still for 22 s beside free workers. Its gang has a member on a worker that
/// drains and leaves while the cell changes hands; the last owner never reaches that worker, and waits
/// until all that former owners could grant is over.
#[test]
fn gang_goes_on_without_a_worker_that_left() {
    let (state, runs) = left_behind("w0");
    let mut story = Story::take_over(state, 3);
    let mut started = None;
    while started.is_none() && story.now < 2 * GOES_ON_MS {
        story.pass(100);
        story.store_all();
        for worker in 0..3 {
            story.report(worker, &[], &[]);
        }
        started =
            story.starts().into_iter().map(|(_, start)| start.run).find(|run| *run != runs[1]);
    }
    assert!(started.is_some_and(|run| run.number > 1), "{started:?}");
    assert!(story.now <= GOES_ON_MS, "after {} ms", story.now);
}

/// Guards against the rest of a gang that runs on for as long as its lease is renewed: its owner died between
/// the end of one member and the orders to stop the others.
#[test]
fn gang_without_a_member_is_stopped_by_the_next_owner() {
    let (mut state, runs) = left_behind("w3");
    let ended = Record::Ended {
        run: runs[1],
        worker: "gone".into(),
        outcome: RunOutcome::WorkerLost,
        checkpoint: String::new(),
    };
    let batch = |epoch, records| Batch { epoch, at: Unix::from_millis(UNIX), records };
    state.apply_batch(batch(Epoch(2), vec![ended]));
    state.apply_batch(model::claim(Epoch(3), Unix::from_millis(UNIX)));
    let mut story = Story::take_over(state, 3);
    story.tell(Message::WorkersChanged(model::roster(4, cores(8))));
    story.pass(10);
    story.report(3, &runs[..1], &[]);
    story.pass(10);
    assert_eq!(story.stops(), runs[..1]);
}

/// Guards against waiting for leases of a life that is over: its worker answers in its next one, under the
/// name that it had.
#[test]
fn gang_goes_on_once_the_next_life_of_its_worker_answers() {
    let (state, _) = left_behind("w0@1");
    let mut story = Story::take_over(state, 3);
    let present = ["gone@2", "w0@2"].map(|name| (name.into(), Rc::new(model::listed(5, cores(8)))));
    story.tell(Message::WorkersChanged(RosterUpdate {
        changed: present.into(),
        ..RosterUpdate::default()
    }));
    while !story.effects.iter().any(|effect| matches!(effect, Effect::Start { .. })) {
        assert!(story.now < NEXT_LIFE_MS, "it still waits");
        for worker in ["gone@2", "w0@2"] {
            let report = PollReport { clock_ms: WORKER_CLOCK + story.now, ..PollReport::default() };
            let sent = Instant::from_millis(story.now);
            let outcome = Ok(report);
            story.tell(Message::Polled { worker: worker.into(), sent, outcome });
        }
        story.pass(100);
        story.store_all();
    }
}

/// Guards against a worker that left the list and goes on getting tasks, since the list names it without
/// its life.
#[test]
fn worker_that_is_gone_from_the_list_gets_nothing_new() {
    let mut story = Story::begin(0);
    let listed = Rc::new(model::listed(5, cores(8)));
    let present = vec![("w5@1".into(), listed)];
    story.tell(Message::WorkersChanged(RosterUpdate {
        changed: present,
        ..RosterUpdate::default()
    }));
    let report = PollReport { clock_ms: WORKER_CLOCK, ..PollReport::default() };
    let sent = Instant::from_millis(story.now);
    story.tell(Message::Polled { worker: "w5@1".into(), sent, outcome: Ok(report) });
    story.tell(Message::WorkersChanged(RosterUpdate {
        removed: vec!["w5".into()],
        ..RosterUpdate::default()
    }));
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(100);
    assert_eq!(story.starts().len(), 0);
}

/// Guards against tasks that are placed in a life that is over, since its worker stands in the list again.
#[test]
fn worker_listed_in_its_next_life_gets_nothing_in_the_former() {
    let mut story = Story::begin(0);
    let listed = Rc::new(model::listed(5, cores(8)));
    for life in ["w5@1", "w5@2"] {
        let present = vec![(life.into(), listed.clone())];
        story.tell(Message::WorkersChanged(RosterUpdate {
            changed: present,
            ..RosterUpdate::default()
        }));
        if life == "w5@1" {
            let report = PollReport { clock_ms: WORKER_CLOCK, ..PollReport::default() };
            let sent = Instant::from_millis(story.now);
            story.tell(Message::Polled { worker: life.into(), sent, outcome: Ok(report) });
        }
    }
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(100);
    let ordered = story.effects.iter().any(|effect| matches!(effect, Effect::Start { .. }));
    assert!(!ordered, "the former life gets it");
}

/// The same worker is only cut off, and the former owner, which is cut off from the store with it, goes on
/// renewing its lease. Were the task given up at once, it would run twice.
#[test]
fn gang_waits_while_the_former_owner_may_grant() {
    let (state, _) = left_behind("w0");
    let mut story = Story::take_over(state, 3);
    let until = (LEASE_GRANT_WINDOW + LEASE).as_millis() as u64;
    while story.now < until {
        story.pass(100);
        story.store_all();
        for worker in 0..3 {
            story.report(worker, &[], &[]);
        }
        assert!(story.starts().is_empty(), "after {} ms", story.now);
    }
}
