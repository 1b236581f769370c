//! Orders to start and stop tries, and their answers.

use std::time::Duration;

use super::{Effect, Machine, Stage};
use crate::cell::dependencies::{StartCommand, WorkerError};
use crate::cell::job::{Run, RunOutcome};
use crate::cell::timings::{COMMAND_RETRY, MAX_START_ATTEMPTS};

impl Machine {
    /// Sends the orders that are due.
    pub(super) fn send_orders(&mut self) {
        self.note_changed_runs();
        for run in self.orders.due(self.now, usize::MAX) {
            let Some(stage) = self.runs.get(&run).map(|live| live.stage) else { continue };
            match stage {
                Stage::Starting { out: false } if self.is_room_known(run) => self.send_start(run),
                Stage::Stopping { out: false, taken: None } => self.send_stop(run),
                _ => {}
            }
        }
    }

    fn note_changed_runs(&mut self) {
        for run in self.runs.take_changed() {
            let live = self.runs.get(&run).filter(|live| live.stage.is_ordering());
            self.orders.set(&run, live.map(|live| live.next_try));
        }
    }

    /// Whether the room of a try's worker is known; until then its order waits.
    fn is_room_known(&self, run: Run) -> bool {
        let live = self.runs.get(&run);
        let worker = live.and_then(|live| self.workers.get(&live.worker));
        let known_for = self.timings.capacity_max_age;
        worker.is_none_or(|worker| worker.is_capacity_current(known_for, self.now))
    }

    fn send_start(&mut self, run: Run) {
        let Some(start) = self.start_order(run) else {
            // Its ticket has expired, its worker is gone or has no room any more; nothing was sent.
            return self.give_up_start(run);
        };
        let Some(live) = self.runs.get_mut(&run) else { return };
        live.stage = Stage::Starting { out: true };
        live.tries += 1;
        live.ordered_until_ms = live.ordered_until_ms.max(start.lease_until_ms);
        let worker = live.worker.clone();
        let Some(peer) = self.workers.get(&worker).map(super::Worker::address) else { return };
        self.effects.push(Effect::Start { worker, peer, start });
    }

    fn start_order(&mut self, run: Run) -> Option<StartCommand> {
        let (epoch, now, may_grant) = (self.epoch, self.now, self.may_grant());
        let live = self.runs.get(&run)?;
        let worker = self.workers.get_mut(&live.worker)?;
        if worker.is_overcommitted() {
            return None;
        }
        let key = run.task.step;
        let entry = self.state.jobs.get(&key.job)?;
        let model = entry.job.steps.get(key.step as usize)?;
        let queue = self.table.queue(&entry.job.queue)?;
        let ticket = match queue.policy {
            Some(_) => Some(self.tickets.get(&key)?.valid_ticket(&worker.id, now)?.to_owned()),
            None => None,
        };
        let step = self.state.step(&key)?;
        let saved = if model.gang {
            step.checkpoint.clone()
        } else {
            step.tasks.get(run.task.index as usize)?.checkpoint.clone()
        };
        let until_ms = if may_grant { worker.lease.grant(now)? } else { return None };
        Some(StartCommand {
            epoch,
            run,
            job: entry.job.clone(),
            lease_until_ms: until_ms,
            checkpoint: saved,
            ticket,
        })
    }

    /// Ends a try that was never begun, or stops it where an order may still arrive.
    fn give_up_start(&mut self, run: Run) {
        let Some(live) = self.runs.get(&run) else { return };
        if live.doubtful {
            self.stop_run(run);
        } else {
            self.end_run(run, RunOutcome::NeverStarted, String::new());
        }
    }

    fn send_stop(&mut self, run: Run) {
        let Some(live) = self.runs.get_mut(&run) else { return };
        let Some(worker) = self.workers.get(&live.worker) else { return };
        live.stage = Stage::Stopping { out: true, taken: None };
        let peer = worker.address();
        self.effects.push(Effect::Stop { worker: live.worker.clone(), peer, run });
    }

    pub(super) fn started(&mut self, worker: &str, run: Run, outcome: Result<u64, WorkerError>) {
        let now = self.now;
        self.note_answer(worker, &outcome);
        if let Ok(clock_ms) = outcome {
            self.read_clock(worker, clock_ms);
        }
        let Some(live) = self.runs.get_mut(&run) else { return };
        if live.stage != (Stage::Starting { out: true }) {
            return self.started_late(run, &outcome);
        }
        live.stage = Stage::Starting { out: false };
        match outcome {
            Ok(_) => {
                live.stage = Stage::Running(now);
                live.begun = true;
                live.since = now;
                live.progress = (0, now);
                let unwanted = live.unwanted;
                self.state.mark_started(run.task.step.job);
                if unwanted {
                    self.stop_run(run);
                }
            }
            Err(fault) => self.start_failed(worker, run, &fault),
        }
    }

