//! Tasks that crash their workers, and tasks that only run on the same worker as those.

use std::rc::Rc;

use oriolefork::cell::dependencies::{RosterUpdate, StartCommand, WorkerError};
use oriolefork::cell::job::{Phase, Run, Step};
use oriolefork::cell::machine::{Answer, Call, Message};
use oriolefork::clock::Instant;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores, id};

/// Time from the start of a task to the crash of its worker.
const CRASH_MS: u64 = 10;

/// Time from a crash to the first response of the worker's next incarnation.
const RESTART_MS: u64 = 2_500;

/// Time after its start within which a task that crashes its worker at the start has done so.
const STARTUP_MS: u64 = 600;

/// Breaks the connection to a worker that is down.
fn drop_connection(harness: &mut OwnerHarness, worker: usize) {
    fail_poll(harness, worker, WorkerError::Unknown("connection closed".to_owned()));
}

/// Replaces a worker by its next incarnation, which the list names with the number `next`.
fn restart_worker(harness: &mut OwnerHarness, worker: usize, next: usize) {
    fail_poll(harness, worker, WorkerError::OtherIncarnation);
    let listed = Rc::new(model::listed(next, cores(8)));
    let gone = vec![format!("w{worker}").into()];
    let present = vec![(format!("w{next}").into(), listed)];
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: gone,
        is_complete: false,
        ..RosterUpdate::default()
    }));
    harness.advance(1);
    harness.report(next, &[], &[]);
    flush(harness);
}

fn fail_poll(harness: &mut OwnerHarness, worker: usize, fault: WorkerError) {
    let worker = format!("w{worker}").into();
    let sent = Instant::from_millis(harness.now);
    harness.deliver(Message::Polled { worker, sent, outcome: Err(fault) });
    harness.advance(1);
}

fn flush(harness: &mut OwnerHarness) {
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
}

/// Returns the start commands that were sent, each accepted by its worker.
fn accept_starts(harness: &mut OwnerHarness) -> Vec<(usize, StartCommand)> {
    flush(harness);
    let starts = harness.drain_starts();
    starts.iter().for_each(|start| harness.answer_start(start, Ok(WORKER_CLOCK_MS + harness.now)));
    starts
}

fn runs(starts: &[(usize, StartCommand)]) -> Vec<Run> {
    starts.iter().map(|(_, start)| start.run).collect()
}

fn submit(harness: &mut OwnerHarness, number: u64, tasks: u32, cpus: u64) {
    harness.call(number, Call::Submit(model::job(number, model::step(tasks, cores(cpus)))));
}

/// Crashes the workers of `starts` at once and restarts them with numbers from `next`.
fn crash(harness: &mut OwnerHarness, starts: &[(usize, StartCommand)], next: usize) {
    harness.advance(CRASH_MS);
    let mut workers: Vec<usize> = starts.iter().map(|start| start.0).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.iter().for_each(|worker| drop_connection(harness, *worker));
    harness.advance(RESTART_MS);
    for (at, worker) in workers.into_iter().enumerate() {
        restart_worker(harness, worker, next + at);
    }
}

