//! What an owner does after the store has removed records that no snapshot contains.
//!
//! What such records said of the jobs that were open before them is unknown: a task may have been
//! placed, and its end may have been recorded and forgotten by its worker. The owner therefore
//! places nothing until all leases that a former owner may have granted have ended, and learns
//! meanwhile from the workers what runs. A task that can be neither found nor ruled out is not
//! started again; its job fails, which its caller sees, where a second run might be seen by nobody.

use std::collections::BTreeSet;

use super::attempts::FailureReason;
use super::{ActiveRun, Machine, Stage};
use crate::cell::dependencies::EndedRun;
use crate::cell::job::{Id, Run, RunOutcome, StepKey, TaskKey};
use crate::cell::job_state::StepState;
use crate::cell::record::{Record, WorkerId};
use crate::cell::timings::{CLOCK_DRIFT, LEASE_GRANT_WINDOW, LEASE_MARGIN};
use crate::clock::Instant;

/// Jobs that are in doubt because records of them are lost.
#[derive(Clone, Debug)]
pub(super) struct Doubts {
    jobs: BTreeSet<Id>,
    /// Tasks of which a worker reported that they run, so that no later attempt has begun.
    seen: BTreeSet<TaskKey>,
    /// When all leases that former owners may have granted have ended.
    until: Instant,
}

impl Machine {
    /// Begins without records of the open jobs among `jobs`, which the store has removed.
    ///
    /// Guards against a task that runs twice because the record of its start or of its success is
    /// lost.
    pub fn begin_without_records(&mut self, jobs: &BTreeSet<Id>) {
        let jobs: BTreeSet<Id> = jobs.intersection(&self.state.open).copied().collect();
        let until = self.former_leases_end();
        let wait_ms = until.since(self.now).as_millis();
        log::error!("event=journal.doubts jobs={} wait_ms={wait_ms}", jobs.len());
        self.doubts = Some(Doubts { jobs, seen: BTreeSet::new(), until });
    }

    /// Time from which no lease is left that a former owner granted.
    pub(super) fn former_leases_end(&self) -> Instant {
        let lease = self.timings.lease.mul_f64(1.0 + 2.0 * CLOCK_DRIFT);
        self.claimed.after(LEASE_GRANT_WINDOW + lease + LEASE_MARGIN)
    }

    /// Whether records are lost whose jobs are not settled yet.
    pub(super) const fn has_doubts(&self) -> bool {
        self.doubts.is_some()
    }

    /// Takes over a run that its worker reports and of whose placement no record is left; returns
    /// whether it did.
    pub(super) fn adopt_run(&mut self, worker: &str, run: Run) -> bool {
        if !self.is_in_doubt(&run) {
            return false;
        }
        let id: WorkerId = worker.into();
        let (demand, charge) = (self.demand(&run), self.charge(&run.task.step));
        let Some(worker) = self.workers.get_mut(&id) else { return false };
        worker.allocate(run, &demand);
        self.usage.add(charge.as_ref());
        let stage = Stage::Running(self.now);
        let mut active = ActiveRun::new(id.clone(), demand, charge, stage, self.now);
        active.start_confirmed = true;
        self.runs.insert(run, active);
        log::warn!("event=task.adopted task={run} worker={id}");
        self.record(Record::Placed { worker: id, runs: vec![run] });
        true
    }

    /// Records the success of a run of whose placement no record is left; returns whether it did.
    /// Other ends prove nothing: a later attempt may have succeeded.
    pub(super) fn adopt_success(&mut self, worker: &str, end: &EndedRun) -> bool {
        let is_adopted = end.outcome == RunOutcome::Succeeded && self.adopt_run(worker, end.run);
        if is_adopted {
            self.end_run(end.run, end.outcome, end.checkpoint.clone());
        }
        is_adopted
    }

    /// Notes that a worker reported that a task runs.
    pub(super) fn note_seen(&mut self, task: TaskKey) {
        if let Some(doubts) = &mut self.doubts {
            doubts.seen.insert(task);
        }
    }

    /// Whether the run may be one of whose placement the record is lost.
    fn is_in_doubt(&self, run: &Run) -> bool {
        let key = run.task.step;
        let is_open = |doubts: &Doubts| doubts.jobs.contains(&key.job);
        let Some(entry) = self.state.jobs.get(&key.job) else { return false };
        if !self.doubts.as_ref().is_some_and(is_open) || entry.phase().is_final() {
            return false;
        }
        let step = entry.job.steps.get(key.step as usize);
        let is_known = step.is_some_and(|step| run.task.index < step.count)
            && key.occurrence < entry.job.occurrences()
            && !entry.done.contains(key.occurrence);
        is_known
            && self
                .state
                .task(&run.task)
                .is_none_or(|task| !task.done && run.number > task.last_run)
    }

    /// Settles the jobs of which records are lost, once no worker can run anything that this owner
    /// does not know.
    pub(super) fn settle_doubts(&mut self) {
        if self.doubts.as_ref().is_none_or(|doubts| self.now <= doubts.until) {
            return;
        }
        let Some(Doubts { jobs, seen, .. }) = self.doubts.take() else { return };
        let open: Vec<Id> = jobs.intersection(&self.state.open).copied().collect();
        let in_doubt = |job: &Id| self.task_in_doubt(*job, &seen);
        let lost: Vec<TaskKey> = open.iter().filter_map(in_doubt).collect();
        log::error!("event=journal.settled jobs={} failed={}", open.len(), lost.len());
        for task in lost {
            self.fail_job(&task, FailureReason::RecordsLost);
        }
        self.snapshots.request();
        self.needs_placement = true;
    }

    /// Returns a task of the job that may have run to its end without a record that is left.
    ///
    /// Long-running tasks are excluded: they never complete, and none of them runs any more. So are
    /// tasks of steps that cannot have begun.
    fn task_in_doubt(&self, id: Id, seen: &BTreeSet<TaskKey>) -> Option<TaskKey> {
        let entry = self.state.jobs.get(&id)?;
        let is_due = |number: &u32| entry.job.due_at(*number).is_none_or(|due| due <= self.unix);
        // All occurrences that have not been opened are alike.
        let occurrences = entry.open.keys().copied().chain(entry.unopened().take(1));
        occurrences.filter(is_due).find_map(|occurrence| {
            let states = entry.open.get(&occurrence).map_or(&[][..], Vec::as_slice);
            let is_done = |step: usize| states.get(step).is_some_and(StepState::is_done);
            let steps = entry.job.steps.iter().enumerate();
            let mut begun = steps.filter(|(number, step)| {
                let may_have_begun = step.depends_on.iter().all(|earlier| is_done(*earlier));
                may_have_begun && !step.long_running && !is_done(*number)
            });
            begun.find_map(|(number, step)| {
                let key = StepKey { job: id, occurrence, step: number as u32 };
                let tasks = (0..step.count).map(|index| TaskKey { step: key, index });
                let is_accounted = |task: &TaskKey| {
                    seen.contains(task) || self.state.task(task).is_some_and(|state| state.done)
                };
                tasks.into_iter().find(|task| !is_accounted(task))
            })
        })
    }
}
