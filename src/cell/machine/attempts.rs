//! Limits of the attempts of a task, beyond which its job fails.
//!
//! They are judged by the state of the task, at each end of an attempt and again before each
//! placement. The end alone is not sufficient: its owner may not have a configuration yet, or may
//! be lost before it has recorded the failure of the job.

use derive_more::Display;

use super::Machine;
use crate::cell::job::{Run, RunOutcome, StepKey, TaskKey};
use crate::cell::record::Record;

/// Why a task is not attempted again, so that its job fails.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum FailureReason {
    /// It has failed as often as its queue allows.
    #[display("attempts")]
    Attempts,
    /// It has crashed too many workers.
    #[display("crashes")]
    Crashes,
}

impl Machine {
    /// Returns why the task may not be attempted again; `None` if it may, or if the configuration
    /// does not contain its queue, in which case it cannot be placed either.
    pub(super) fn failure_reason(&self, task: &TaskKey) -> Option<FailureReason> {
        let long_running = self.spec(&task.step)?.long_running;
        let state = self.state.task(task)?;
        if state.done && !long_running {
            return None;
        }
        if state.crash_score.is_proven_cause() {
            return Some(FailureReason::Crashes);
        }
        let max_failures = self.max_failures(&task.step)?;
        let exhausted = !long_running && self.failures(task) >= max_failures.max(1);
        exhausted.then_some(FailureReason::Attempts)
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
        let max_failures = self.max_failures(&run.task.step);
        log::info!(
            "event=task.attempt_failed task={run} failures={} max_failures={} config_version={}",
            self.failures(&run.task),
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

    /// Number of failed attempts of the task or, in a gang, of the whole gang.
    fn failures(&self, task: &TaskKey) -> u32 {
        let is_gang = self.spec(&task.step).is_some_and(|spec| spec.gang);
        let Some(step) = self.state.step(&task.step) else { return 0 };
        if is_gang {
            return u32::try_from(step.failed_runs.len()).unwrap_or(u32::MAX);
        }
        step.tasks.get(task.index as usize).map_or(0, |state| state.failures)
    }
}
