//! A job and its progress, as the records of a journal define it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Formatter};
use std::rc::Rc;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::index_set::IndexSet;
use super::job::{Job, Phase, Step, StepKey};
use super::task_list::{Task, Tasks};
use crate::clock::Unix;
use crate::resource::Amount;

/// A job and its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted.
    pub job: Rc<Job>,
    /// Time of acceptance.
    pub accepted: Unix,
    /// Whether any of its tasks is known to have started on a worker. A placement is not
    /// sufficient, because the start command may never reach the worker.
    pub started: bool,
    /// Whether it was cancelled before it ended.
    pub cancelled: bool,
    /// Whether a task failed too often.
    pub failed: bool,
    /// Time at which it reached its final phase.
    pub ended: Option<Unix>,
    /// Occurrences whose tasks have all succeeded.
    pub done: IndexSet,
    /// Occurrences in progress.
    #[serde(deserialize_with = "begun_occurrences")]
    pub open: BTreeMap<u32, Vec<StepState>>,
    /// Work of the steps of a customer's job whose details have been dropped. It is not stored: an
    /// owner that reads the job's end from a record has it, one that reads it from a snapshot has
    /// not.
    #[serde(skip)]
    pub ended_work: Vec<StepWork>,
}

/// Decodes occurrences in progress, without those of which nothing has begun.
///
/// Guards against a snapshot of an earlier version, whose owner opened all due occurrences of a job,
/// of which there may be more than there is memory for.
fn begun_occurrences<'de, D>(deserializer: D) -> Result<BTreeMap<u32, Vec<StepState>>, D::Error>
where
    D: Deserializer<'de>,
{
    deserializer.deserialize_map(BegunOccurrences)
}

struct BegunOccurrences;

impl<'de> Visitor<'de> for BegunOccurrences {
    type Value = BTreeMap<u32, Vec<StepState>>;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("occurrences with their steps")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut open = BTreeMap::new();
        while let Some((number, steps)) = map.next_entry::<u32, Vec<StepState>>()? {
            if steps.iter().any(StepState::has_begun) {
                open.insert(number, steps);
            }
        }
        Ok(open)
    }
}

/// What a step of an ended job counts for the share of its customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StepWork {
    /// Resources of all its tasks together.
    pub demand: Amount,
    /// The caller's estimate of the run time of one task, in milliseconds.
    pub estimate_ms: u64,
}

/// Progress of a step of an occurrence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepState {
    /// Its tasks.
    pub tasks: Tasks,
    /// Number of tasks that have succeeded.
    pub done: u32,
    /// Latest checkpoint of a gang, shared by all its members.
    #[serde(rename = "saved")]
    pub checkpoint: String,
    /// Numbers of the attempts of a gang in which a member failed.
    #[serde(rename = "failed_tries")]
    pub failed_runs: BTreeSet<u32>,
}

impl StepState {
    fn new(count: u32) -> Self {
        Self { tasks: Tasks::new(count), ..Self::default() }
    }

    /// Whether all its tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Memory of the states of its tasks, of its checkpoint and its failed attempts, in bytes.
    fn heap_bytes(&self) -> usize {
        let failed = self.failed_runs.len() * size_of::<u64>();
        self.tasks.heap_bytes() + self.checkpoint.len() + failed
    }

    /// Whether anything is known of it that a step without attempts does not have.
    pub fn has_begun(&self) -> bool {
        let is_new = self.failed_runs.is_empty() && self.checkpoint.is_empty();
        !is_new || self.tasks.any(|task| *task != Task::default())
    }

    /// Whether any task has an attempt that has not ended.
    pub fn is_live(&self) -> bool {
        self.tasks.any(|task| task.live > 0)
    }
}

impl JobState {
    pub(super) fn new(job: Rc<Job>, accepted: Unix) -> Self {
        Self {
            job,
            accepted,
            started: false,
            cancelled: false,
            failed: false,
            ended: None,
            done: IndexSet::default(),
            open: BTreeMap::new(),
            ended_work: Vec::new(),
        }
    }

