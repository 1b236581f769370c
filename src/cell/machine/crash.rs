//! Worker crashes, and the tasks that may have caused them.
//!
//! A task may crash each worker that starts it, and everything that runs on the worker is lost.
//! After a crash at its start, a task is next started on a worker on which no task of another job
//! is starting, and none follows until it has been running for a while. The next crash then
//! identifies the task that causes it.

use std::time::Duration;

use super::{ActiveRun, Machine, Stage};
use crate::cell::job::{Id, Run, RunOutcome};
use crate::cell::worker::Worker;
use crate::clock::Instant;

/// Time after its start within which a task that crashes its worker does so.
const STARTUP: Duration = Duration::from_millis(500);

/// Jobs whose tasks are starting on a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StartingTasks {
    /// The job, or one of them if there are several.
    job: Option<Id>,
    multiple_jobs: bool,
    /// Whether any of the tasks is suspected of crashing its workers.
    suspect: bool,
}

impl StartingTasks {
    pub(super) fn add(&mut self, job: Id, suspect: bool) {
        self.multiple_jobs |= self.job.is_some_and(|other| other != job);
        self.job = Some(job);
        self.suspect |= suspect;
    }

    /// Whether a task of `job` may start beside these. Tasks of the same job always may, because
    /// the job fails as a whole.
    pub(super) fn admits(&self, job: Id, suspect: bool) -> bool {
        let same_job_only = !self.multiple_jobs && self.job.is_none_or(|other| other == job);
        same_job_only || !(suspect || self.suspect)
    }
}

impl Machine {
    /// Returns the tasks that are starting on a worker.
    pub(super) fn starting(&self, worker: &Worker) -> StartingTasks {
        let mut starting = StartingTasks::default();
        for run in &worker.runs {
            if self.runs.get(run).is_some_and(|active| active.is_starting(self.now)) {
                starting.add(run.task.step.job, self.is_suspect(run));
            }
        }
        starting
    }

    /// Whether the task is suspected of crashing its workers.
    pub(super) fn is_suspect(&self, run: &Run) -> bool {
        self.state.task(&run.task).is_some_and(|task| task.crash_score.is_suspect())
    }

    /// Returns how an attempt ends whose worker process is gone.
    pub(super) fn end_on_dead_worker(&self, worker: &Worker, active: &ActiveRun) -> RunOutcome {
        if active.was_never_sent() {
            RunOutcome::NeverStarted
        } else if worker.info.draining {
            RunOutcome::WorkerLost
        } else {
            match (active.was_started(), active.was_starting_at(worker.unresponsive_since)) {
                (Some(true), true) => RunOutcome::WorkerCrashedAtStart,
                (Some(false), false) => RunOutcome::WorkerLost,
                _ => RunOutcome::WorkerCrashed,
            }
        }
    }
}

impl ActiveRun {
    fn is_starting(&self, now: Instant) -> bool {
        match self.stage {
            Stage::Recording | Stage::Starting { .. } => true,
            Stage::Running(_) => now.since(self.since) < STARTUP,
            Stage::Recovered | Stage::Stopping { .. } => false,
        }
    }

    /// Whether neither this owner nor an earlier one has sent a start command for it.
    fn was_never_sent(&self) -> bool {
        matches!(self.stage, Stage::Recording | Stage::Starting { .. }) && self.starts_sent == 0
    }

    /// Whether its worker has reported that it started; `None` if that may have been reported to an
    /// earlier owner.
    fn was_started(&self) -> Option<bool> {
        (self.stage != Stage::Recovered).then_some(self.start_confirmed)
    }

    /// Whether its worker became silent while the attempt was starting or about to start.
    fn was_starting_at(&self, silent_since: Option<Instant>) -> bool {
        silent_since.is_some_and(|silent| self.since.after(STARTUP) >= silent)
    }
}