/// Guards against endless restarts of a task that crashes each worker that starts it.
#[test]
fn repeated_crashes_of_a_task_fail_its_job() {
    let mut harness = OwnerHarness::new(4);
    submit(&mut harness, 1, 1, 1);
    let mut attempts = 0;
    for next in 4..12 {
        let starts = accept_starts(&mut harness);
        attempts += starts.len();
        crash(&mut harness, &starts, next);
    }
    assert!((2..=3).contains(&attempts), "{attempts} attempts");
    assert_eq!(harness.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against endless restarts of a gang of which one member crashes its workers.
#[test]
fn repeated_crashes_of_a_gang_fail_its_job() {
    let mut harness = OwnerHarness::new(4);
    let mut step = model::step(3, cores(8));
    step.gang = true;
    harness.call(1, Call::Submit(model::job(1, step)));
    let mut attempts = 0;
    for next in 4..12 {
        let starts = accept_starts(&mut harness);
        let crashing: Vec<_> =
            starts.iter().filter(|(_, start)| start.run.task.index == 1).cloned().collect();
        attempts += crashing.len();
        crash(&mut harness, &crashing, next);
        for run in harness.drain_stops() {
            harness.deliver(Message::Stopped {
                worker: "w0".into(),
                run,
                outcome: Ok(WORKER_CLOCK_MS + harness.now),
            });
        }
        let workers: Vec<usize> = (0..=next).collect();
        harness.advance(2);
        workers.iter().for_each(|worker| harness.report(*worker, &[], &[]));
    }
    assert!((2..=3).contains(&attempts), "{attempts} attempts");
    assert_eq!(harness.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against failing a job because it ran on the same workers as tasks that crash them.
#[test]
fn crash_counts_nothing_against_a_task_past_startup() {
    let mut harness = OwnerHarness::new(1);
    submit(&mut harness, 1, 1, 1);
    for next in 1..4 {
        let past_startup = accept_starts(&mut harness);
        assert!(
            runs(&past_startup).iter().any(|run| run.task.step.job == id(1)),
            "it is attempted again"
        );
        harness.advance(STARTUP_MS);
        submit(&mut harness, 10 + next as u64, 1, 1);
        let starts = accept_starts(&mut harness);
        assert_eq!(starts.len(), 1);
        harness.call(20 + next as u64, Call::Cancel(id(10 + next as u64)));
        crash(&mut harness, &starts, next);
    }
    assert_ne!(harness.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against starting other tasks on the same worker as a task that may crash it at its start.
#[test]
fn crash_with_two_suspects_retries_each_alone() {
    let mut harness = OwnerHarness::new(1);
    submit(&mut harness, 1, 1, 1);
    submit(&mut harness, 2, 1, 1);
    let starts = accept_starts(&mut harness);
    assert_eq!(starts.len(), 2);
    crash(&mut harness, &starts, 1);
    let alone = accept_starts(&mut harness);
    assert_eq!(alone.len(), 1, "one suspect at a time on the only worker");
    submit(&mut harness, 3, 1, 1);
    assert_eq!(runs(&accept_starts(&mut harness)), [], "nothing else starts on that worker");
    harness.advance(STARTUP_MS);
    harness.report(1, &runs(&alone), &[]);
    assert_eq!(
        accept_starts(&mut harness).len(),
        1,
        "the next one, once the first is past its startup"
    );
}

/// Guards against counting the announced stop of a worker as a crash caused by its tasks.
#[test]
fn announced_stop_counts_against_no_task() {
    let mut harness = OwnerHarness::new(2);
    submit(&mut harness, 1, 1, 1);
    for next in 2..6 {
        let starts = accept_starts(&mut harness);
        assert_eq!(starts.len(), 1, "it is attempted again");
        let worker = starts[0].0;
        let mut listed = model::listed(worker, cores(8));
        listed.draining = true;
        let present = vec![(format!("w{worker}").into(), Rc::new(listed))];
        harness.deliver(Message::WorkersChanged(RosterUpdate {
            changed: present,
            removed: Vec::new(),
            is_complete: false,
            ..RosterUpdate::default()
        }));
        crash(&mut harness, &starts, next);
    }
    assert_ne!(harness.phase(1), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against restarting tasks one by one after many workers have crashed at once.
#[test]
fn crash_with_tasks_past_startup_restarts_them_together() {
    let mut harness = OwnerHarness::new(1);
    for number in 1..=4 {
        submit(&mut harness, number, 1, 1);
    }
    let past_startup = accept_starts(&mut harness);
    assert_eq!(past_startup.len(), 4);
    harness.advance(STARTUP_MS);
    harness.report(0, &runs(&past_startup), &[]);
    crash(&mut harness, &past_startup[..1], 1);
    assert_eq!(accept_starts(&mut harness).len(), 4);
}

/// Guards against delaying a wide gang until no task is starting on any of its workers, although a
/// worker has crashed under only one of its members.
#[test]
fn crash_isolates_only_the_suspect_gang_member() {
    let mut harness = OwnerHarness::new(2);
    let step = Step { gang: true, ..model::step(2, cores(5)) };
    harness.call(1, Call::Submit(model::job(1, step)));
    let starts = accept_starts(&mut harness);
    assert_eq!(starts.len(), 2);
    let (crashing, other) = (starts[0].0, starts[1].0);
    harness.advance(CRASH_MS);
    drop_connection(&mut harness, crashing);
    harness.advance(RESTART_MS);
    submit(&mut harness, 2, 1, 1);
    let beside = accept_starts(&mut harness);
    assert_eq!(beside.iter().map(|start| start.0).collect::<Vec<_>>(), [other]);
    restart_worker(&mut harness, crashing, 2);
    let outcome = Ok(WORKER_CLOCK_MS + harness.now);
    for run in harness.drain_stops() {
        harness.deliver(Message::Stopped {
            worker: format!("w{other}").into(),
            run,
            outcome: outcome.clone(),
        });
    }
    harness.advance(2);
    harness.report(other, &runs(&beside), &[]);
    assert_eq!(
        accept_starts(&mut harness).len(),
        2,
        "only the suspect member needs a worker of its own"
    );
}
