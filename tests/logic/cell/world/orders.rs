//! Orders at the workers: on time, late or lost; and what becomes of the tries there.

use oriolefork::cell::dependencies::{StartCommand, WorkerError};
use oriolefork::cell::job::{Run, RunOutcome};
use oriolefork::cell::machine::Message;
use oriolefork::clock::Instant;
use oriolefork::resource::Amount;
use rand::Rng;

use super::{Event, Order, World};
use crate::cell::upstream::Upstream;

/// Time from the start of a task that crashes its worker to the crash.
const CRASH_MS: u64 = 10;

impl World {
    pub(super) fn order(&mut self, owner: usize, worker: String, order: Order, delay: u64) {
        let sent = self.now;
        let late = self.faults.late;
        if self.chance(late) {
            // No answer, and carried out seconds later.
            let delay = self.rng.random_range(2_000..12_000);
            self.no_answer(owner, &worker, &order, sent);
            let event = Event::Worker { owner, worker, order, sent, answered: false };
            self.schedule(delay, event);
        } else {
            let event = Event::Worker { owner, worker, order, sent, answered: true };
            self.schedule(delay, event);
        }
    }

    pub(super) fn no_answer(&mut self, owner: usize, worker: &str, order: &Order, sent: u64) {
        let fault = || WorkerError::Unknown("timeout".to_owned());
        let message = reply(worker, order, sent, Err(fault()), Err(fault()));
        self.schedule(400, Event::Owner { owner, message });
    }

    pub(super) fn deliver(
        &mut self,
        owner: usize,
        worker: &str,
        order: &Order,
        sent: u64,
        answered: bool,
    ) {
        if self.down.contains(worker) {
            if answered {
                let refused = || WorkerError::NotSent("connection refused".to_owned());
                let message = reply(worker, order, sent, Err(refused()), Err(refused()));
                self.schedule(2, Event::Owner { owner, message });
            }
            return;
        }
        let Some(upstream) = self.workers.get_mut(worker) else {
            if answered {
                let message = reply(
                    worker,
                    order,
                    sent,
                    Err(WorkerError::OtherIncarnation),
                    Err(WorkerError::OtherIncarnation),
                );
                self.schedule(2, Event::Owner { owner, message });
            }
            return;
        };
        if !upstream.reachable {
            if answered {
                self.no_answer(owner, worker, order, sent);
            }
            return;
        }
        if upstream.resetting && answered && !matches!(order, Order::Look(_)) {
            let reset = || Err(WorkerError::Unknown("connection reset".to_owned()));
            let message = reply(worker, order, sent, Ok(Default::default()), reset());
            return self.schedule(2, Event::Owner { owner, message });
        }
        let now = self.now;
        let clock = upstream.clock_ms(now);
        let message = match order {
            Order::Look(look) => {
                let report = upstream.look(look, now);
                reply(worker, order, sent, report, Ok(clock))
            }
            Order::Stop(run, epoch) => {
                let stopped = upstream.stop(*run, *epoch);
                if stopped == Ok(true) {
                    self.break_gang(run);
                }
                reply(worker, order, sent, Ok(Default::default()), stopped.map(|_| clock))
            }
            Order::Start(start) => {
                let demand = demand(start);
                let started = upstream.start(start, demand, now);
                if started == Ok(true) {
                    self.check_start(worker, start, sent);
                    self.begin(worker, start);
                }
                reply(worker, order, sent, Ok(Default::default()), started.map(|_| clock))
            }
        };
        if answered {
            let wait = match order {
                Order::Look(look) => (look.max_wait.as_millis() as u64).min(100),
                _ => 0,
            };
            self.schedule(2 + wait, Event::Owner { owner, message });
        }
    }

