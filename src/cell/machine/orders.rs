//! Orders to start and stop tries, and their answers.

use std::time::Duration;

use super::{Effect, Machine, Stage};
use crate::cell::job::{End, Run};
use crate::cell::link::{Fault, Start};
use crate::cell::timings::{ORDER_RETRY, START_TRIES};

impl Machine {
    /// Sends the orders that are due.
    pub(super) fn send_orders(&mut self) {
        self.note_changed_runs();
        for run in self.orders.due(self.now, usize::MAX) {
            let Some(stage) = self.runs.get(&run).map(|live| live.stage) else { continue };
            match stage {
                Stage::Starting { in_flight: false } if self.is_room_known(run) => {
                    self.send_start(run)
                }
                Stage::Stopping { in_flight: false, acknowledged: None } => self.send_stop(run),
                _ => {}
            }
        }
    }

    fn note_changed_runs(&mut self) {
        for run in self.runs.take_changed() {
            let live = self.runs.get(&run).filter(|live| live.stage.is_ordering());
            self.orders.set(&run, live.map(|live| live.next_command));
        }
    }

    /// Whether the room of a try's worker is known; until then its order waits.
    fn is_room_known(&self, run: Run) -> bool {
        let live = self.runs.get(&run);
        let worker = live.and_then(|live| self.workers.get(&live.worker));
        let known_for = self.timings.room_known_for;
        worker.is_none_or(|worker| worker.is_room_known(known_for, self.now))
    }

    fn send_start(&mut self, run: Run) {
        let Some(start) = self.start_order(run) else {
            // Its ticket has expired, its worker is gone or has no room any more; nothing was sent.
            return self.give_up_start(run);
        };
        let Some(live) = self.runs.get_mut(&run) else { return };
        live.stage = Stage::Starting { in_flight: true };
        live.starts_sent += 1;
        live.start_lease_end_ms = live.start_lease_end_ms.max(start.until_ms);
        let worker = live.worker.clone();
        let Some(peer) = self.workers.get(&worker).map(super::Worker::address) else { return };
        self.effects.push(Effect::Start { worker, peer, start });
    }

    fn start_order(&mut self, run: Run) -> Option<Start> {
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
        let ticket = match queue.advice {
            Some(_) => Some(self.tickets.get(&key)?.valid(&worker.id, now)?.to_owned()),
            None => None,
        };
        let step = self.state.step(&key)?;
        let saved = if model.gang {
            step.saved.clone()
        } else {
            step.tasks.get(run.task.index as usize)?.saved.clone()
        };
        let until_ms = if may_grant { worker.lease.grant(now)? } else { return None };
        Some(Start { epoch, run, payload: entry.job.clone(), until_ms, saved, ticket })
    }

    /// Ends a try that was never begun, or stops it where an order may still arrive.
    fn give_up_start(&mut self, run: Run) {
        let Some(live) = self.runs.get(&run) else { return };
        if live.may_have_arrived {
            self.stop_run(run);
        } else {
            self.end_run(run, End::Void, String::new());
        }
    }

    fn send_stop(&mut self, run: Run) {
        let Some(live) = self.runs.get_mut(&run) else { return };
        let Some(worker) = self.workers.get(&live.worker) else { return };
        live.stage = Stage::Stopping { in_flight: true, acknowledged: None };
        let peer = worker.address();
        self.effects.push(Effect::Stop { worker: live.worker.clone(), peer, run });
    }

    pub(super) fn started(&mut self, worker: &str, run: Run, outcome: Result<u64, Fault>) {
        let now = self.now;
        self.note_answer(worker, &outcome);
        if let Ok(clock_ms) = outcome {
            self.read_clock(worker, clock_ms);
        }
        let Some(live) = self.runs.get_mut(&run) else { return };
        if live.stage != (Stage::Starting { in_flight: true }) {
            return self.started_late(run, &outcome);
        }
        live.stage = Stage::Starting { in_flight: false };
        match outcome {
            Ok(_) => {
                live.stage = Stage::Running(now);
                live.start_confirmed = true;
                live.since = now;
                live.progress = (0, now);
                let stop_requested = live.stop_requested;
                self.state.note_started(run.task.step.job);
                if stop_requested {
                    self.stop_run(run);
                }
            }
            Err(fault) => self.start_failed(worker, run, &fault),
        }
    }

    /// An answer to a start that was overtaken by a stop or by a look.
    fn started_late(&mut self, run: Run, outcome: &Result<u64, Fault>) {
        let unknown = matches!(outcome, Err(Fault::Unknown(_)));
        if let Some(live) = self.runs.get_mut(&run) {
            live.may_have_arrived |= unknown;
        }
    }

