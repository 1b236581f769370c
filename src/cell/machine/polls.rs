//! Polls of workers, which renew leases and report running and ended attempts.

use std::collections::BTreeSet;
use std::time::Duration;

use super::journal_queue::Deferred;
use super::{ActiveRun, Effect, Machine, Stage};
use crate::cell::dependencies::{EndedRun, PollReport, PollRequest, RunStatus, WorkerError};
use crate::cell::job::{Run, RunOutcome};
use crate::cell::timings::{LEASE_GRANT_WINDOW, POLL_RETRY, POLL_TIMEOUT, POLL_WAIT};
use crate::cell::worker::Worker;
use crate::clock::Instant;
use crate::telemetry::names;

/// Most polls that one step sends.
///
/// Guards against a new owner that blocks its thread for most of a second with the first polls of
/// thousands of workers: the instances that follow it considered it failed, one after the
/// other.
const MAX_POLLS_PER_STEP: usize = 512;

impl Machine {
    /// Sends the polls that are due.
    pub(super) fn send_polls(&mut self) {
        self.refresh_changed_workers();
        let now = self.now;
        let (epoch, may_extend_leases) = (self.epoch, self.may_extend_leases());
        for id in self.polls.due(now, MAX_POLLS_PER_STEP) {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let poll = poll(worker, epoch, may_extend_leases, now);
            let timeout = poll.max_wait + worker.responsiveness.poll_timeout(now);
            worker.poll_sent_at = Some(now);
            worker.poll_timeout = timeout;
            worker.poll_acked_end = poll.acked_end;
            let peer = worker.address();
            self.effects.push(Effect::Poll { worker: id, peer, poll, timeout });
        }
    }

    /// Updates the poll times and cached views of workers that have changed.
    pub(super) fn refresh_changed_workers(&mut self) {
        for id in self.workers.take_changed() {
            let at = self.workers.get(&id).and_then(|worker| self.next_poll_time(worker));
            self.polls.set(&id, at);
            self.views.note_changed(id);
        }
    }

    /// Returns when a worker is to be polled; `None` if it need not be polled at present.
    fn next_poll_time(&self, worker: &Worker) -> Option<Instant> {
        // A listed service that is not configured may belong to another program. Workers on which
        // an earlier owner started tasks are polled nevertheless.
        let is_configured = self.config.has_service(&worker.info.service);
        if worker.runs.is_empty() && !worker.fenced && !is_configured {
            return None;
        }
        if worker.retiring && worker.poll_sent_at.is_none() {
            return None;
        }
        // Covers an answer that never arrives because the adapter missed its own timeout or the
        // message about the end of the poll was lost.
        let overdue = worker.poll_sent_at.map(|sent| sent.after(POLL_WAIT + POLL_TIMEOUT * 2));
        Some(worker.next_poll.max(overdue.unwrap_or_default()))
    }

    /// Whether this owner may still extend leases.
    ///
    /// Guards against two owners at a time: one that cannot reach the store may have been replaced
    /// unnoticed. Its successor waits for this duration plus a lease before it restarts tasks of
    /// workers that it cannot reach.
    pub(super) fn may_extend_leases(&self) -> bool {
        self.now.since(self.journal.last_write_sent()) < LEASE_GRANT_WINDOW
    }

    pub(super) fn poll_answered(
        &mut self,
        id: &str,
        sent: Instant,
        outcome: Result<PollReport, WorkerError>,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.poll_sent_at = None;
        match outcome {
            Ok(report) => {
                if worker.missed_polls > 0 || !worker.fenced {
                    log::info!("event=worker.reached worker={id} missed={}", worker.missed_polls);
                    self.needs_placement = true;
                }
                worker.missed_polls = 0;
                worker.refused_polls = 0;
                worker.unresponsive_since = None;
                worker.responsiveness.record_answer();
                worker.fenced = true;
                worker.forgotten_end = worker.forgotten_end.max(worker.poll_acked_end);
                worker.lease.observe_clock(report.clock_ms, now);
                worker.next_poll = now;
                self.apply_report(id, sent, report);
            }
            Err(fault) => self.note_missed_poll(id, sent, &fault),
        }
    }

