//! Waiting jobs.
//!
//! Jobs of one team with the same needs form a class: when one of them finds no room, none does.
//! A class that found no room is parked until room grows on a worker that could take it, so that
//! a long queue costs nothing while nothing changes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use super::estimate::RunTimeEstimate;
use super::search::Denial;
use super::{Policy, Strategy};
use crate::clock::{Instant, Unix, millis};
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;
use crate::task;

/// A job whose tasks wait.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
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

impl Waiting {
    /// The latest start from which the deadline is expected to be met.
    pub(super) fn latest_start(&self) -> Option<Unix> {
        let run = self.estimate.map_or(0, |estimate| millis(estimate.typical));
        let deadline = self.deadline?.as_millis();
        Some(Unix::from_millis(deadline.saturating_sub(run)))
    }

    /// What all its tasks that must start at once need.
    pub(super) fn step(&self) -> Amount {
        match self.kind {
            Kind::Gang => super::measure::times(&self.demand, self.tasks.len()),
            Kind::Batch | Kind::LongRunning => self.demand,
        }
    }

    /// Place in the order of a class: shortest first or oldest first, as the rules say.
    fn turn(&self, policy: &Policy) -> Turn {
        let queued = self.queued.as_millis();
        let shortest = policy.strategy == Strategy::FairShare && policy.shortest_first;
        match self.estimate {
            _ if !shortest => (queued, 0, self.job),
            Some(estimate) => (millis(estimate.typical), queued, self.job),
            None => (u64::MAX, queued, self.job),
        }
    }
}

type Turn = (u64, u64, job::Id);

/// What makes jobs alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Alike {
    pub(super) team: usize,
    pub(super) kind: Kind,
    pub(super) urgency: Urgency,
    pub(super) demand: Amount,
    /// Tasks of a gang, else zero.
    gang: usize,
}

/// Whether a class is worth a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Runnable,
    /// Found no room; until room grows or the instant has come.
    Parked(Instant),
}

/// Jobs that are alike.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) alike: Alike,
    pub(super) state: State,
    pub(super) cause: Option<Denial>,
    /// Fruitless tries since a job of the class was last placed.
    pub(super) tries: u32,
    turns: BTreeSet<Turn>,
    aged: BTreeSet<(Instant, job::Id)>,
    dated: BTreeSet<(Unix, job::Id)>,
}

/// What puts a job before others; the smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Band {
    /// The latest start is near.
    Pressing,
    /// The latest start has passed.
    Late,
    /// Waited for long.
    Aged,
    /// None of these.
    Fair,
}

/// The job of a class that goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Head {
    pub(super) band: Band,
    pub(super) order: u64,
    pub(super) job: job::Id,
}

/// All waiting jobs.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: HashMap<job::Id, (usize, Waiting)>,
    classes: Vec<Class>,
    by_alike: HashMap<Alike, usize>,
    vacant: Vec<usize>,
}

impl Queue {
    pub(super) fn get(&self, job: job::Id) -> Option<&Waiting> {
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

    /// Classes with jobs in them.
    pub(super) fn classes(&self) -> impl Iterator<Item = (usize, &Class)> {
        self.classes.iter().enumerate().filter(|(_, class)| !class.turns.is_empty())
    }

    pub(super) fn insert(&mut self, waiting: Waiting, policy: &Policy) {
        let index = self.class_index(&waiting);
        let class = &mut self.classes[index];
        class.turns.insert(waiting.turn(policy));
        class.aged.insert((waiting.queued, waiting.job));
        if let Some(due) = waiting.latest_start() {
            class.dated.insert((due, waiting.job));
        }
        if waiting.urgency == Urgency::Urgent {
            class.state = State::Runnable;
        }
        self.jobs.insert(waiting.job, (index, waiting));
    }

    pub(super) fn remove(&mut self, job: job::Id, policy: &Policy) -> Option<Waiting> {
        let (index, waiting) = self.jobs.remove(&job)?;
        let class = &mut self.classes[index];
        class.turns.remove(&waiting.turn(policy));
        class.aged.remove(&(waiting.queued, job));
        if let Some(due) = waiting.latest_start() {
            class.dated.remove(&(due, job));
        }
        if class.turns.is_empty() {
            self.by_alike.remove(&class.alike);
            self.vacant.push(index);
        }
        Some(waiting)
    }

    /// Notes that a job of a class was placed.
    pub(super) fn forget_tries(&mut self, job: job::Id) {
        if let Some(&(class, _)) = self.jobs.get(&job) {
            self.classes[class].tries = 0;
        }
    }

    /// Drops a task that waits.
    pub(super) fn drop_task(&mut self, task: task::Id, policy: &Policy) {
        let Some(mut waiting) = self.remove(task.job, policy) else { return };
        waiting.tasks.retain(|&other| other != task);
        if !waiting.tasks.is_empty() {
            self.insert(waiting, policy);
        }
    }

    /// Drops the first tasks of a job, and the job with its last one.
    pub(super) fn advance(&mut self, job: job::Id, count: usize, policy: &Policy) {
        let Some((_, waiting)) = self.jobs.get_mut(&job) else { return };
        waiting.tasks.drain(..count.min(waiting.tasks.len()));
        if waiting.tasks.is_empty() {
            self.remove(job, policy);
        }
    }

    /// Builds the orders anew after the rules have changed; `old` are the former ones.
    pub(super) fn reorder(&mut self, old: &Policy, new: &Policy) {
        let mut ids: Vec<_> = self.jobs.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            if let Some(waiting) = self.remove(id, old) {
                self.insert(waiting, new);
            }
        }
        self.classes.iter_mut().for_each(|class| class.state = State::Runnable);
    }

