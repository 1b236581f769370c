//! Metrics of this process for the operators' metrics collector.
//!
//! [`start`] installs the recorder once per process; the daemon's HTTP server answers a scrape with
//! [`Recorder::render`]. [`names`] lists all metrics.

pub mod instrumented;
mod instruments;
pub mod names;

use derive_more::Display;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use metrics_process::Collector;

pub use instruments::{Counter, Gauge, Histogram, Label};

/// Upper bounds of the buckets of duration histograms, in seconds; they range from the time that a
/// placement decision takes to the duration of a lease.
const SECONDS: &[f64] = &[
    0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0,
    1_000.0,
];

/// Error of starting the metrics recorder.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=telemetry.start cause={cause}")]
pub struct Error {
    /// Human-readable cause.
    pub cause: String,
}

/// The process's metrics.
pub struct Recorder {
    handle: PrometheusHandle,
    process: Collector,
}

/// Installs the recorder of this process, without starting a thread.
///
/// # Errors
///
/// Fails if a recorder is already installed.
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
    /// Returns all metrics in the Prometheus text format, with the current CPU time and memory of
    /// this process.
    pub fn render(&self) -> String {
        self.process.collect();
        self.handle.render()
    }

    /// Aggregates the samples of histograms into their buckets, so that memory stays bounded if no
    /// collector scrapes them. Must be called every few seconds.
    pub fn upkeep(&self) {
        self.handle.run_upkeep();
    }
}
