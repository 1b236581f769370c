//! Run times learned by queue: how the time that a task takes depends on its caller's estimate.
//!
//! For each queue, the logarithm of the time taken is a linear function of the logarithm of the
//! estimate, with a distribution of the residuals. Both come from decayed sums, so that a sample
//! costs the same time and the state has the same size regardless of their number. See
//! `docs/design/run-times.md`.

mod distribution;
mod fit;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use distribution::Distribution;
use fit::Fit;

/// Number of samples from which a queue is predicted.
pub const MIN_SAMPLES: u64 = 20;

/// Maximum number of queues, and of bytes in the name of one. With 1.3 KB each, the encoded model
/// stays under 64 KB.
pub const MAX_QUEUES: usize = 32;
const MAX_NAME_BYTES: usize = 256;

/// Estimates and run times above 30 days are not samples.
const MAX_MS: f64 = 30.0 * 86_400_000.0;

/// Weight limit of one sample.
const MAX_WEIGHT: f64 = 2.0;

/// Run times learned by queue.
///
/// ```
/// use oriolefork::cell::run_time::Model;
/// let mut model = Model::default();
/// for number in 0..200_u64 {
///     // Tasks that take twice their estimate.
///     let estimate_ms = 500 + 10 * number;
///     model.record("nightly", estimate_ms, 2.0 * estimate_ms as f64);
/// }
/// let prediction = model.predict("nightly", 1_000).unwrap();
/// assert!((prediction.quantile(0.5) / 2_000.0 - 1.0).abs() < 0.1);
/// assert!(prediction.spread() < 0.2);
/// assert!(model.predict("hourly", 1_000).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredModel")]
pub struct Model {
    queues: BTreeMap<String, QueueModel>,
}

/// The model as read from a record.
#[derive(Deserialize)]
struct StoredModel {
    queues: BTreeMap<String, QueueModel>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct QueueModel {
    /// Run times by estimate, of tasks that have one.
    by_estimate: Fit,
    /// Run times of all tasks.
    overall: Fit,
}

impl TryFrom<StoredModel> for Model {
    type Error = &'static str;

    fn try_from(stored: StoredModel) -> Result<Self, Self::Error> {
        let mut queues = stored.queues;
        for queue in queues.values_mut() {
            if !queue.by_estimate.is_valid() || !queue.overall.is_valid() {
                return Err("the figures of a queue are out of range");
            }
            queue.by_estimate.refresh();
            queue.overall.refresh();
        }
        Ok(Self { queues })
    }
}

/// Figures about a queue for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Number of samples.
    pub samples: u64,
    /// Weight of the estimate: zero if it says nothing, one if run times are proportional to it.
    pub estimate_weight: f64,
    /// Standard deviation of the residuals, which are natural logarithms.
    pub spread: f64,
    /// Mean absolute difference between the natural logarithms of prediction and time taken.
    pub mean_error: f64,
}

impl Model {
    /// Adds the time that a task took from its start to its end on a worker of speed 1.
    pub fn record(&mut self, queue: &str, estimate_ms: u64, took_ms: f64) {
        self.record_weighted(queue, estimate_ms, took_ms, 1.0);
    }

