//! Commands of an owner to workers, attempts of its tasks, and its takeover.

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

use super::harness::{OwnerHarness, UNIX_START_MS, WORKER_CLOCK_MS};
use super::model::{self, QUEUE, cores, id};

#[test]
fn repeated_submit_is_one_job() {
    let mut harness = OwnerHarness::new(1);
    let starts = harness.start_job(1, model::step(1, cores(1)));
    harness.call(2, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(harness.answer(2), Some(Answer::Accepted));
    harness.advance(100);
    assert_eq!((starts.len(), harness.drain_starts().len()), (1, 0));
}

/// A placement alone does not start a job, since its command may never arrive. If it counted, the
/// number of waiting jobs would leave the job out while nothing runs.
#[test]
fn job_counts_as_waiting_until_a_start_is_confirmed() {
    let mut harness = OwnerHarness::new(1);
    harness.call(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    let starts = harness.drain_starts();
    harness.call(2, Call::Waiting(QUEUE.to_owned()));
    assert_eq!(harness.answer(2), Some(Answer::Waiting(1)));
    harness.answer_start(&starts[0], Ok(WORKER_CLOCK_MS));
    harness.call(3, Call::Waiting(QUEUE.to_owned()));
    assert_eq!(harness.answer(3), Some(Answer::Waiting(0)));
}

/// A start command gets no response and is executed seconds later. If the task were placed
/// elsewhere at once, it would run twice; repeating the same command shows its outcome.
#[test]
fn unanswered_start_is_repeated_on_the_same_worker() {
    let mut harness = OwnerHarness::new(2);
    harness.call(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    let first = harness.drain_starts();
    harness.answer_start(&first[0], Err(WorkerError::Unknown("timeout".to_owned())));
    harness.advance(100);
    let again = harness.drain_starts();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].1.run), (first[0].0, first[0].1.run));
}

/// After several unanswered commands the run is stopped on that worker, and the task starts
/// elsewhere only once the worker has confirmed the stop: a run that is stopped before it starts
/// never starts.
#[test]
fn unanswered_start_moves_after_the_stop_is_confirmed() {
    let mut harness = OwnerHarness::new(2);
    harness.call(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    let mut last = harness.drain_starts().remove(0);
    for _ in 0..8 {
        harness.answer_start(&last, Err(WorkerError::Unknown("timeout".to_owned())));
        harness.advance(50);
        match harness.drain_starts().pop() {
            Some(start) => last = start,
            None => break,
        }
    }
    let stops = harness.drain_stops();
    assert_eq!(stops, [last.1.run]);
    harness.advance(500);
    harness.complete_appends();
    assert!(harness.drain_starts().is_empty(), "it may still start on the first worker");
    let worker = format!("w{}", last.0).into();
    harness.deliver(Message::Stopped { worker, run: last.1.run, outcome: Ok(WORKER_CLOCK_MS) });
    harness.advance(5);
    harness.report(last.0, &[], &[]);
    harness.advance(20);
    harness.complete_appends();
    harness.advance(20);
    harness.complete_appends();
    let next = harness.drain_starts();
    assert_eq!(next.len(), 1);
    assert!(next[0].1.run.number > last.1.run.number);
}

/// Another incarnation of the worker answers at its address. All runs of the former one have ended,
/// so their tasks start elsewhere without waiting for a lease to expire.
#[test]
fn new_incarnation_frees_tasks_of_the_former() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job(1, model::step(1, cores(1)));
    let worker = format!("w{}", starts[0].0).into();
    let sent = Instant::from_millis(harness.now);
    harness.deliver(Message::Polled { worker, sent, outcome: Err(WorkerError::OtherIncarnation) });
    harness.advance(20);
    harness.complete_appends();
    harness.advance(20);
    harness.complete_appends();
    let again = harness.drain_starts();
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, starts[0].0);
}

/// A worker stops answering. Its tasks may run until their lease expires, and start elsewhere only
/// then.
#[test]
fn silent_worker_keeps_its_tasks_until_the_lease_expires() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job(1, model::step(1, cores(1)));
    let fail_poll = |harness: &mut OwnerHarness| {
        let worker = format!("w{}", starts[0].0).into();
        let sent = Instant::from_millis(harness.now);
        let fault = WorkerError::Unknown("timeout".to_owned());
        harness.deliver(Message::Polled { worker, sent, outcome: Err(fault) });
    };
    for _ in 0..30 {
        fail_poll(&mut harness);
        harness.advance(250);
        harness.complete_appends();
    }
    assert!(harness.drain_starts().is_empty(), "after {} ms", harness.now);
    for _ in 0..12 {
        fail_poll(&mut harness);
        harness.advance(250);
        harness.complete_appends();
    }
    assert_eq!(harness.drain_starts().len(), 1);
}

/// A job that can never succeed fails after its maximum number of failures.
#[test]
fn job_fails_after_max_failures() {
    let mut harness = OwnerHarness::new(4);
    let mut starts = harness.start_job(1, model::step(1, cores(1)));
    for attempt in 1..=model::MAX_FAILURES {
        let (worker, run) = (starts[0].0, starts[0].1.run);
        harness.report(worker, &[], &[(u64::from(attempt), run, RunOutcome::Failed)]);
        harness.advance(10);
        harness.complete_appends();
        harness.advance(10);
        harness.complete_appends();
        let next = harness.drain_starts();
        if attempt == model::MAX_FAILURES {
            assert!(next.is_empty());
            break;
        }
        assert_eq!(next.len(), 1, "attempt {attempt}");
        harness.answer_start(&next[0], Ok(WORKER_CLOCK_MS + harness.now));
        starts = next;
    }
    assert_eq!(harness.phase(1), Some(Answer::Phase(Phase::Failed)));
}

