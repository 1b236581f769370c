//! Distribution of residuals in a fixed number of buckets.

use serde::{Deserialize, Serialize};

/// Number of buckets, and the width of one in units of the natural logarithm. They cover factors
/// from 1/55 to 55.
const BUCKETS: usize = 64;
const WIDTH: f64 = 0.125;
const LOWEST: f64 = -(BUCKETS as f64) * WIDTH / 2.0;

/// Weight of the normal distribution that is mixed in, in samples. With 20 samples alone, a
/// quantile would depend on one or two of them.
const PRIOR_WEIGHT: f64 = 10.0;

/// Decayed weight of the residuals in each bucket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Histogram(Vec<f64>);

impl Default for Histogram {
    fn default() -> Self {
        Self(vec![0.0; BUCKETS])
    }
}

impl Histogram {
    /// Adds a residual after multiplying the weights of the former ones by `decay`.
    pub(super) fn record(&mut self, residual: f64, weight: f64, decay: f64) {
        self.0.iter_mut().for_each(|bucket| *bucket *= decay);
        let position = (residual - LOWEST) / WIDTH;
        self.0[position.clamp(0.0, (BUCKETS - 1) as f64) as usize] += weight;
    }

    /// Whether its form is that of this version.
    pub(super) fn is_valid(&self) -> bool {
        self.0.len() == BUCKETS && self.0.iter().all(|weight| weight.is_finite() && *weight >= 0.0)
    }
}

/// Cumulative distribution of the residuals.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Distribution {
    /// Share of the residuals below the lower bound of each bucket, and below the last upper bound.
    cumulative: [f64; BUCKETS + 1],
    /// Mean of the exponentials of the residuals.
    pub(super) mean_factor: f64,
}

impl Distribution {
    /// Builds the distribution from residuals of the standard deviation `spread`.
    pub(super) fn new(histogram: &Histogram, spread: f64) -> Self {
        let total = histogram.0.iter().sum::<f64>() + PRIOR_WEIGHT;
        let mut cumulative = [0.0; BUCKETS + 1];
        let (mut mean_factor, mut below) = (0.0, 0.0);
        for (at, weight) in histogram.0.iter().enumerate() {
            let lower = LOWEST + WIDTH * at as f64;
            let above =
                if at + 1 == BUCKETS { 1.0 } else { normal_share((lower + WIDTH) / spread) };
            let share = (weight + PRIOR_WEIGHT * (above - below)) / total;
            below = above;
            cumulative[at + 1] = cumulative[at] + share;
            mean_factor += share * (lower + WIDTH / 2.0).exp();
        }
        Self { cumulative, mean_factor }
    }

    /// Residual that the given share of the residuals does not exceed.
    pub(super) fn quantile(&self, share: f64) -> f64 {
        let share = if share.is_nan() { 0.5 } else { share.clamp(0.0, 1.0) };
        let above = self.cumulative.partition_point(|reached| *reached < share).clamp(1, BUCKETS);
        let (lower, upper) = (self.cumulative[above - 1], self.cumulative[above]);
        let part = if upper > lower { (share - lower) / (upper - lower) } else { 0.0 };
        LOWEST + WIDTH * ((above - 1) as f64 + part.clamp(0.0, 1.0))
    }
}

/// Share of a standard normal distribution below `value`, within 0.01.
fn normal_share(value: f64) -> f64 {
    1.0 / (1.0 + (-1.702 * value).exp())
}
