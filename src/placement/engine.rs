//! The placement engine: its inputs and the bookkeeping of allocated resources.

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use super::allocation::{Allocation, Allocations};
use super::estimate::RunTimeEstimator;
use super::health::{FailureTracker, FaultSource, JobName, WorkerHealth};
use super::pool::Pool;
use super::queue::{Queue, WaitingJob};
use super::reservation::Reservations;
use super::scorer::{self, Scorer};
use super::team::TeamTable;
use super::victim::PreemptionClaims;
use super::{
    DeadlineRisk, HealthEvent, Policy, Request, RunningTask, SchedulingState, arithmetic, risk,
};
use crate::clock::{Instant, Unix};
use crate::job::{self, Kind};
use crate::resource::Amount;
use crate::{task, worker};

/// Expected run time of a task without a declared or measured run time.
const UNKNOWN_RUN: Duration = Duration::from_secs(10 * 60);

/// Decides where tasks run; see the [module](super).
///
/// ```
/// use oriolefork::clock::{Instant, Unix};
/// use oriolefork::job::{self, Kind, Urgency};
/// use oriolefork::placement::{Decision, Engine, Policy, Request, SchedulingState};
/// use oriolefork::{resource::Amount, task, worker};
///
/// let mut engine = Engine::new(Policy::default());
/// let capacity = Amount { cpu_millis: 4_000, memory_mib: 8_192, accelerators: 0 };
/// engine.upsert_worker(&worker::Name::from("w1"), "rack-a", capacity, SchedulingState::Open);
/// let job = job::Id::derive("shop", "backup-1");
/// engine.enqueue(Request {
///     job,
///     team: "shop".into(),
///     name: "backup".into(),
///     kind: Kind::Batch,
///     urgency: Urgency::Normal,
///     deadline: None,
///     run_time: None,
///     demand: Amount { cpu_millis: 1_000, memory_mib: 512, accelerators: 0 },
///     tasks: vec![task::Id { job, index: 0, attempt: 0 }],
///     queued: Instant::from_millis(0),
/// });
/// let decisions = engine.decide(Instant::from_millis(1), Unix::from_millis(1), 100);
/// assert!(matches!(&decisions[..], [Decision::Start { tasks, .. }] if tasks.len() == 1));
/// ```
#[derive(Debug)]
pub struct Engine {
    pub(super) policy: Policy,
    pub(super) scorer: Box<dyn Scorer>,
    pub(super) pool: Pool,
    pub(super) queue: Queue,
    pub(super) allocations: Allocations,
    pub(super) teams: TeamTable,
    pub(super) estimator: RunTimeEstimator,
    pub(super) failures: FailureTracker,
    pub(super) reservations: Reservations,
    pub(super) claims: PreemptionClaims,
    pub(super) quarantined: Vec<(Instant, usize)>,
    events: Vec<HealthEvent>,
}

