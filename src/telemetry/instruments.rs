//! Metrics by what they count.

use std::time::Duration;

/// A label of one sample. Values must come from a small fixed set, never from callers: each new
/// value is a new series that is kept for ever.
pub type Label = (&'static str, &'static str);

/// A count that only rises.
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

/// A value that rises and falls.
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

/// The distribution of a span, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Histogram {
    pub(super) name: &'static str,
    pub(super) help: &'static str,
}

impl Histogram {
    /// Adds one span.
    pub fn record(self, span: Duration, labels: &[Label]) {
        metrics::histogram!(self.name, labels).record(span);
    }

    pub(super) fn describe(self) {
        metrics::describe_histogram!(self.name, metrics::Unit::Seconds, self.help);
    }
}
