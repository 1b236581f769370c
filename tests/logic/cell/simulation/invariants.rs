//! Invariants that hold at each start and after the faults have ended.

use std::collections::BTreeSet;

use oriolefork::cell::dependencies::StartCommand;
use oriolefork::cell::job::{Id, Phase, StepKey, TaskKey};

use super::Simulation;
use crate::cell::model;

/// Time after a stored cancellation within which runs may still start, in milliseconds.
const CANCEL_MS: u64 = 3_000;

/// Time after a stored cancellation within which start commands may still be sent, in milliseconds.
const CANCEL_SEND_MS: u64 = 100;

/// Number of crashes under one task after which it may be started twice more but not a third time.
const MAX_CRASHES: u32 = 3;
const FURTHER_START_LIMIT: u32 = 3;

/// Number of worker crashes under a task from which its job may be failed.
const CRASHES_BEFORE_ABANDONING: u32 = 2;

impl Simulation {
    /// Checks that every accepted job has ended as expected, that no worker has runs or
    /// unacknowledged ends left, and that no run started after an end that rules it out.
    pub fn check_end(&mut self) {
        self.ledger.check();
        let owner = self.owners.last().expect("an owner");
        for (id, submitted) in self.jobs.iter().filter(|(_, submitted)| submitted.accepted) {
            let phase = owner.machine.state.jobs.get(id).map(|entry| entry.phase());
            let must_fail = submitted.fails || submitted.crashes_workers;
            let expected = match (submitted.cancel_asked, must_fail) {
                (true, _) => phase.is_some_and(Phase::is_final),
                (false, true) => phase == Some(Phase::Failed),
                (false, false) if phase == Some(Phase::Failed) => self.may_be_abandoned(*id),
                (false, false) => phase == Some(Phase::Completed),
            };
            let runs: Vec<_> =
                owner.machine.runs.iter().filter(|(run, _)| run.task.step.job == *id).collect();
            assert!(
                expected,
                "job {id} is {phase:?} at the end, runs {runs:?}: {:?}",
                submitted.job
            );
        }
        for (name, upstream) in &self.workers {
            assert!(upstream.runs.is_empty(), "{name} still runs {:?}", upstream.runs);
            assert!(upstream.has_no_unacked_ends(), "{name} has unacknowledged ends");
        }
    }

    /// Whether enough workers have crashed under a task of the job for the job to be failed.
    fn may_be_abandoned(&self, job: Id) -> bool {
        let of_job = |task: &TaskKey| task.step.job == job;
        self.worker_crashes
            .iter()
            .any(|(task, crashes)| of_job(task) && *crashes >= CRASHES_BEFORE_ABANDONING)
    }

    /// Checks the invariants at the start of a run whose command was sent at `sent`.
    pub(super) fn check_start(&mut self, worker: &str, start: &StartCommand, sent: u64) {
        self.starts += 1;
        let (run, now) = (start.run, self.now);
        let upstream = &self.workers[worker];
        let used = upstream.allocated();
        let limit = upstream.max_allocation(now);
        assert!(
            used.fits(&limit),
            "{now}: {run} raises the allocation of {worker} to {used}, above its {limit}"
        );
        self.check_cap(run, sent);
        self.check_allowed(worker, &run);
        for (other, upstream) in &self.workers {
            let other_run = upstream
                .runs
                .keys()
                .find(|other_run| other_run.task == run.task && **other_run != run);
            assert!(
                other_run.is_none(),
                "{now}: {run} starts on {worker} beside {other_run:?} on {other}"
            );
            let same = other != worker && upstream.runs.contains_key(&run);
            assert!(!same, "{now}: {run} starts on {worker} and runs on {other}");
        }
        assert!(
            !self.recorded_successes.contains(&run.task),
            "{now}: {run} starts after its task has succeeded"
        );
        let submitted = &self.jobs[&run.task.step.job];
        assert_eq!(start.job.payload, submitted.job.payload);
        if let Some(cancelled) = submitted.cancelled_at {
            // A stop overtakes a delayed start command, except on a worker that resets it.
            let in_time = if upstream.resets_commands {
                sent < cancelled + CANCEL_SEND_MS
            } else {
                now < cancelled + CANCEL_MS
            };
            assert!(in_time, "{now}: {run}, sent at {sent}, starts after its job was cancelled");
        }
        let step = &submitted.job.steps[run.task.step.step as usize];
        let state = &self.owners.last().expect("an owner").machine.state;
        for &earlier in &step.depends_on {
            let key = StepKey { step: earlier as u32, ..run.task.step };
            let done = (0..submitted.job.steps[earlier].count)
                .all(|index| self.succeeded_at.contains_key(&TaskKey { step: key, index }));
            assert!(
                done,
                "{now}: {run} starts before step {earlier} is done, {:?}",
                state.step(&key)
            );
        }
        if let Some((crashes, further)) = self.start_crashes.get_mut(&run.task)
            && *crashes >= MAX_CRASHES
        {
            *further += 1;
            assert!(
                *further < FURTHER_START_LIMIT,
                "{now}: {run} starts again and again after {crashes} crashes"
            );
        }
        let failures = self.failures.get(&run.task).map_or(0, BTreeSet::len);
        assert!(
            failures < model::MAX_FAILURES as usize,
            "{now}: {run} starts after {failures} failures"
        );
        if step.max_per_worker > 0 {
            let here = upstream
                .runs
                .keys()
                .filter(|other_run| other_run.task.step == run.task.step)
                .count();
            assert!(
                here <= step.max_per_worker as usize,
                "{now}: {here} tasks of {run} on {worker}"
            );
        }
    }
}
