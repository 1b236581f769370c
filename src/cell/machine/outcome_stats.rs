//! Statistics about workers and queues, updated from the ends of attempts.

use super::{ActiveRun, Machine};
use crate::cell::job::{Run, RunOutcome};

impl Machine {
    /// Updates the worker's failure count and speed, and the run times of the queue.
    pub(super) fn update_stats(&mut self, run: &Run, active: &ActiveRun, end: RunOutcome) {
        let step = run.task.step;
        // Long-running tasks may fail at any time, which is no evidence against their worker.
        if self.spec(&step).is_some_and(|spec| spec.long_running) {
            return;
        }
        let streak = self.failure_rate.improbable_streak();
        if matches!(end, RunOutcome::Succeeded | RunOutcome::Failed) {
            self.failure_rate.record(end == RunOutcome::Failed);
        }
        let Some(worker) = self.workers.get_mut(&active.worker) else { return };
        match end {
            RunOutcome::Succeeded => {
                worker.record_success();
                self.record_speed(run, active);
                self.update_mean_run_time(run, active);
                self.record_run_time(run, active);
            }
            RunOutcome::Failed => {
                let quarantined = worker.record_failure(step.job, streak, self.now);
                self.failed_workers.entry(step).or_default().insert(active.worker.clone());
                if quarantined {
                    log::warn!(
                        "event=worker.quarantined worker={} reason=failures jobs={streak}",
                        active.worker
                    );
                }
            }
            _ => {}
        }
    }

    fn update_mean_run_time(&mut self, run: &Run, active: &ActiveRun) {
        /// Weight of one run in the mean.
        const WEIGHT: f64 = 0.05;
        let Some(entry) = self.state.jobs.get(&run.task.step.job) else { return };
        let took = self.now.since(active.since).as_millis() as f64;
        let mean = self.mean_run_times_ms.entry(entry.job.queue.clone()).or_insert(took);
        *mean += (took - *mean) * WEIGHT;
    }
}
