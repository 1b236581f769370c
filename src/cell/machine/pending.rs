//! Steps with tasks that wait for a worker.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use super::Machine;
use super::attempts::FailureReason;
use super::caps::Charge;
use super::deferral::{Overdue, Rule};
use super::rank::{Rank, Timeliness, long_running_rank};
use crate::cell::index_set::IndexSet;
use crate::cell::job::{Id, Job, Step, StepKey, TaskKey};
use crate::cell::job_state::StepState;
use crate::cell::queue::Queue;
use crate::cell::task_list::Task;
use crate::clock::Instant;

/// Interval between two rounds over all open jobs. Most jobs without any value left are placed
/// only in these: with 4,500 open jobs, as after a loss of all instances, checking each of them in
/// every round took all of the owner's CPU.
const FULL_SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// Jobs without any value left that are still checked in every round, the first in rank:
/// twice the number of instances of a large site, each of which sends one policy query at a time.
const MAX_WORTHLESS_JOBS: usize = 64;

/// Steps of the occurrences of a job that may be open at once while nothing of these runs: several
/// times as many as are placed in one round.
const MAX_WAITING_STEPS: usize = 64;

/// A step with tasks that wait for a worker.
#[derive(Clone)]
pub(super) struct PendingStep {
    pub(super) key: StepKey,
    pub(super) job: Rc<Job>,
    pub(super) queue: Rc<Queue>,
    pub(super) rank: Rank,
    pub(super) pending: IndexSet,
    /// Those of the pending tasks that are suspected of crashing their workers.
    pub(super) suspects: BTreeSet<u32>,
    /// Whether nothing of it runs; a long-running step misses each of its tasks.
    pub(super) stalled: bool,
    /// Rules that no longer apply to it.
    pub(super) overdue: Overdue,
}

impl PendingStep {
    pub(super) fn spec(&self) -> &Step {
        &self.job.steps[self.key.step as usize]
    }

    /// The step with `count` of its pending tasks only, those first that are not suspected of
    /// crashing their workers.
    ///
    /// Guards against a task that no worker admits and that keeps the place of all others under the
    /// cap of their customer.
    pub(super) fn first(&self, count: usize) -> Self {
        let is_suspect = |index: &u32| self.suspects.contains(index);
        let others = self.pending.iter().filter(|index| !is_suspect(index));
        let suspects = self.suspects.iter().copied();
        let pending = others.chain(suspects).take(count).collect();
        Self { pending, ..self.clone() }
    }

    /// Whether it still waits for workers near its data, or for a single rack, if it asks for them.
    pub(super) fn needs_locality(&self) -> bool {
        self.rank.timeliness == Timeliness::OnTime && !self.overdue.contains(Rule::Locality)
    }

    /// What each of its tasks counts for its customer's cap.
    pub(super) fn charge(&self) -> Option<Charge> {
        Charge::of(&self.job, self.spec())
    }

    /// CPU that its pending tasks need, in thousandths of a core.
    pub(super) fn cpu_millis(&self) -> u64 {
        self.spec().allocation().cpu_millis.saturating_mul(self.pending.len() as u64)
    }
}

/// Open jobs that each placement round checks.
#[derive(Debug)]
pub(super) struct RoundJobs {
    /// Jobs that may have tasks to place and still have a value.
    jobs: BTreeSet<Id>,
    /// Some jobs without any value left.
    ///
    /// Guards against a site that has only such jobs left and would place them only in full scans:
    /// its instances were idle in between, and their answers waited for the next scan.
    worthless: BTreeSet<Id>,
    next_full_scan: Instant,
}

impl RoundJobs {
    pub(super) const fn new(now: Instant) -> Self {
        Self { jobs: BTreeSet::new(), worthless: BTreeSet::new(), next_full_scan: now }
    }

    /// Whether the next round checks all jobs.
    pub(super) fn is_full_scan_due(&self, now: Instant) -> bool {
        now >= self.next_full_scan
    }

    /// Notes that a job may have tasks to place.
    pub(super) fn add(&mut self, job: Id) {
        self.jobs.insert(job);
    }
}

impl Machine {
    /// Returns the steps with tasks to place whose earlier steps are done, ordered by rank. Checks
    /// the jobs that still have a value and, from time to time, all open jobs.
    pub(super) fn pending_steps(&mut self) -> Vec<PendingStep> {
        let full_scan = self.round_jobs.is_full_scan_due(self.now);
        if full_scan {
            self.round_jobs.next_full_scan = self.now.after(FULL_SCAN_INTERVAL);
        }
        let candidates: Vec<Id> = if full_scan {
            self.state.open.iter().copied().collect()
        } else {
            self.round_jobs.jobs.union(&self.round_jobs.worthless).copied().collect()
        };
        let mut waiting = Vec::new();
        for id in candidates {
            if !self.state.open.contains(&id) {
                self.round_jobs.jobs.remove(&id);
                continue;
            }
            let first_new = waiting.len();
            let more_to_come = self.open_occurrences(id);
            if let Some((task, reason)) = self.add_pending_steps(id, &mut waiting) {
                waiting.truncate(first_new);
                self.round_jobs.jobs.remove(&id);
                self.fail_job(&task, reason);
                continue;
            }
            let has_value = |step: &PendingStep| step.rank.timeliness != Timeliness::Worthless;
            if more_to_come || waiting[first_new..].iter().any(has_value) {
                self.round_jobs.jobs.insert(id);
            } else {
                self.round_jobs.jobs.remove(&id);
            }
        }
        waiting.sort_by_key(|step| step.rank);
        self.order_excess(&mut waiting);
        if full_scan {
            let others =
                waiting.iter().filter(|step| step.rank.timeliness == Timeliness::Worthless);
            self.round_jobs.worthless =
                others.map(|step| step.key.job).take(MAX_WORTHLESS_JOBS).collect();
        }
        waiting
    }