    /// Adds a sample that counts `weight` times, at most twice.
    pub fn record_weighted(&mut self, queue: &str, estimate_ms: u64, took_ms: f64, weight: f64) {
        if !(took_ms > 0.0 && took_ms <= MAX_MS && weight > 0.0) || queue.len() > MAX_NAME_BYTES {
            return;
        }
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            return;
        }
        let weight = weight.min(MAX_WEIGHT);
        let took = took_ms.max(1.0).ln();
        let model = self.queues.entry(queue.to_owned()).or_default();
        if let Some(estimate) = logarithm(estimate_ms) {
            model.by_estimate.record(estimate, took, weight);
        }
        model.overall.record(0.0, took, weight);
    }

    /// Predicts the run time of a task; `None` below [`MIN_SAMPLES`]. Without an estimate, or with
    /// one far from the queue's other estimates, the distribution of all tasks of the queue is
    /// used.
    ///
    /// ```
    /// use oriolefork::cell::run_time::Model;
    /// let mut model = Model::default();
    /// for number in 0..100 {
    ///     model.record("nightly", 900 + number, 3_000.0);
    /// }
    /// for estimate_ms in [0, 1_000, u64::MAX] {
    ///     let median = model.predict("nightly", estimate_ms).unwrap().quantile(0.5);
    ///     assert!((2_700.0..3_300.0).contains(&median), "{median}");
    /// }
    /// ```
    pub fn predict(&self, queue: &str, estimate_ms: u64) -> Option<Prediction<'_>> {
        let model = self.queues.get(queue)?;
        let estimate = logarithm(estimate_ms).filter(|x| model.by_estimate.is_usual(*x));
        let by_estimate = estimate.and_then(|x| Prediction::new(&model.by_estimate, x));
        by_estimate.or_else(|| Prediction::new(&model.overall, 0.0))
    }

    /// Figures about a queue; `None` before its first sample.
    pub fn summary(&self, queue: &str) -> Option<Summary> {
        let model = self.queues.get(queue)?;
        let is_by_estimate = model.by_estimate.samples >= MIN_SAMPLES;
        let fit = if is_by_estimate { &model.by_estimate } else { &model.overall };
        Some(Summary {
            samples: model.overall.samples,
            estimate_weight: fit.slope(),
            spread: fit.spread(),
            mean_error: fit.mean_error(),
        })
    }

    /// Takes over the queues of which `other` has more samples.
    pub fn merge(&mut self, other: Self) {
        for (name, theirs) in other.queues {
            let has_more = self
                .queues
                .get(&name)
                .is_none_or(|mine| mine.overall.samples < theirs.overall.samples);
            if has_more && (self.queues.contains_key(&name) || self.queues.len() < MAX_QUEUES) {
                self.queues.insert(name, theirs);
            }
        }
    }

    /// Removes the queues for which `keep` is false, so that renamed queues do not fill the model.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.queues.retain(|name, _| keep(name));
    }
}

/// Predicted distribution of a task's run time on a worker of speed 1.
#[derive(Clone, Copy, Debug)]
pub struct Prediction<'a> {
    location: f64,
    spread: f64,
    distribution: &'a Distribution,
}

impl<'a> Prediction<'a> {
    fn new(fit: &'a Fit, x: f64) -> Option<Self> {
        let distribution = fit.distribution()?;
        Some(Self { location: fit.origin(x), spread: fit.spread(), distribution })
    }

    /// Time that the given share of such tasks does not exceed, in milliseconds.
    pub fn quantile(&self, share: f64) -> f64 {
        (self.location + self.distribution.quantile(share)).exp()
    }

    /// Mean time of such tasks, in milliseconds.
    pub fn mean(&self) -> f64 {
        self.location.exp() * self.distribution.mean_factor
    }

    /// Standard deviation of the logarithm.
    pub const fn spread(&self) -> f64 {
        self.spread
    }
}

/// Weight of a sample among tasks that have been started for `window_ms`.
///
/// Long tasks end later than short ones that started with them, so the first ends are those of
/// short tasks. A task that takes `d` has ended only if it started in the first `W - d` of the
/// window `W`, so that long tasks are missing from the samples. The weight `1 + d / W` restores
/// most of their share, and becomes one as the window grows.
///
/// ```
/// use oriolefork::cell::run_time::sample_weight;
/// assert_eq!(sample_weight(500.0, 1_000.0), 1.5);
/// assert!(sample_weight(500.0, 1_000_000.0) < 1.001);
/// ```
pub fn sample_weight(took_ms: f64, window_ms: f64) -> f64 {
    1.0 + took_ms / window_ms.max(took_ms).max(1.0)
}

/// Logarithm of an estimate; `None` if there is none or it is out of range.
fn logarithm(estimate_ms: u64) -> Option<f64> {
    let estimate = estimate_ms as f64;
    (estimate_ms > 0 && estimate <= MAX_MS).then(|| estimate.ln())
}
