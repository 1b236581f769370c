//! Figures of this process for the operators' metrics collector.
//!
//! [`start`] installs the recorder once a process; the daemon answers a scrape with
//! [`Recorder::render`] over its own HTTP. [`names`] lists every metric there is.

pub mod instrumented;
mod instruments;
pub mod names;

use derive_more::Display;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use metrics_process::Collector;

pub use instruments::{Counter, Gauge, Histogram, Label};

/// Upper bounds of the buckets of histograms of spans, in seconds: from a decision to a lease.
const SECONDS: &[f64] = &[
    0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0,
    1_000.0,
];

/// Metrics that could not be started.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=telemetry.start cause={cause}")]
pub struct Error {
    /// Cause as text.
    pub cause: String,
}

/// The process's metrics.
pub struct Recorder {
    handle: PrometheusHandle,
    process: Collector,
}

/// Starts recording; once a process. Starts no thread.
///
/// # Errors
///
/// Fails when the process records already.
pub fn start() -> Result<Recorder, Error> {
    let buckets = Matcher::Suffix("_seconds".to_owned());
    let builder = PrometheusBuilder::new().set_buckets_for_metric(buckets, SECONDS);
    let installed = builder.and_then(PrometheusBuilder::install_recorder);
    let handle = installed.map_err(|error| Error { cause: error.to_string() })?;
    let process = Collector::default();
    process.describe();
    names::describe();
    Ok(Recorder { handle, process })
}

impl Recorder {
    /// Every metric in the Prometheus text format, with the processor time and memory of this
    /// process as they stand.
    pub fn render(&self) -> String {
        self.process.collect();
        self.handle.render()
    }

    /// Folds the samples of histograms into their buckets, so that they stay within bounds where
    /// nothing scrapes them. To be called every few seconds.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}
