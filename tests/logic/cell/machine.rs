//! The owner's orders to workers, its tries and its begin, one story each.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{RosterUpdate, WorkerError, WorkerInfo};
use oriolefork::cell::job::{Phase, Run, RunOutcome, Schedule, Step, StepKey, TaskKey};
use oriolefork::cell::machine::{Answer, Call, Effect, Message};
use oriolefork::cell::record::{Batch, Record};
use oriolefork::cell::state::State;
use oriolefork::clock::{Instant, Unix};

use super::model::{self, QUEUE, cores, id};
use super::story::{Story, UNIX, WORKER_CLOCK};

#[test]
fn submit_again_is_one_job() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(1, cores(1)));
    story.ask(2, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(story.answer(2), Some(Answer::Accepted));
    story.pass(100);
    assert_eq!((starts.len(), story.starts().len()), (1, 0));
}

/// A placement alone does not begin a job: its order may never arrive. The count of waiting jobs
/// would leave it out while nothing runs.
#[test]
fn waiting_counts_until_a_worker_said_so() {
    let mut story = Story::begin(1);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    let starts = story.starts();
    story.ask(2, Call::Waiting(QUEUE.to_owned()));
    assert_eq!(story.answer(2), Some(Answer::Waiting(1)));
    story.started(&starts[0], Ok(WORKER_CLOCK));
    story.ask(3, Call::Waiting(QUEUE.to_owned()));
    assert_eq!(story.answer(3), Some(Answer::Waiting(0)));
}

/// An order to start gets no answer and is carried out seconds later. If the task were placed
/// elsewhere at once, it would run twice; the same order again settles what became of it.
#[test]
fn start_without_answer_is_repeated_there() {
    let mut story = Story::begin(2);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    let first = story.starts();
    story.started(&first[0], Err(WorkerError::Unknown("timeout".to_owned())));
    story.pass(100);
    let again = story.starts();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].1.run), (first[0].0, first[0].1.run));
}

/// After several tries without an answer the task is stopped there, and runs elsewhere only once the
/// worker has taken the stop: what is stopped before it begins never begins.
#[test]
fn start_without_answers_moves_after_the_stop() {
    let mut story = Story::begin(2);
    story.ask(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    story.store_all();
    story.pass(10);
    story.store_all();
    let mut last = story.starts().remove(0);
    for _ in 0..8 {
        story.started(&last, Err(WorkerError::Unknown("timeout".to_owned())));
        story.pass(50);
        match story.starts().pop() {
            Some(start) => last = start,
            None => break,
        }
    }
    let stops = story.stops();
    assert_eq!(stops, [last.1.run]);
    story.pass(500);
    story.store_all();
    assert!(story.starts().is_empty(), "it may still begin at the first worker");
    let worker = format!("w{}", last.0).into();
    story.tell(Message::Stopped { worker, run: last.1.run, outcome: Ok(WORKER_CLOCK) });
    story.pass(5);
    story.report(last.0, &[], &[]);
    story.pass(20);
    story.store_all();
    story.pass(20);
    story.store_all();
    let next = story.starts();
    assert_eq!(next.len(), 1);
    assert!(next[0].1.run.number > last.1.run.number);
}

/// Another life of the worker answers at its address: all that ran there is gone for sure, and runs
/// elsewhere without waiting for a lease.
#[test]
fn another_life_frees_its_tasks() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    let worker = format!("w{}", starts[0].0).into();
    let sent = Instant::from_millis(story.now);
    story.tell(Message::Polled { worker, sent, outcome: Err(WorkerError::OtherIncarnation) });
    story.pass(20);
    story.store_all();
    story.pass(20);
    story.store_all();
    let again = story.starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, starts[0].0);
}

/// A worker falls silent. Its tasks may run until their lease is over; only then they run elsewhere.
#[test]
fn silent_worker_keeps_its_tasks_for_a_lease() {
    let mut story = Story::begin(2);
    let starts = story.running(1, model::step(1, cores(1)));
    let silent = |story: &mut Story| {
        let worker = format!("w{}", starts[0].0).into();
        let sent = Instant::from_millis(story.now);
        let fault = WorkerError::Unknown("timeout".to_owned());
        story.tell(Message::Polled { worker, sent, outcome: Err(fault) });
    };
    for _ in 0..30 {
        silent(&mut story);
        story.pass(250);
        story.store_all();
    }
    assert!(story.starts().is_empty(), "after {} ms", story.now);
    for _ in 0..12 {
        silent(&mut story);
        story.pass(250);
        story.store_all();
    }
    assert_eq!(story.starts().len(), 1);
}

