//! Looks at workers: they renew leases and tell what runs and what has ended.

use std::collections::BTreeSet;
use std::time::Duration;

use super::commit::Deferred;
use super::{Effect, Live, Machine, Stage};
use crate::cell::dependencies::{EndedRun, PollReport, PollRequest, RunStatus, WorkerError};
use crate::cell::job::{Run, RunOutcome};
use crate::cell::timings::{LEASE_GRANT_WINDOW, POLL_RETRY, POLL_TIMEOUT, POLL_WAIT};
use crate::cell::worker::Worker;
use crate::clock::Instant;

/// Most looks that one step sends.
///
/// Guards against a new owner that keeps its thread for most of a second with the first looks at
/// thousands of workers: the instances that follow it took it for dead, one after the other.
const LOOKS_A_STEP: usize = 512;

impl Machine {
    /// Sends the looks that are due.
    pub(super) fn look_around(&mut self) {
        self.note_changed_workers();
        let now = self.now;
        let (epoch, may_grant) = (self.epoch, self.may_grant());
        for id in self.looks.due(now, LOOKS_A_STEP) {
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            worker.poll_sent_at = Some(now);
            let look = look(worker, epoch, may_grant, now);
            let peer = worker.address();
            self.effects.push(Effect::Look { worker: id, peer, look });
        }
    }

    /// Brings what is kept of workers apart from them up to date with those that have changed.
    pub(super) fn note_changed_workers(&mut self) {
        for id in self.workers.take_changed() {
            let at = self.workers.get(&id).and_then(|worker| self.next_look(worker));
            self.looks.set(&id, at);
            self.fields.note_changed(id);
        }
    }

    /// When a worker is to be looked at; `None` for never, as things are.
    fn next_look(&self, worker: &Worker) -> Option<Instant> {
        // An entry of a service that no configuration names may be another program's. What an
        // earlier owner started there is looked after all the same.
        let is_ours = self.table.has_service(&worker.info.service);
        if worker.runs.is_empty() && !worker.fenced && !is_ours {
            return None;
        }
        // An answer that never comes: the adapter's own timeout has been overslept, or the message of
        // its end got lost with the task.
        let overdue = worker.poll_sent_at.map(|sent| sent.after(POLL_WAIT + POLL_TIMEOUT * 2));
        Some(worker.next_poll.max(overdue.unwrap_or_default()))
    }

    /// Whether this owner may still extend leases.
    ///
    /// Guards against two owners at once: one that is cut from the store may have been replaced
    /// without knowing. Its successor waits for this span and a lease before it starts elsewhere
    /// what ran on workers that it cannot reach.
    pub(super) fn may_grant(&self) -> bool {
        self.now.since(self.commit.written()) < LEASE_GRANT_WINDOW
    }