    fn start_failed(&mut self, worker: &str, run: Run, fault: &Fault) {
        let now = self.now;
        log::info!(
            "event=task.start_failed task={run} worker={worker} cause={:?}",
            fault.to_string()
        );
        let Some(live) = self.runs.get_mut(&run) else { return };
        match fault {
            Fault::Fenced => self.step_down(worker),
            Fault::OtherLife => self.bury(worker, "another_life"),
            // The worker has seen the try end; the next look lists that end, or nothing.
            Fault::Over => live.stage = Stage::Running(now),
            Fault::Late => live.next_command = now.after(ORDER_RETRY),
            Fault::NotSent(_) | Fault::Unknown(_) => {
                live.may_have_arrived |= matches!(fault, Fault::Unknown(_));
                live.next_command = now.after(ORDER_RETRY);
                // The same order again is carried out once, so that repeating it settles whether
                // the first one arrived.
                if live.starts_sent >= START_TRIES {
                    self.note_unanswered(worker);
                    self.give_up_start(run);
                }
            }
            Fault::Ticket => {
                if let Some(tickets) = self.tickets.get_mut(&run.task.step) {
                    tickets.expire(worker);
                }
                self.give_up_start(run);
            }
            Fault::NoRoom | Fault::Unhealthy | Fault::Refused(_) => {
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.distrust(now);
                }
                self.give_up_start(run);
            }
        }
    }

    /// Stops a try as soon as its worker can be told to.
    pub(super) fn stop_run(&mut self, run: Run) {
        let now = self.now;
        let Some(live) = self.runs.get_mut(&run) else { return };
        live.stop_requested = true;
        match live.stage {
            Stage::Recording | Stage::Stopping { .. } => {}
            Stage::Starting { in_flight: false } if !live.may_have_arrived => {
                self.end_run(run, End::Void, String::new());
            }
            Stage::Starting { .. } | Stage::Running(_) | Stage::Recovered => {
                live.stage = Stage::Stopping { in_flight: false, acknowledged: None };
                live.next_command = now;
            }
        }
    }

    pub(super) fn stopped(&mut self, worker: &str, run: Run, outcome: Result<u64, Fault>) {
        let now = self.now;
        self.note_answer(worker, &outcome);
        if let Ok(clock_ms) = outcome {
            self.read_clock(worker, clock_ms);
        }
        match outcome {
            Err(Fault::Fenced) => return self.step_down(worker),
            Err(Fault::OtherLife) => return self.bury(worker, "another_life"),
            _ => {}
        }
        let Some(live) = self.runs.get_mut(&run) else { return };
        if !matches!(live.stage, Stage::Stopping { .. }) {
            return;
        }
        let acknowledged = match outcome {
            Ok(_) | Err(Fault::Over) => Some(now),
            Err(fault) => {
                log::info!(
                    "event=task.stop_failed task={run} worker={worker} cause={:?}",
                    fault.to_string()
                );
                live.next_command = now.after(ORDER_RETRY * 4);
                None
            }
        };
        live.stage = Stage::Stopping { in_flight: false, acknowledged };
        let Some(worker) = self.workers.get_mut(worker) else { return };
        if acknowledged.is_some() {
            // A report settles it only if its look leaves in a later millisecond.
            worker.next_look = worker.next_look.min(now.after(Duration::from_millis(1)));
        } else {
            worker.silence.note_stop(now);
        }
    }

    /// Takes an answer to an order for a sign that orders arrive there.
    fn note_answer(&mut self, id: &str, outcome: &Result<u64, Fault>) {
        if matches!(outcome, Err(Fault::NotSent(_) | Fault::Unknown(_))) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.silence.end();
        }
    }

    /// Takes the clock out of the answer to an order that the worker has taken.
    fn read_clock(&mut self, worker: &str, clock_ms: u64) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lease.read(clock_ms, now);
        }
    }

    /// Keeps new tasks away from a worker that left all orders to start one without an answer.
    fn note_unanswered(&mut self, id: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.silence.note_start(now) {
            let times = worker.silence.times();
            log::warn!(
                "event=worker.unanswering worker={id} times={times} missed={}",
                worker.missed
            );
        }
    }
}

impl Stage {
    /// Whether an order is to be sent.
    const fn is_ordering(self) -> bool {
        matches!(
            self,
            Self::Starting { in_flight: false }
                | Self::Stopping { in_flight: false, acknowledged: None }
        )
    }
}
