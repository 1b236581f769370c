//! Workers that fail what they start, told apart from jobs that fail wherever they start.
//!
//! A failure counts against a worker only while the job has not also failed on other workers, and
//! against a job name only by distinct workers. A worker on which several distinct jobs in a row
//! failed is quarantined, then tried with one task at a time, for ever longer spans.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Instant;
use crate::job;
use crate::task;

/// Distinct jobs that fail in a row on a worker before it is quarantined.
const FAILED_JOBS: usize = 3;
/// Distinct workers on which a job name fails before the job is held to be at fault.
const FAILED_WORKERS: usize = 3;
/// Length of the first quarantine.
const FIRST: Duration = Duration::from_secs(60);
/// Length of the longest quarantine.
const LONGEST: Duration = Duration::from_secs(60 * 60);
/// Tasks that succeed on probation before a worker is trusted again.
const TRIALS: u32 = 3;
/// Job names of which failures are kept; the oldest makes room.
const NAMES: usize = 4_096;

/// How far a worker is trusted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Takes all work.
    #[default]
    Healthy,
    /// Takes no work until the instant.
    Quarantined(Instant),
    /// Takes one task at a time, which may run already.
    Probation(Option<task::Id>),
}

impl Standing {
    /// Whether a new task may start at all.
    pub fn is_open(self) -> bool {
        matches!(self, Self::Healthy | Self::Probation(None))
    }
}

/// A job name of a team.
pub(super) type Label = (Rc<str>, Rc<str>);

/// What a finished task brought to light.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// The worker fails distinct jobs.
    Worker,
    /// The job fails on distinct workers.
    Job,
}

#[derive(Debug, Default)]
struct Record {
    failed: Vec<job::Id>,
    strikes: u32,
    trials: u32,
}

#[derive(Debug, Default)]
struct Suspect {
    workers: Vec<usize>,
    reported: bool,
}

/// Failures by worker and by job name.
#[derive(Debug, Default)]
pub(super) struct Health {
    records: HashMap<usize, Record>,
    suspects: HashMap<Label, Suspect>,
    order: VecDeque<Label>,
    avoid: BTreeMap<job::Id, Vec<usize>>,
}

impl Health {
    /// Workers on which tasks of this job failed.
    pub(super) fn avoided(&self, job: job::Id) -> &[usize] {
        self.avoid.get(&job).map_or(&[], Vec::as_slice)
    }

    /// Forgets where a job failed.
    pub(super) fn forget(&mut self, job: job::Id) {
        self.avoid.remove(&job);
    }

    /// Takes in a task that succeeded; returns whether the worker has passed its probation.
    pub(super) fn succeeded(&mut self, job: job::Id, label: &Label, worker: usize) -> bool {
        self.avoid.remove(&job);
        self.suspects.remove(label);
        let Some(record) = self.records.get_mut(&worker) else { return false };
        record.failed.clear();
        record.trials += 1;
        if record.strikes > 0 && record.trials < TRIALS {
            return false;
        }
        self.records.remove(&worker);
        true
    }

    /// Takes in a task that failed on a worker.
    pub(super) fn failed(&mut self, job: job::Id, label: &Label, worker: usize) -> Vec<Finding> {
        self.remember(job, worker);
        let mut findings = Vec::new();
        if self.suspect(label, worker) {
            findings.push(Finding::Job);
        }
        if self.fails_elsewhere(label, worker) {
            return findings;
        }
        let record = self.records.entry(worker).or_default();
        record.trials = 0;
        if !record.failed.contains(&job) {
            record.failed.push(job);
        }
        if record.failed.len() >= FAILED_JOBS || record.strikes > 0 {
            findings.push(Finding::Worker);
        }
        findings
    }

    /// Starts a quarantine; returns its length, which doubles each time.
    pub(super) fn quarantine(&mut self, worker: usize) -> Duration {
        let record = self.records.entry(worker).or_default();
        let span = FIRST.saturating_mul(1 << record.strikes.min(16)).min(LONGEST);
        record.strikes += 1;
        record.failed.clear();
        self.exculpate(worker);
        span
    }

    fn remember(&mut self, job: job::Id, worker: usize) {
        if self.avoid.len() >= NAMES && !self.avoid.contains_key(&job) {
            self.avoid.pop_first();
        }
        let workers = self.avoid.entry(job).or_default();
        if !workers.contains(&worker) && workers.len() < FAILED_WORKERS {
            workers.push(worker);
        }
    }

    /// Notes a failing worker of a job name; returns whether the job has just come to be held to
    /// be at fault.
    fn suspect(&mut self, label: &Label, worker: usize) -> bool {
        if !self.suspects.contains_key(label) {
            self.order.push_back(label.clone());
            self.shed();
        }
        let suspect = self.suspects.entry(label.clone()).or_default();
        if !suspect.workers.contains(&worker) && suspect.workers.len() < FAILED_WORKERS {
            suspect.workers.push(worker);
        }
        let found = suspect.workers.len() >= FAILED_WORKERS && !suspect.reported;
        suspect.reported |= found;
        found
    }

    fn shed(&mut self) {
        while self.order.len() > NAMES {
            if let Some(label) = self.order.pop_front() {
                self.suspects.remove(&label);
            }
        }
    }

    /// Failures on a worker that is at fault itself say nothing about the jobs.
    fn exculpate(&mut self, worker: usize) {
        for suspect in self.suspects.values_mut() {
            suspect.workers.retain(|&other| other != worker);
        }
    }

    /// A job that fails on several other workers says nothing about this one.
    fn fails_elsewhere(&self, label: &Label, worker: usize) -> bool {
        let Some(suspect) = self.suspects.get(label) else { return false };
        let others = suspect.workers.iter().filter(|&&other| other != worker).count();
        others + 1 >= FAILED_WORKERS
    }
}