#[test]
fn cancel_stops_running_tasks() {
    let mut harness = OwnerHarness::new(1);
    let starts = harness.start_job(1, model::step(2, cores(1)));
    harness.call(2, Call::Cancel(id(1)));
    assert_eq!(harness.drain_stops().len(), starts.len());
    assert_eq!(harness.answer(2), None);
    harness.complete_appends();
    assert_eq!(harness.answer(2), Some(Answer::Cancelled));
    assert_eq!(harness.phase(1), Some(Answer::Phase(Phase::Cancelled)));
}

/// A long-running task may fail at any time. It is restarted at once, however long its job has
/// waited and however often it has failed.
#[test]
fn long_running_task_is_always_restarted() {
    let mut harness = OwnerHarness::new(2);
    let long_running = Step { long_running: true, ..model::step(1, cores(1)) };
    let mut starts = harness.start_job(1, long_running);
    for number in 1..=u64::from(model::MAX_FAILURES) + 2 {
        let (worker, run) = (starts[0].0, starts[0].1.run);
        harness.report(worker, &[], &[(number, run, RunOutcome::Failed)]);
        harness.advance(10);
        harness.complete_appends();
        harness.advance(10);
        harness.complete_appends();
        starts = harness.drain_starts();
        assert_eq!(starts.len(), 1, "failure {number}");
        harness.answer_start(&starts[0].clone(), Ok(WORKER_CLOCK_MS + harness.now));
    }
}

/// Three tasks of different jobs fail on one worker and none succeeds there. The worker gets no new
/// tasks for a while, so that it does not use up the attempts of every job.
#[test]
fn failing_worker_gets_no_tasks_for_a_while() {
    let mut harness = OwnerHarness::new(1);
    for number in 1..=3 {
        let starts = harness.start_job(number, model::step(1, cores(1)));
        let run = starts.first().map(|(_, start)| start.run);
        let Some(run) = run else { panic!("job {number} did not start") };
        harness.call(100 + number, Call::Cancel(id(number)));
        harness.report(0, &[], &[(number, run, RunOutcome::Failed)]);
        harness.complete_appends();
    }
    assert!(harness.start_job(4, model::step(1, cores(1))).is_empty());
    harness.advance(Duration::from_secs(5).as_millis() as u64);
    harness.report(0, &[], &[]);
    harness.advance(20);
    harness.complete_appends();
    assert_eq!(harness.drain_starts().len(), 1);
}

#[test]
fn fenced_owner_steps_down() {
    let mut harness = OwnerHarness::new(1);
    let sent = Instant::from_millis(harness.now);
    let message = Message::Polled { worker: "w0".into(), sent, outcome: Err(WorkerError::Fenced) };
    harness.deliver(message);
    harness.advance(1);
    assert!(harness.effects.iter().any(|effect| matches!(effect, Effect::StepDown { .. })));
}

/// The second occurrence of a recurring job still waits for capacity when the third is placed, and
/// the owner dies. The journal names only the third. A successor that counted recorded occurrences
/// started the third one again without end, as did every owner after it.
#[test]
fn successor_starts_the_missing_occurrence() {
    let mut state = State::default();
    let at = Unix::from_millis(UNIX_START_MS);
    state.apply_batch(model::claim(Epoch(1), at));
    let mut job = model::job(1, model::step(1, cores(1)));
    job.schedule = Some(Schedule { first: at, interval_ms: 10, count: 3 });
    let third = StepKey { job: id(1), occurrence: 2, step: 0 };
    let run = Run { task: TaskKey { step: third, index: 0 }, number: 1 };
    let records =
        vec![Record::Accepted { at, job }, Record::Placed { worker: "w0".into(), runs: vec![run] }];
    state.apply_batch(Batch { epoch: Epoch(1), at, records });
    let mut harness = OwnerHarness::from_state(state, 1);
    for _ in 0..10 {
        harness.advance(100);
        harness.complete_appends();
    }
    let started: BTreeSet<u32> =
        harness.drain_starts().iter().map(|(_, start)| start.run.task.step.occurrence).collect();
    assert!(started.is_superset(&BTreeSet::from([0, 1])), "{started:?}");
}

/// An entry in the list, written by another program, names a service that is not configured. Such
/// an entry was polled like any worker.
#[test]
fn worker_of_an_unknown_service_is_not_polled() {
    let mut harness = OwnerHarness::new(1);
    let listed = WorkerInfo { service: "elsewhere".to_owned(), ..model::listed(7, cores(8)) };
    let present = vec![("w7".into(), Rc::new(listed))];
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: Vec::new(),
        is_complete: false,
        ..RosterUpdate::default()
    }));
    harness.advance(400);
    let is_polled =
        |effect: &Effect| matches!(effect, Effect::Poll { worker, .. } if &**worker == "w7");
    assert!(!harness.effects.iter().any(is_polled));
}