impl Engine {
    /// Creates an engine without workers and jobs.
    pub fn new(policy: Policy) -> Self {
        Self {
            scorer: scorer::for_policy(&policy),
            policy,
            pool: Pool::default(),
            queue: Queue::default(),
            allocations: Allocations::default(),
            teams: TeamTable::default(),
            estimator: RunTimeEstimator::default(),
            failures: FailureTracker::default(),
            reservations: Reservations::default(),
            claims: PreemptionClaims::default(),
            quarantined: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Replaces the policy from the next decision on.
    pub fn set_policy(&mut self, policy: Policy) {
        if policy == self.policy {
            return;
        }
        self.queue.reorder(&self.policy, &policy);
        self.scorer = scorer::for_policy(&policy);
        self.policy = policy;
    }

    /// Sets the amount that a team may use while other teams wait; `None` for no limit.
    pub fn set_quota(&mut self, team: &str, quota: Option<Amount>) {
        let team = self.teams.intern(team);
        self.teams.get_mut(team).quota = quota;
    }

    /// Adds a worker or updates it; its tasks keep their allocations.
    pub fn upsert_worker(
        &mut self,
        name: &worker::Name,
        rack: &str,
        capacity: Amount,
        scheduling_state: SchedulingState,
    ) {
        let index = self.pool.intern(name);
        self.pool.move_to_rack(index, rack);
        self.pool.update(index, |node| {
            node.capacity = arithmetic::clamped(&capacity);
            node.scheduling_state = scheduling_state;
        });
    }

    /// Removes a worker; tasks on it stay allocated until they are released.
    pub fn remove_worker(&mut self, name: &worker::Name) {
        let Some(index) = self.pool.find(name) else { return };
        self.pool.update(index, |node| {
            node.capacity = Amount::ZERO;
            node.scheduling_state = SchedulingState::Closed;
        });
    }

    /// Adds waiting tasks; they join the tasks of the same job that already wait.
    ///
    /// A task that already holds resources is skipped, so that no task is placed twice.
    pub fn enqueue(&mut self, mut request: Request) {
        self.reservations.remove(request.job, &mut self.pool);
        let tasks: BTreeSet<_> = request.tasks.drain(..).collect();
        let mut waiting = match self.queue.remove(request.job, &self.policy) {
            Some(waiting) => waiting,
            None => self.admit(request),
        };
        waiting.tasks.retain(|task| !tasks.contains(task));
        waiting
            .tasks
            .extend(tasks.into_iter().filter(|&task| self.allocations.get(task).is_none()));
        if !waiting.tasks.is_empty() {
            self.queue.insert(waiting, &self.policy);
        }
    }

    /// Removes the waiting tasks of a job; its running tasks stay.
    pub fn withdraw(&mut self, job: job::Id) {
        self.queue.remove(job, &self.policy);
        self.failures.forget_job(job);
        self.claims.remove_job(&mut self.pool, job);
        self.reservations.remove(job, &mut self.pool);
    }

    /// Allocates resources for a task that already runs on a worker, even beyond its capacity.
    pub fn adopt(&mut self, task: task::Id, worker: &worker::Name, running_task: &RunningTask) {
        self.release(task);
        self.queue.remove_task(task, &self.policy);
        let team = self.teams.intern(&running_task.team);
        let estimate =
            self.estimator.estimate(&running_task.team, &running_task.name, running_task.run_time);
        let run = estimate.map_or(UNKNOWN_RUN, |estimate| estimate.typical);
        let node = self.pool.intern(worker);
        let allocation = Allocation {
            node,
            rack: self.pool.get(node).rack,
            team,
            name: running_task.name.as_str().into(),
            demand: arithmetic::clamped(&running_task.demand),
            kind: running_task.kind,
            urgency: running_task.urgency,
            started: running_task.started,
            expected_end: (running_task.kind != Kind::LongRunning)
                .then(|| running_task.started.after(run)),
            deadline: running_task.deadline,
            preempting: false,
            overuse: Amount::ZERO,
        };
        self.allocate(task, allocation);
    }

    /// Frees the resources of a task that certainly no longer runs.
    pub fn release(&mut self, task: task::Id) {
        let Some(allocation) = self.allocations.remove(task) else { return };
        let team = self.teams.get_mut(allocation.team);
        team.usage = team.usage.saturating_sub(&allocation.demand);
        self.pool.update(allocation.node, |node| {
            node.allocated = node.allocated.saturating_sub(&allocation.demand);
            node.task_overuse = node.task_overuse.saturating_sub(&allocation.overuse);
            if let Some(end) = allocation.expected_end {
                node.expected_ends.remove(&(end, task));
            }
            if allocation.is_preemptible() {
                node.preemptible = node.preemptible.saturating_sub(&allocation.demand);
            }
            if node.health == WorkerHealth::Probation(Some(task)) {
                node.health = WorkerHealth::Probation(None);
            }
        });
    }

    /// Frees the resources of a task that ended. A success updates the run-time estimate; success
    /// and failure update the health of its worker and job.
    pub fn finish(&mut self, task: task::Id, end: task::End, now: Instant) {
        let Some(allocation) = self.allocations.get(task).cloned() else { return };
        self.release(task);
        let team = Rc::clone(&self.teams.get(allocation.team).name);
        match end {
            task::End::Succeeded => {
                self.estimator.record_run(&team, &allocation.name, now.since(allocation.started));
                if self.failures.record_success(task.job, &(team, allocation.name), allocation.node)
                {
                    self.restore(allocation.node);
                }
            }
            task::End::Failed | task::End::Rejected => {
                let job_name = (team, allocation.name);
                for fault in self.failures.record_failure(task.job, &job_name, allocation.node) {
                    self.apply_fault(&fault, task.job, &job_name, allocation.node, now);
                }
            }
            task::End::Stopped | task::End::Checkpointed | task::End::Lapsed => {}
        }
    }

    /// Records the latest measured usage of all tasks of a worker together.
    ///
    /// Usage above the allocated amount is unavailable to new tasks until a later report is lower.
    pub fn observe_worker_usage(&mut self, worker: &worker::Name, usage: Amount) {
        let Some(index) = self.pool.find(worker) else { return };
        let usage = arithmetic::clamped(&usage);
        self.pool.update(index, |node| node.worker_overuse = usage.saturating_sub(&node.allocated));
    }

    /// Records the latest measured usage of a task.
    ///
    /// Usage above its demand is unavailable to new tasks until a later report is lower or the task
    /// is released. Unlike the sum of [`Self::observe_worker_usage`], it stays correct when other
    /// tasks have started since the measurement.
    pub fn observe_task_usage(&mut self, task: task::Id, usage: Amount) {
        let Some(allocation) = self.allocations.get_mut(task) else { return };
        let before = allocation.overuse;
        let after = arithmetic::clamped(&usage).saturating_sub(&allocation.demand);
        allocation.overuse = after;
        if before == after {
            return;
        }
        self.pool.update(allocation.node, |node| {
            node.task_overuse = node.task_overuse.saturating_sub(&before).saturating_add(&after);
        });
    }

    /// Deadlines that are likely to be missed.
    pub fn at_risk(&self, now: Instant, unix: Unix) -> Vec<DeadlineRisk> {
        let running = risk::running_tasks(&self.allocations, now, unix);
        risk::waiting_jobs(&self.queue, unix).chain(running).collect()
    }

    /// Returns and clears the health events since the last call.
    pub fn take_events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.events)
    }

