//! Steps that wait beyond the bound because a worker or an instance is held back after faults.

use oriolefork::cell::dependencies::WorkerError;
use oriolefork::cell::job::RunOutcome;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::PolicyTiming;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores};

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Number of the job that could run.
const JOB: u64 = 1;

/// Advances the clock for the bound; returns whether a task has started.
fn starts_in_time(harness: &mut OwnerHarness) -> bool {
    let end = harness.now + BOUND_MS;
    let mut started = false;
    while harness.now < end {
        harness.advance(10);
        harness.complete_appends();
        started |= !harness.drain_starts().is_empty();
        harness.report(0, &[], &[]);
    }
    started
}

/// Jobs that cannot succeed fail in a row on a sound worker, which then gets nothing for a while.
#[test]
fn step_starts_after_others_failed_on_its_only_worker() {
    let mut harness = OwnerHarness::new(1);
    let mut ended = Vec::new();
    for number in 10..13 {
        for start in harness.start_job(number, model::step(1, cores(1))) {
            ended.push((ended.len() as u64 + 1, start.1.run, RunOutcome::Failed));
        }
    }
    harness.report(0, &[], &ended);
    for (number, run, _) in &ended {
        harness.call(100 + number, Call::Cancel(run.task.step.job));
    }
    harness.call(JOB, Call::Submit(model::job(JOB, model::step(1, cores(1)))));
    assert!(starts_in_time(&mut harness), "{} failures in a row", ended.len());
}

/// The only worker refuses connections for start commands, each of which makes the next pause longer,
/// and then accepts them again.
#[test]
fn step_starts_once_its_only_worker_accepts_connections_again() {
    let mut harness = OwnerHarness::new(1);
    harness.call(JOB, Call::Submit(model::job(JOB, model::step(1, cores(1)))));
    let mut refused = 0;
    while refused < 8 {
        harness.complete_appends();
        for start in harness.drain_starts() {
            let fault = WorkerError::ConnectionRefused { sent: false, cause: "refused".to_owned() };
            harness.answer_start(&start, Err(fault));
            refused += 1;
        }
        harness.advance(10);
        harness.report(0, &[], &[]);
        assert!(harness.now < 60_000, "{refused} start commands refused");
    }
    assert!(starts_in_time(&mut harness), "no start command after {refused} were refused");
}

/// An instance that has stopped answering holds the query about a step. No other instance is used
/// for it until the query times out, later than the bound.
#[test]
fn step_is_queried_through_another_instance_when_one_hangs() {
    let timing = PolicyTiming { decide_ms: 100.0, per_worker_ms: 1.0, valid_ms: 1_500 };
    let mut harness = OwnerHarness::new(4);
    harness.deliver(Message::ConfigChanged(model::policy_config(timing)));
    (1..=2).for_each(|instance| harness.see_instance(instance));
    harness.call(JOB, Call::Submit(model::job(JOB, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(60);
    assert_eq!(harness.drain_queries().len(), 1);
    let end = harness.now + BOUND_MS;
    while harness.now < end {
        (1..=2).for_each(|instance| harness.see_instance(instance));
        harness.advance(10);
        harness.complete_appends();
    }
    assert!(!harness.drain_queries().is_empty(), "no second query in {BOUND_MS} ms");
}

/// The only worker carries out commands and its answers are lost, also those to the stops. It is used
/// again soon after it can be heard.
#[test]
fn step_starts_once_its_only_worker_answers_commands_again() {
    let mut harness = OwnerHarness::new(1);
    harness.call(JOB, Call::Submit(model::job(JOB, model::step(1, cores(1)))));
    let lost = || WorkerError::Unknown("lost".to_owned());
    let mut stops = 0;
    while stops < 60 {
        harness.complete_appends();
        for start in harness.drain_starts() {
            harness.answer_start(&start, Err(lost()));
        }
        for run in harness.drain_stops() {
            stops += 1;
            let outcome = Err(lost());
            harness.deliver(Message::Stopped { worker: "w0".into(), run, outcome });
        }
        harness.advance(10);
        harness.report(0, &[], &[]);
        assert!(harness.now < 60_000, "{stops} stops");
    }
    assert_eq!(harness.machine.runs.len(), 1, "the attempt is being stopped");
    let end = harness.now + BOUND_MS;
    let mut started = false;
    while harness.now < end {
        harness.advance(10);
        harness.complete_appends();
        started |= !harness.drain_starts().is_empty();
        for run in harness.drain_stops() {
            let outcome = Ok(WORKER_CLOCK_MS + harness.now);
            harness.deliver(Message::Stopped { worker: "w0".into(), run, outcome });
        }
        harness.report(0, &[], &[]);
    }
    assert!(started, "no start command after {stops} stops without an answer");
}
