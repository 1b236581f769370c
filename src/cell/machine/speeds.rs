//! Learned speeds of workers, and the speed that a step needs.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::pending::PendingStep;
use super::view::WorkerView;
use super::{ActiveRun, Machine};
use crate::cell::dependencies::WorkerInfo;
use crate::cell::job::{Run, StepKey};
use crate::cell::record::WorkerId;
use crate::cell::worker_speed::{Key, Model, StoredSpeed};
use crate::clock::Instant;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Weight of one task in the mean error of its queue's expected run times.
const BIAS_WEIGHT: f64 = 0.02;

/// Largest error of one task in that mean, so that single long tasks do not shift it.
const MAX_BIAS_SAMPLE: f64 = 1.5;

/// Factor by which a worker must be faster than the step needs, because its speed is known to about
/// a tenth.
const SPEED_MARGIN: f64 = 1.1;

/// Time that a job spends other than waiting and running, in milliseconds: start commands, reports,
/// appends to the journal, and the interval at which callers ask for its state.
const OVERHEAD_MS: f64 = 300.0;

/// Shares of a queue's tasks that are shorter than those for which a worker must be fast enough.
/// Long work needs the faster worker while there is time, and short work once there is little left.
const RUN_SHARES: [f64; 2] = [0.1, 0.9];

/// Least speed from which a step is tight: with little slack even on workers of the mean speed, it
/// gets the fastest ones, since its run time is not known exactly.
const TIGHT_SPEED: f64 = 0.65;

/// Class of workers that have turned slow.
const SLOW_CLASS: u8 = 0;

/// What the owner has learned of its workers' speeds.
#[derive(Debug, Default)]
pub(super) struct WorkerSpeeds {
    model: Model,
    /// Mean logarithm of expected over actual run time by queue, at the mean speed.
    bias: BTreeMap<String, f64>,
    /// Step of the latest sample of each worker.
    sampled: HashMap<WorkerId, StepKey>,
    next_log: Instant,
}

/// Least speed with which a step is on time.
#[derive(Clone, Copy, Debug)]
pub(super) struct MinSpeed(f64);

impl MinSpeed {
    /// Whether the step is on time on the worker.
    pub(super) fn admits(self, view: &WorkerView) -> bool {
        view.speed >= self.0
    }

    /// Position in the order in which workers are tried; the smallest comes first. Workers that are
    /// fast enough come first, from the slowest class on, or from the fastest for a tight step, then
    /// the others from the fastest class on. Workers that have turned slow come last among those that
    /// are fast enough, since they hold capacity several times as long.
    pub(super) fn preference(self, view: &WorkerView) -> usize {
        let class = usize::from(view.speed_class);
        match (self.admits(view), view.speed_class) {
            (true, _) if self.0 >= TIGHT_SPEED => Model::CLASSES - class,
            (true, SLOW_CLASS) => Model::CLASSES,
            (true, _) => class,
            (false, _) => 2 * Model::CLASSES - class,
        }
    }
}

impl Machine {
    /// Speeds of the workers as learned so far.
    pub const fn worker_speeds(&self) -> &Model {
        &self.speeds.model
    }

    /// The learned speeds, for the next owner.
    pub(super) fn export_worker_speeds(&self) -> Vec<StoredSpeed> {
        if self.timings.features.worker_speeds { self.speeds.model.export() } else { Vec::new() }
    }

    /// Speed of a worker as learned so far; 1 if it is not known or does not matter.
    pub(super) fn relative_speed(&self, worker: &WorkerId) -> f64 {
        self.workers.get(worker).map_or(1.0, |worker| self.speed_of(&worker.info).0)
    }

    /// Takes over the speeds that an earlier owner stored.
    pub fn import_worker_speeds(&mut self, stored: &[StoredSpeed]) {
        if self.timings.features.worker_speeds {
            self.speeds.model.import(stored, self.now);
        }
    }

    /// Whether placement takes the speeds into account.
    pub(super) const fn considers_speeds(&self) -> bool {
        self.timings.features.worker_speeds && self.speeds.model.is_uneven()
    }

