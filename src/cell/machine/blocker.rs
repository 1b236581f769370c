//! What keeps a waiting gang from being placed.

use derive_more::Display;

use super::Machine;
use super::pending::PendingStep;
use super::view::WorkerViews;

/// What keeps a gang from being placed: the first of these that applies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Blocker {
    /// The policy service has not answered a query about it yet.
    #[display("answer")]
    PolicyAnswer,
    /// The workers known to be eligible could not hold it with their present capacity, even if each
    /// of them had capacity for at least one task.
    #[display("workers")]
    EligibleWorkers,
    /// Its eligible workers have too little free capacity now.
    #[display("room")]
    FreeCapacity,
    /// There is enough free capacity, but the tickets for it have expired.
    #[display("tickets")]
    Tickets,
    /// Nothing: the next round places it.
    #[display("nothing")]
    Nothing,
}

/// How close a gang is to being placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct GangReadiness {
    /// Tasks to place.
    pub(super) tasks: usize,
    /// Workers known to be eligible.
    pub(super) eligible: usize,
    /// Tasks that fit on them.
    pub(super) fits: f64,
    /// Tasks that fit on workers with a valid ticket.
    pub(super) ticketed: f64,
    pub(super) blocker: Blocker,
}

impl Machine {
    /// Determines how close a gang is to being placed.
    pub(super) fn readiness(&self, step: &PendingStep, views: &WorkerViews) -> GangReadiness {
        let tasks = step.pending.len();
        let workers = self.eligible_workers(step, views);
        let slots = |at: &usize| self.slots_with_preemption(*at, step, views);
        let fits: f64 = workers.iter().map(slots).sum();
        let potential: f64 = workers.iter().map(|at| slots(at).max(1.0)).sum();
        let ticketed: f64 = self.usable_workers(step, views).iter().map(slots).sum();
        let wanted = tasks as f64;
        let blocker = if self.has_no_answer(step) {
            Blocker::PolicyAnswer
        } else if potential < wanted {
            Blocker::EligibleWorkers
        } else if fits < wanted {
            Blocker::FreeCapacity
        } else if ticketed < wanted {
            Blocker::Tickets
        } else {
            Blocker::Nothing
        };
        GangReadiness { tasks, eligible: workers.len(), fits, ticketed, blocker }
    }

    /// Whether the step needs a decision of the policy service and has not had any.
    fn has_no_answer(&self, step: &PendingStep) -> bool {
        let tickets = self.tickets.get(&step.key);
        step.queue.policy.is_some() && tickets.is_none_or(|tickets| tickets.counts().0 == 0)
    }
}
