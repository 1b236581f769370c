//! Waiting jobs.
//!
//! Jobs of one team with the same kind, urgency and demand form a class: when one of them does not
//! fit, usually none does. Such a class is parked until a worker has enough free capacity or a time
//! limit passes, so that a long queue costs little while nothing changes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use super::estimate::RunTimeEstimate;
use super::search::Denial;
use super::{Policy, Strategy};
use crate::clock::{Instant, Unix, millis};
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;
use crate::task;

/// A job with waiting tasks.
#[derive(Clone, Debug)]
pub(super) struct WaitingJob {
    pub(super) job: job::Id,
    pub(super) team: usize,
    pub(super) name: Rc<str>,
    pub(super) kind: Kind,
    pub(super) urgency: Urgency,
    pub(super) deadline: Option<Unix>,
    pub(super) estimate: Option<RunTimeEstimate>,
    pub(super) demand: Amount,
    pub(super) tasks: VecDeque<task::Id>,
    pub(super) queued: Instant,
}

impl WaitingJob {
    /// The latest start at which the deadline is expected to be met.
    pub(super) fn latest_start(&self) -> Option<Unix> {
        let run = self.estimate.map_or(0, |estimate| millis(estimate.typical));
        let deadline = self.deadline?.as_millis();
        Some(Unix::from_millis(deadline.saturating_sub(run)))
    }

    /// Demand that must be met at once: of all tasks of a gang, else of one task.
    pub(super) fn atomic_demand(&self) -> Amount {
        match self.kind {
            Kind::Gang => super::arithmetic::multiplied(&self.demand, self.tasks.len()),
            Kind::Batch | Kind::LongRunning => self.demand,
        }
    }

    /// Sort key within a class: shortest first or oldest first, by policy.
    fn order_key(&self, policy: &Policy) -> OrderKey {
        let queued = self.queued.as_millis();
        let shortest = policy.strategy == Strategy::FairShare && policy.shortest_first;
        match self.estimate {
            _ if !shortest => (queued, 0, self.job),
            Some(estimate) => (millis(estimate.typical), queued, self.job),
            None => (u64::MAX, queued, self.job),
        }
    }
}

type OrderKey = (u64, u64, job::Id);

/// What jobs of a class have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ClassKey {
    pub(super) team: usize,
    pub(super) kind: Kind,
    pub(super) urgency: Urgency,
    pub(super) demand: Amount,
    /// Number of tasks of a gang, else zero.
    gang: usize,
}

/// Whether placing a class should be attempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClassState {
    Runnable,
    /// No task could be placed; skipped until free capacity grows or the instant is reached.
    Parked(Instant),
}

/// Jobs with the same key.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) key: ClassKey,
    pub(super) state: ClassState,
    pub(super) last_denial: Option<Denial>,
    /// Failed attempts since a job of the class was last placed.
    pub(super) failed_attempts: u32,
    ordered: BTreeSet<OrderKey>,
    by_queue_time: BTreeSet<(Instant, job::Id)>,
    by_latest_start: BTreeSet<(Unix, job::Id)>,
}

/// Priority of a job among others of equal urgency; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PriorityBand {
    /// The latest start is near (within the slack window).
    NearDeadline,
    /// The latest start has passed.
    Late,
    /// Waited for at least the aging threshold.
    Aged,
    /// None of these; ordered by fair share.
    FairShare,
}

/// First job of a class, with its priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Head {
    pub(super) band: PriorityBand,
    pub(super) order: u64,
    pub(super) job: job::Id,
}

/// All waiting jobs.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: HashMap<job::Id, (usize, WaitingJob)>,
    classes: Vec<Class>,
    by_key: HashMap<ClassKey, usize>,
    free_indexes: Vec<usize>,
}

impl Queue {
    pub(super) fn get(&self, job: job::Id) -> Option<&WaitingJob> {
        self.jobs.get(&job).map(|(_, waiting)| waiting)
    }

    pub(super) fn class_of(&self, job: job::Id) -> Option<&Class> {
        self.jobs.get(&job).map(|(class, _)| &self.classes[*class])
    }

    pub(super) fn class(&self, index: usize) -> &Class {
        &self.classes[index]
    }

    pub(super) fn class_mut(&mut self, index: usize) -> &mut Class {
        &mut self.classes[index]
    }

    /// Classes that contain jobs.
    pub(super) fn classes(&self) -> impl Iterator<Item = (usize, &Class)> {
        self.classes.iter().enumerate().filter(|(_, class)| !class.ordered.is_empty())
    }

    pub(super) fn insert(&mut self, waiting: WaitingJob, policy: &Policy) {
        let index = self.class_index(&waiting);
        let class = &mut self.classes[index];
        class.ordered.insert(waiting.order_key(policy));
        class.by_queue_time.insert((waiting.queued, waiting.job));
        if let Some(due) = waiting.latest_start() {
            class.by_latest_start.insert((due, waiting.job));
        }
        if waiting.urgency == Urgency::Urgent {
            class.state = ClassState::Runnable;
        }
        self.jobs.insert(waiting.job, (index, waiting));
    }

    pub(super) fn remove(&mut self, job: job::Id, policy: &Policy) -> Option<WaitingJob> {
        let (index, waiting) = self.jobs.remove(&job)?;
        let class = &mut self.classes[index];
        class.ordered.remove(&waiting.order_key(policy));
        class.by_queue_time.remove(&(waiting.queued, job));
        if let Some(due) = waiting.latest_start() {
            class.by_latest_start.remove(&(due, job));
        }
        if class.ordered.is_empty() {
            self.by_key.remove(&class.key);
            self.free_indexes.push(index);
        }
        Some(waiting)
    }