    /// Number of tasks that hold resources.
    pub fn allocated_tasks(&self) -> usize {
        self.allocations.len()
    }

    /// Capacity and usage of all workers that accept new tasks.
    pub fn load(&self) -> Load {
        Load { capacity: self.pool.capacity, used: self.pool.used }
    }

    fn admit(&mut self, request: Request) -> WaitingJob {
        let estimate = self.estimator.estimate(&request.team, &request.name, request.run_time);
        WaitingJob {
            job: request.job,
            team: self.teams.intern(&request.team),
            name: request.name.into(),
            kind: request.kind,
            urgency: request.urgency,
            deadline: request.deadline,
            estimate,
            demand: request.demand,
            tasks: VecDeque::new(),
            queued: request.queued,
        }
    }

    /// Allocates a task's demand on its worker.
    pub(super) fn allocate(&mut self, task: task::Id, allocation: Allocation) {
        let team = self.teams.get_mut(allocation.team);
        team.usage = team.usage.saturating_add(&allocation.demand);
        self.pool.update(allocation.node, |node| {
            node.allocated = node.allocated.saturating_add(&allocation.demand);
            if let Some(end) = allocation.expected_end {
                node.expected_ends.insert((end, task));
            }
            if allocation.is_preemptible() {
                node.preemptible = node.preemptible.saturating_add(&allocation.demand);
            }
            if node.health == WorkerHealth::Probation(None) {
                node.health = WorkerHealth::Probation(Some(task));
            }
        });
        self.allocations.insert(task, allocation);
    }

    /// Allocates a task of a waiting job on a worker from `now` on.
    pub(super) fn start(
        &mut self,
        task: task::Id,
        waiting: &WaitingJob,
        node: usize,
        now: Instant,
    ) {
        let run = waiting.estimate.map_or(UNKNOWN_RUN, |estimate| estimate.typical);
        let allocation = Allocation {
            node,
            rack: self.pool.get(node).rack,
            team: waiting.team,
            name: Rc::clone(&waiting.name),
            demand: waiting.demand,
            kind: waiting.kind,
            urgency: waiting.urgency,
            started: now,
            expected_end: (waiting.kind != Kind::LongRunning).then(|| now.after(run)),
            deadline: waiting.deadline,
            preempting: false,
            overuse: Amount::ZERO,
        };
        self.allocate(task, allocation);
        self.claims.release_one(&mut self.pool, waiting.job, node);
    }

    /// Stores an event for [`Self::take_events`].
    pub(super) fn emit(&mut self, event: HealthEvent) {
        self.events.push(event);
    }

    fn restore(&mut self, node: usize) {
        if self.pool.get(node).health == WorkerHealth::Healthy {
            return;
        }
        self.pool.update(node, |node| node.health = WorkerHealth::Healthy);
        self.pool.mark_grown(node);
        self.events.push(HealthEvent::Restored { worker: self.pool.get(node).name.clone() });
    }

    fn apply_fault(
        &mut self,
        fault: &FaultSource,
        job: job::Id,
        job_name: &JobName,
        node: usize,
        now: Instant,
    ) {
        match fault {
            FaultSource::Job => self.events.push(HealthEvent::FailsEverywhere {
                job,
                team: job_name.0.to_string(),
                name: job_name.1.to_string(),
            }),
            FaultSource::Worker => self.quarantine(node, now),
        }
    }

    fn quarantine(&mut self, node: usize, now: Instant) {
        if matches!(self.pool.get(node).health, WorkerHealth::Quarantined(_)) {
            return;
        }
        let span = self.failures.start_quarantine(node);
        let until = now.after(span);
        self.pool.update(node, |node| node.health = WorkerHealth::Quarantined(until));
        self.quarantined.push((until, node));
        let worker = self.pool.get(node).name.clone();
        self.events.push(HealthEvent::Quarantined { worker, span });
    }
}

/// Capacity and usage of the workers that accept new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Their total capacity.
    pub capacity: Amount,
    /// The used part of it: allocated amounts and measured usage above them.
    pub used: Amount,
}
