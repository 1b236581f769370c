//! State of a cell, computed from the records of its journal.
//!
//! The owner applies each record when it makes the decision, and an instance that takes the cell
//! over applies the records that it reads. Both reach the same state, because the result depends on
//! nothing but the records.

use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Epoch;
use super::job::{Id, Run, RunOutcome, StepKey, TaskKey};
use super::job_state::{JobState, StepState};
use super::record::{Batch, Record, WorkerId};
use super::task_list::Task;
use crate::clock::Unix;

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
                    vacant.insert(JobState::new(Rc::new(job), at));
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
    pub fn task(&self, key: &TaskKey) -> Option<&Task> {
        self.step(&key.step)?.tasks.get(key.index)
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
        } else {
            step.tasks.update(key.index, |task| checkpoint.clone_into(&mut task.checkpoint));
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
        let is_new = step.tasks.update(run.task.index, |task| {
            let is_new = run.number > task.last_run;
            if is_new {
                task.last_run = run.number;
                task.live += 1;
            }
            is_new
        });
        if is_new == Some(true) {
            self.live.insert(run, worker.clone());
        }
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
        let index = run.task.index;
        let (of_task, of_gang) =
            if is_gang { (String::new(), checkpoint) } else { (checkpoint, String::new()) };
        let ended = step.tasks.update(index, |task| {
            task.live = task.live.saturating_sub(1);
            task.crash_score.record(outcome, long_running);
            task.failures += u32::from(outcome == RunOutcome::Failed && !is_gang);
            if !of_task.is_empty() {
                task.checkpoint = of_task;
            }
        });
        if ended.is_none() {
            return;
        }
        if !of_gang.is_empty() {
            step.checkpoint = of_gang;
        }
        match outcome {
            RunOutcome::Succeeded if long_running => {}
            RunOutcome::Succeeded if is_gang => step.finish_gang(),
            RunOutcome::Succeeded => step.finish_task(index),
            RunOutcome::Failed if is_gang => {
                step.failed_runs.insert(run.number);
            }
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
