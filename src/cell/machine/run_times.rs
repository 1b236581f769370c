//! Run times of tasks: samples from their ends, and expectations for placement and preemption.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{ActiveRun, Machine};
use crate::cell::job::{Run, Step};
use crate::cell::learned::Record;
use crate::cell::queue::Queue;
use crate::cell::run_time::{Model, Prediction, sample_weight};
use crate::clock::Instant;

/// Minimum interval between two log lines about one queue.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Learned run times, and when their samples began.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    model: Model,
    /// Start of the first task of each queue that gave a sample to this owner.
    sampled_since: BTreeMap<String, Instant>,
    next_log: BTreeMap<String, Instant>,
}

impl Machine {
    /// Expected run time of a task on a worker of speed 1, in milliseconds. Without learned run
    /// times, it is the mean of the caller's estimate and of the run times observed in the queue.
    pub(super) fn expected_run_ms(&self, step: &Step, queue: &Queue) -> f64 {
        if let Some(prediction) = self.predict(step, queue) {
            return prediction.mean();
        }
        let estimate = step.estimate_ms as f64;
        match self.mean_run_times_ms.get(&queue.name) {
            Some(mean) if step.estimate_ms > 0 => f64::midpoint(estimate, *mean),
            Some(mean) => *mean,
            None => estimate,
        }
    }

    /// Run time that the given share of such tasks does not exceed on a worker of speed 1, in
    /// milliseconds. Without learned run times, it is the expected run time.
    pub(super) fn run_time_quantile_ms(&self, step: &Step, queue: &Queue, share: f64) -> f64 {
        match self.predict(step, queue) {
            Some(prediction) => prediction.quantile(share),
            None => self.expected_run_ms(step, queue),
        }
    }

    /// Whether the run times of the queue's tasks have been learned and are to be used.
    pub(super) fn has_learned_run_times(&self, queue: &Queue) -> bool {
        self.timings.features.run_times && self.run_times.model.predict(&queue.name, 0).is_some()
    }

    fn predict(&self, step: &Step, queue: &Queue) -> Option<Prediction<'_>> {
        let model = self.timings.features.run_times.then_some(&self.run_times.model)?;
        model.predict(&queue.name, step.estimate_ms)
    }

    /// What this owner has learned, for its successor.
    pub fn learned_record(&self) -> Record {
        Record {
            run_times: self.run_times.model.clone(),
            worker_speeds: self.export_worker_speeds(),
        }
    }

    /// Mean error of the learned run times of a queue, as a factor.
    pub(super) fn learned_error(&self, queue: &str) -> Option<f64> {
        let summary =
            self.run_times.model.summary(queue).filter(|_| self.timings.features.run_times);
        summary.map(|summary| summary.mean_error.exp())
    }

    /// Takes over what an earlier owner had learned, except for queues of which this owner has more
    /// samples.
    pub(super) fn adopt_learned(&mut self, record: Record) {
        if self.timings.features.run_times {
            self.run_times.model.merge(record.run_times);
        }
        self.import_worker_speeds(&record.worker_speeds);
    }

    /// Drops what was learned about queues that are no longer configured.
    pub(super) fn forget_removed_queues(&mut self) {
        let config = &self.config;
        self.run_times.model.retain(|name| config.queue(name).is_some());
    }

    /// Adds the time that a task took until it succeeded.
    pub(super) fn record_run_time(&mut self, run: &Run, active: &ActiveRun) {
        if !self.timings.features.run_times || !self.is_run_time_sample(run, active) {
            return;
        }
        let Some(entry) = self.state.jobs.get(&run.task.step.job) else { return };
        let Some(step) = entry.job.steps.get(run.task.step.step as usize) else { return };
        let (queue, estimate_ms) = (entry.job.queue.clone(), step.estimate_ms);
        let took = self.now.since(active.since);
        let took_ms = took.as_secs_f64() * 1_000.0;
        let work_ms = took_ms * self.relative_speed(&active.worker);
        let since = self.run_times.sampled_since.entry(queue.clone()).or_insert(active.since);
        *since = (*since).min(active.since);
        let sampled_ms = self.now.since(*since).as_secs_f64() * 1_000.0;
        let weight = sample_weight(took_ms, sampled_ms);
        self.run_times.model.record_weighted(&queue, estimate_ms, work_ms, weight);
        self.log_run_times(queue);
    }

    /// Whether the attempt ran from the task's beginning to its end, on a start command of this
    /// owner. A gang gives one sample, since its members end together.
    fn is_run_time_sample(&self, run: &Run, active: &ActiveRun) -> bool {
        let key = run.task.step;
        let Some((spec, step)) = self.spec(&key).zip(self.state.step(&key)) else { return false };
        let is_from_start = run.number == 1 || !(spec.checkpoints || spec.speculative);
        let is_first_of_gang = !spec.gang || !step.is_done();
        let is_timed = active.starts_sent > 0 && active.start_confirmed && !active.stop_requested;
        is_timed && is_from_start && is_first_of_gang && !spec.long_running
    }

    fn log_run_times(&mut self, queue: String) {
        let now = self.now;
        if self.run_times.next_log.get(&queue).is_some_and(|next| now < *next) {
            return;
        }
        let Some(summary) = self.run_times.model.summary(&queue) else { return };
        log::info!(
            "event=run_times.learned queue={} samples={} estimate_weight={:.2} spread={:.2} \
             mean_error={:.2}",
            crate::logging::value(&queue),
            summary.samples,
            summary.estimate_weight,
            summary.spread,
            summary.mean_error
        );
        self.run_times.next_log.insert(queue, now.after(LOG_INTERVAL));
    }
}
