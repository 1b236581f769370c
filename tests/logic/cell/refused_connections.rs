//! Workers that refuse connections.

use oriolefork::cell::dependencies::WorkerError;
use oriolefork::cell::machine::{Effect, Message};
use oriolefork::cell::timings::COMMAND_RETRY;
use oriolefork::clock::Instant;
use test_case::test_case;

use super::harness::OwnerHarness;
use super::model::{self, cores};

/// Interval between two refusals and the owner's next step, in milliseconds.
const STEP_MS: u64 = 10;

fn refused(sent: bool) -> WorkerError {
    WorkerError::ConnectionRefused { sent, cause: "connection reset".to_owned() }
}

/// Lets `worker` refuse the polls that the owner sends for `millis`; returns their number.
fn refuse_polls(harness: &mut OwnerHarness, worker: &str, millis: u64) -> usize {
    let end = harness.now + millis;
    let mut refusals = 0;
    while harness.now < end {
        let is_poll =
            |effect: &Effect| matches!(effect, Effect::Poll { worker: id, .. } if **id == *worker);
        let polls = harness.effects.iter().filter(|effect| is_poll(effect)).count();
        harness.effects.retain(|effect| !is_poll(effect));
        refusals += polls;
        if polls > 0 {
            let (worker, sent) = (worker.into(), Instant::from_millis(harness.now));
            harness.deliver(Message::Polled { worker, sent, outcome: Err(refused(false)) });
        }
        harness.advance(STEP_MS);
        harness.complete_appends();
    }
    refusals
}

/// Guards against a task that waits for a worker which takes no connection, while other workers are
/// free.
#[test]
fn refused_start_goes_elsewhere_at_once() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job_unanswered(1, model::step(1, cores(1)));
    let refusing = starts[0].0;
    harness.answer_start(&starts[0], Err(refused(false)));
    harness.advance(COMMAND_RETRY.as_millis() as u64);
    harness.complete_appends();
    harness.advance(STEP_MS);
    harness.complete_appends();
    let others = harness.drain_starts();
    assert_eq!(others.iter().map(|start| start.0).collect::<Vec<_>>(), [1 - refusing]);
}

/// Guards against a task that runs twice: a start on a connection that is closed before any response
/// may have arrived.
#[test]
fn start_on_a_connection_closed_later_stays_with_its_worker() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job_unanswered(1, model::step(1, cores(1)));
    let refusing = starts[0].0;
    let mut start = starts[0].clone();
    for _ in 0..3 {
        harness.answer_start(&start, Err(refused(true)));
        harness.advance(COMMAND_RETRY.as_millis() as u64 + STEP_MS);
        harness.complete_appends();
        start = harness.drain_starts().remove(0);
        assert_eq!(start.0, refusing, "it is sent again to the same worker");
    }
}

/// Guards against an owner that spends its time and a worker's on connections that are refused: 43
/// full workers refused 143 connections a second.
#[test_case(10_000, 12)]
#[test_case(60_000, 54)]
fn polls_of_a_refusing_worker_are_spaced(millis: u64, most: usize) {
    let mut harness = OwnerHarness::new(2);
    harness.report(0, &[], &[]);
    harness.report(1, &[], &[]);
    harness.advance(STEP_MS);
    let refusals = refuse_polls(&mut harness, "w0", millis);
    assert!((5..=most).contains(&refusals), "{refusals} in {millis} ms");
    let worker = harness.machine.workers.values().find(|worker| &*worker.id == "w0");
    assert!(!worker.expect("it is listed").accepts_tasks(Instant::from_millis(harness.now)));
}