    /// An answer to a start that was overtaken by a stop or by a look.
    fn started_late(&mut self, run: Run, outcome: &Result<u64, WorkerError>) {
        let unknown = matches!(outcome, Err(WorkerError::Unknown(_)));
        if let Some(live) = self.runs.get_mut(&run) {
            live.doubtful |= unknown;
        }
    }

    fn start_failed(&mut self, worker: &str, run: Run, fault: &WorkerError) {
        let now = self.now;
        log::info!(
            "event=task.start_failed task={run} worker={worker} cause={:?}",
            fault.to_string()
        );
        let Some(live) = self.runs.get_mut(&run) else { return };
        match fault {
            WorkerError::Fenced => self.step_down(worker),
            WorkerError::OtherIncarnation => self.bury(worker, "another_life"),
            // The worker has seen the try end; the next look lists that end, or nothing.
            WorkerError::RunEnded => live.stage = Stage::Running(now),
            WorkerError::LeaseExpired => live.next_try = now.after(COMMAND_RETRY),
            WorkerError::NotSent(_) | WorkerError::Unknown(_) => {
                live.doubtful |= matches!(fault, WorkerError::Unknown(_));
                live.next_try = now.after(COMMAND_RETRY);
                // The same order again is carried out once, so that repeating it settles whether
                // the first one arrived.
                if live.tries >= MAX_START_ATTEMPTS {
                    self.note_unanswered(worker);
                    self.give_up_start(run);
                }
            }
            WorkerError::InvalidTicket => {
                if let Some(tickets) = self.tickets.get_mut(&run.task.step) {
                    tickets.expire(worker);
                }
                self.give_up_start(run);
            }
            WorkerError::NoCapacity | WorkerError::Unhealthy | WorkerError::Refused(_) => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.pause_after_refusal(now);
                }
                self.give_up_start(run);
            }
        }
    }

    /// Stops a try as soon as its worker can be told to.
    pub(super) fn stop_run(&mut self, run: Run) {
        let now = self.now;
        let Some(live) = self.runs.get_mut(&run) else { return };
        live.unwanted = true;
        match live.stage {
            Stage::Recording | Stage::Stopping { .. } => {}
            Stage::Starting { out: false } if !live.doubtful => {
                self.end_run(run, RunOutcome::NeverStarted, String::new());
            }
            Stage::Starting { .. } | Stage::Running(_) | Stage::Inherited => {
                live.stage = Stage::Stopping { out: false, taken: None };
                live.next_try = now;
            }
        }
    }

    pub(super) fn stopped(&mut self, worker: &str, run: Run, outcome: Result<u64, WorkerError>) {
        let now = self.now;
        self.note_answer(worker, &outcome);
        if let Ok(clock_ms) = outcome {
            self.read_clock(worker, clock_ms);
        }
        match outcome {
            Err(WorkerError::Fenced) => return self.step_down(worker),
            Err(WorkerError::OtherIncarnation) => return self.bury(worker, "another_life"),
            _ => {}
        }
        let Some(live) = self.runs.get_mut(&run) else { return };
        if !matches!(live.stage, Stage::Stopping { .. }) {
            return;
        }
        let taken = match outcome {
            Ok(_) | Err(WorkerError::RunEnded) => Some(now),
            Err(fault) => {
                log::info!(
                    "event=task.stop_failed task={run} worker={worker} cause={:?}",
                    fault.to_string()
                );
                live.next_try = now.after(COMMAND_RETRY * 4);
                None
            }
        };
        live.stage = Stage::Stopping { out: false, taken };
        let Some(worker) = self.workers.get_mut(worker) else { return };
        if taken.is_some() {
            // A report settles it only if its look leaves in a later millisecond.
            worker.next_poll = worker.next_poll.min(now.after(Duration::from_millis(1)));
        } else {
            worker.command_backoff.record_unanswered_stop(now);
        }
    }

    /// Takes an answer to an order for a sign that orders arrive there.
    fn note_answer(&mut self, id: &str, outcome: &Result<u64, WorkerError>) {
        if matches!(outcome, Err(WorkerError::NotSent(_) | WorkerError::Unknown(_))) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.command_backoff.reset();
        }
    }

    /// Takes the clock out of the answer to an order that the worker has taken.
    fn read_clock(&mut self, worker: &str, clock_ms: u64) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lease.observe_clock(clock_ms, now);
        }
    }

    /// Keeps new tasks away from a worker that left all orders to start one without an answer.
    fn note_unanswered(&mut self, id: &str) {
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
    /// Whether an order is to be sent.
    const fn is_ordering(self) -> bool {
        matches!(self, Self::Starting { out: false } | Self::Stopping { out: false, taken: None })
    }
}
