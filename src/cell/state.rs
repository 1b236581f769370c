//! State of a cell, computed from the records of its journal.
//!
//! The owner applies each record when it makes the decision, and an instance that takes the cell
//! over applies the records that it reads. Both reach the same state, because the result depends on
//! nothing but the records.

use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::fmt::{self, Formatter};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use super::Epoch;
use super::crash_score::CrashScore;
use super::index_set::IndexSet;
use super::job::{Id, Job, Phase, Run, RunOutcome, Step, StepKey, TaskKey};
use super::record::{Batch, Record, WorkerId};
use crate::clock::Unix;
use crate::resource::Amount;

/// Owner of a cell, as named in its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Address at which other instances reach it.
    pub peer: SocketAddr,
    /// Random number of the process, drawn at its start.
    pub incarnation: u64,
}

/// State of a cell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Epoch of the last claim.
    pub epoch: Epoch,
    /// Instance that made the claim.
    pub owner: Option<Owner>,
    /// All retained jobs.
    pub jobs: BTreeMap<Id, JobState>,
    /// Jobs that have not reached their final phase.
    pub open: BTreeSet<Id>,
    /// Runs that are placed and have not ended, with their workers.
    pub live: BTreeMap<Run, WorkerId>,
}

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
    pub tasks: Vec<TaskState>,
    /// Number of tasks that have succeeded.
    pub done: u32,
    /// Latest checkpoint of a gang, shared by all its members.
    #[serde(rename = "saved")]
    pub checkpoint: String,
    /// Numbers of the attempts of a gang in which a member failed.
    #[serde(rename = "failed_tries")]
    pub failed_runs: BTreeSet<u32>,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskState {
    /// Whether it has succeeded.
    pub done: bool,
    /// Number of its last attempt; zero before the first.
    #[serde(rename = "last")]
    pub last_run: u32,
    /// Number of attempts that are placed and have not ended.
    pub live: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// Evidence that it crashes its workers.
    #[serde(rename = "suspicion")]
    pub crash_score: CrashScore,
    /// Latest checkpoint from which another attempt can resume; empty for none.
    #[serde(rename = "saved")]
    pub checkpoint: String,
}

impl StepState {
    fn new(count: u32) -> Self {
        Self { tasks: vec![TaskState::default(); count as usize], ..Self::default() }
    }

    /// Whether all its tasks have succeeded.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Whether anything is known of it that a step without attempts does not have.
    pub fn has_begun(&self) -> bool {
        let has_begun = |task: &TaskState| *task != TaskState::default();
        let is_new = self.failed_runs.is_empty() && self.checkpoint.is_empty();
        !is_new || self.tasks.iter().any(has_begun)
    }

    /// Whether any task has an attempt that has not ended.
    pub fn is_live(&self) -> bool {
        self.tasks.iter().any(|task| task.live > 0)
    }
}

