//! What users were promised.

use std::collections::BTreeSet;

use oriolefork::cell::dependencies::StartCommand;
use oriolefork::cell::job::{Id, Phase, StepKey, TaskKey};

use super::World;
use crate::cell::model;

/// Time after a stored cancellation in which starts may still happen.
const CANCEL_MS: u64 = 3_000;

/// Time after it in which orders may still leave.
const CANCEL_SEEN_MS: u64 = 100;

/// Crashes under one task after which it may be started twice more, and no third time.
const MOST_CRASHES: u32 = 3;
const FURTHER_STARTS: u32 = 3;

/// Workers that must have crashed under a task before it may be given up.
const GIVEN_UP_AFTER: u32 = 2;

impl World {
    /// Checks that every accepted job came to its end, and that nothing is left anywhere.
    pub fn check_end(&mut self) {
        let owner = self.owners.last().expect("an owner");
        for (id, watched) in self.jobs.iter().filter(|(_, watched)| watched.accepted) {
            let phase = owner.machine.state.jobs.get(id).map(|entry| entry.phase());
            let ends_badly = watched.fails || watched.crashes;
            let expected = match (watched.cancel_asked, ends_badly) {
                (true, _) => phase.is_some_and(Phase::is_final),
                (false, true) => phase == Some(Phase::Failed),
                (false, false) if phase == Some(Phase::Failed) => self.may_be_given_up(*id),
                (false, false) => phase == Some(Phase::Completed),
            };
            let tries: Vec<_> =
                owner.machine.runs.iter().filter(|(run, _)| run.task.step.job == *id).collect();
            assert!(
                expected,
                "job {id} is {phase:?} at the end, tries {tries:?}: {:?}",
                watched.job
            );
        }
        for (name, upstream) in &self.workers {
            assert!(upstream.runs.is_empty(), "{name} still runs {:?}", upstream.runs);
            assert!(upstream.has_forgotten_all(), "{name} was not told to forget its ends");
        }
    }

    /// Whether workers have crashed under a task of the job often enough for it to be given up.
    fn may_be_given_up(&self, job: Id) -> bool {
        let of_job = |task: &TaskKey| task.step.job == job;
        self.crashed_under.iter().any(|(task, crashes)| of_job(task) && *crashes >= GIVEN_UP_AFTER)
    }

    /// The promises that hold at every start, of an order that left its owner at `sent`.
    pub(super) fn check_start(&mut self, worker: &str, start: &StartCommand, sent: u64) {
        self.starts += 1;
        let (run, now) = (start.run, self.now);
        let upstream = &self.workers[worker];
        let used = upstream.used();
        let room = upstream.granted(now);
        assert!(used.fits(&room), "{now}: {worker}, which has {room}, is given {used} for {run}");
        for (other, upstream) in &self.workers {
            let twin = upstream.runs.keys().find(|twin| twin.task == run.task && **twin != run);
            assert!(twin.is_none(), "{now}: {run} starts on {worker} beside {twin:?} on {other}");
            let same = other != worker && upstream.runs.contains_key(&run);
            assert!(!same, "{now}: {run} starts on {worker} and runs on {other}");
        }
        assert!(!self.done_noted.contains(&run.task), "{now}: {run} starts after it was done");
        let watched = &self.jobs[&run.task.step.job];
        assert_eq!(start.job.payload, watched.job.payload);
        if let Some(cancelled) = watched.cancelled_at {
            // A stop overtakes an order that is held up on its way, but for a worker that resets it.
            let in_time = if upstream.resetting {
                sent < cancelled + CANCEL_SEEN_MS
            } else {
                now < cancelled + CANCEL_MS
            };
            assert!(in_time, "{now}: {run}, sent at {sent}, starts after its job was cancelled");
        }
        let model = &watched.job.steps[run.task.step.step as usize];
        let state = &self.owners.last().expect("an owner").machine.state;
        for &earlier in &model.depends_on {
            let key = StepKey { step: earlier as u32, ..run.task.step };
            let done = (0..watched.job.steps[earlier].count)
                .all(|index| self.done.contains_key(&TaskKey { step: key, index }));
            assert!(
                done,
                "{now}: {run} starts before step {earlier} is done, {:?}",
                state.step(&key)
            );
        }
        if let Some((crashes, further)) = self.crashes.get_mut(&run.task)
            && *crashes >= MOST_CRASHES
        {
            *further += 1;
            assert!(
                *further < FURTHER_STARTS,
                "{now}: {run} starts again and again after {crashes} crashes"
            );
        }
        let failures = self.failures.get(&run.task).map_or(0, BTreeSet::len);
        assert!(
            failures < model::ATTEMPTS as usize,
            "{now}: {run} starts after {failures} failures"
        );
        if model.max_per_worker > 0 {
            let here = upstream.runs.keys().filter(|twin| twin.task.step == run.task.step).count();
            assert!(
                here <= model.max_per_worker as usize,
                "{now}: {here} tasks of {run} on {worker}"
            );
        }
    }
}