    pub(super) fn begin(&mut self, worker: &str, start: &StartCommand) {
        let run = start.run;
        let model = &start.job.steps[run.task.step.step as usize];
        if self.jobs[&run.task.step.job].crashes && run.task.index == 0 {
            return self.schedule(CRASH_MS, Event::Crash { worker: worker.to_owned(), run });
        }
        let took = self.rng.random_range(50..800);
        if !model.gang {
            return self.schedule(took, Event::Finish { worker: worker.to_owned(), run });
        }
        let members: Vec<(String, Run)> = self.members(&run);
        if members.len() == model.count as usize {
            let (worker, run) = members[0].clone();
            self.schedule(took, Event::Finish { worker, run });
        } else {
            self.schedule(3_000, Event::Alone { worker: worker.to_owned(), run });
        }
    }

    /// Members of a gang's try that run.
    pub(super) fn members(&self, run: &Run) -> Vec<(String, Run)> {
        let same = |other: &&Run| other.task.step == run.task.step && other.number == run.number;
        let of = |(name, upstream): (&String, &Upstream)| {
            let found: Vec<(String, Run)> =
                upstream.runs.keys().filter(same).map(|run| (name.clone(), *run)).collect();
            found
        };
        self.workers.iter().flat_map(of).collect()
    }

    pub(super) fn finish(&mut self, worker: &str, run: Run) {
        let Some(upstream) = self.workers.get_mut(worker) else { return };
        if !upstream.runs.contains_key(&run) {
            return;
        }
        let fails = self.jobs[&run.task.step.job].fails;
        let end = if fails { RunOutcome::Failed } else { RunOutcome::Succeeded };
        let gang = self.jobs[&run.task.step.job].job.steps[run.task.step.step as usize].gang;
        let members = if gang { self.members(&run) } else { vec![(worker.to_owned(), run)] };
        let count = self.jobs[&run.task.step.job].job.steps[run.task.step.step as usize].count;
        if gang && members.len() != count as usize {
            return;
        }
        for (number, (worker, member)) in members.into_iter().enumerate() {
            let end = if fails && number > 0 { RunOutcome::GangBroken } else { end };
            let Some(upstream) = self.workers.get_mut(&worker) else { continue };
            upstream.end(member, end);
            if end == RunOutcome::Succeeded {
                self.done.insert(member.task, self.now);
            }
        }
    }

    pub(super) fn alone(&mut self, worker: &str, run: Run) {
        let model = &self.jobs[&run.task.step.job].job.steps[run.task.step.step as usize];
        let together = self.members(&run).len() == model.count as usize;
        if let Some(upstream) = self.workers.get_mut(worker)
            && !together
        {
            upstream.end(run, RunOutcome::GangTimeout);
        }
    }

    pub(super) fn lapse_workers(&mut self) {
        let now = self.now;
        let lapsed: Vec<Run> =
            self.workers.values_mut().flat_map(|upstream| upstream.lapse(now)).collect();
        for run in lapsed {
            self.break_gang(&run);
        }
    }

    /// The members of a gang end with the first of them.
    pub(super) fn break_gang(&mut self, run: &Run) {
        let step = run.task.step;
        if !self.jobs[&step.job].job.steps[step.step as usize].gang {
            return;
        }
        for (worker, member) in self.members(run) {
            if let Some(upstream) = self.workers.get_mut(&worker) {
                upstream.end(member, RunOutcome::GangBroken);
            }
        }
    }
}

pub(super) fn demand(start: &StartCommand) -> Amount {
    start.job.steps[start.run.task.step.step as usize].allocation()
}

fn reply(
    worker: &str,
    order: &Order,
    sent: u64,
    report: Result<oriolefork::cell::dependencies::PollReport, WorkerError>,
    clock: Result<u64, WorkerError>,
) -> Message {
    let worker = worker.into();
    match order {
        Order::Look(_) => {
            Message::Polled { worker, sent: Instant::from_millis(sent), outcome: report }
        }
        Order::Start(start) => Message::Started { worker, run: start.run, outcome: clock },
        Order::Stop(run, _) => Message::Stopped { worker, run: *run, outcome: clock },
    }
}
