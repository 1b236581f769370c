//! Distinguishes faulty workers from faulty jobs.
//!
//! A failure counts against a worker unless jobs of that name also fail on several other workers.
//! It counts against a job name once for each distinct worker. A worker on which several distinct
//! jobs fail in a row is quarantined and then put on probation, with one task at a time. Each
//! further quarantine lasts twice as long, up to a limit.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Instant;
use crate::job;
use crate::task;

/// Distinct jobs that fail in a row on a worker before it is quarantined.
const FAILED_JOBS: usize = 3;
/// Distinct workers on which a job name fails before the job is considered faulty.
const FAILED_WORKERS: usize = 3;
/// Length of the first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);
/// Length of the longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(60 * 60);
/// Tasks that must succeed on probation before a worker is healthy again.
const PROBATION_SUCCESSES: u32 = 3;
/// Job names, and jobs, whose failures are stored; the oldest is evicted.
const MAX_JOB_NAMES: usize = 4_096;

/// Which tasks a worker may get, given its recent failures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerHealth {
    /// Accepts all tasks.
    #[default]
    Healthy,
    /// Accepts no tasks until the instant.
    Quarantined(Instant),
    /// Accepts one task at a time; holds the task that runs now, if any.
    Probation(Option<task::Id>),
}

impl WorkerHealth {
    /// Whether a new task may start.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Healthy | Self::Probation(None))
    }
}

/// Team and job name.
pub(super) type JobName = (Rc<str>, Rc<str>);

/// What a failed task shows to be faulty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FaultSource {
    /// The worker: distinct jobs fail on it.
    Worker,
    /// The job: it fails on distinct workers.
    Job,
}

#[derive(Debug, Default)]
struct WorkerFailures {
    failed_jobs: Vec<job::Id>,
    quarantines: u32,
    successes: u32,
}

#[derive(Debug, Default)]
struct JobFailures {
    workers: Vec<usize>,
    reported: bool,
}

/// Failures by worker and by job name.
#[derive(Debug, Default)]
pub(super) struct FailureTracker {
    by_worker: HashMap<usize, WorkerFailures>,
    by_job_name: HashMap<JobName, JobFailures>,
    insertion_order: VecDeque<JobName>,
    failed_on: BTreeMap<job::Id, Vec<usize>>,
}

impl FailureTracker {
    /// Workers on which tasks of this job failed.
    pub(super) fn failed_workers(&self, job: job::Id) -> &[usize] {
        self.failed_on.get(&job).map_or(&[], Vec::as_slice)
    }

    /// Removes the record of the workers on which a job failed.
    pub(super) fn forget_job(&mut self, job: job::Id) {
        self.failed_on.remove(&job);
    }

    /// Records a success; returns whether the worker has passed its probation.
    pub(super) fn record_success(
        &mut self,
        job: job::Id,
        job_name: &JobName,
        worker: usize,
    ) -> bool {
        self.failed_on.remove(&job);
        self.by_job_name.remove(job_name);
        let Some(failures) = self.by_worker.get_mut(&worker) else { return false };
        failures.failed_jobs.clear();
        failures.successes += 1;
        if failures.quarantines > 0 && failures.successes < PROBATION_SUCCESSES {
            return false;
        }
        self.by_worker.remove(&worker);
        true
    }

    /// Records a failure on a worker; returns what it shows to be faulty.
    pub(super) fn record_failure(
        &mut self,
        job: job::Id,
        job_name: &JobName,
        worker: usize,
    ) -> Vec<FaultSource> {
        self.record_failed_worker(job, worker);
        let mut faults = Vec::new();
        if self.record_job_failure(job_name, worker) {
            faults.push(FaultSource::Job);
        }
        if self.fails_on_other_workers(job_name, worker) {
            return faults;
        }
        let failures = self.by_worker.entry(worker).or_default();
        failures.successes = 0;
        if !failures.failed_jobs.contains(&job) {
            failures.failed_jobs.push(job);
        }
        if failures.failed_jobs.len() >= FAILED_JOBS || failures.quarantines > 0 {
            faults.push(FaultSource::Worker);
        }
        faults
    }

    /// Records the start of a quarantine; returns its length, which doubles each time.
    pub(super) fn start_quarantine(&mut self, worker: usize) -> Duration {
        let failures = self.by_worker.entry(worker).or_default();
        let span = FIRST_QUARANTINE
            .saturating_mul(1 << failures.quarantines.min(16))
            .min(LONGEST_QUARANTINE);
        failures.quarantines += 1;
        failures.failed_jobs.clear();
        self.discard_failures_on(worker);
        span
    }

    fn record_failed_worker(&mut self, job: job::Id, worker: usize) {
        if self.failed_on.len() >= MAX_JOB_NAMES && !self.failed_on.contains_key(&job) {
            self.failed_on.pop_first();
        }
        let workers = self.failed_on.entry(job).or_default();
        if !workers.contains(&worker) && workers.len() < FAILED_WORKERS {
            workers.push(worker);
        }
    }

    /// Records that a job name failed on a worker; returns whether the job is newly considered
    /// faulty.
    fn record_job_failure(&mut self, job_name: &JobName, worker: usize) -> bool {
        if !self.by_job_name.contains_key(job_name) {
            self.insertion_order.push_back(job_name.clone());
            self.evict_oldest();
        }
        let failures = self.by_job_name.entry(job_name.clone()).or_default();
        if !failures.workers.contains(&worker) && failures.workers.len() < FAILED_WORKERS {
            failures.workers.push(worker);
        }
        let at_fault = failures.workers.len() >= FAILED_WORKERS && !failures.reported;
        failures.reported |= at_fault;
        at_fault
    }

    fn evict_oldest(&mut self) {
        while self.insertion_order.len() > MAX_JOB_NAMES {
            if let Some(job_name) = self.insertion_order.pop_front() {
                self.by_job_name.remove(&job_name);
            }
        }
    }

    /// Removes failures on a faulty worker, which are no evidence against the jobs.
    fn discard_failures_on(&mut self, worker: usize) {
        for failures in self.by_job_name.values_mut() {
            failures.workers.retain(|&other| other != worker);
        }
    }

    /// Whether a job name fails on several other workers, so that its failure is no evidence
    /// against this one.
    fn fails_on_other_workers(&self, job_name: &JobName, worker: usize) -> bool {
        let Some(failures) = self.by_job_name.get(job_name) else { return false };
        let others = failures.workers.iter().filter(|&&other| other != worker).count();
        others + 1 >= FAILED_WORKERS
    }
}