    /// Phase of the job, as shown to callers.
    pub fn phase(&self) -> Phase {
        if self.cancelled {
            Phase::Cancelled
        } else if self.failed {
            Phase::Failed
        } else if self.ended.is_some() {
            Phase::Completed
        } else if self.started {
            Phase::Running
        } else {
            Phase::Pending
        }
    }

    /// The steps of an occurrence, created at the first access.
    pub fn occurrence(&mut self, number: u32) -> &mut Vec<StepState> {
        let steps = &self.job.steps;
        self.open
            .entry(number)
            .or_insert_with(|| steps.iter().map(|step| StepState::new(step.count)).collect())
    }

    /// Occurrences that are neither done nor in progress, in the order of their due times.
    ///
    /// Occurrences are opened in this order, so that the first one is found at the end of the
    /// others, however many there are.
    pub fn unopened(&self) -> impl Iterator<Item = u32> {
        let count = self.job.occurrences();
        let left = self.done.absent().take_while(move |number| *number < count);
        left.filter(|number| !self.open.contains_key(number))
    }

    pub(super) fn step(&mut self, key: &StepKey) -> Option<&mut StepState> {
        if key.occurrence >= self.job.occurrences() || self.done.contains(key.occurrence) {
            return None;
        }
        self.occurrence(key.occurrence).get_mut(key.step as usize)
    }

    /// Closes an occurrence whose steps are all done, and the job with its last occurrence.
    pub(super) fn close_if_done(&mut self, occurrence: u32, at: Unix) {
        let Some(steps) = self.open.get(&occurrence) else { return };
        if !steps.iter().all(StepState::is_done) || steps.iter().any(StepState::is_live) {
            return;
        }
        self.open.remove(&occurrence);
        self.done.insert(occurrence);
        if self.done.len() == self.job.occurrences() as usize && !self.phase().is_final() {
            self.ended = Some(at);
        }
    }

    /// Memory of what has happened to its occurrences, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let steps = self.open.values().flatten();
        let steps: usize = steps.map(StepState::heap_bytes).sum();
        steps + self.done.heap_bytes()
    }

    /// Drops the details of an ended job once none of its runs is left.
    ///
    /// Ended jobs are kept for two minutes and make up most of the state. Without payloads and
    /// steps, 5,000 of them take about 0.3 MB instead of 7 MB, so that the whole state fits into
    /// one append.
    pub(super) fn drop_details(&mut self) {
        if self.open.values().flatten().any(StepState::is_live) {
            return;
        }
        self.open.clear();
        self.done.clear();
        if self.job.customer.is_some() && !self.job.steps.is_empty() {
            self.ended_work = self.job.steps.iter().map(StepWork::of).collect();
        }
        let Job { id, queue, customer, schedule, .. } = &*self.job;
        let (id, queue, customer, schedule) = (*id, queue.clone(), customer.clone(), *schedule);
        let (payload, steps) = (String::new(), Vec::new());
        self.job = Rc::new(Job { id, queue, customer, payload, steps, schedule });
    }

    /// Marks the job as completed once its last task has succeeded, even if runs are still
    /// stopping.
    pub(super) fn complete_if_done(&mut self, at: Unix) {
        let occurrences = self.done.len() + self.open.len();
        if occurrences != self.job.occurrences() as usize || self.phase().is_final() {
            return;
        }
        if self.open.values().all(|steps| steps.iter().all(StepState::is_done)) {
            self.ended = Some(at);
        }
    }
}

impl StepWork {
    /// Work of a step.
    pub fn of(step: &Step) -> Self {
        let demand = step.demand.checked_mul(u64::from(step.count)).unwrap_or(step.demand);
        Self { demand, estimate_ms: step.estimate_ms }
    }
}

impl StepState {
    pub(super) fn finish_task(&mut self, index: u32) {
        let was_done = self.tasks.update(index, |task| std::mem::replace(&mut task.done, true));
        if was_done == Some(false) {
            self.done += 1;
        }
    }

    /// The members of a gang finish together, so one success counts for all of them.
    pub(super) fn finish_gang(&mut self) {
        self.tasks.update_all(|task| task.done = true);
        self.done = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
    }
}
