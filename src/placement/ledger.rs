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
pub(super) struct Running {
    pub(super) node: usize,
    pub(super) rack: usize,
    pub(super) team: usize,
    pub(super) name: Rc<str>,
    pub(super) demand: Amount,
    pub(super) kind: Kind,
    pub(super) urgency: Urgency,
    pub(super) started: Instant,
    /// When it is expected to end; a long-running task is not.
    pub(super) ends: Option<Instant>,
    pub(super) deadline: Option<Unix>,
    /// Whether it is being preempted.
    pub(super) stopping: bool,
    /// Measured use above `demand`.
    pub(super) excess: Amount,
}

impl Running {
    /// Whether it may be checkpointed for urgent work.
    pub(super) fn is_preemptible(&self) -> bool {
        self.kind == Kind::Batch && self.urgency == Urgency::Normal && !self.stopping
    }

    /// When it will end, as far as can be told at `now`.
    ///
    /// A task past its expected end has shown its estimate to be wrong; the longer it has run,
    /// the longer it is taken to go on.
    pub(super) fn likely_end(&self, now: Instant) -> Option<Instant> {
        let ends = self.ends?;
        if ends > now {
            return Some(ends);
        }
        let more = (now.since(self.started) / 2).max(Duration::from_secs(1));
        Some(now.after(more))
    }
}

/// Tasks of one long-running job by rack and by worker.
#[derive(Clone, Debug, Default)]
pub(super) struct Spread {
    racks: HashMap<usize, usize>,
    nodes: HashMap<usize, usize>,
}

impl Spread {
    pub(super) fn in_rack(&self, rack: usize) -> usize {
        self.racks.get(&rack).copied().unwrap_or(0)
    }

    pub(super) fn on_node(&self, node: usize) -> usize {
        self.nodes.get(&node).copied().unwrap_or(0)
    }
}

/// All tasks that hold resources.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    tasks: HashMap<task::Id, Running>,
    spreads: HashMap<job::Id, Spread>,
    dated: BTreeMap<task::Id, Unix>,
}

impl Ledger {
    pub(super) fn get(&self, task: task::Id) -> Option<&Running> {
        self.tasks.get(&task)
    }

    pub(super) fn get_mut(&mut self, task: task::Id) -> Option<&mut Running> {
        self.tasks.get_mut(&task)
    }

    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    pub(super) fn spread(&self, job: job::Id) -> Option<&Spread> {
        self.spreads.get(&job)
    }

    pub(super) fn insert(&mut self, task: task::Id, running: Running) {
        if running.kind == Kind::LongRunning {
            let spread = self.spreads.entry(task.job).or_default();
            *spread.racks.entry(running.rack).or_default() += 1;
            *spread.nodes.entry(running.node).or_default() += 1;
        }
        if let Some(deadline) = running.deadline {
            self.dated.insert(task, deadline);
        }
        self.tasks.insert(task, running);
    }

    pub(super) fn remove(&mut self, task: task::Id) -> Option<Running> {
        let running = self.tasks.remove(&task)?;
        self.dated.remove(&task);
        if let Some(spread) = self.spreads.get_mut(&task.job) {
            drop_one(&mut spread.racks, running.rack);
            drop_one(&mut spread.nodes, running.node);
            if spread.nodes.is_empty() {
                self.spreads.remove(&task.job);
            }
        }
        Some(running)
    }

    /// Tasks with a deadline.
    pub(super) fn dated(&self) -> impl Iterator<Item = (task::Id, Unix, &Running)> {
        self.dated.iter().filter_map(|(&task, &deadline)| {
            self.tasks.get(&task).map(|running| (task, deadline, running))
        })
    }
}

fn drop_one(counts: &mut HashMap<usize, usize>, key: usize) {
    if let Some(count) = counts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&key);
        }
    }
}
