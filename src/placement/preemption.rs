//! Room made for urgent work, and for a gang that has waited for long, by checkpointing batch
//! tasks.
//!
//! Room on the victims' worker is pledged to the job, so that nothing else takes it while
//! the victims are being checkpointed; they keep their reservations until they are surely gone.

use super::round::Round;
use super::search::Ask;
use super::victim;
use super::{Decision, Engine};
use crate::job::{self, Kind};
use crate::task;

/// Tasks for which one round makes room, except for a gang, which gets room whole.
const AT_ONCE: usize = 8;

impl Engine {
    /// Pledges room to the tasks of an urgent job, for a gang to all or to none.
    pub(super) fn preempt(&mut self, ask: &Ask, round: &mut Round) {
        let missing = ask.tasks.saturating_sub(self.pledges.count(ask.job));
        let mut victims = Vec::new();
        let at_once = if ask.kind == Kind::Gang { missing } else { missing.min(AT_ONCE) };
        for _ in 0..at_once {
            let Some(mut more) = self.pledge(ask, round) else {
                if ask.kind == Kind::Gang {
                    self.take_back(ask.job, &victims);
                    return;
                }
                break;
            };
            victims.append(&mut more);
        }
        if self.pledges.count(ask.job) >= ask.tasks {
            self.reservations.remove(ask.job, &mut self.pool);
        }
        let preempt = |(task, node): (task::Id, usize)| Decision::Preempt {
            task,
            worker: self.pool.get(node).name.clone(),
            beneficiary: ask.job,
        };
        round.decisions.extend(victims.into_iter().map(preempt));
    }

    fn pledge(&mut self, ask: &Ask, round: &mut Round) -> Option<Vec<(task::Id, usize)>> {
        let demand = ask.demand;
        let stranger = ask.without_pledges();
        let (node, victims) = match self.find(&stranger, round) {
            Ok(node) => (node, Vec::new()),
            Err(_) => {
                let choice = victim::choose(&self.pool, &self.ledger, ask, round.now)?;
                (choice.node, choice.victims)
            }
        };
        victims.iter().for_each(|&task| self.set_stopping(task, true));
        self.pledges.add(&mut self.pool, ask.job, node, demand, round.now);
        Some(victims.into_iter().map(|task| (task, node)).collect())
    }

    fn take_back(&mut self, job: job::Id, victims: &[(task::Id, usize)]) {
        victims.iter().for_each(|&(task, _)| self.set_stopping(task, false));
        self.pledges.drop_job(&mut self.pool, job);
    }

    fn set_stopping(&mut self, task: task::Id, stopping: bool) {
        let Some(running) = self.ledger.get_mut(task) else { return };
        running.stopping = stopping;
        let (node, demand) = (running.node, running.demand);
        self.pool.update(node, |node| {
            node.preemptible = if stopping {
                node.preemptible.saturating_sub(&demand)
            } else {
                node.preemptible.saturating_add(&demand)
            };
        });
    }
}
