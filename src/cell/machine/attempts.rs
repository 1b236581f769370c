//! Limits of the attempts of a task, beyond which its job fails.
//!
//! They are judged by the state of the task, at each end of an attempt and again before each
//! placement. The end alone is not sufficient: its owner may not have a configuration yet, or may
//! be lost before it has recorded the failure of the job.

use derive_more::Display;

use super::Machine;
use super::pending::waits;
use crate::cell::job::{Run, RunOutcome, Step, StepKey, TaskKey};
use crate::cell::job_state::StepState;
use crate::cell::record::Record;
use crate::cell::task_list::Task;

/// Why a task is not attempted again, so that its job fails.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum FailureReason {
    /// It has failed as often as its queue allows.
    #[display("attempts")]
    Attempts,
    /// It has crashed too many workers.
    #[display("crashes")]
    Crashes,
    /// The store has removed records that may have told of its success.
    #[display("records_lost")]
    RecordsLost,
}

impl Machine {
    /// Returns why the task may not be attempted again; `None` if it may, or if the configuration
    /// does not contain its queue, in which case it cannot be placed either.
    pub(super) fn failure_reason(&self, task: &TaskKey) -> Option<FailureReason> {
        let (spec, step) = (self.spec(&task.step)?, self.state.step(&task.step)?);
        FailureReason::of(spec, step, task.index, self.max_failures(&task.step))
    }

    /// Fails the job of a task that may not be attempted again.
    pub(super) fn fail_job(&mut self, task: &TaskKey, reason: FailureReason) {
        let job = task.step.job;
        let last_run = self.state.task(task).map_or(0, |state| state.last_run);
        log::warn!("event=job.failed job={job} task={task}#{last_run} reason={reason}");
        self.record(Record::Failed { job });
        self.finish_job(job);
        self.stop_job(job);
    }

    /// Logs what a failed attempt is compared with.
    pub(super) fn log_failed_attempt(&self, run: &Run, end: RunOutcome) {
        if end != RunOutcome::Failed {
            return;
        }
        let TaskKey { step: key, index } = run.task;
        let (Some(spec), Some(step)) = (self.spec(&key), self.state.step(&key)) else { return };
        let Some(task) = step.tasks.get(index) else { return };
        let max_failures = self.max_failures(&key);
        log::info!(
            "event=task.attempt_failed task={run} failures={} max_failures={} config_version={}",
            failures(spec, step, task),
            max_failures.map_or_else(|| "unknown".to_owned(), |limit| limit.to_string()),
            self.config.version
        );
    }

    /// Number of failed attempts after which the step's job fails; `None` while the configuration
    /// does not contain its queue.
    fn max_failures(&self, key: &StepKey) -> Option<u32> {
        let entry = self.state.jobs.get(&key.job)?;
        self.config.queue(&entry.job.queue).map(|queue| queue.max_failures)
    }
}

impl FailureReason {
    /// Returns why a task of a step may not be attempted again; `None` if it may. Failures are not
    /// judged without `max_failures`, the number that its queue allows.
    pub(super) fn of(
        spec: &Step,
        step: &StepState,
        index: u32,
        max_failures: Option<u32>,
    ) -> Option<Self> {
        Self::of_task(spec, step, step.tasks.get(index)?, max_failures)
    }

    /// Returns the first of the waiting tasks of a step that may not be attempted again, and why.
    pub(super) fn first(
        spec: &Step,
        step: &StepState,
        max_failures: Option<u32>,
    ) -> Option<(u32, Self)> {
        let mut waiting = step.tasks.groups().filter(|(_, task)| waits(spec, task));
        waiting.find_map(|(indexes, task)| {
            Some((indexes.start, Self::of_task(spec, step, task, max_failures)?))
        })
    }

    fn of_task(
        spec: &Step,
        step: &StepState,
        task: &Task,
        max_failures: Option<u32>,
    ) -> Option<Self> {
        if task.done && !spec.long_running {
            return None;
        }
        if task.crash_score.is_proven_cause() {
            return Some(Self::Crashes);
        }
        let exhausted = !spec.long_running && failures(spec, step, task) >= max_failures?.max(1);
        exhausted.then_some(Self::Attempts)
    }
}

/// Number of failed attempts of a task or, in a gang, of the whole gang.
fn failures(spec: &Step, step: &StepState, task: &Task) -> u32 {
    if spec.gang {
        u32::try_from(step.failed_runs.len()).unwrap_or(u32::MAX)
    } else {
        task.failures
    }
}
