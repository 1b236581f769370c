//! Why a job waits or can never run.

use super::health::Standing;
use super::node::Node;
use super::queue::Waiting;
use super::search::Denial;
use super::{Engine, PendingReason, SchedulingState};
use crate::job::{self, Kind};
use crate::resource::Amount;

impl Engine {
    /// Why a job waits; `None` when none of its tasks wait.
    pub fn explain(&self, job: job::Id) -> Option<PendingReason> {
        let waiting = self.queue.get(job)?;
        if let Some(reason) =
            self.infeasible_reason(&waiting.demand, waiting.kind, waiting.tasks.len())
        {
            return Some(reason);
        }
        let cause = self.queue.class_of(job).and_then(|class| class.cause);
        Some(self.reason(waiting, cause))
    }

    /// Why such a job can never run on the workers known; `None` when it can, or when no worker
    /// is known yet.
    pub fn infeasible_reason(
        &self,
        demand: &Amount,
        kind: Kind,
        tasks: usize,
    ) -> Option<PendingReason> {
        let largest = self.pool.largest();
        if largest.is_zero() {
            return None;
        }
        if !self.pool.could_hold(demand) {
            return Some(PendingReason::TooLarge { demand: *demand, largest });
        }
        let slots = self.pool.slots(demand);
        (kind != Kind::Batch && slots < tasks)
            .then_some(PendingReason::TooManyTasks { tasks, slots })
    }

    /// What a denial means to the people who wait for the job.
    fn reason(&self, waiting: &Waiting, cause: Option<Denial>) -> PendingReason {
        if self.pool.largest().is_zero() {
            return PendingReason::NoWorkers;
        }
        let pledged = self.pledges.count(waiting.job);
        if pledged > 0 {
            return PendingReason::Preempting { tasks: pledged };
        }
        if let Some(kept) = self.reservations.get(waiting.job) {
            return match waiting.kind {
                Kind::Gang => PendingReason::ReservingForGang { tasks: kept.tasks },
                Kind::Batch | Kind::LongRunning => {
                    PendingReason::ReservingForTask { demand: waiting.demand }
                }
            };
        }
        let first = self.reservations.first();
        let team = self.teams.get(waiting.team);
        match (cause, team.quota, first) {
            (None, ..) => PendingReason::LowerPriority,
            (Some(Denial::Quota), Some(quota), _) => {
                PendingReason::Quota { usage: team.usage, quota }
            }
            (Some(Denial::Reserved), _, Some(job)) => PendingReason::ReservedForOther { job },
            (Some(Denial::Held), ..) => PendingReason::HeldByPreset { preset: self.policy.preset },
            _ if !self.is_available(&waiting.demand) => PendingReason::Unavailable,
            _ => PendingReason::NoRoom { demand: waiting.demand },
        }
    }

    /// Whether a worker that is large enough takes new tasks.
    fn is_available(&self, demand: &Amount) -> bool {
        let takes = |node: &Node| {
            let trusted = !matches!(node.standing, Standing::Quarantined(_));
            trusted && node.scheduling_state == SchedulingState::Open
        };
        self.pool.nodes().iter().any(|node| takes(node) && demand.fits(&node.capacity))
    }
}
