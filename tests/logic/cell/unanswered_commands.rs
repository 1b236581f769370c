//! Workers that answer polls but no commands.
//!
//! After all instances had lost power, accepted tasks waited for half a minute beside free workers.
//! One worker reset each command of the new owner: connections of two former owners, which nobody
//! closes once their machines have no power, used up the worker's connection limit, and the one
//! remaining connection carried the polls. Each start command ended with an unknown outcome, and
//! the task waited for a stop that never arrived, while the polls kept renewing the worker's lease.
//! The log lines on lost connections showed 32 and 31 of the two former owners at that worker, and
//! new ones of the new owner being reset while it had two.

use oriolefork::cell::dependencies::{StartCommand, WorkerError};
use oriolefork::cell::job::Run;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::timings::{LEASE, LEASE_MARGIN};
use oriolefork::clock::Instant;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores, id};

/// Interval between the worker's responses to polls, in milliseconds.
const POLL_MS: u64 = 100;

fn reset() -> WorkerError {
    WorkerError::Unknown("connection reset".to_owned())
}

/// Submits a job with one task; returns its start command and the worker to which it was sent.
fn send_start(harness: &mut OwnerHarness, number: u64) -> (usize, StartCommand) {
    harness.call(number, Call::Submit(model::job(number, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    harness.drain_starts().remove(0)
}

/// Advances the clock while the worker `resetting` answers polls and resets commands; returns the
/// start commands to other workers.
fn advance_resetting(
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

/// The task may start on the worker until the lease in its command expires; after that the worker
/// refuses the command. Once the worker's own clock has passed that time and its reports still do
/// not list the run, the task moves elsewhere without a stop.
#[test]
fn unanswered_start_moves_once_its_lease_expires() {
    let mut harness = OwnerHarness::new(2);
    let (resetting, first) = send_start(&mut harness, 1);
    harness.answer_start(&(resetting, first.clone()), Err(reset()));
    let lease = LEASE.as_millis() as u64;
    assert_eq!(
        runs(&advance_resetting(&mut harness, resetting, lease - 500)),
        [],
        "it may still start on the first worker"
    );
    let moved = advance_resetting(&mut harness, resetting, 1_500);
    assert_eq!(moved.len(), 1, "the order's lease has expired");
    assert_eq!(moved[0].1.run.task, first.run.task);
    assert!(moved[0].1.run.number > first.run.number);
}

/// A command is delayed in transit and arrives before its lease expires, after the owner has given
/// it up. The worker lists the run, so the task stays there.
#[test]
fn unanswered_start_that_runs_is_kept() {
    let mut harness = OwnerHarness::new(2);
    let (resetting, first) = send_start(&mut harness, 1);
    harness.answer_start(&(resetting, first.clone()), Err(reset()));
    advance_resetting(&mut harness, resetting, 4_000);
    let until = harness.now + (LEASE + LEASE_MARGIN * 2).as_millis() as u64;
    while harness.now < until {
        harness.report(resetting, &[first.run], &[]);
        harness.advance(POLL_MS);
        harness.complete_appends();
        assert_eq!(runs(&harness.drain_starts()), [], "it runs on the first worker");
    }
    assert!(harness.machine.runs.contains_key(&first.run));
}

/// The owner kept placing tasks on a worker whose commands had failed, since the worker answered
/// polls; each of these tasks was delayed in turn.
#[test]
fn unanswered_start_keeps_new_tasks_away() {
    let mut harness = OwnerHarness::new(2);
    let (resetting, first) = send_start(&mut harness, 1);
    harness.answer_start(&(resetting, first), Err(reset()));
    advance_resetting(&mut harness, resetting, 500);
    harness.call(2, Call::Submit(model::job(2, model::step(1, cores(1)))));
    let starts = advance_resetting(&mut harness, resetting, 200);
    assert_eq!(starts.len(), 1, "it starts on the other worker");
    assert_eq!(starts[0].1.run.task.step.job, id(2));
}

/// A worker is unreachable for 1.7 s while eight starts to it are pending. The worker is healthy
/// and the only one for a new task. When each start counted, the backoff lasted eight seconds.
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

/// The starts fail before they are sent because there is no connection. The worker answers polls
/// afterwards but gets no command whose response would clear its backoff, and stayed last in
/// preference forever.
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

/// Guards against a lack of descriptors in the owner's process that is held against its workers: they
/// were given no more tasks, and starts were given up after four attempts.
#[test]
fn call_without_a_descriptor_says_nothing_about_the_worker() {
    let mut harness = OwnerHarness::new(1);
    harness.call(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    let none = || WorkerError::NoDescriptor("0 left".to_owned());
    let mut starts = harness.drain_starts();
    for _ in 0..10 {
        assert_eq!(starts.len(), 1, "the same start is sent again");
        harness.answer_start(&starts[0], Err(none()));
        let (worker, sent) = ("w0".into(), Instant::from_millis(harness.now));
        harness.deliver(Message::Polled { worker, sent, outcome: Err(none()) });
        harness.advance(350);
        harness.complete_appends();
        starts = harness.drain_starts();
    }
    let now = Instant::from_millis(harness.now);
    let worker = harness.machine.workers.values().next().expect("a worker");
    assert!(worker.accepts_tasks(now) && worker.missed_polls == 0);
    harness.answer_start(&starts[0], Ok(WORKER_CLOCK_MS + harness.now));
    assert_eq!(harness.machine.runs.len(), 1);
}
