//! Why a job waits or can never run.

use super::health::WorkerHealth;
use super::node::Node;
use super::queue::WaitingJob;
use super::search::Denial;
use super::{Engine, PendingReason, SchedulingState};
use crate::job::{self, Kind};
use crate::resource::Amount;

impl Engine {
    /// Why a job waits; `None` when it has no waiting tasks.
    pub fn explain(&self, job: job::Id) -> Option<PendingReason> {
        let waiting = self.queue.get(job)?;
        if let Some(reason) =
            self.infeasible_reason(&waiting.demand, waiting.kind, waiting.tasks.len())
        {
            return Some(reason);
        }
        let denial = self.queue.class_of(job).and_then(|class| class.last_denial);
        Some(self.reason(waiting, denial))
    }

    /// Why a job of `tasks` tasks can never run on the known workers; `None` when it can, or when
    /// no worker is known yet.
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

    /// Converts the last denial of a job's class into a reason for operators.
    fn reason(&self, waiting: &WaitingJob, denial: Option<Denial>) -> PendingReason {
        if self.pool.largest().is_zero() {
            return PendingReason::NoWorkers;
        }
        let claimed = self.claims.count(waiting.job);
        if claimed > 0 {
            return PendingReason::Preempting { tasks: claimed };
        }
        if let Some(reservation) = self.reservations.get(waiting.job) {
            return match waiting.kind {
                Kind::Gang => PendingReason::ReservingForGang { tasks: reservation.tasks },
                Kind::Batch | Kind::LongRunning => {
                    PendingReason::ReservingForTask { demand: waiting.demand }
                }
            };
        }
        let first = self.reservations.first();
        let team = self.teams.get(waiting.team);
        match (denial, team.quota, first) {
            (None, ..) => PendingReason::NotAttempted,
            (Some(Denial::Quota), Some(quota), _) => {
                PendingReason::Quota { usage: team.usage, quota }
            }
            (Some(Denial::Reserved), _, Some(job)) => PendingReason::ReservedForOther { job },
            (Some(Denial::HeldByPreset), ..) => {
                PendingReason::HeldByPreset { preset: self.policy.preset }
            }
            _ if !self.is_available(&waiting.demand) => PendingReason::Unavailable,
            _ => PendingReason::NoFreeCapacity { demand: waiting.demand },
        }
    }

    /// Whether any worker that is large enough accepts new tasks.
    fn is_available(&self, demand: &Amount) -> bool {
        let accepts_tasks = |node: &Node| {
            let not_quarantined = !matches!(node.health, WorkerHealth::Quarantined(_));
            not_quarantined && node.scheduling_state == SchedulingState::Open
        };
        self.pool.nodes().iter().any(|node| accepts_tasks(node) && demand.fits(&node.capacity))
    }
}