    fn note_missed_poll(&mut self, id: &str, sent: Instant, fault: &WorkerError) {
        let now = self.now;
        match fault {
            WorkerError::Fenced => self.step_down(id),
            WorkerError::OtherIncarnation => self.remove_dead_worker(id, "another_life"),
            WorkerError::NoDescriptor(_) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.next_poll = now.after(POLL_RETRY);
                }
            }
            _ => {
                let Some(worker) = self.workers.get_mut(id) else { return };
                let silent_since = silent_since(worker.poll_timeout, sent, now);
                worker.unresponsive_since.get_or_insert(silent_since);
                worker.next_poll = now.after(worker.record_missed_poll(fault, now));
                if worker.missed_polls == 1 {
                    log::warn!("event=worker.silent worker={id} cause={:?}", fault.to_string());
                }
            }
        }
    }

    pub(super) fn step_down(&mut self, worker: &str) {
        let reason = format!("step=worker.call worker={worker} cause=fenced");
        self.effects.push(Effect::StepDown { reason });
    }

    fn apply_report(&mut self, id: &str, sent: Instant, report: PollReport) {
        self.record_ends(id, report.ended);
        let running: BTreeSet<Run> = report.running.iter().map(|running| running.run).collect();
        for running in report.running {
            self.note_running(id, &running);
        }
        // If a page of ends is full, an attempt whose end is on the next page would be considered
        // lost and run again, although it may have succeeded.
        if !report.partial {
            self.end_unreported_runs(id, sent, report.clock_ms, &running);
        }
    }

    /// Records the ends of attempts, and allows the worker to forget them once they are stored.
    fn record_ends(&mut self, id: &str, ended: Vec<EndedRun>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (reported, recorded) = (worker.last_reported_end, worker.last_recorded_end);
        let Some(last) = ended.iter().map(|end| end.number).max() else { return };
        worker.last_reported_end = reported.max(last);
        // The worker reports the same ends until it may forget them, so the next poll waits for the
        // journal.
        worker.next_poll = self.now.after(POLL_RETRY);
        for end in ended {
            if end.number <= reported {
                continue;
            }
            if self.is_on(&end.run, id) {
                self.end_run(end.run, end.outcome, end.checkpoint);
            } else if !self.adopt_success(id, &end) {
                self.note_unused_end(id, &end);
            }
        }
        if last > recorded {
            self.defer(Deferred::AllowForget(id.into(), last));
        }
    }

    /// Notes a reported end of an attempt that has ended for this owner already. An earlier owner
    /// has recorded the end, or the attempt was given up as lost before its worker reported it.
    fn note_unused_end(&self, id: &str, end: &EndedRun) {
        names::CELL_UNUSED_ENDS.increment(&[("end", end.outcome.name())]);
        let is_open = self.state.open.contains(&end.run.task.step.job);
        if is_open && matches!(end.outcome, RunOutcome::Succeeded | RunOutcome::Failed) {
            log::info!(
                "event=task.end_unused task={} worker={id} number={} end={}",
                end.run,
                end.number,
                end.outcome
            );
        }
    }

    fn is_on(&self, run: &Run, worker: &str) -> bool {
        self.runs.get(run).is_some_and(|active| &*active.worker == worker)
    }

    fn note_running(&mut self, id: &str, running: &RunStatus) {
        let run = running.run;
        self.note_seen(run.task);
        if !self.is_on(&run, id) && !self.adopt_run(id, run) {
            self.stop_unknown_run(id, run);
            return;
        }
        let now = self.now;
        let Some(active) = self.runs.get_mut(&run) else { return };
        active.start_confirmed = true;
        if matches!(active.stage, Stage::Starting { .. } | Stage::Recovered) {
            active.stage = Stage::Running(now);
            active.progress.1 = now;
        }
        if running.percent != active.progress.0 {
            active.progress = (running.percent, now);
        }
        let stop_requested = active.stop_requested && matches!(active.stage, Stage::Running(_));
        self.state.mark_started(run.task.step.job);
        self.state.set_checkpoint(&run.task, &running.checkpoint);
        if stop_requested {
            self.stop_run(run);
        }
    }

    /// Stops an attempt that the journal does not place on this worker.
    ///
    /// This happens when a worker is unreachable for longer than its lease and a delayed start
    /// command arrives afterwards.
    fn stop_unknown_run(&mut self, id: &str, run: Run) {
        log::warn!("event=task.stray task={run} worker={id}");
        let Some(worker) = self.workers.get(id) else { return };
        let peer = worker.address();
        let timeout = worker.responsiveness.command_timeout(self.now);
        self.effects.push(Effect::Stop { worker: id.into(), peer, run, timeout });
    }

    /// Ends attempts that a worker neither runs nor lists as ended in a report that it made at
    /// `clock_ms` on its clock.
    fn end_unreported_runs(
        &mut self,
        id: &str,
        sent: Instant,
        clock_ms: u64,
        running: &BTreeSet<Run>,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let absent: Vec<Run> = worker.runs.difference(running).copied().collect();
        for run in absent {
            let Some(active) = self.runs.get(&run) else { continue };
            let end = match active.stage {
                Stage::Recording | Stage::Starting { .. } => continue,
                // The worker now refuses commands of earlier owners, so that the attempt can never
                // start.
                Stage::Recovered => RunOutcome::NeverStarted,
                // The comparison is strict because instants have millisecond resolution: a nearby
                // worker can answer a poll and then accept the command within one millisecond, so
                // that the report is older than the answer to the command.
                Stage::Running(seen) if seen < sent => RunOutcome::WorkerLost,
                Stage::Stopping { acknowledged: Some(acknowledged), .. } if acknowledged < sent => {
                    RunOutcome::NeverStarted
                }
                Stage::Stopping { .. } if cannot_start_any_more(active, clock_ms) => {
                    RunOutcome::NeverStarted
                }
                Stage::Running(_) | Stage::Stopping { .. } => continue,
            };
            self.end_run(run, end, String::new());
        }
    }
}

