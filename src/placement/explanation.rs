//! Why a job waits or can never run.

use super::health::Standing;
use super::node::Node;
use super::queue::Waiting;
use super::search::Denial;
use super::{Availability, Engine, Reason};
use crate::job::{self, Kind};
use crate::resource::Amount;

impl Engine {
    /// Why a job waits; `None` when none of its tasks wait.
    pub fn explain(&self, job: job::Id) -> Option<Reason> {
        let waiting = self.queue.get(job)?;
        if let Some(reason) = self.impossible(&waiting.demand, waiting.kind, waiting.tasks.len()) {
            return Some(reason);
        }
        let cause = self.queue.class_of(job).and_then(|class| class.cause);
        Some(self.reason(waiting, cause))
    }

    /// Why such a job can never run on the workers known; `None` when it can, or when no worker
    /// is known yet.
    pub fn impossible(&self, demand: &Amount, kind: Kind, tasks: usize) -> Option<Reason> {
        let largest = self.pool.largest();
        if largest.is_zero() {
            return None;
        }
        if !self.pool.could_hold(demand) {
            return Some(Reason::TooLarge { demand: *demand, largest });
        }
        let slots = self.pool.slots(demand);
        (kind != Kind::Batch && slots < tasks).then_some(Reason::TooMany { tasks, slots })
    }

    /// What a denial means to the people who wait for the job.
    fn reason(&self, waiting: &Waiting, cause: Option<Denial>) -> Reason {
        if self.pool.largest().is_zero() {
            return Reason::NoWorker;
        }
        let pledged = self.pledges.count(waiting.job);
        if pledged > 0 {
            return Reason::Preempting { tasks: pledged };
        }
        if let Some(kept) = self.reservations.get(waiting.job) {
            return match waiting.kind {
                Kind::Gang => Reason::Gang { tasks: kept.tasks },
                Kind::Batch | Kind::LongRunning => Reason::Kept { demand: waiting.demand },
            };
        }
        let first = self.reservations.first();
        let team = self.teams.get(waiting.team);
        match (cause, team.quota, first) {
            (None, ..) => Reason::Turn,
            (Some(Denial::Quota), Some(quota), _) => Reason::Quota { usage: team.usage, quota },
            (Some(Denial::Reserved), _, Some(job)) => Reason::Reserved { job },
            (Some(Denial::Held), ..) => Reason::Held { preset: self.policy.preset },
            _ if !self.is_available(&waiting.demand) => Reason::Unavailable,
            _ => Reason::NoRoom { demand: waiting.demand },
        }
    }

    /// Whether a worker that is large enough takes new tasks.
    fn is_available(&self, demand: &Amount) -> bool {
        let takes = |node: &Node| {
            let trusted = !matches!(node.standing, Standing::Quarantined(_));
            trusted && node.availability == Availability::Open
        };
        self.pool.nodes().iter().any(|node| takes(node) && demand.fits(&node.capacity))
    }
}
