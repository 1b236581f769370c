//! Workers that crash, and the tasks that may have crashed them.
//!
//! A task may crash each worker that starts it, and all that runs there is lost with the worker. Once
//! one has crashed as the task began, its next try begins on a worker on which no other job's task is
//! beginning, and none follows until it has settled: the next crash then tells the task that is to blame from
//! those that merely began beside it.

use std::time::Duration;

use super::{Live, Machine, Stage};
use crate::cell::job::{Id, Run, RunOutcome};
use crate::cell::worker::Worker;
use crate::clock::Instant;

/// Time from its start in which a task that crashes its worker does so.
const STARTUP: Duration = Duration::from_millis(500);

/// Jobs whose tasks begin on a worker at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Starting {
    /// The job, where it is one alone.
    job: Option<Id>,
    several: bool,
    /// Whether any of the tasks is suspected.
    suspect: bool,
}

impl Starting {
    pub(super) fn add(&mut self, job: Id, suspect: bool) {
        self.several |= self.job.is_some_and(|other| other != job);
        self.job = Some(job);
        self.suspect |= suspect;
    }

    /// Whether tasks of `job` may begin beside these. Those of one job may: it is given up as a whole.
    pub(super) fn admits(&self, job: Id, suspect: bool) -> bool {
        let alone = !self.several && self.job.is_none_or(|other| other == job);
        alone || !(suspect || self.suspect)
    }
}

impl Machine {
    /// What begins on a worker at present.
    pub(super) fn starting(&self, worker: &Worker) -> Starting {
        let mut starting = Starting::default();
        for run in &worker.runs {
            if self.runs.get(run).is_some_and(|live| live.is_starting(self.now)) {
                starting.add(run.task.step.job, self.is_suspect(run));
            }
        }
        starting
    }

    /// Whether the task may be what crashes its workers.
    pub(super) fn is_suspect(&self, run: &Run) -> bool {
        self.state.task(&run.task).is_some_and(|task| task.crash_score.is_suspect())
    }

    /// How a try ends whose worker's life is over.
    pub(super) fn end_with(&self, worker: &Worker, live: &Live) -> RunOutcome {
        if live.is_unsent() {
            RunOutcome::NeverStarted
        } else if worker.info.draining {
            RunOutcome::WorkerLost
        } else {
            match (live.has_begun(), live.came_just_before(worker.unresponsive_since)) {
                (Some(true), true) => RunOutcome::WorkerCrashedAtStart,
                (Some(false), false) => RunOutcome::WorkerLost,
                _ => RunOutcome::WorkerCrashed,
            }
        }
    }

    /// Whether a task is given up for the workers that have crashed under it.
    pub(super) fn is_given_up(&self, run: &Run) -> bool {
        self.state.task(&run.task).is_some_and(|task| task.crash_score.is_proven_cause())
    }
}

impl Live {
    fn is_starting(&self, now: Instant) -> bool {
        match self.stage {
            Stage::Recording | Stage::Starting { .. } => true,
            Stage::Running(_) => now.since(self.since) < STARTUP,
            Stage::Inherited | Stage::Stopping { .. } => false,
        }
    }

    /// Whether no order to start it has left this owner or an earlier one.
    fn is_unsent(&self) -> bool {
        matches!(self.stage, Stage::Recording | Stage::Starting { .. }) && self.tries == 0
    }

    /// Whether its worker has said that it began; `None` where that may have been said to an earlier
    /// owner.
    fn has_begun(&self) -> Option<bool> {
        (self.stage != Stage::Inherited).then_some(self.begun)
    }

    /// Whether its worker fell silent as it began, or was to begin.
    fn came_just_before(&self, silent_since: Option<Instant>) -> bool {
        silent_since.is_some_and(|silent| self.since.after(STARTUP) >= silent)
    }
}