    /// Adds the steps of a job that have tasks to place. Stops and returns the task if there is one
    /// that may not be attempted again.
    pub(super) fn add_pending_steps(
        &self,
        id: Id,
        waiting: &mut Vec<PendingStep>,
    ) -> Option<(TaskKey, FailureReason)> {
        let entry = self.state.jobs.get(&id)?;
        let queue = self.config.queue(&entry.job.queue)?;
        let accepted = entry.accepted.as_millis();
        let mut paths = None;
        for (occurrence, steps) in &entry.open {
            for (number, step) in steps.iter().enumerate() {
                let spec = &entry.job.steps[number];
                let ready = spec.depends_on.iter().all(|&earlier| steps[earlier].is_done());
                if !ready {
                    continue;
                }
                let pending = pending(spec, step);
                if pending.is_empty() {
                    continue;
                }
                let key = StepKey { job: id, occurrence: *occurrence, step: number as u32 };
                let max_failures = Some(queue.max_failures);
                if let Some((index, reason)) = FailureReason::first(spec, step, max_failures) {
                    return Some((TaskKey { step: key, index }, reason));
                }
                let rank = if spec.long_running {
                    long_running_rank(step, queue, accepted)
                } else {
                    self.rank(&entry.job, queue, &key, accepted, &mut paths)
                };
                let (job, queue) = (entry.job.clone(), queue.clone());
                let suspects = suspects(spec, step);
                let stalled = spec.long_running || !step.is_live();
                let overdue = self.deferrals.overdue(key, self.now);
                waiting.push(PendingStep {
                    key,
                    job,
                    queue,
                    rank,
                    pending,
                    suspects,
                    stalled,
                    overdue,
                });
            }
        }
        None
    }

    /// Opens the occurrences of a job that are due, the earliest first, as long as few of them wait
    /// for workers; returns `true` if others become due later. Others that are due now are opened
    /// after these have been placed.
    ///
    /// Guards against an owner that never finishes here: it may have read a placement of a later
    /// occurrence while an earlier one was still waiting. And against one that is killed for its
    /// memory, as all its successors are: a job may have millions of occurrences that are due, and a
    /// waiting one keeps back none but its equals.
    fn open_occurrences(&mut self, id: Id) -> bool {
        let unix = self.unix;
        let Some(entry) = self.state.jobs.get_mut(&id) else { return false };
        if entry.phase().is_final() {
            return false;
        }
        if entry.unopened().next().is_none() {
            return false;
        }
        let waiting = entry.open.values().filter(|steps| !steps.iter().any(StepState::is_live));
        let places = max_waiting_occurrences(&entry.job).saturating_sub(waiting.count());
        let job = entry.job.clone();
        let is_due = |number: &u32| job.due_at(*number).is_none_or(|due| due <= unix);
        let due: Vec<u32> = entry.unopened().take(places).take_while(is_due).collect();
        for number in &due {
            entry.occurrence(*number);
        }
        entry.unopened().next().is_some_and(|next| !is_due(&next))
    }
}

/// Number of occurrences of a job that may be open at once while nothing of them runs.
pub(super) fn max_waiting_occurrences(job: &Job) -> usize {
    (MAX_WAITING_STEPS / job.steps.len().max(1)).max(1)
}

/// Returns the tasks of a step that have no attempt. A gang starts only once no earlier attempt of
/// any member is left.
fn pending(spec: &Step, step: &StepState) -> IndexSet {
    if step.is_done() && !spec.long_running || spec.gang && step.is_live() {
        return IndexSet::default();
    }
    step.tasks.indexes(|task| waits(spec, task))
}

/// Returns those of the pending tasks that are suspected of crashing their workers.
fn suspects(spec: &Step, step: &StepState) -> BTreeSet<u32> {
    let is_suspect = |task: &Task| waits(spec, task) && task.crash_score.is_suspect();
    step.tasks.indexes(is_suspect).iter().collect()
}

/// Whether a task has no attempt and needs one.
pub(super) const fn waits(spec: &Step, task: &Task) -> bool {
    task.live == 0 && (!task.done || spec.long_running)
}
