//! The state machine that decides: what it is told, and how it keeps count.

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use super::estimate::RunTimeEstimator;
use super::health::{Finding, Health, Standing};
use super::ledger::{Ledger, Running};
use super::pool::Pool;
use super::queue::{Queue, Waiting};
use super::reservation::Reservations;
use super::scorer::{self, Scorer};
use super::team::Table;
use super::victim::Pledges;
use super::{
    DeadlineRisk, HealthEvent, Policy, Request, RunningTask, SchedulingState, measure, risk,
};
use crate::clock::{Instant, Unix};
use crate::job::{self, Kind};
use crate::resource::Amount;
use crate::{task, worker};

/// Run time expected of a task of which nothing is known.
const UNKNOWN_RUN: Duration = Duration::from_secs(10 * 60);

/// Decides where tasks run; see the [module](super).
///
/// ```
/// use oriolefork::clock::{Instant, Unix};
/// use oriolefork::job::{self, Kind, Urgency};
/// use oriolefork::placement::{SchedulingState, Decision, Engine, Policy, Request};
/// use oriolefork::{resource::Amount, task, worker};
///
/// let mut engine = Engine::new(Policy::default());
/// let room = Amount { cpu_millis: 4_000, memory_mib: 8_192, accelerators: 0 };
/// engine.upsert_worker(&worker::Name::from("w1"), "rack-a", room, SchedulingState::Open);
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
    pub(super) ledger: Ledger,
    pub(super) teams: Table,
    pub(super) estimator: RunTimeEstimator,
    pub(super) health: Health,
    pub(super) reservations: Reservations,
    pub(super) pledges: Pledges,
    pub(super) quarantined: Vec<(Instant, usize)>,
    events: Vec<HealthEvent>,
}

