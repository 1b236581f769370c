//! Tasks that hold resources.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;
use crate::task;

/// A task that holds resources on a worker.
#[derive(Clone, Debug)]
pub(super) struct Allocation {
    pub(super) node: usize,
    pub(super) rack: usize,
    pub(super) team: usize,
    pub(super) name: Rc<str>,
    pub(super) demand: Amount,
    pub(super) kind: Kind,
    pub(super) urgency: Urgency,
    pub(super) started: Instant,
    /// When it is expected to end; `None` for a long-running task.
    pub(super) expected_end: Option<Instant>,
    pub(super) deadline: Option<Unix>,
    /// Whether it is being preempted.
    pub(super) preempting: bool,
    /// Measured usage above `demand`.
    pub(super) overuse: Amount,
}

impl Allocation {
    /// Whether it may be checkpointed in favour of another job.
    pub(super) fn is_preemptible(&self) -> bool {
        self.kind == Kind::Batch && self.urgency == Urgency::Normal && !self.preempting
    }

    /// When it is expected to end, as estimated at `now`.
    ///
    /// For a task past its expected end the remaining time is estimated as half of the time that
    /// it has run, at least one second.
    pub(super) fn likely_end(&self, now: Instant) -> Option<Instant> {
        let end = self.expected_end?;
        if end > now {
            return Some(end);
        }
        let remaining = (now.since(self.started) / 2).max(Duration::from_secs(1));
        Some(now.after(remaining))
    }
}

/// Tasks of one long-running job by rack and by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct TaskSpread {
    racks: HashMap<usize, usize>,
    nodes: HashMap<usize, usize>,
}

impl TaskSpread {
    pub(super) fn in_rack(&self, rack: usize) -> usize {
        self.racks.get(&rack).copied().unwrap_or(0)
    }

    pub(super) fn on_node(&self, node: usize) -> usize {
        self.nodes.get(&node).copied().unwrap_or(0)
    }
}

/// All tasks that hold resources.
#[derive(Debug, Default)]
pub(super) struct Allocations {
    tasks: HashMap<task::Id, Allocation>,
    spreads: HashMap<job::Id, TaskSpread>,
    by_deadline: BTreeMap<task::Id, Unix>,
}

impl Allocations {
    pub(super) fn get(&self, task: task::Id) -> Option<&Allocation> {
        self.tasks.get(&task)
    }

    pub(super) fn get_mut(&mut self, task: task::Id) -> Option<&mut Allocation> {
        self.tasks.get_mut(&task)
    }

    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    pub(super) fn spread(&self, job: job::Id) -> Option<&TaskSpread> {
        self.spreads.get(&job)
    }

    pub(super) fn insert(&mut self, task: task::Id, allocation: Allocation) {
        if allocation.kind == Kind::LongRunning {
            let spread = self.spreads.entry(task.job).or_default();
            *spread.racks.entry(allocation.rack).or_default() += 1;
            *spread.nodes.entry(allocation.node).or_default() += 1;
        }
        if let Some(deadline) = allocation.deadline {
            self.by_deadline.insert(task, deadline);
        }
        self.tasks.insert(task, allocation);
    }

    pub(super) fn remove(&mut self, task: task::Id) -> Option<Allocation> {
        let allocation = self.tasks.remove(&task)?;
        self.by_deadline.remove(&task);
        if let Some(spread) = self.spreads.get_mut(&task.job) {
            decrement(&mut spread.racks, allocation.rack);
            decrement(&mut spread.nodes, allocation.node);
            if spread.nodes.is_empty() {
                self.spreads.remove(&task.job);
            }
        }
        Some(allocation)
    }

    /// Tasks with a deadline.
    pub(super) fn with_deadline(&self) -> impl Iterator<Item = (task::Id, Unix, &Allocation)> {
        self.by_deadline.iter().filter_map(|(&task, &deadline)| {
            self.tasks.get(&task).map(|allocation| (task, deadline, allocation))
        })
    }
}

fn decrement(counts: &mut HashMap<usize, usize>, key: usize) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
