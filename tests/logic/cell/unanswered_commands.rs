//! A worker that answers looks and takes no order.
//!
//! Users saw accepted tasks stand still for half a minute beside free workers, after all instances had
//! lost power. One worker reset each order of the new owner: the connections of two former owners, which
//! nobody closes once their machines have no power, used up those that it takes. The one connection
//! that was left carried the looks. Each order to start ended with an unknown outcome, and the task
//! waited for a stop that never got through, while the looks went on renewing the worker's lease.
//! Proved by the log lines on lost connections: 32 and 31 of the two former owners at that worker,
//! and fresh ones of the new owner reset while it had two.

use oriolefork::cell::dependencies::{StartCommand, WorkerError};
use oriolefork::cell::job::Run;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::timings::{LEASE, LEASE_MARGIN};
use oriolefork::clock::Instant;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores, id};

/// Time between two of the worker's answers to looks.
const POLL_MS: u64 = 100;

fn reset() -> WorkerError {
    WorkerError::Unknown("connection reset".to_owned())
}

/// A job with one task whose order has just been sent to the worker returned.
fn send_start(harness: &mut OwnerHarness, number: u64) -> (usize, StartCommand) {
    harness.call(number, Call::Submit(model::job(number, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    harness.drain_starts().remove(0)
}

/// Lets time pass in which the worker `resetting` answers looks and resets orders; returns the orders to
/// start that went elsewhere.
fn pass_resetting(
    harness: &mut OwnerHarness,
    resetting: usize,
    millis: u64,
) -> Vec<(usize, StartCommand)> {
    let end = harness.now + millis;
    let mut elsewhere = Vec::new();
    while harness.now < end {
        harness.advance(POLL_MS);
        harness.complete_appends();
        for start in harness.drain_starts() {
            if start.0 == resetting {
                harness.answer_start(&start, Err(reset()));
            } else {
                elsewhere.push(start);
            }
        }
        for run in harness.drain_stops() {
            let worker = format!("w{resetting}").into();
            harness.deliver(Message::Stopped { worker, run, outcome: Err(reset()) });
        }
        harness.report(resetting, &[], &[]);
    }
    elsewhere
}

fn runs(starts: &[(usize, StartCommand)]) -> Vec<Run> {
    starts.iter().map(|(_, start)| start.run).collect()
}

/// The task may begin at the worker as long as the lease that its order names; from then on the worker
/// refuses the order. Once the worker's own clock has passed that, and it still does not list the task,
/// the task goes elsewhere without any stop.
#[test]
fn unanswered_start_moves_once_its_lease_expires() {
    let mut harness = OwnerHarness::new(2);
    let (resetting, first) = send_start(&mut harness, 1);
    harness.answer_start(&(resetting, first.clone()), Err(reset()));
    let lease = LEASE.as_millis() as u64;
    assert_eq!(
        runs(&pass_resetting(&mut harness, resetting, lease - 500)),
        [],
        "it may still begin there"
    );
    let moved = pass_resetting(&mut harness, resetting, 1_500);
    assert_eq!(moved.len(), 1, "the order's lease has expired");
    assert_eq!(moved[0].1.run.task, first.run.task);
    assert!(moved[0].1.run.number > first.run.number);
}

/// An order is held up on its way and arrives within its lease, after the owner has given it up. The
/// worker lists the task, which therefore stays there.
#[test]
fn unanswered_start_that_runs_is_kept() {
    let mut harness = OwnerHarness::new(2);
    let (resetting, first) = send_start(&mut harness, 1);
    harness.answer_start(&(resetting, first.clone()), Err(reset()));
    pass_resetting(&mut harness, resetting, 4_000);
    let until = harness.now + (LEASE + LEASE_MARGIN * 2).as_millis() as u64;
    while harness.now < until {
        harness.report(resetting, &[first.run], &[]);
        harness.advance(POLL_MS);
        harness.complete_appends();
        assert_eq!(runs(&harness.drain_starts()), [], "it runs there");
    }
    assert!(harness.machine.runs.contains_key(&first.run));
}

/// The owner went on placing tasks on the worker whose orders it had given up, since its looks were
/// answered; each was stuck in its turn.
#[test]
fn unanswered_start_keeps_new_tasks_away() {
    let mut harness = OwnerHarness::new(2);
    let (resetting, first) = send_start(&mut harness, 1);
    harness.answer_start(&(resetting, first), Err(reset()));
    pass_resetting(&mut harness, resetting, 500);
    harness.call(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    let starts = pass_resetting(&mut harness, resetting, 200);
    assert_eq!(starts.len(), 1, "the other worker takes it");
    assert_eq!(starts[0].1.run.task.step.job, id(2));
}

/// A worker is cut off for 1.7 s while eight tasks are on their way to it. It is sound, and a new task
/// finds no other: counted once for each task, the worker rested for eight seconds.
#[test]
fn unanswered_starts_back_off_a_healthy_worker_briefly() {
    const TASKS: u32 = 8;
    let mut harness = OwnerHarness::new(1);
    harness.call(1, Call::Submit(model::job(1, model::step(TASKS, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    for _ in 0..4 {
        let starts = harness.drain_starts();
        assert_eq!(starts.len(), TASKS as usize);
        harness.advance(400);
        starts.iter().for_each(|start| harness.answer_start(start, Err(reset())));
        harness.advance(31);
    }
    let backoff_start = harness.now;
    harness.call(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    while harness.drain_starts().is_empty() {
        assert!(harness.now < backoff_start + 3_000, "a healthy worker gets no tasks");
        for run in harness.drain_stops() {
            let outcome = Ok(WORKER_CLOCK_MS + harness.now);
            harness.deliver(Message::Stopped { worker: "w0".into(), run, outcome });
        }
        harness.advance(20);
        harness.report(0, &[], &[]);
        harness.advance(20);
        harness.complete_appends();
    }
}

/// The tries of a start never leave: no connection. The worker answers looks ever after, and gets no
/// order that it could answer; it came last among the workers for good.
#[test]
fn unanswered_start_backoff_expires() {
    let mut harness = OwnerHarness::new(2);
    let (mut silent, mut start) = send_start(&mut harness, 1);
    for _ in 0..4 {
        harness.answer_start(
            &(silent, start.clone()),
            Err(WorkerError::NotSent("refused".to_owned())),
        );
        harness.advance(40);
        if let Some(next) = harness.drain_starts().pop() {
            (silent, start) = next;
        }
    }
    let named = format!("w{silent}");
    let deprioritized = |harness: &OwnerHarness| {
        let now = Instant::from_millis(harness.now);
        let worker = harness.machine.workers.values().find(|worker| *worker.id == *named);
        worker.expect("a worker").command_backoff.is_deprioritized(now)
    };
    assert!(deprioritized(&harness), "it is chosen last for a while");
    harness.advance(30_000);
    assert!(!deprioritized(&harness));
}