impl Engine {
    /// Starts with no workers and no work.
    pub fn new(policy: Policy) -> Self {
        Self {
            scorer: scorer::of(&policy),
            policy,
            pool: Pool::default(),
            queue: Queue::default(),
            ledger: Ledger::default(),
            teams: Table::default(),
            estimator: RunTimeEstimator::default(),
            health: Health::default(),
            reservations: Reservations::default(),
            pledges: Pledges::default(),
            quarantined: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Puts other rules in force from the next decision on.
    pub fn set_policy(&mut self, policy: Policy) {
        if policy == self.policy {
            return;
        }
        self.queue.reorder(&self.policy, &policy);
        self.scorer = scorer::of(&policy);
        self.policy = policy;
    }

    /// Sets what a team may use while others wait; `None` for no limit.
    pub fn set_quota(&mut self, team: &str, quota: Option<Amount>) {
        let team = self.teams.intern(team);
        self.teams.get_mut(team).quota = quota;
    }

    /// Adds a worker or changes what is known of it; its tasks stay counted.
    pub fn upsert_worker(
        &mut self,
        name: &worker::Name,
        rack: &str,
        capacity: Amount,
        scheduling_state: SchedulingState,
    ) {
        let index = self.pool.intern(name);
        self.pool.place(index, rack);
        self.pool.update(index, |node| {
            node.capacity = measure::bounded(&capacity);
            node.scheduling_state = scheduling_state;
        });
    }

    /// Removes a worker; tasks on it stay counted until they are released.
    pub fn remove_worker(&mut self, name: &worker::Name) {
        let Some(index) = self.pool.find(name) else { return };
        self.pool.update(index, |node| {
            node.capacity = Amount::ZERO;
            node.scheduling_state = SchedulingState::Closed;
        });
    }

    /// Adds tasks that wait; tasks of a job that waits already join it.
    ///
    /// A task that holds resources already is left out, so that none is placed twice.
    pub fn enqueue(&mut self, mut request: Request) {
        self.reservations.remove(request.job, &mut self.pool);
        let tasks: BTreeSet<_> = request.tasks.drain(..).collect();
        let mut waiting = match self.queue.remove(request.job, &self.policy) {
            Some(waiting) => waiting,
            None => self.admit(request),
        };
        waiting.tasks.retain(|task| !tasks.contains(task));
        waiting.tasks.extend(tasks.into_iter().filter(|&task| self.ledger.get(task).is_none()));
        if !waiting.tasks.is_empty() {
            self.queue.insert(waiting, &self.policy);
        }
    }

    /// Forgets the waiting tasks of a job; its running tasks stay.
    pub fn withdraw(&mut self, job: job::Id) {
        self.queue.remove(job, &self.policy);
        self.health.forget(job);
        self.pledges.drop_job(&mut self.pool, job);
        self.reservations.remove(job, &mut self.pool);
    }

    /// Counts a task that already runs on a worker, whether or not there is room for it.
    pub fn adopt(&mut self, task: task::Id, worker: &worker::Name, running_task: &RunningTask) {
        self.release(task);
        self.queue.drop_task(task, &self.policy);
        let team = self.teams.intern(&running_task.team);
        let estimate =
            self.estimator.estimate(&running_task.team, &running_task.name, running_task.run_time);
        let run = estimate.map_or(UNKNOWN_RUN, |estimate| estimate.typical);
        let node = self.pool.intern(worker);
        let running = Running {
            node,
            rack: self.pool.get(node).rack,
            team,
            name: running_task.name.as_str().into(),
            demand: measure::bounded(&running_task.demand),
            kind: running_task.kind,
            urgency: running_task.urgency,
            started: running_task.started,
            ends: (running_task.kind != Kind::LongRunning).then(|| running_task.started.after(run)),
            deadline: running_task.deadline,
            stopping: false,
            excess: Amount::ZERO,
        };
        self.hold(task, running);
    }

    /// Returns the resources of a task that is surely gone.
    pub fn release(&mut self, task: task::Id) {
        let Some(running) = self.ledger.remove(task) else { return };
        let team = self.teams.get_mut(running.team);
        team.usage = team.usage.saturating_sub(&running.demand);
        self.pool.update(running.node, |node| {
            node.reserved = node.reserved.saturating_sub(&running.demand);
            node.overuse = node.overuse.saturating_sub(&running.excess);
            if let Some(ends) = running.ends {
                node.ends.remove(&(ends, task));
            }
            if running.is_preemptible() {
                node.preemptible = node.preemptible.saturating_sub(&running.demand);
            }
            if node.standing == Standing::Probation(Some(task)) {
                node.standing = Standing::Probation(None);
            }
        });
    }

    /// Returns the resources of a task that ended, and learns from how it ended.
    pub fn finish(&mut self, task: task::Id, end: task::End, now: Instant) {
        let Some(running) = self.ledger.get(task).cloned() else { return };
        self.release(task);
        let team = Rc::clone(&self.teams.get(running.team).name);
        match end {
            task::End::Succeeded => {
                self.estimator.record_run(&team, &running.name, now.since(running.started));
                if self.health.succeeded(task.job, &(team, running.name), running.node) {
                    self.trust(running.node);
                }
            }
            task::End::Failed | task::End::Rejected => {
                let label = (team, running.name);
                for finding in self.health.failed(task.job, &label, running.node) {
                    self.take_in(&finding, task.job, &label, running.node, now);
                }
            }
            task::End::Stopped | task::End::Checkpointed | task::End::Lapsed => {}
        }
    }

    /// Takes in what all tasks of a worker together were last measured to use.
    ///
    /// Use above what is reserved takes room from new tasks until a later report shows less.
    pub fn observe_worker_usage(&mut self, worker: &worker::Name, usage: Amount) {
        let Some(index) = self.pool.find(worker) else { return };
        let usage = measure::bounded(&usage);
        self.pool.update(index, |node| node.excess = usage.saturating_sub(&node.reserved));
    }

    /// Takes in what a task was last measured to use.
    ///
    /// Use above its declared need takes room from new tasks until a later report shows less or
    /// the task is released. Unlike the sum of [`Self::observe_worker_usage`], it stays right when other
    /// tasks have started since the measurement.
    pub fn observe_task_usage(&mut self, task: task::Id, usage: Amount) {
        let Some(running) = self.ledger.get_mut(task) else { return };
        let before = running.excess;
        let after = measure::bounded(&usage).saturating_sub(&running.demand);
        running.excess = after;
        if before == after {
            return;
        }
        self.pool.update(running.node, |node| {
            node.overuse = node.overuse.saturating_sub(&before).saturating_add(&after);
        });
    }

    /// Deadlines that are likely to be missed unless something changes.
    pub fn at_risk(&self, now: Instant, unix: Unix) -> Vec<DeadlineRisk> {
        let running = risk::running(&self.ledger, now, unix);
        risk::waiting(&self.queue, unix).chain(running).collect()
    }

    /// What has come to light since the last call, for people to see.
    pub fn take_events(&mut self) -> Vec<HealthEvent> {
        std::mem::take(&mut self.events)
    }

    /// Tasks that hold resources.
    pub fn allocated_tasks(&self) -> usize {
        self.ledger.len()
    }

    /// What all workers that take new tasks have, and what of it is used.
    pub fn load(&self) -> Load {
        Load { capacity: self.pool.capacity, used: self.pool.used }
    }

    fn admit(&mut self, request: Request) -> Waiting {
        let estimate = self.estimator.estimate(&request.team, &request.name, request.run_time);
        Waiting {
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

    /// Reserves a task's needs on its worker.
    pub(super) fn hold(&mut self, task: task::Id, running: Running) {
        let team = self.teams.get_mut(running.team);
        team.usage = team.usage.saturating_add(&running.demand);
        self.pool.update(running.node, |node| {
            node.reserved = node.reserved.saturating_add(&running.demand);
            if let Some(ends) = running.ends {
                node.ends.insert((ends, task));
            }
            if running.is_preemptible() {
                node.preemptible = node.preemptible.saturating_add(&running.demand);
            }
            if node.standing == Standing::Probation(None) {
                node.standing = Standing::Probation(Some(task));
            }
        });
        self.ledger.insert(task, running);
    }

    /// Reserves a waiting job's task on a worker from `now` on.
    pub(super) fn start(&mut self, task: task::Id, waiting: &Waiting, node: usize, now: Instant) {
        let run = waiting.estimate.map_or(UNKNOWN_RUN, |estimate| estimate.typical);
        let running = Running {
            node,
            rack: self.pool.get(node).rack,
            team: waiting.team,
            name: Rc::clone(&waiting.name),
            demand: waiting.demand,
            kind: waiting.kind,
            urgency: waiting.urgency,
            started: now,
            ends: (waiting.kind != Kind::LongRunning).then(|| now.after(run)),
            deadline: waiting.deadline,
            stopping: false,
            excess: Amount::ZERO,
        };
        self.hold(task, running);
        self.pledges.redeem(&mut self.pool, waiting.job, node);
    }

    /// Keeps an event until it is taken.
    pub(super) fn note(&mut self, event: HealthEvent) {
        self.events.push(event);
    }

    fn trust(&mut self, node: usize) {
        if self.pool.get(node).standing == Standing::Healthy {
            return;
        }
        self.pool.update(node, |node| node.standing = Standing::Healthy);
        self.pool.mark_grown(node);
        self.events.push(HealthEvent::Restored { worker: self.pool.get(node).name.clone() });
    }

    fn take_in(
        &mut self,
        finding: &Finding,
        job: job::Id,
        label: &super::health::Label,
        node: usize,
        now: Instant,
    ) {
        match finding {
            Finding::Job => self.events.push(HealthEvent::FailsEverywhere {
                job,
                team: label.0.to_string(),
                name: label.1.to_string(),
            }),
            Finding::Worker => self.quarantine(node, now),
        }
    }

    fn quarantine(&mut self, node: usize, now: Instant) {
        if matches!(self.pool.get(node).standing, Standing::Quarantined(_)) {
            return;
        }
        let span = self.health.quarantine(node);
        let until = now.after(span);
        self.pool.update(node, |node| node.standing = Standing::Quarantined(until));
        self.quarantined.push((until, node));
        let worker = self.pool.get(node).name.clone();
        self.events.push(HealthEvent::Quarantined { worker, span });
    }
}

/// Capacity and use of the workers that take new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// What they have.
    pub capacity: Amount,
    /// What is used by declared and by measured use.
    pub used: Amount,
}
