//! Results of one run, and their row in the table.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::simulation::CAPACITY;

/// Highest latency that the histograms record, in microseconds.
const MAX_LATENCY: u64 = 60_000_000;

pub struct Tally {
    seconds: f64,
    pub arrived: usize,
    pub sent: usize,
    pub late: usize,
    pub wrong: usize,
    pub unknown: usize,
    pub unanswered: usize,
    pub beyond_slots: usize,
    refusals: Histogram<u64>,
    latencies: Histogram<u64>,
}

impl Tally {
    pub fn new(seconds: f64) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY, 3).expect("valid bounds");
        Self {
            seconds,
            arrived: 0,
            sent: 0,
            late: 0,
            wrong: 0,
            unknown: 0,
            unanswered: 0,
            beyond_slots: 0,
            refusals: histogram(),
            latencies: histogram(),
        }
    }

    pub fn good(&mut self, latency: u64) {
        self.latencies.saturating_record(latency);
    }

    pub fn refused(&mut self, after: u64) {
        self.refusals.saturating_record(after);
    }
}

pub struct Row(String);

impl Row {
    pub const HEAD: &str = "| case | way | goodput/capacity | answered in time | p50 ms | p99 ms | \
        p99.9 ms | refused | p99 to refusal ms | late or never | unknown or failed | wrong | beyond slots | \
        sent/arrived | us/request |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

    pub fn new(label: &str, name: &str, tally: &Tally, spent: Duration) -> Self {
        let arrived = tally.arrived.max(1) as f64;
        let percent = |count: usize| format!("{:.2}%", count as f64 / arrived * 100.0);
        let good = tally.latencies.len() as usize;
        let millis = |histogram: &Histogram<u64>, quantile: f64| {
            format!("{:.1}", histogram.value_at_quantile(quantile) as f64 / 1000.0)
        };
        let cells = [
            label.to_owned(),
            name.to_owned(),
            format!("{:.3}", good as f64 / tally.seconds / CAPACITY),
            percent(good),
            millis(&tally.latencies, 0.5),
            millis(&tally.latencies, 0.99),
            millis(&tally.latencies, 0.999),
            percent(tally.refusals.len() as usize),
            millis(&tally.refusals, 0.99),
            percent(tally.late + tally.unanswered),
            percent(tally.unknown),
            tally.wrong.to_string(),
            tally.beyond_slots.to_string(),
            format!("{:.3}", tally.sent as f64 / arrived),
            format!("{:.1}", spent.as_micros() as f64 / arrived),
        ];
        Self(format!("| {} |", cells.join(" | ")))
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