/// Whether an attempt that its worker does not list at `clock_ms` can never start there.
///
/// Guards against a worker that answers polls but no commands: a task whose start had an unknown
/// outcome waited indefinitely for its stop although other workers were free. No stop is needed
/// once the lease named in the last start command has expired: a command that arrives later is
/// refused as too late, and one that arrived earlier shows in the report. An attempt that has run
/// ends only by its reported end.
const fn cannot_start_any_more(active: &ActiveRun, clock_ms: u64) -> bool {
    !active.start_confirmed && clock_ms > active.start_lease_end_ms
}

/// Returns when a worker stopped answering, judged by its first unanswered poll: when the
/// connection broke, or when the poll was sent if no answer came back.
fn silent_since(timeout: Duration, sent: Instant, now: Instant) -> Instant {
    if now.since(sent) < timeout { now } else { sent }
}

fn poll(
    worker: &mut Worker,
    epoch: crate::cell::Epoch,
    may_extend_leases: bool,
    now: Instant,
) -> PollRequest {
    // An unanswered poll may still extend the lease when it arrives. While a worker does not
    // answer, nothing is granted, so that the end of its lease stays known.
    let grants = may_extend_leases && worker.missed_polls == 0 && worker.fenced;
    let until_ms = if grants { worker.lease.grant(now) } else { None };
    let is_held = worker.fenced && worker.missed_polls == 0;
    let wait = if is_held { worker.responsiveness.poll_wait(now) } else { Duration::ZERO };
    PollRequest {
        epoch,
        acked_end: worker.last_recorded_end,
        lease_until_ms: until_ms,
        max_wait: wait,
    }
}