/// A job that can never be done ends after its tries, and is said to have failed.
#[test]
fn attempts_bound_the_tries() {
    let mut story = Story::begin(4);
    let mut starts = story.running(1, model::step(1, cores(1)));
    for attempt in 1..=model::ATTEMPTS {
        let (worker, run) = (starts[0].0, starts[0].1.run);
        story.report(worker, &[], &[(u64::from(attempt), run, RunOutcome::Failed)]);
        story.pass(10);
        story.store_all();
        story.pass(10);
        story.store_all();
        let next = story.starts();
        if attempt == model::ATTEMPTS {
            assert!(next.is_empty());
            break;
        }
        assert_eq!(next.len(), 1, "try {attempt}");
        story.started(&next[0], Ok(WORKER_CLOCK + story.now));
        starts = next;
    }
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Failed)));
}

#[test]
fn cancel_stops_what_runs() {
    let mut story = Story::begin(1);
    let starts = story.running(1, model::step(2, cores(1)));
    story.ask(2, Call::Cancel(id(1)));
    assert_eq!(story.stops().len(), starts.len());
    assert_eq!(story.answer(2), None);
    story.store_all();
    assert_eq!(story.answer(2), Some(Answer::Cancelled));
    assert_eq!(story.phase(1), Some(Answer::Phase(Phase::Cancelled)));
}

/// A lasting task fails, as it may at any time. It must be back at once, however long its job has
/// waited and however often it has failed.
#[test]
fn lasting_task_is_always_restarted() {
    let mut story = Story::begin(2);
    let lasting = Step { long_running: true, ..model::step(1, cores(1)) };
    let mut starts = story.running(1, lasting);
    for number in 1..=u64::from(model::ATTEMPTS) + 2 {
        let (worker, run) = (starts[0].0, starts[0].1.run);
        story.report(worker, &[], &[(number, run, RunOutcome::Failed)]);
        story.pass(10);
        story.store_all();
        story.pass(10);
        story.store_all();
        starts = story.starts();
        assert_eq!(starts.len(), 1, "failure {number}");
        story.started(&starts[0].clone(), Ok(WORKER_CLOCK + story.now));
    }
}

/// Three tasks of different jobs fail on one worker and none goes well there: it gets nothing new
/// for a while, so that it does not use up the tries of every job.
#[test]
fn failing_worker_rests() {
    let mut story = Story::begin(1);
    for number in 1..=3 {
        let starts = story.running(number, model::step(1, cores(1)));
        let run = starts.first().map(|(_, start)| start.run);
        let Some(run) = run else { panic!("job {number} did not start") };
        story.ask(100 + number, Call::Cancel(id(number)));
        story.report(0, &[], &[(number, run, RunOutcome::Failed)]);
        story.store_all();
    }
    assert!(story.running(4, model::step(1, cores(1))).is_empty());
    story.pass(Duration::from_secs(5).as_millis() as u64);
    story.report(0, &[], &[]);
    story.pass(20);
    story.store_all();
    assert_eq!(story.starts().len(), 1);
}

#[test]
fn fenced_owner_steps_down() {
    let mut story = Story::begin(1);
    let sent = Instant::from_millis(story.now);
    let message = Message::Polled { worker: "w0".into(), sent, outcome: Err(WorkerError::Fenced) };
    story.tell(message);
    story.pass(1);
    assert!(story.effects.iter().any(|effect| matches!(effect, Effect::StepDown { .. })));
}

/// A job repeats. Its second occurrence still waits for room when the third one is placed, and the
/// owner dies. Its successor reads of the third alone: counting what it knows of, it took the third
/// for the next to begin, again and again without end, as did every owner after it.
#[test]
fn successor_begins_the_occurrence_that_is_missing() {
    let mut state = State::default();
    let at = Unix::from_millis(UNIX);
    state.apply_batch(model::claim(Epoch(1), at));
    let mut job = model::job(1, model::step(1, cores(1)));
    job.schedule = Some(Schedule { first: at, interval_ms: 10, count: 3 });
    let third = StepKey { job: id(1), occurrence: 2, step: 0 };
    let run = Run { task: TaskKey { step: third, index: 0 }, number: 1 };
    let records =
        vec![Record::Accepted { at, job }, Record::Placed { worker: "w0".into(), runs: vec![run] }];
    state.apply_batch(Batch { epoch: Epoch(1), at, records });
    let mut story = Story::take_over(state, 1);
    for _ in 0..10 {
        story.pass(100);
        story.store_all();
    }
    let begun: BTreeSet<u32> =
        story.starts().iter().map(|(_, start)| start.run.task.step.occurrence).collect();
    assert!(begun.is_superset(&BTreeSet::from([0, 1])), "{begun:?}");
}

/// An entry in the list names a service that the operators never named: another program wrote it. It
/// was called like any worker.
#[test]
fn look_passes_over_an_unknown_service() {
    let mut story = Story::begin(1);
    let listed = WorkerInfo { service: "elsewhere".to_owned(), ..model::listed(7, cores(8)) };
    let present = vec![("w7".into(), Rc::new(listed))];
    story.tell(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: Vec::new(),
        is_complete: false,
    }));
    story.pass(400);
    let looked_at =
        |effect: &Effect| matches!(effect, Effect::Poll { worker, .. } if &**worker == "w7");
    assert!(!story.effects.iter().any(looked_at));
}
