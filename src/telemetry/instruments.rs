//! Types of metrics: counters, gauges and histograms.

use std::fmt::Write;
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

    /// Writes samples of this gauge in the Prometheus text format, each with a value of `label`.
    ///
    /// For values whose labels change: a series of the recorder is never removed, and one that is
    /// written at each scrape ends with its last sample. Writes nothing without samples.
    ///
    /// ```
    /// use oriolefork::telemetry::names;
    /// let mut text = String::new();
    /// names::CELL_CUSTOMER_WAITING.write(&mut text, "customer", [("a\"b", 3.0)]);
    /// assert!(text.ends_with("oriolefork_cell_customer_waiting_jobs{customer=\"a\\\"b\"} 3\n"));
    /// ```
    pub fn write<'a>(
        self,
        out: &mut String,
        label: &str,
        samples: impl IntoIterator<Item = (&'a str, f64)>,
    ) {
        let mut samples = samples.into_iter().peekable();
        if samples.peek().is_some() {
            let Self { name, help } = self;
            let _ = writeln!(out, "# HELP {name} {help}\n# TYPE {name} gauge");
        }
        for (value, sample) in samples {
            let value = value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            let _ = writeln!(out, "{}{{{label}=\"{value}\"}} {sample}", self.name);
        }
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
