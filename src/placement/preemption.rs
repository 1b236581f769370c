//! Preemption of batch tasks by urgent jobs, and by gangs that have waited for long.
//!
//! A preemption claim sets capacity on the victims' worker aside for the job, so that no other job
//! gets it while the victims are checkpointed. Victims keep their allocations until they have
//! ended.

use super::round::Round;
use super::search::PlacementQuery;
use super::victim;
use super::{Decision, Engine};
use crate::job::{self, Kind};
use crate::task;

/// Most tasks of a job that preempt in one round; a gang preempts for all its tasks at once.
const MAX_TASKS_PER_ROUND: usize = 8;

impl Engine {
    /// Claims capacity for tasks of a job and preempts the victims; for a gang, for all tasks or
    /// none.
    pub(super) fn preempt(&mut self, query: &PlacementQuery, round: &mut Round) {
        let missing = query.tasks.saturating_sub(self.claims.count(query.job));
        let mut victims = Vec::new();
        let count =
            if query.kind == Kind::Gang { missing } else { missing.min(MAX_TASKS_PER_ROUND) };
        for _ in 0..count {
            let Some(mut more) = self.claim_capacity(query, round) else {
                if query.kind == Kind::Gang {
                    self.undo_preemption(query.job, &victims);
                    return;
                }
                break;
            };
            victims.append(&mut more);
        }
        if self.claims.count(query.job) >= query.tasks {
            self.reservations.remove(query.job, &mut self.pool);
        }
        let preempt = |(task, node): (task::Id, usize)| Decision::Preempt {
            task,
            worker: self.pool.get(node).name.clone(),
            beneficiary: query.job,
        };
        round.decisions.extend(victims.into_iter().map(preempt));
    }

    fn claim_capacity(
        &mut self,
        query: &PlacementQuery,
        round: &mut Round,
    ) -> Option<Vec<(task::Id, usize)>> {
        let demand = query.demand;
        let unclaimed = query.without_claims();
        let (node, victims) = match self.find_worker(&unclaimed, round) {
            Ok(node) => (node, Vec::new()),
            Err(_) => {
                let set = victim::choose(&self.pool, &self.allocations, query, round.now)?;
                (set.node, set.victims)
            }
        };
        victims.iter().for_each(|&task| self.set_preempting(task, true));
        self.claims.add(&mut self.pool, query.job, node, demand, round.now);
        Some(victims.into_iter().map(|task| (task, node)).collect())
    }

    fn undo_preemption(&mut self, job: job::Id, victims: &[(task::Id, usize)]) {
        victims.iter().for_each(|&(task, _)| self.set_preempting(task, false));
        self.claims.remove_job(&mut self.pool, job);
    }

    fn set_preempting(&mut self, task: task::Id, preempting: bool) {
        let Some(allocation) = self.allocations.get_mut(task) else { return };
        allocation.preempting = preempting;
        let (node, demand) = (allocation.node, allocation.demand);
        self.pool.update(node, |node| {
            node.preemptible = if preempting {
                node.preemptible.saturating_sub(&demand)
            } else {
                node.preemptible.saturating_add(&demand)
            };
        });
    }
}
