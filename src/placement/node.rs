//! State of one worker as placement sees it.

use std::collections::BTreeSet;

use super::SchedulingState;
use super::health::Standing;
use super::measure;
use crate::clock::Instant;
use crate::job::{Kind, Urgency};
use crate::resource::Amount;
use crate::{task, worker};

/// A worker with what it has and what is taken.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) name: worker::Name,
    pub(super) rack: usize,
    pub(super) capacity: Amount,
    pub(super) scheduling_state: SchedulingState,
    pub(super) standing: Standing,
    /// Declared needs of its tasks.
    pub(super) reserved: Amount,
    /// Measured use above `reserved`, as of the last report.
    pub(super) excess: Amount,
    /// Measured use of single tasks above their declared needs.
    pub(super) overuse: Amount,
    /// Room promised to urgent jobs whose victims have not stopped yet.
    pub(super) pledged: Amount,
    /// Declared needs of the tasks that may be preempted.
    pub(super) preemptible: Amount,
    /// Expected ends of all tasks but long-running ones.
    pub(super) ends: BTreeSet<(Instant, task::Id)>,
}

impl Node {
    pub(super) fn new(name: worker::Name, rack: usize) -> Self {
        Self {
            name,
            rack,
            capacity: Amount::ZERO,
            scheduling_state: SchedulingState::Closed,
            standing: Standing::Healthy,
            reserved: Amount::ZERO,
            excess: Amount::ZERO,
            overuse: Amount::ZERO,
            pledged: Amount::ZERO,
            preemptible: Amount::ZERO,
            ends: BTreeSet::new(),
        }
    }

    /// Whether any new task may start here.
    pub(super) fn is_open(&self) -> bool {
        self.scheduling_state == SchedulingState::Open && self.standing.is_open()
    }

    /// Whether a new task of this sort may start here; a worker on probation gets none that would
    /// be missed.
    pub(super) fn takes(&self, kind: Kind, urgency: Urgency) -> bool {
        let trial = kind == Kind::Batch && urgency == Urgency::Normal;
        self.is_open() && (self.standing == Standing::Healthy || trial)
    }

    /// What is taken by declared and by measured use.
    pub(super) fn used(&self) -> Amount {
        self.reserved.saturating_add(&measure::widest(&self.excess, &self.overuse))
    }

    /// Room by declared and by measured use, pledged or not.
    pub(super) fn room(&self) -> Amount {
        if !self.is_open() {
            return Amount::ZERO;
        }
        self.capacity.saturating_sub(&self.used())
    }

    /// Room that is pledged to nobody.
    pub(super) fn free(&self) -> Amount {
        self.room().saturating_sub(&self.pledged)
    }
}
