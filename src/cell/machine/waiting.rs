//! Steps with tasks that wait for a worker.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use super::Machine;
use super::rank::{Hope, Rank, lasting_rank};
use crate::cell::job::{Id, Job, Step, StepKey};
use crate::cell::queue::Queue;
use crate::cell::state;
use crate::clock::Instant;

/// Rest between two rounds over all open jobs. Most jobs that earn nothing any more are placed only
/// then: with 4,500 open jobs, as after a loss of all instances, looking at each in every round took
/// all of the owner's processor.
const SWEEP_REST: Duration = Duration::from_millis(250);

/// Jobs that earn nothing any more and that each round looks at all the same, the first in rank: as
/// many as twice the instances of a grown site, each of which asks one question at a time.
const OTHERS: usize = 64;

/// A step with tasks that wait.
pub(super) struct Waiting {
    pub(super) key: StepKey,
    pub(super) job: Rc<Job>,
    pub(super) queue: Rc<Queue>,
    pub(super) rank: Rank,
    pub(super) pending: Vec<u32>,
    /// Those of them that may be what crashes their workers.
    pub(super) suspects: BTreeSet<u32>,
}

impl Waiting {
    pub(super) fn model(&self) -> &Step {
        &self.job.steps[self.key.step as usize]
    }

    /// Processors that its tasks need, in thousandths of a core.
    pub(super) fn cpu_millis(&self) -> u64 {
        self.model().allocation().cpu_millis.saturating_mul(self.pending.len() as u64)
    }
}

/// Jobs that each round looks at, among all that are open.
#[derive(Debug)]
pub(super) struct Hopeful {
    /// Jobs that may have tasks to place and can still earn something.
    jobs: BTreeSet<Id>,
    /// Some that can earn nothing any more.
    ///
    /// Guards against a site that has only such jobs left and works them off at the pace of the
    /// sweeps: its instances stood idle between them, and their answers waited for the next.
    others: BTreeSet<Id>,
    next_sweep: Instant,
}

impl Hopeful {
    pub(super) const fn new(now: Instant) -> Self {
        Self { jobs: BTreeSet::new(), others: BTreeSet::new(), next_sweep: now }
    }

    /// Whether the next round looks at all jobs.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        now >= self.next_sweep
    }

    /// Notes that a job may have tasks to place.
    pub(super) fn add(&mut self, job: Id) {
        self.jobs.insert(job);
    }
}

impl Machine {
    /// Steps whose turn has come and that have tasks without a try: of hopeful jobs, and at times of
    /// all, the first in rank first.
    pub(super) fn waiting_steps(&mut self) -> Vec<Waiting> {
        let sweep = self.hopeful.is_due(self.now);
        if sweep {
            self.hopeful.next_sweep = self.now.after(SWEEP_REST);
        }
        let candidates: Vec<Id> = if sweep {
            self.state.open.iter().copied().collect()
        } else {
            self.hopeful.jobs.union(&self.hopeful.others).copied().collect()
        };
        let mut waiting = Vec::new();
        for id in candidates {
            if !self.state.open.contains(&id) {
                self.hopeful.jobs.remove(&id);
                continue;
            }
            let before = waiting.len();
            let more_to_come = self.open_occurrences(id);
            self.list_waiting(id, &mut waiting);
            let hopeful = |step: &Waiting| step.rank.hope != Hope::Worthless;
            if more_to_come || waiting[before..].iter().any(hopeful) {
                self.hopeful.jobs.insert(id);
            } else {
                self.hopeful.jobs.remove(&id);
            }
        }
        waiting.sort_by_key(|step| step.rank);
        if sweep {
            let others = waiting.iter().filter(|step| step.rank.hope == Hope::Worthless);
            self.hopeful.others = others.map(|step| step.key.job).take(OTHERS).collect();
        }
        waiting
    }

    fn list_waiting(&self, id: Id, waiting: &mut Vec<Waiting>) {
        let Some(entry) = self.state.jobs.get(&id) else { return };
        let Some(queue) = self.table.queue(&entry.job.queue) else { return };
        let accepted = entry.accepted.as_millis();
        for (occurrence, steps) in &entry.open {
            for (number, step) in steps.iter().enumerate() {
                let model = &entry.job.steps[number];
                let ready = model.depends_on.iter().all(|&earlier| steps[earlier].is_done());
                let pending = if ready { pending(model, step) } else { Vec::new() };
                if pending.is_empty() {
                    continue;
                }
                let key = StepKey { job: id, occurrence: *occurrence, step: number as u32 };
                let rank = if model.long_running {
                    lasting_rank(step, queue, accepted)
                } else {
                    self.rank(&entry.job, queue, &key, accepted)
                };
                let (job, queue) = (entry.job.clone(), queue.clone());
                let is_suspect = |index: &u32| step.tasks[*index as usize].crash_score.is_suspect();
                let suspects = pending.iter().copied().filter(is_suspect).collect();
                waiting.push(Waiting { key, job, queue, rank, pending, suspects });
            }
        }
    }

    /// Begins the occurrences of a job that are due; `true` when others come later.
    ///
    /// Guards against an owner that never comes to an end here: it may have read of a later
    /// occurrence that was placed, and not of an earlier one that still waited.
    fn open_occurrences(&mut self, id: Id) -> bool {
        let unix = self.unix;
        let Some(entry) = self.state.jobs.get_mut(&id) else { return false };
        if entry.phase().is_final() {
            return false;
        }
        for number in 0..entry.job.occurrences() {
            if entry.done.contains(&number) || entry.open.contains_key(&number) {
                continue;
            }
            if entry.job.due_at(number).is_some_and(|due| due > unix) {
                return true;
            }
            entry.occurrence(number);
        }
        false
    }
}

/// Tasks of a step that have no try. A gang begins only when no earlier try of any member is left.
fn pending(model: &Step, step: &state::StepState) -> Vec<u32> {
    if step.is_done() && !model.long_running || model.gang && step.is_live() {
        return Vec::new();
    }
    let waits = |task: &state::TaskState| task.live == 0 && (!task.done || model.long_running);
    let tasks = step.tasks.iter().enumerate().filter(|(_, task)| waits(task));
    tasks.map(|(index, _)| index as u32).collect()
}
