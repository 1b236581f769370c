//! What a poll report implies for runs that it does not list, and when workers are polled.

use std::rc::Rc;

use oriolefork::cell::dependencies::{PollReport, RosterUpdate, WorkerInfo};
use oriolefork::cell::machine::{Effect, Message};
use oriolefork::cell::queue::{QueueConfig, Service};
use oriolefork::clock::Instant;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores};

/// Reports that `worker` has no runs, in response to a poll that was sent at `sent`.
fn report_no_runs(harness: &mut OwnerHarness, worker: usize, sent: u64) {
    report(harness, worker, sent, false);
}

fn report(harness: &mut OwnerHarness, worker: usize, sent: u64, partial: bool) {
    let report =
        PollReport { clock_ms: WORKER_CLOCK_MS + harness.now, partial, ..PollReport::default() };
    let (worker, sent) = (format!("w{worker}").into(), Instant::from_millis(sent));
    harness.deliver(Message::Polled { worker, sent, outcome: Ok(report) });
    harness.advance(20);
    harness.complete_appends();
    harness.advance(20);
    harness.complete_appends();
}

/// A task ran twice at once, started by one owner twice within 17 ms. A poll and a start command
/// left within the same millisecond. The worker, in the owner's own failure domain and 0.1 ms away,
/// answered the poll, then started the task, and both responses arrived before the millisecond was
/// over. The owner treated the report, which did not list the run, as newer than the start, counted
/// the run as lost and started the task again. The log showed `end=lost took_ms=3`, then
/// `task.stray` for the same run.
#[test]
fn report_concurrent_with_a_start_proves_no_loss() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job(1, model::step(1, cores(1)));
    let since = harness.now - 1;
    report_no_runs(&mut harness, starts[0].0, since);
    assert!(harness.drain_starts().is_empty(), "the task still runs");
    assert!(harness.machine.runs.contains_key(&starts[0].1.run));
}

/// The same for a stop command: the report may be older than the stop, after which the worker
/// refuses the start that is still in transit.
#[test]
fn report_concurrent_with_a_stop_proves_no_end() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job(1, model::step(1, cores(1)));
    harness.call(2, oriolefork::cell::machine::Call::Cancel(model::id(1)));
    harness.complete_appends();
    harness.advance(10);
    let (worker, run) = (starts[0].0, starts[0].1.run);
    assert_eq!(harness.drain_stops(), [run]);
    let taken = harness.now;
    let outcome = Ok(WORKER_CLOCK_MS + taken);
    harness.deliver(Message::Stopped { worker: format!("w{worker}").into(), run, outcome });
    report_no_runs(&mut harness, worker, taken);
    assert!(harness.machine.runs.contains_key(&run), "its end has not been listed");
}

/// A report of a poll sent after the start was confirmed does prove the loss.
#[test]
fn report_after_a_start_proves_the_loss() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job(1, model::step(1, cores(1)));
    harness.advance(100);
    let sent = harness.now;
    report_no_runs(&mut harness, starts[0].0, sent);
    assert_eq!(harness.drain_starts().len(), 1, "the task is started again");
}

/// A worker has more ended runs than fit into one report. A run that succeeded was on the next
/// page; it was counted as lost and the task ran a second time.
#[test]
fn partial_report_proves_no_loss() {
    let mut harness = OwnerHarness::new(2);
    let starts = harness.start_job(1, model::step(1, cores(1)));
    harness.advance(100);
    let sent = harness.now;
    report(&mut harness, starts[0].0, sent, true);
    assert!(harness.drain_starts().is_empty(), "its end may be on the next page");
}

/// Only workers that are due are examined. Nothing else makes a worker due whose service is
/// configured after it was listed; it would get no tasks as long as the owner lives.
#[test]
fn worker_is_polled_once_its_service_is_configured() {
    let mut harness = OwnerHarness::new(1);
    let listed = WorkerInfo { service: "archive".to_owned(), ..model::listed(7, cores(8)) };
    let present = vec![("w7".into(), Rc::new(listed))];
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: present,
        removed: Vec::new(),
        is_complete: false,
        ..RosterUpdate::default()
    }));
    harness.advance(100);
    let is_polled = |harness: &OwnerHarness| {
        let is_seven =
            |effect: &&Effect| matches!(effect, Effect::Poll { worker, .. } if **worker == *"w7");
        harness.effects.iter().any(|effect| is_seven(&effect))
    };
    assert!(!is_polled(&harness), "no configuration names its service");
    let mut config: QueueConfig = (*model::queue_config()).clone();
    config.version += 1;
    config.services.push(Service { name: "archive".to_owned(), enforces_capacity: false });
    harness.deliver(Message::ConfigChanged(Rc::new(config)));
    harness.advance(100);
    assert!(is_polled(&harness));
}

/// The same for a poll whose result never arrives.
#[test]
fn worker_is_polled_again_after_a_poll_without_result() {
    let mut harness = OwnerHarness::new(1);
    harness.report(0, &[], &[]);
    harness.advance(20);
    let polls = |harness: &OwnerHarness| {
        harness.effects.iter().filter(|effect| matches!(effect, Effect::Poll { .. })).count()
    };
    let before = polls(&harness);
    harness.advance(2_000);
    assert_eq!(polls(&harness), before, "the last poll is still pending");
    harness.advance(2_000);
    assert_eq!(polls(&harness), before + 1);
}
