//! What a trial showed.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::time::Duration;

use derive_more::Display;
use serde::Serialize;

use crate::api::view::job::State;

/// Kind of a sample job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Runs until stopped.
    #[display("long-running")]
    LongRunning,
    /// Independent tasks.
    #[display("batch")]
    Batch,
    /// All tasks at once.
    #[display("gang")]
    Gang,
    /// Goes before the others.
    #[display("urgent")]
    Urgent,
    /// Fails on purpose, so that an alert is raised.
    #[display("failing")]
    Failing,
}

/// What became of one job.
pub struct Outcome {
    /// Its kind.
    pub kind: Kind,
    /// How it stands.
    pub state: State,
    /// How long each of its tasks waited before it first ran.
    pub waits: Vec<Duration>,
}

/// What became of the jobs of one kind.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Group {
    /// Jobs accepted.
    pub jobs: usize,
    /// Jobs that stand as they should: services run, failing jobs failed, the rest succeeded.
    pub as_expected: usize,
    /// Waiting time of each task in milliseconds.
    #[serde(skip)]
    waits: Vec<u64>,
}

/// What the trial showed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Jobs by kind.
    pub kinds: BTreeMap<Kind, Group>,
    /// Quick requests answered whole.
    pub requests: usize,
    /// Mean share of the processors reserved while tasks waited.
    pub packing: f64,
    /// Messages of the open alerts.
    pub alerts: Vec<String>,
    /// Processor time of all entry instances together.
    pub control: Duration,
    /// Time from the first submission to the last end.
    pub span: Duration,
}

impl Summary {
    pub(super) fn add(&mut self, outcome: &Outcome) {
        let group = self.kinds.entry(outcome.kind).or_default();
        let expected = match outcome.kind {
            Kind::LongRunning => State::Running,
            Kind::Failing => State::Failed,
            Kind::Batch | Kind::Gang | Kind::Urgent => State::Succeeded,
        };
        group.jobs += 1;
        group.as_expected += usize::from(outcome.state == expected);
        group.waits.extend(outcome.waits.iter().map(|wait| crate::clock::millis(*wait)));
        group.waits.sort_unstable();
    }

    /// Whether every job stands as it should.
    pub fn is_as_expected(&self) -> bool {
        self.kinds.values().all(|group| group.jobs == group.as_expected)
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut text = String::new();
        writeln!(text, "kind          jobs  as expected  waiting p50  waiting p99")?;
        for (kind, group) in &self.kinds {
            let kind = kind.to_string();
            writeln!(
                text,
                "{kind:<12}  {:>4}  {:>11}  {:>8} ms  {:>8} ms",
                group.jobs,
                group.as_expected,
                percentile(&group.waits, 50),
                percentile(&group.waits, 99),
            )?;
        }
        writeln!(text, "quick requests answered whole: {}", self.requests)?;
        writeln!(text, "packing while tasks waited: {:.0} % of processors", self.packing * 100.0)?;
        writeln!(
            text,
            "control cost: {} ms of processor time in {} ms, all entry instances together",
            self.control.as_millis(),
            self.span.as_millis(),
        )?;
        writeln!(text, "open alerts: {}", self.alerts.len())?;
        for alert in &self.alerts {
            writeln!(text, "  {alert}")?;
        }
        f.write_str(&text)
    }
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(0)
}

/// Processor time that the calling thread has used.
pub(super) fn thread_cpu() -> Duration {
    /// Nanoseconds on a processor, the first field.
    const STATISTICS: &str = "/proc/thread-self/schedstat";
    let text = std::fs::read_to_string(STATISTICS).unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
