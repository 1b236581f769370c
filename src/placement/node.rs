//! Placement state of one worker.

use std::collections::BTreeSet;

use super::SchedulingState;
use super::arithmetic;
use super::health::WorkerHealth;
use crate::clock::Instant;
use crate::job::{Kind, Urgency};
use crate::resource::Amount;
use crate::{task, worker};

/// A worker with its capacity and its allocated resources.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) name: worker::Name,
    pub(super) rack: usize,
    pub(super) capacity: Amount,
    pub(super) scheduling_state: SchedulingState,
    pub(super) health: WorkerHealth,
    /// Sum of the demands of its tasks.
    pub(super) allocated: Amount,
    /// Measured usage of the worker above `allocated`, as of the last report.
    pub(super) worker_overuse: Amount,
    /// Sum of the measured usage of single tasks above their demands.
    pub(super) task_overuse: Amount,
    /// Capacity set aside by preemption claims: for jobs whose victims have not stopped yet.
    pub(super) claimed: Amount,
    /// Sum of the demands of the tasks that may be preempted.
    pub(super) preemptible: Amount,
    /// Expected ends of all tasks but long-running ones.
    pub(super) expected_ends: BTreeSet<(Instant, task::Id)>,
}

impl Node {
    pub(super) fn new(name: worker::Name, rack: usize) -> Self {
        Self {
            name,
            rack,
            capacity: Amount::ZERO,
            scheduling_state: SchedulingState::Closed,
            health: WorkerHealth::Healthy,
            allocated: Amount::ZERO,
            worker_overuse: Amount::ZERO,
            task_overuse: Amount::ZERO,
            claimed: Amount::ZERO,
            preemptible: Amount::ZERO,
            expected_ends: BTreeSet::new(),
        }
    }

    /// Whether any new task may start here.
    pub(super) fn is_open(&self) -> bool {
        self.scheduling_state == SchedulingState::Open && self.health.is_open()
    }

    /// Whether a new task of this kind and urgency may start here. A worker on probation gets only
    /// batch tasks that are not urgent.
    pub(super) fn accepts(&self, kind: Kind, urgency: Urgency) -> bool {
        let low_risk = kind == Kind::Batch && urgency == Urgency::Normal;
        self.is_open() && (self.health == WorkerHealth::Healthy || low_risk)
    }

    /// Allocated amount plus measured usage above it.
    pub(super) fn used(&self) -> Amount {
        self.allocated
            .saturating_add(&arithmetic::max_each(&self.worker_overuse, &self.task_overuse))
    }

    /// Capacity that is not used, claimed or not; zero when no task may start here.
    pub(super) fn free(&self) -> Amount {
        if !self.is_open() {
            return Amount::ZERO;
        }
        self.capacity.saturating_sub(&self.used())
    }

    /// Capacity that is neither used nor claimed.
    pub(super) fn unclaimed(&self) -> Amount {
        self.free().saturating_sub(&self.claimed)
    }
}
