//! Start and stop commands to workers, and the answers to them.

use std::time::Duration;

use super::{Effect, Machine, Stage};
use crate::cell::dependencies::{StartCommand, WorkerError};
use crate::cell::job::{Run, RunOutcome};
use crate::cell::timings::{COMMAND_RETRY, MAX_START_ATTEMPTS, POLL_RETRY};
use crate::cell::worker::Worker;

impl Machine {
    /// Sends the commands that are due.
    pub(super) fn send_commands(&mut self) {
        self.schedule_changed_runs();
        for run in self.commands.due(self.now, usize::MAX) {
            let Some(stage) = self.runs.get(&run).map(|active| active.stage) else { continue };
            match stage {
                Stage::Starting { in_flight: false } if self.is_capacity_known(run) => {
                    self.send_start(run)
                }
                Stage::Stopping { in_flight: false, acknowledged: None } => self.send_stop(run),
                _ => {}
            }
        }
    }

    fn schedule_changed_runs(&mut self) {
        for run in self.runs.take_changed() {
            let active = self.runs.get(&run).filter(|active| active.stage.needs_command());
            self.commands.set(&run, active.map(|active| active.next_command));
        }
    }

    /// Whether the capacity of the attempt's worker is known; until then, its command waits.
    fn is_capacity_known(&self, run: Run) -> bool {
        let active = self.runs.get(&run);
        let worker = active.and_then(|active| self.workers.get(&active.worker));
        let known_for = self.timings.capacity_max_age;
        worker.is_none_or(|worker| worker.is_capacity_current(known_for, self.now))
    }

    fn send_start(&mut self, run: Run) {
        let Some(start) = self.start_command(run) else {
            // The ticket has expired, the worker is gone or overcommitted, or the customer's cap has
            // been lowered; no command was sent.
            return self.abandon_start(run);
        };
        let Some(active) = self.runs.get_mut(&run) else { return };
        active.stage = Stage::Starting { in_flight: true };
        active.starts_sent += 1;
        active.start_lease_end_ms = active.start_lease_end_ms.max(start.lease_until_ms);
        let worker = active.worker.clone();
        let Some(target) = self.workers.get(&worker) else { return };
        let (peer, timeout) = (target.address(), target.responsiveness.command_timeout(self.now));
        self.effects.push(Effect::Start { worker, peer, start, timeout });
    }

    fn start_command(&mut self, run: Run) -> Option<StartCommand> {
        let (epoch, now, may_extend_leases) = (self.epoch, self.now, self.may_extend_leases());
        let is_above_cap = self.is_above_cap(&run);
        let active = self.runs.get(&run)?;
        let worker = self.workers.get_mut(&active.worker)?;
        if worker.is_overcommitted() || is_above_cap {
            return None;
        }
        let key = run.task.step;
        let entry = self.state.jobs.get(&key.job)?;
        let spec = entry.job.steps.get(key.step as usize)?;
        let queue = self.config.queue(&entry.job.queue)?;
        let ticket = match queue.policy {
            Some(_) => Some(self.tickets.get(&key)?.valid_ticket(&worker.id, now)?.to_owned()),
            None => None,
        };
        let step = self.state.step(&key)?;
        let saved = if spec.gang {
            step.checkpoint.clone()
        } else {
            step.tasks.get(run.task.index)?.checkpoint.clone()
        };
        let until_ms = if may_extend_leases { worker.lease.grant(now)? } else { return None };
        Some(StartCommand {
            epoch,
            run,
            job: entry.job.clone(),
            lease_until_ms: until_ms,
            checkpoint: saved,
            ticket,
        })
    }

    /// Ends an attempt that cannot have started, or stops it if a start command may still arrive.
    fn abandon_start(&mut self, run: Run) {
        let Some(active) = self.runs.get(&run) else { return };
        if active.may_have_arrived {
            self.stop_run(run);
        } else {
            self.end_run(run, RunOutcome::NeverStarted, String::new());
        }
    }

    fn send_stop(&mut self, run: Run) {
        let Some(active) = self.runs.get_mut(&run) else { return };
        let Some(worker) = self.workers.get(&active.worker) else { return };
        active.stage = Stage::Stopping { in_flight: true, acknowledged: None };
        let (peer, timeout) = (worker.address(), worker.responsiveness.command_timeout(self.now));
        self.effects.push(Effect::Stop { worker: active.worker.clone(), peer, run, timeout });
    }

    pub(super) fn start_answered(
        &mut self,
        worker: &str,
        run: Run,
        outcome: Result<u64, WorkerError>,
    ) {
        let now = self.now;
        self.note_response(worker, &outcome);
        let Some(active) = self.runs.get_mut(&run) else { return };
        if active.stage != (Stage::Starting { in_flight: true }) {
            return self.late_start_answer(run, &outcome);
        }
        active.stage = Stage::Starting { in_flight: false };
        match outcome {
            Ok(_) => {
                active.stage = Stage::Running(now);
                active.start_confirmed = true;
                active.since = now;
                active.progress = (0, now);
                let stop_requested = active.stop_requested;
                self.state.mark_started(run.task.step.job);
                if stop_requested {
                    self.stop_run(run);
                }
            }
            Err(fault) => self.start_failed(worker, run, &fault),
        }
    }

    /// Handles the answer to a start command that arrives after a stop or a poll has changed the
    /// attempt's stage.
    fn late_start_answer(&mut self, run: Run, outcome: &Result<u64, WorkerError>) {
        let may_have_arrived = outcome.as_ref().is_err_and(WorkerError::may_have_arrived);
        if let Some(active) = self.runs.get_mut(&run) {
            active.may_have_arrived |= may_have_arrived;
        }
    }

