//! State of one worker as placement sees it.

use super::Availability;
use crate::resource::Amount;
use crate::worker;

/// A worker with what it has and what is taken.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) name: worker::Name,
    pub(super) rack: String,
    pub(super) capacity: Amount,
    pub(super) availability: Availability,
    pub(super) reserved: Amount,
    pub(super) excess: Amount,
    pub(super) tasks: usize,
}

impl Node {
    /// Room for new tasks by declared and by measured use.
    pub(super) fn free(&self) -> Amount {
        match self.availability {
            Availability::Open => {
                self.capacity.saturating_sub(&self.reserved.saturating_add(&self.excess))
            }
            Availability::Draining | Availability::Closed => Amount::ZERO,
        }
    }
}
