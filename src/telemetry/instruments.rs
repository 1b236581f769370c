//! Types of metrics: counters, gauges and histograms.

use std::time::Duration;

/// Name and value of a label. Values must come from a small fixed set, never from callers: each new
/// value creates a time series that is never removed.
pub type Label = (&'static str, &'static str);

/// A count that only increases.
#[derive(Clone, Copy, Debug)]
pub struct Counter {
    pub(super) name: &'static str,
    pub(super) help: &'static str,
}

impl Counter {
    /// Adds one.
    pub fn increment(self, labels: &[Label]) {
        self.add(1, labels);
    }

    /// Adds `count`.
    pub fn add(self, count: u64, labels: &[Label]) {
        metrics::counter!(self.name, labels).increment(count);
    }

    pub(super) fn describe(self) {
        metrics::describe_counter!(self.name, self.help);
    }
}

/// A value that can increase and decrease.
#[derive(Clone, Copy, Debug)]
pub struct Gauge {
    pub(super) name: &'static str,
    pub(super) help: &'static str,
}

impl Gauge {
    /// Sets the value.
    pub fn set(self, value: f64, labels: &[Label]) {
        metrics::gauge!(self.name, labels).set(value);
    }

    pub(super) fn describe(self) {
        metrics::describe_gauge!(self.name, self.help);
    }
}

/// The distribution of a duration, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Histogram {
    pub(super) name: &'static str,
    pub(super) help: &'static str,
}

impl Histogram {
    /// Records one duration.
    pub fn record(self, duration: Duration, labels: &[Label]) {
        metrics::histogram!(self.name, labels).record(duration);
    }

    pub(super) fn describe(self) {
        metrics::describe_histogram!(self.name, metrics::Unit::Seconds, self.help);
    }
}
