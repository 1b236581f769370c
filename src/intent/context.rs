//! What the lanes of one machine share.

use super::budget::Budget;
use super::machine::{Effect, Now, Stats, Ticket};
use super::queue::Writer;
use super::ruling::Ruling;

/// What a lane may use beside its own state.
pub(super) struct Context<'a> {
    pub(super) now: Now,
    pub(super) writer: &'a mut Writer,
    pub(super) budget: &'a mut Budget,
    pub(super) stats: &'a mut Stats,
    pub(super) effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub(super) fn reply(&mut self, ticket: Ticket, ruling: Ruling) {
        self.effects.push(Effect::Reply { ticket, ruling });
    }
}
