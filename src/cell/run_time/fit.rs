//! Robust regression from decayed moments.

use serde::{Deserialize, Serialize};

use super::MIN_SAMPLES;
use super::distribution::{Distribution, Histogram};

/// Number of samples after which the weight of one has fallen to a third. Workers that turn slow
/// for 9 s then move a queue of 4 samples a second by a few percent only.
const MEMORY: f64 = 1_000.0;

/// Multiple of the spread beyond which a residual counts as that multiple in the moments. A tail of
/// 3 % that takes seven times as long then raises the spread by a tenth and the mean by less.
const CLIP: f64 = 2.5;

/// Number of samples between two computations of the distribution, which costs as much as some
/// twenty samples.
const REFRESH_INTERVAL: u64 = 16;

/// Spread that is assumed before the first samples, and its weight in samples.
const PRIOR_SPREAD: f64 = 0.5;
const PRIOR_WEIGHT: f64 = 4.0;

/// Added to the sum of squares of the estimates' logarithms, so that the weight of the estimate is
/// zero if all estimates are equal.
const RIDGE: f64 = 0.5;

/// Multiple of their standard deviation by which an estimate's logarithm may differ from the mean.
const MAX_DEVIATION: f64 = 4.0;

/// Linear dependency of one logarithm (`y`) on another (`x`), and the distribution of the
/// residuals. With a constant `x`, it is the distribution of `y` alone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Fit {
    pub(super) samples: u64,
    /// Decayed sum of the samples' weights.
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    /// Decayed sums of products of the deviations from the means.
    sum_xx: f64,
    sum_xy: f64,
    /// Decayed sums of the residuals and of their squares.
    sum_residuals: f64,
    sum_squares: f64,
    /// Decayed sum of the residuals' amounts, without the bound of `CLIP`.
    sum_errors: f64,
    residuals: Histogram,
    #[serde(skip)]
    distribution: Cache,
}

/// The distribution as last computed from the buckets. It is no part of what was learned, so fits
/// are equal whenever it was computed.
#[derive(Clone, Debug, Default)]
struct Cache(Option<Box<Distribution>>);

impl PartialEq for Cache {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Fit {
    /// Adds a sample.
    pub(super) fn record(&mut self, x: f64, y: f64, weight: f64) {
        let decay = if self.weight > MEMORY { 1.0 - weight / MEMORY } else { 1.0 };
        let x = self.bound_x(x);
        let residual = if self.samples == 0 { 0.0 } else { y - self.location(x) };
        let clip = CLIP * self.spread();
        let bounded = residual.clamp(-clip, clip);
        let y = y - residual + bounded;
        self.samples = self.samples.saturating_add(1);
        self.weight = self.weight * decay + weight;
        let share = weight / self.weight;
        let (delta_x, delta_y) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += share * delta_x;
        self.mean_y += share * delta_y;
        self.sum_xx = self.sum_xx * decay + weight * delta_x * (x - self.mean_x);
        self.sum_xy = self.sum_xy * decay + weight * delta_x * (y - self.mean_y);
        self.sum_residuals = self.sum_residuals * decay + weight * bounded;
        self.sum_squares = self.sum_squares * decay + weight * bounded * bounded;
        self.sum_errors = self.sum_errors * decay + weight * residual.abs();
        self.residuals.record(residual, weight, decay);
        if self.samples <= MIN_SAMPLES || self.samples.is_multiple_of(REFRESH_INTERVAL) {
            self.refresh();
        }
    }

    /// Computes the distribution, which is not stored, from the buckets.
    pub(super) fn refresh(&mut self) {
        let distribution = Distribution::new(&self.residuals, self.spread());
        self.distribution = Cache(Some(Box::new(distribution)));
    }

    /// The distribution of the residuals; `None` while there are too few samples.
    pub(super) fn distribution(&self) -> Option<&Distribution> {
        self.distribution.0.as_deref().filter(|_| self.samples >= MIN_SAMPLES)
    }

    /// Weight of `x`: near zero if it says nothing, near one if `y` is proportional to it.
    ///
    /// An error in the estimate lowers the slope of a regression, never raises it above one. A
    /// slope outside of that range is an effect of few samples.
    pub(super) fn slope(&self) -> f64 {
        (self.sum_xy / (self.sum_xx + RIDGE)).clamp(0.0, 1.0)
    }

    /// Expected `y` at `x`.
    pub(super) fn location(&self, x: f64) -> f64 {
        self.mean_y + self.slope() * (x - self.mean_x)
    }

    /// Value at `x` to which the distribution of the residuals is added.
    ///
    /// A residual is the difference from the expectation before its sample. While expectations
    /// rise, as in an owner's first seconds, the residuals are positive on average, and adding them
    /// to the present expectation would count the rise twice.
    pub(super) fn origin(&self, x: f64) -> f64 {
        let mean = if self.weight > 0.0 { self.sum_residuals / self.weight } else { 0.0 };
        self.location(x) - mean
    }

    /// Standard deviation of the residuals.
    pub(super) fn spread(&self) -> f64 {
        let prior = PRIOR_WEIGHT * PRIOR_SPREAD * PRIOR_SPREAD;
        ((self.sum_squares + prior) / (self.weight + PRIOR_WEIGHT)).sqrt().max(0.02)
    }

    /// Mean amount of the residuals.
    pub(super) fn mean_error(&self) -> f64 {
        if self.weight > 0.0 { self.sum_errors / self.weight } else { 0.0 }
    }

    /// Whether `x` is within the range of the former ones.
    pub(super) fn is_usual(&self, x: f64) -> bool {
        (x - self.mean_x).abs() <= self.max_deviation()
    }

    /// Limits the influence of one absurd estimate. If the callers' habit changes, the mean and the
    /// deviation follow within some tens of samples.
    fn bound_x(&self, x: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            return x;
        }
        x.clamp(self.mean_x - self.max_deviation(), self.mean_x + self.max_deviation())
    }

    fn max_deviation(&self) -> f64 {
        let variance = (self.sum_xx + PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT);
        MAX_DEVIATION * variance.sqrt()
    }

    /// Whether the figures can come from samples.
    pub(super) fn is_valid(&self) -> bool {
        let sums = [self.weight, self.sum_xx, self.sum_squares, self.sum_errors];
        let means = [self.mean_x, self.mean_y, self.sum_xy, self.sum_residuals];
        sums.iter().all(|sum| sum.is_finite() && *sum >= 0.0)
            && means.iter().all(|mean| mean.abs() < 1e9)
            && self.residuals.is_valid()
    }
}