    /// Makes the parked classes runnable that `fits` accepts or whose instant has come.
    pub(super) fn wake(&mut self, now: Instant, fits: impl Fn(&Amount) -> bool) {
        for class in &mut self.classes {
            let State::Parked(until) = class.state else { continue };
            if !class.turns.is_empty() && (until <= now || fits(&class.alike.demand)) {
                class.state = State::Runnable;
            }
        }
    }

    /// The job of a class that goes first.
    pub(super) fn head(
        &self,
        index: usize,
        now: Instant,
        unix: Unix,
        policy: &Policy,
    ) -> Option<Head> {
        let class = &self.classes[index];
        if policy.strategy != Strategy::FairShare {
            let &(order, _, job) = class.turns.first()?;
            return Some(Head { band: Band::Fair, order, job });
        }
        let pressing = class.pressing(unix, policy).map(|(due, job)| (Band::Pressing, due, job));
        let (band, order, job) = pressing
            .or_else(|| class.late(unix).map(|(due, job)| (Band::Late, due, job)))
            .or_else(|| class.old(now, policy).map(|(queued, job)| (Band::Aged, queued, job)))
            .or_else(|| class.turns.first().map(|&(order, _, job)| (Band::Fair, order, job)))?;
        Some(Head { band, order, job })
    }

    /// The first jobs of a class in their order.
    pub(super) fn first(&self, index: usize, count: usize) -> Vec<job::Id> {
        self.classes[index].turns.iter().take(count).map(|turn| turn.2).collect()
    }

    /// Waiting jobs whose latest start lies before `unix`.
    pub(super) fn due_before(&self, unix: Unix) -> impl Iterator<Item = &Waiting> {
        let due = self.classes.iter().flat_map(move |class| {
            class.dated.iter().take_while(move |(due, _)| *due < unix).map(|(_, job)| *job)
        });
        due.filter_map(|job| self.get(job))
    }

    fn class_index(&mut self, waiting: &Waiting) -> usize {
        let gang = if waiting.kind == Kind::Gang { waiting.tasks.len() } else { 0 };
        let alike = Alike {
            team: waiting.team,
            kind: waiting.kind,
            urgency: waiting.urgency,
            demand: waiting.demand,
            gang,
        };
        if let Some(&index) = self.by_alike.get(&alike) {
            return index;
        }
        let class = Class::new(alike.clone());
        let index = match self.vacant.pop() {
            Some(index) => {
                self.classes[index] = class;
                index
            }
            None => {
                self.classes.push(class);
                self.classes.len() - 1
            }
        };
        self.by_alike.insert(alike, index);
        index
    }
}

impl Class {
    fn new(alike: Alike) -> Self {
        Self {
            alike,
            state: State::Runnable,
            cause: None,
            tries: 0,
            turns: BTreeSet::new(),
            aged: BTreeSet::new(),
            dated: BTreeSet::new(),
        }
    }

    fn pressing(&self, unix: Unix, policy: &Policy) -> Option<(u64, job::Id)> {
        let next = self.dated.range((unix, job::Id::from_raw(0))..).next();
        let &(due, job) = next.filter(|(due, _)| *due <= unix.after(policy.slack_window))?;
        Some((due.as_millis(), job))
    }

    fn late(&self, unix: Unix) -> Option<(u64, job::Id)> {
        let &(due, job) = self.dated.first().filter(|(due, _)| *due < unix)?;
        Some((due.as_millis(), job))
    }

    fn old(&self, now: Instant, policy: &Policy) -> Option<(u64, job::Id)> {
        let oldest = self.aged.first();
        let &(queued, job) = oldest.filter(|(at, _)| at.after(policy.aging_threshold) <= now)?;
        Some((queued.as_millis(), job))
    }
}