    fn start_failed(&mut self, worker: &str, run: Run, fault: &WorkerError) {
        let now = self.now;
        log::info!(
            "event=task.start_failed task={run} worker={worker} cause={:?}",
            fault.to_string()
        );
        let Some(active) = self.runs.get_mut(&run) else { return };
        match fault {
            WorkerError::Fenced => self.step_down(worker),
            WorkerError::OtherIncarnation => self.remove_dead_worker(worker, "another_life"),
            // The attempt has already ended on the worker; the next poll either lists that end or
            // nothing.
            WorkerError::RunEnded => active.stage = Stage::Running(now),
            WorkerError::LeaseExpired => active.next_command = now.after(COMMAND_RETRY),
            WorkerError::NoDescriptor(_) => {
                active.starts_sent = active.starts_sent.saturating_sub(1);
                active.next_command = now.after(POLL_RETRY);
            }
            // Other workers can be reached, so that the task does not wait for this one.
            WorkerError::ConnectionRefused { sent: false, .. } => {
                self.note_unresponsive(worker);
                self.abandon_start(run);
            }
            WorkerError::NotSent(_)
            | WorkerError::Unknown(_)
            | WorkerError::ConnectionRefused { sent: true, .. } => {
                active.may_have_arrived |= fault.may_have_arrived();
                active.next_command = now.after(COMMAND_RETRY);
                // Workers carry out a repeated command once, so that a repetition shows whether the
                // first command arrived.
                if active.starts_sent >= MAX_START_ATTEMPTS {
                    self.note_unresponsive(worker);
                    self.abandon_start(run);
                }
            }
            WorkerError::InvalidTicket => {
                if let Some(tickets) = self.tickets.get_mut(&run.task.step) {
                    tickets.expire(worker);
                }
                self.abandon_start(run);
            }
            WorkerError::NoCapacity | WorkerError::Unhealthy | WorkerError::Refused(_) => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.pause_after_refusal(now);
                }
                self.abandon_start(run);
            }
        }
    }

    /// Stops an attempt as soon as its worker can be reached.
    pub(super) fn stop_run(&mut self, run: Run) {
        let now = self.now;
        let Some(active) = self.runs.get_mut(&run) else { return };
        active.stop_requested = true;
        match active.stage {
            Stage::Recording | Stage::Stopping { .. } => {}
            Stage::Starting { in_flight: false } if !active.may_have_arrived => {
                self.end_run(run, RunOutcome::NeverStarted, String::new());
            }
            Stage::Starting { .. } | Stage::Running(_) | Stage::Recovered => {
                active.stage = Stage::Stopping { in_flight: false, acknowledged: None };
                active.next_command = now;
            }
        }
    }

    pub(super) fn stop_answered(
        &mut self,
        worker: &str,
        run: Run,
        outcome: Result<u64, WorkerError>,
    ) {
        let now = self.now;
        self.note_response(worker, &outcome);
        match outcome {
            Err(WorkerError::Fenced) => return self.step_down(worker),
            Err(WorkerError::OtherIncarnation) => {
                return self.remove_dead_worker(worker, "another_life");
            }
            _ => {}
        }
        let Some(active) = self.runs.get_mut(&run) else { return };
        if !matches!(active.stage, Stage::Stopping { .. }) {
            return;
        }
        let is_local = matches!(outcome, Err(WorkerError::NoDescriptor(_)));
        let acknowledged = match outcome {
            Ok(_) | Err(WorkerError::RunEnded) => Some(now),
            Err(fault) => {
                log::info!(
                    "event=task.stop_failed task={run} worker={worker} cause={:?}",
                    fault.to_string()
                );
                let worker = self.workers.get(worker);
                let refused = worker.filter(|worker| worker.refused_polls > 0);
                let retry = refused.map_or(COMMAND_RETRY * 4, Worker::refused_retry);
                active.next_command = now.after(retry);
                None
            }
        };
        active.stage = Stage::Stopping { in_flight: false, acknowledged };
        let Some(worker) = self.workers.get_mut(worker) else { return };
        if acknowledged.is_some() {
            // A report proves the end only if its poll is sent in a later millisecond.
            worker.next_poll = worker.next_poll.min(now.after(Duration::from_millis(1)));
        } else if !is_local {
            worker.command_backoff.record_unanswered_stop(now);
        }
    }

    /// Notes whether the worker responds to commands, and its clock if the answer tells it.
    fn note_response(&mut self, id: &str, outcome: &Result<u64, WorkerError>) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Err(WorkerError::NoDescriptor(_) | WorkerError::ConnectionRefused { .. }) = outcome {
            return;
        }
        if let Err(WorkerError::NotSent(_) | WorkerError::Unknown(_)) = outcome {
            return worker.record_unanswered_call(now);
        }
        if let Ok(clock_ms) = outcome {
            worker.lease.observe_clock(*clock_ms, now);
        }
        worker.responsiveness.record_answer();
        worker.command_backoff.reset();
    }

    /// Backs off from a worker that left all start commands of an attempt unanswered.
    fn note_unresponsive(&mut self, id: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.command_backoff.record_unanswered_start(now) {
            let times = worker.command_backoff.consecutive();
            log::warn!(
                "event=worker.unanswering worker={id} times={times} missed={}",
                worker.missed_polls
            );
        }
    }
}

impl Stage {
    /// Whether a command is to be sent.
    const fn needs_command(self) -> bool {
        matches!(
            self,
            Self::Starting { in_flight: false }
                | Self::Stopping { in_flight: false, acknowledged: None }
        )
    }
}
