//! Jobs of a failure domain, as recorded in the log.
//!
//! Every instance of the domain builds the same table from the same records. The rules that decide
//! whether a task is retried are therefore part of the table and depend on nothing but the records.

mod job;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

pub use job::{Job, MAX_FAILURES, Task};

use crate::clock::Unix;
use crate::job::Id;
use crate::owner::record::Entry;
use crate::store::Offset;
use crate::{task, worker};

/// Jobs by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    jobs: BTreeMap<Id, Job>,
    /// Jobs by the offset of their latest snapshot.
    snapshots: BTreeSet<(Offset, Id)>,
    /// Current attempts, by the worker that may hold resources for them.
    placed: BTreeMap<worker::Name, BTreeSet<task::Id>>,
}

impl Table {
    /// The job named `id`.
    pub fn get(&self, id: Id) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Every job, by identity.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Every job after `cursor`, by identity.
    pub fn after(&self, cursor: Option<Id>) -> impl Iterator<Item = &Job> {
        let start = cursor.map_or(Unbounded, Excluded);
        self.jobs.range((start, Unbounded)).map(|(_, job)| job)
    }

    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Offset of the oldest among the latest snapshots of all jobs.
    pub fn oldest_snapshot(&self) -> Option<Offset> {
        self.snapshots.first().map(|(offset, _)| *offset)
    }

    /// Jobs by the offset of their latest snapshot, oldest first.
    pub fn by_snapshot_age(&self) -> impl Iterator<Item = &Job> {
        self.snapshots.iter().filter_map(|(_, id)| self.jobs.get(id))
    }

    /// Current attempts for which `worker` may hold resources.
    pub fn placed_on(&self, worker: &worker::Name) -> impl Iterator<Item = task::Id> {
        self.placed.get(worker).into_iter().flatten().copied()
    }

    /// Applies one change read at `offset`.
    ///
    /// A change to a job that is not in the table is skipped: the replay started after the job was
    /// accepted, and a snapshot of the job follows.
    pub fn apply(&mut self, entry: &Entry, offset: Offset, now: Unix) {
        match entry {
            Entry::Accepted(acceptance) if self.jobs.contains_key(&acceptance.job) => {}
            Entry::Accepted(acceptance) => self.insert(Job::new(acceptance, offset, now)),
            Entry::Placed(placements) => {
                for placement in placements {
                    self.update(placement.task.job, |job| job.place(placement));
                }
            }
            Entry::Ended(conclusion) => {
                self.update(conclusion.task.job, |job| job.conclude(conclusion));
            }
            Entry::Unresolved(task) => self.update(task.job, |job| job.unresolve(*task)),
            Entry::Cancelled(cancellation) => {
                self.update(cancellation.job, |job| job.cancel(cancellation.at));
            }
            Entry::Restated(snapshot) => self.insert(Job::from_snapshot(snapshot, offset, now)),
            Entry::Pruned(job) => {
                self.remove(*job);
            }
            Entry::Retired(_) | Entry::Alert(_) | Entry::Alerts(_) => {}
        }
    }

    fn update(&mut self, id: Id, change: impl FnOnce(&mut Job)) {
        if let Some(mut job) = self.remove(id) {
            change(&mut job);
            self.insert(job);
        }
    }

    fn remove(&mut self, id: Id) -> Option<Job> {
        let job = self.jobs.remove(&id)?;
        self.snapshots.remove(&(job.snapshot_offset, id));
        for (worker, task) in job.placements() {
            if let Some(tasks) = self.placed.get_mut(worker) {
                tasks.remove(&task);
            }
        }
        Some(job)
    }

    fn insert(&mut self, job: Job) {
        self.remove(job.id);
        self.snapshots.insert((job.snapshot_offset, job.id));
        for (worker, task) in job.placements() {
            self.placed.entry(worker.clone()).or_default().insert(task);
        }
        self.jobs.insert(job.id, job);
    }
}