    /// Speed and speed class of a worker.
    pub(super) fn speed_of(&self, listed: &WorkerInfo) -> (f64, u8) {
        if !self.considers_speeds() {
            return (1.0, 1);
        }
        self.speeds.model.speed_and_class(&Key::of(listed))
    }

    /// Learns from a task that succeeded. Members of a gang end with the slowest, and tasks resumed
    /// from a checkpoint or started by an earlier owner have run for an unknown time.
    pub(super) fn record_speed(&mut self, run: &Run, active: &ActiveRun) {
        if !self.timings.features.worker_speeds || active.starts_sent == 0 {
            return;
        }
        let step = run.task.step;
        let Some(entry) = self.state.jobs.get(&step.job) else { return };
        let Some(spec) = entry.job.steps.get(step.step as usize) else { return };
        let Some(queue) = self.config.queue(&entry.job.queue) else { return };
        let resumed = self.state.step(&step).is_some_and(|state| {
            state.tasks.get(run.task.index).is_some_and(|task| !task.checkpoint.is_empty())
        });
        if spec.gang || resumed {
            return;
        }
        // Tasks of a step share the error of its estimate. Several on one worker are no independent
        // evidence, and equal workers would seem to differ.
        if self.speeds.sampled.insert(active.worker.clone(), step) == Some(step) {
            return;
        }
        let expected = self.expected_run_ms(spec, queue);
        let took = self.now.since(active.since).as_millis() as f64;
        if expected < 1.0 || took < 1.0 {
            return;
        }
        let Some(worker) = self.workers.get(&active.worker) else { return };
        let key = Key::of(&worker.info);
        let speeds = &mut self.speeds;
        let bias = speeds.bias.entry(entry.job.queue.clone()).or_insert(0.0);
        let corrected = expected * (-*bias).exp();
        let error = (expected / took).ln() - speeds.model.speed(&key).ln() - *bias;
        *bias += error.clamp(-MAX_BIAS_SAMPLE, MAX_BIAS_SAMPLE) * BIAS_WEIGHT;
        speeds.model.record(&key, corrected, took, self.now);
    }

    /// Fits the speeds again if that is due, and logs them from time to time.
    pub(super) fn refresh_speeds(&mut self) {
        if !self.timings.features.worker_speeds || !self.speeds.model.refresh(self.now) {
            return;
        }
        let workers = &self.workers;
        self.speeds.sampled.retain(|worker, _| workers.contains_key(worker));
        if self.now < self.speeds.next_log {
            return;
        }
        self.speeds.next_log = self.now.after(LOG_INTERVAL);
        let mut counts = [0; Model::CLASSES];
        for worker in self.workers.values() {
            counts[usize::from(self.speeds.model.speed_and_class(&Key::of(&worker.info)).1)] += 1;
        }
        let [turned_slow, slow, middle, fast] = counts;
        log::info!(
            "event=workers.speeds uneven={} turned_slow={turned_slow} slow={slow} middle={middle} \
             fast={fast} noise={:.2}",
            self.speeds.model.is_uneven(),
            self.speeds.model.noise()
        );
    }

    /// Returns the least speed with which the step is on time; `None` if its speed does not matter.
    /// A step that is too late for any speed leaves the fast workers to others.
    pub(super) fn min_speed(&self, step: &PendingStep) -> Option<MinSpeed> {
        if !self.considers_speeds() || step.spec().long_running {
            return None;
        }
        let accepted = self.state.jobs.get(&step.key.job)?.accepted.as_millis();
        let speed_for = |share| {
            let (run, left) =
                self.run_and_time_left_ms(&step.job, &step.queue, &step.key, accepted, share);
            let left = left - OVERHEAD_MS;
            (left > 0.0).then_some(run * SPEED_MARGIN / left)
        };
        Some(MinSpeed(RUN_SHARES.into_iter().filter_map(speed_for).fold(0.0, f64::max)))
    }
}