    /// Resets the failed attempts of a job's class after the job was placed.
    pub(super) fn reset_attempts(&mut self, job: job::Id) {
        if let Some(&(class, _)) = self.jobs.get(&job) {
            self.classes[class].failed_attempts = 0;
        }
    }

    /// Removes a waiting task.
    pub(super) fn remove_task(&mut self, task: task::Id, policy: &Policy) {
        let Some(mut waiting) = self.remove(task.job, policy) else { return };
        waiting.tasks.retain(|&other| other != task);
        if !waiting.tasks.is_empty() {
            self.insert(waiting, policy);
        }
    }

    /// Removes the first `count` tasks of a job, and the job when none are left.
    pub(super) fn remove_first_tasks(&mut self, job: job::Id, count: usize, policy: &Policy) {
        let Some((_, waiting)) = self.jobs.get_mut(&job) else { return };
        waiting.tasks.drain(..count.min(waiting.tasks.len()));
        if waiting.tasks.is_empty() {
            self.remove(job, policy);
        }
    }

    /// Rebuilds the orders after the policy has changed from `old` to `new`.
    pub(super) fn reorder(&mut self, old: &Policy, new: &Policy) {
        let mut ids: Vec<_> = self.jobs.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            if let Some(waiting) = self.remove(id, old) {
                self.insert(waiting, new);
            }
        }
        self.classes.iter_mut().for_each(|class| class.state = ClassState::Runnable);
    }

    /// Makes parked classes runnable whose demand `fits` accepts or whose time limit has passed.
    pub(super) fn unpark(&mut self, now: Instant, fits: impl Fn(&Amount) -> bool) {
        for class in &mut self.classes {
            let ClassState::Parked(until) = class.state else { continue };
            if !class.ordered.is_empty() && (until <= now || fits(&class.key.demand)) {
                class.state = ClassState::Runnable;
            }
        }
    }

    /// The job of a class with the highest priority.
    pub(super) fn head(
        &self,
        index: usize,
        now: Instant,
        unix: Unix,
        policy: &Policy,
    ) -> Option<Head> {
        let class = &self.classes[index];
        if policy.strategy != Strategy::FairShare {
            let &(order, _, job) = class.ordered.first()?;
            return Some(Head { band: PriorityBand::FairShare, order, job });
        }
        let near_deadline = class
            .near_deadline(unix, policy)
            .map(|(due, job)| (PriorityBand::NearDeadline, due, job));
        let (band, order, job) = near_deadline
            .or_else(|| class.late(unix).map(|(due, job)| (PriorityBand::Late, due, job)))
            .or_else(|| {
                class.aged(now, policy).map(|(queued, job)| (PriorityBand::Aged, queued, job))
            })
            .or_else(|| {
                class.ordered.first().map(|&(order, _, job)| (PriorityBand::FairShare, order, job))
            })?;
        Some(Head { band, order, job })
    }

    /// The first `count` jobs of a class in the policy's order.
    pub(super) fn first(&self, index: usize, count: usize) -> Vec<job::Id> {
        self.classes[index].ordered.iter().take(count).map(|order_key| order_key.2).collect()
    }

    /// Waiting jobs whose latest start is before `unix`.
    pub(super) fn due_before(&self, unix: Unix) -> impl Iterator<Item = &WaitingJob> {
        let due = self.classes.iter().flat_map(move |class| {
            class
                .by_latest_start
                .iter()
                .take_while(move |(due, _)| *due < unix)
                .map(|(_, job)| *job)
        });
        due.filter_map(|job| self.get(job))
    }

    fn class_index(&mut self, waiting: &WaitingJob) -> usize {
        let gang = if waiting.kind == Kind::Gang { waiting.tasks.len() } else { 0 };
        let key = ClassKey {
            team: waiting.team,
            kind: waiting.kind,
            urgency: waiting.urgency,
            demand: waiting.demand,
            gang,
        };
        if let Some(&index) = self.by_key.get(&key) {
            return index;
        }
        let class = Class::new(key.clone());
        let index = match self.free_indexes.pop() {
            Some(index) => {
                self.classes[index] = class;
                index
            }
            None => {
                self.classes.push(class);
                self.classes.len() - 1
            }
        };
        self.by_key.insert(key, index);
        index
    }
}

impl Class {
    fn new(key: ClassKey) -> Self {
        Self {
            key,
            state: ClassState::Runnable,
            last_denial: None,
            failed_attempts: 0,
            ordered: BTreeSet::new(),
            by_queue_time: BTreeSet::new(),
            by_latest_start: BTreeSet::new(),
        }
    }

    fn near_deadline(&self, unix: Unix, policy: &Policy) -> Option<(u64, job::Id)> {
        let next = self.by_latest_start.range((unix, job::Id::from_raw(0))..).next();
        let &(due, job) = next.filter(|(due, _)| *due <= unix.after(policy.slack_window))?;
        Some((due.as_millis(), job))
    }

    fn late(&self, unix: Unix) -> Option<(u64, job::Id)> {
        let &(due, job) = self.by_latest_start.first().filter(|(due, _)| *due < unix)?;
        Some((due.as_millis(), job))
    }

    fn aged(&self, now: Instant, policy: &Policy) -> Option<(u64, job::Id)> {
        let oldest = self.by_queue_time.first();
        let &(queued, job) = oldest.filter(|(at, _)| at.after(policy.aging_threshold) <= now)?;
        Some((queued.as_millis(), job))
    }
}