    pub(super) fn looked(
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
                    self.dirty = true;
                }
                worker.missed_polls = 0;
                worker.unresponsive_since = None;
                worker.fenced = true;
                worker.lease.observe_clock(report.clock_ms, now);
                worker.next_poll = now;
                self.take_report(id, sent, report);
            }
            Err(fault) => self.missed_look(id, sent, &fault),
        }
    }

    fn missed_look(&mut self, id: &str, sent: Instant, fault: &WorkerError) {
        let now = self.now;
        match fault {
            WorkerError::Fenced => self.step_down(id),
            WorkerError::OtherIncarnation => self.bury(id, "another_life"),
            _ => {
                let Some(worker) = self.workers.get_mut(id) else { return };
                worker
                    .unresponsive_since
                    .get_or_insert_with(|| silent_since(worker.fenced, sent, now));
                worker.missed_polls += 1;
                worker.next_poll = now.after(POLL_RETRY);
                if worker.missed_polls == 1 {
                    log::warn!("event=worker.silent worker={id} cause={:?}", fault.to_string());
                }
            }
        }
    }

    pub(super) fn step_down(&mut self, worker: &str) {
        let why = format!("step=worker.call worker={worker} cause=fenced");
        self.effects.push(Effect::StepDown { why });
    }

    fn take_report(&mut self, id: &str, sent: Instant, report: PollReport) {
        self.take_ends(id, report.ended);
        let running: BTreeSet<Run> = report.running.iter().map(|running| running.run).collect();
        for running in report.running {
            self.take_running(id, &running);
        }
        // Guards against a page of ends that is full: a try whose end is on the next one would be taken
        // for lost and run again, though it may have ended as done.
        if !report.partial {
            self.settle_absent(id, sent, report.clock_ms, &running);
        }
    }

    /// Records what ended, and lets the worker forget it once that is stored.
    fn take_ends(&mut self, id: &str, ended: Vec<EndedRun>) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let (told, recorded) = (worker.last_reported_end, worker.last_recorded_end);
        let Some(last) = ended.iter().map(|end| end.number).max() else { return };
        worker.last_reported_end = told.max(last);
        // The same ends come again at once until the worker may forget them, so that the next look
        // waits for the journal.
        worker.next_poll = self.now.after(POLL_RETRY);
        for end in ended {
            if end.number > told && self.is_on(&end.run, id) {
                self.end_run(end.run, end.outcome, end.checkpoint);
            }
        }
        if last > recorded {
            self.defer(Deferred::Forget(id.into(), last));
        }
    }

    fn is_on(&self, run: &Run, worker: &str) -> bool {
        self.runs.get(run).is_some_and(|live| &*live.worker == worker)
    }

    fn take_running(&mut self, id: &str, running: &RunStatus) {
        let run = running.run;
        if !self.is_on(&run, id) {
            self.stop_stray(id, run);
            return;
        }
        let now = self.now;
        let Some(live) = self.runs.get_mut(&run) else { return };
        live.begun = true;
        if matches!(live.stage, Stage::Starting { .. } | Stage::Inherited) {
            live.stage = Stage::Running(now);
            live.progress.1 = now;
        }
        if running.percent != live.progress.0 {
            live.progress = (running.percent, now);
        }
        let unwanted = live.unwanted && matches!(live.stage, Stage::Running(_));
        self.state.mark_started(run.task.step.job);
        self.state.set_checkpoint(&run.task, &running.checkpoint);
        if unwanted {
            self.stop_run(run);
        }
    }

    /// Stops a try that the journal does not place there.
    ///
    /// It shows up when a worker was out of reach for longer than its lease and an order to start,
    /// held up on the way, arrives afterwards.
    fn stop_stray(&mut self, id: &str, run: Run) {
        log::warn!("event=task.stray task={run} worker={id}");
        let Some(worker) = self.workers.get(id) else { return };
        let peer = worker.address();
        self.effects.push(Effect::Stop { worker: id.into(), peer, run });
    }

    /// Draws conclusions about tries that a worker neither runs nor lists as ended in a report that it
    /// made at `clock_ms` on its clock.
    fn settle_absent(&mut self, id: &str, sent: Instant, clock_ms: u64, running: &BTreeSet<Run>) {
        let Some(worker) = self.workers.get(id) else { return };
        let absent: Vec<Run> = worker.runs.difference(running).copied().collect();
        for run in absent {
            let Some(live) = self.runs.get(&run) else { continue };
            let end = match live.stage {
                Stage::Recording | Stage::Starting { .. } => continue,
                // Orders of earlier owners are refused from here on, so that it never begins.
                Stage::Inherited => RunOutcome::NeverStarted,
                // Strictly: instants have milliseconds, and within one of them a worker nearby answers
                // a look and then takes the order, so that the report is older than the answer.
                Stage::Running(seen) if seen < sent => RunOutcome::WorkerLost,
                Stage::Stopping { taken: Some(taken), .. } if taken < sent => {
                    RunOutcome::NeverStarted
                }
                Stage::Stopping { .. } if is_refused(live, clock_ms) => RunOutcome::NeverStarted,
                Stage::Running(_) | Stage::Stopping { .. } => continue,
            };
            self.end_run(run, end, String::new());
        }
    }
}

/// Whether a try that its worker does not list at `clock_ms` can never begin there.
///
/// Guards against a worker that answers looks and takes no orders: a task whose start had an unknown
/// outcome waited without bound for its stop, beside free workers. No stop is needed once the lease of
/// the last order is over: an order that arrives from then on is refused as too late, and one that
/// arrived before shows in the report. A try that has run is left to its listed end.
const fn is_refused(live: &Live, clock_ms: u64) -> bool {
    !live.begun && clock_ms > live.ordered_until_ms
}

/// When a worker stopped answering, by its first look without an answer: where the connection broke, as
/// it broke, and where nothing came back, when the look was sent.
fn silent_since(fenced: bool, sent: Instant, now: Instant) -> Instant {
    let timeout = if fenced { POLL_WAIT + POLL_TIMEOUT } else { POLL_TIMEOUT };
    if now.since(sent) < timeout { now } else { sent }
}

fn look(
    worker: &mut Worker,
    epoch: crate::cell::Epoch,
    may_grant: bool,
    now: Instant,
) -> PollRequest {
    // A look that gets no answer may still extend the lease when it arrives; while a worker does
    // not answer, nothing is granted, so that the end of its lease stays known.
    let grants = may_grant && worker.missed_polls == 0 && worker.fenced;
    let until_ms = if grants { worker.lease.grant(now) } else { None };
    let wait = if worker.fenced && worker.missed_polls == 0 { POLL_WAIT } else { Duration::ZERO };
    PollRequest {
        epoch,
        acked_end: worker.last_recorded_end,
        lease_until_ms: until_ms,
        max_wait: wait,
    }
}
