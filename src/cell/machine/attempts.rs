//! Failed attempts of a task, and the number of them that its queue allows.

use super::Machine;
use crate::cell::job::{Run, RunOutcome, StepKey};

impl Machine {
    /// Whether the task of `run` may be attempted again after its failures so far.
    pub(super) fn may_retry(&self, run: &Run) -> bool {
        let key = run.task.step;
        let Some(spec) = self.spec(&key) else { return false };
        if spec.long_running {
            return true;
        }
        let max_failures = self.max_failures(&key).unwrap_or(u32::MAX);
        self.failures(run) < max_failures.max(1)
    }

    /// Logs what a failed attempt is compared with.
    pub(super) fn log_failed_attempt(&self, run: &Run, end: RunOutcome) {
        if end != RunOutcome::Failed {
            return;
        }
        let max_failures = self.max_failures(&run.task.step);
        log::info!(
            "event=task.attempt_failed task={run} failures={} max_failures={} config_version={}",
            self.failures(run),
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

    /// Number of failed attempts of the task of `run` or, in a gang, of the whole gang.
    fn failures(&self, run: &Run) -> u32 {
        let key = run.task.step;
        let is_gang = self.spec(&key).is_some_and(|spec| spec.gang);
        let Some(step) = self.state.step(&key) else { return 0 };
        if is_gang {
            return u32::try_from(step.failed_runs.len()).unwrap_or(u32::MAX);
        }
        step.tasks.get(run.task.index as usize).map_or(0, |task| task.failures)
    }
}
