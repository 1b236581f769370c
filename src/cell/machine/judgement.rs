//! What the end of a try says of its worker and of its queue.

use super::{Live, Machine};
use crate::cell::job::{Run, RunOutcome};

impl Machine {
    /// Learns from an end about the worker and the queue.
    pub(super) fn judge(&mut self, run: &Run, live: &Live, end: RunOutcome) {
        let step = run.task.step;
        // Lasting tasks may fail at any time; that says nothing of their worker.
        if self.model(&step).is_some_and(|model| model.long_running) {
            return;
        }
        let Some(worker) = self.workers.get_mut(&live.worker) else { return };
        match end {
            RunOutcome::Succeeded => {
                worker.record_success();
                self.learn(run, live);
            }
            RunOutcome::Failed => {
                let quarantined = worker.record_failure(step.job, self.now);
                self.failed_on.entry(step).or_default().insert(live.worker.clone());
                if quarantined {
                    log::warn!("event=worker.quarantined worker={} reason=failures", live.worker);
                }
            }
            _ => {}
        }
    }

    fn learn(&mut self, run: &Run, live: &Live) {
        /// Weight of one run in the mean.
        const WEIGHT: f64 = 0.05;
        let Some(entry) = self.state.jobs.get(&run.task.step.job) else { return };
        let took = self.now.since(live.since).as_millis() as f64;
        let mean = self.run_times.entry(entry.job.queue.clone()).or_insert(took);
        *mean += (took - *mean) * WEIGHT;
    }
}
