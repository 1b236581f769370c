//! Ends of runs as their workers know them, and the starts that these rule out.
//!
//! An end counts if it is acknowledged before the lease of its worker expires, even if that happens
//! after a later start.

use std::collections::{BTreeMap, BTreeSet};

use oriolefork::cell::job::{Id, Run, RunOutcome, TaskKey};

use crate::cell::model;

/// Ends and starts of the runs of a history, with their times in milliseconds.
#[derive(Default)]
pub(super) struct Ledger {
    ends: BTreeMap<Run, (RunOutcome, u64)>,
    acknowledged: BTreeSet<Run>,
    starts: BTreeMap<Run, u64>,
}

impl Ledger {
    pub(super) fn record_start(&mut self, run: Run, now: u64) {
        self.starts.entry(run).or_insert(now);
    }

    pub(super) fn record_end(&mut self, run: Run, outcome: RunOutcome, now: u64) {
        self.ends.entry(run).or_insert((outcome, now));
    }

    pub(super) fn acknowledge(&mut self, runs: impl IntoIterator<Item = Run>) {
        self.acknowledged.extend(runs);
    }

    /// Checks each start against the ends that count.
    pub(super) fn check(&self) {
        for (run, started) in &self.starts {
            let (mut failures, mut successes) = (0, 0);
            for outcome in self.counted_ends_before(run.task, *started) {
                failures += u32::from(outcome == RunOutcome::Failed);
                successes += u32::from(outcome == RunOutcome::Succeeded);
            }
            assert!(
                failures < model::MAX_FAILURES,
                "{run} started at {started} after {failures} failures on its workers"
            );
            assert_eq!(successes, 0, "{run} started at {started} after its task had succeeded");
        }
    }

    /// Time of the first start of any task of the job.
    pub(super) fn first_start(&self, job: Id) -> Option<u64> {
        let of_job = |run: &Run| run.task.step.job == job;
        self.starts.iter().filter(|(run, _)| of_job(run)).map(|(_, at)| *at).min()
    }

    fn counted_ends_before(
        &self,
        task: TaskKey,
        started: u64,
    ) -> impl Iterator<Item = RunOutcome> + '_ {
        let runs = Run { task, number: 0 }..=Run { task, number: u32::MAX };
        self.ends
            .range(runs)
            .filter(move |(run, (_, ended))| *ended < started && self.acknowledged.contains(run))
            .map(|(_, (outcome, _))| *outcome)
    }
}