impl JobState {
    fn new(job: Job, accepted: Unix) -> Self {
        Self {
            job: Rc::new(job),
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

    fn step(&mut self, key: &StepKey) -> Option<&mut StepState> {
        if key.occurrence >= self.job.occurrences() || self.done.contains(key.occurrence) {
            return None;
        }
        self.occurrence(key.occurrence).get_mut(key.step as usize)
    }

    /// Closes an occurrence whose steps are all done, and the job with its last occurrence.
    fn close_if_done(&mut self, occurrence: u32, at: Unix) {
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

    /// Drops the details of an ended job once none of its runs is left.
    ///
    /// Ended jobs are kept for two minutes and make up most of the state. Without payloads and
    /// steps, 5,000 of them take about 0.3 MB instead of 7 MB, so that the whole state fits into
    /// one append.
    fn drop_details(&mut self) {
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
    fn complete_if_done(&mut self, at: Unix) {
        let open_done = self.open.values().all(|steps| steps.iter().all(StepState::is_done));
        let occurrences = self.done.len() + self.open.len();
        if open_done && occurrences == self.job.occurrences() as usize && !self.phase().is_final() {
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

impl State {
    /// Applies a batch; returns `false` and does nothing if a former owner wrote it.
    pub fn apply_batch(&mut self, batch: Batch) -> bool {
        let claims = matches!(batch.records.first(), Some(Record::Claimed { .. }));
        if claims {
            self.epoch = batch.epoch;
        } else if batch.epoch != self.epoch {
            return false;
        }
        for record in batch.records {
            self.apply(record, batch.at);
        }
        true
    }

    /// Applies one record that was written at `at`.
    pub fn apply(&mut self, record: Record, at: Unix) {
        match record {
            Record::Claimed { peer, incarnation } => {
                self.owner = Some(Owner { peer, incarnation });
            }
            Record::Accepted { at, job } => {
                let id = job.id;
                if let btree_map::Entry::Vacant(vacant) = self.jobs.entry(id) {
                    vacant.insert(JobState::new(job, at));
                    self.open.insert(id);
                }
            }
            Record::Cancelled { job } => self.close(job, at, |entry| entry.cancelled = true),
            Record::Failed { job } => self.close(job, at, |entry| entry.failed = true),
            Record::Placed { worker, runs } => {
                for run in runs {
                    self.place_run(run, &worker);
                }
            }
            Record::Ended { run, outcome, checkpoint, .. } => {
                self.end_run(run, outcome, checkpoint, at)
            }
        }
    }

    /// The step with that key, if its job is known and its occurrence in progress.
    pub fn step(&self, key: &StepKey) -> Option<&StepState> {
        self.jobs.get(&key.job)?.open.get(&key.occurrence)?.get(key.step as usize)
    }

    /// The task with that key, if its step is found.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskState> {
        self.step(&key.step)?.tasks.get(key.index as usize)
    }

    /// Records that a task of the job has started on a worker.
    pub fn mark_started(&mut self, job: Id) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.started = true;
        }
    }

    /// Records a checkpoint that was written during a run.
    pub fn set_checkpoint(&mut self, key: &TaskKey, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&key.step.job) else { return };
        let is_gang = entry.job.steps.get(key.step.step as usize).is_some_and(|step| step.gang);
        let Some(step) = entry.step(&key.step) else { return };
        if is_gang {
            checkpoint.clone_into(&mut step.checkpoint);
        } else if let Some(task) = step.tasks.get_mut(key.index as usize) {
            checkpoint.clone_into(&mut task.checkpoint);
        }
    }

    /// Removes and returns the jobs that ended longer than `retention` ago and have no runs left.
    pub fn remove_expired(&mut self, now: Unix, retention: Duration) -> Vec<Id> {
        let is_expired = |entry: &JobState| {
            let is_old = entry.ended.is_some_and(|ended| now.since(ended) > retention);
            is_old && !entry.open.values().flatten().any(StepState::is_live)
        };
        let ids: Vec<Id> =
            self.jobs.iter().filter(|(_, entry)| is_expired(entry)).map(|(id, _)| *id).collect();
        for id in &ids {
            self.jobs.remove(id);
        }
        ids
    }

    fn close(&mut self, job: Id, at: Unix, mark: impl FnOnce(&mut JobState)) {
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        if entry.phase().is_final() {
            return;
        }
        mark(entry);
        entry.ended = Some(at);
        entry.drop_details();
        self.open.remove(&job);
    }

    /// Applies a placement. Applying it twice changes nothing, since records that are part of a
    /// snapshot may be read again after it.
    fn place_run(&mut self, run: Run, worker: &WorkerId) {
        let Some(entry) = self.jobs.get_mut(&run.task.step.job) else { return };
        let Some(step) = entry.step(&run.task.step) else { return };
        let Some(task) = step.tasks.get_mut(run.task.index as usize) else { return };
        if run.number <= task.last_run {
            return;
        }
        task.last_run = run.number;
        task.live += 1;
        self.live.insert(run, worker.clone());
    }

    fn end_run(&mut self, run: Run, outcome: RunOutcome, checkpoint: String, at: Unix) {
        if self.live.remove(&run).is_none() {
            return;
        }
        let key = run.task.step;
        let Some(entry) = self.jobs.get_mut(&key.job) else { return };
        let Some(spec) = entry.job.steps.get(key.step as usize) else { return };
        let (is_gang, long_running) = (spec.gang, spec.long_running);
        entry.started |= outcome.is_reported_by_worker();
        let Some(step) = entry.step(&key) else { return };
        let Some(task) = step.tasks.get_mut(run.task.index as usize) else { return };
        task.live = task.live.saturating_sub(1);
        task.crash_score.record(outcome, long_running);
        if !checkpoint.is_empty() && !is_gang {
            task.checkpoint = checkpoint;
        } else if !checkpoint.is_empty() {
            step.checkpoint = checkpoint;
        }
        match outcome {
            RunOutcome::Succeeded if long_running => {}
            RunOutcome::Succeeded if is_gang => step.finish_gang(),
            RunOutcome::Succeeded => step.finish_task(run.task.index),
            RunOutcome::Failed if is_gang => {
                step.failed_runs.insert(run.number);
            }
            RunOutcome::Failed => step.tasks[run.task.index as usize].failures += 1,
            _ => {}
        }
        entry.complete_if_done(at);
        entry.close_if_done(key.occurrence, at);
        if entry.phase().is_final() {
            entry.drop_details();
            self.open.remove(&key.job);
        }
    }
}

impl StepState {
    fn finish_task(&mut self, index: u32) {
        let task = &mut self.tasks[index as usize];
        if !task.done {
            task.done = true;
            self.done += 1;
        }
    }

    /// The members of a gang finish together, so one success counts for all of them.
    fn finish_gang(&mut self) {
        for task in &mut self.tasks {
            task.done = true;
        }
        self.done = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
    }
}
