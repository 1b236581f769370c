//! Latencies of recent answers of one service.

use std::time::Duration;

use crate::clock::millis;

/// Number of answers kept for the quantile.
const WINDOW: usize = 512;
/// Number of answers between two computations of the quantile.
const REFRESH: usize = 32;
/// Weight of one answer in the exponential moving average.
const WEIGHT: f64 = 0.02;

/// Mean and upper quantile of recent latencies, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Window {
    samples: Vec<u64>,
    next: usize,
    stale: usize,
    mean: f64,
    p95: Option<u64>,
}

impl Window {
    /// Records the latency of one answer.
    pub fn record(&mut self, latency: Duration) {
        let sample = millis(latency);
        self.mean = self.next_mean(sample);
        if self.samples.len() < WINDOW {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
        }
        self.next = (self.next + 1) % WINDOW;
        self.stale += 1;
        if self.stale >= REFRESH {
            self.refresh();
        }
    }

    /// Smoothed mean in milliseconds; zero before the first answer, at least one after it.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// 95th percentile; `None` until enough answers were recorded.
    pub fn p95(&self) -> Option<Duration> {
        self.p95.map(Duration::from_millis)
    }

    fn next_mean(&self, sample: u64) -> f64 {
        let sample = sample.max(1) as f64;
        if self.samples.is_empty() { sample } else { self.mean + WEIGHT * (sample - self.mean) }
    }

    fn refresh(&mut self) {
        self.stale = 0;
        let mut sorted = self.samples.clone();
        let rank = sorted.len() * 95 / 100;
        let (_, p95, _) = sorted.select_nth_unstable(rank);
        self.p95 = Some(*p95);
    }
}
