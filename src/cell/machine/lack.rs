//! What a waiting gang lacks: knowledge of workers, room on them, or tickets that hold.

use derive_more::Display;

use super::Machine;
use super::field::Fields;
use super::waiting::Waiting;

/// What keeps a gang from being placed, the first of these that applies.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lack {
    /// The policy service has not answered for it yet.
    #[display("answer")]
    Answer,
    /// The workers known to be eligible could not hold it with the room that they have, were each
    /// of them good for a task at least.
    #[display("workers")]
    Workers,
    /// Its eligible workers have too little room now.
    #[display("room")]
    Room,
    /// Room is there, and the tickets for it have expired.
    #[display("tickets")]
    Tickets,
    /// Nothing: the next round places it.
    #[display("nothing")]
    Nothing,
}

/// How far a gang is from being placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Readiness {
    /// Tasks to place.
    pub(super) tasks: usize,
    /// Workers known to be eligible.
    pub(super) eligible: usize,
    /// Tasks that fit on them.
    pub(super) fits: f64,
    /// Tasks that fit where a ticket holds.
    pub(super) ticketed: f64,
    pub(super) lacks: Lack,
}

impl Machine {
    /// How far a gang is from being placed.
    pub(super) fn readiness(&self, step: &Waiting, fields: &Fields) -> Readiness {
        let tasks = step.pending.len();
        let places = self.eligible(step, fields);
        let slots = |at: &usize| self.reachable_slots(*at, step, fields);
        let fits: f64 = places.iter().map(slots).sum();
        let potential: f64 = places.iter().map(|at| slots(at).max(1.0)).sum();
        let ticketed: f64 = self.allowed(step, fields).iter().map(slots).sum();
        let wanted = tasks as f64;
        let lacks = if self.needs_answer(step) {
            Lack::Answer
        } else if potential < wanted {
            Lack::Workers
        } else if fits < wanted {
            Lack::Room
        } else if ticketed < wanted {
            Lack::Tickets
        } else {
            Lack::Nothing
        };
        Readiness { tasks, eligible: places.len(), fits, ticketed, lacks }
    }

    /// Whether the step needs the policy service's word and has none at all.
    fn needs_answer(&self, step: &Waiting) -> bool {
        let tickets = self.tickets.get(&step.key);
        step.queue.policy.is_some() && tickets.is_none_or(|tickets| tickets.counts().0 == 0)
    }
}
