//! The state machine that decides.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use super::node::Node;
use super::{Assignment, Availability, Decision, Holding, Policy, Reason, Request};
use crate::clock::{Instant, Unix};
use crate::job::{self, Kind};
use crate::resource::Amount;
use crate::{task, worker};

/// Decides where tasks run; see the [module](super).
///
/// ```
/// use oriolefork::clock::{Instant, Unix};
/// use oriolefork::job::{self, Kind, Urgency};
/// use oriolefork::placement::{Availability, Decision, Engine, Policy, Request};
/// use oriolefork::{resource::Amount, task, worker};
///
/// let mut engine = Engine::new(Policy::default());
/// let room = Amount { cpu_millis: 4_000, memory_mib: 8_192, accelerators: 0 };
/// engine.upsert_worker(&worker::Name::from("w1"), "rack-a", room, Availability::Open);
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
    policy: Policy,
    nodes: Vec<Node>,
    by_name: HashMap<worker::Name, usize>,
    waiting: BTreeMap<(Reverse<job::Urgency>, Instant, job::Id), Request>,
    keys: HashMap<job::Id, (Reverse<job::Urgency>, Instant, job::Id)>,
    running: HashMap<task::Id, (usize, Amount)>,
    quotas: HashMap<String, Amount>,
}

impl Engine {
    /// Starts with no workers and no work.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            nodes: Vec::new(),
            by_name: HashMap::new(),
            waiting: BTreeMap::new(),
            keys: HashMap::new(),
            running: HashMap::new(),
            quotas: HashMap::new(),
        }
    }

    /// Puts other rules in force from the next decision on.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets what a team may use while others wait; `None` for no limit.
    pub fn set_quota(&mut self, team: &str, quota: Option<Amount>) {
        match quota {
            Some(quota) => self.quotas.insert(team.to_owned(), quota),
            None => self.quotas.remove(team),
        };
    }

    /// Adds a worker or changes what is known of it; its tasks stay counted.
    pub fn upsert_worker(
        &mut self,
        name: &worker::Name,
        rack: &str,
        capacity: Amount,
        availability: Availability,
    ) {
        let index = self.node_index(name);
        let node = &mut self.nodes[index];
        node.rack = rack.to_owned();
        node.capacity = capacity;
        node.availability = availability;
    }

    /// Removes a worker; tasks on it stay counted until they are released.
    pub fn remove_worker(&mut self, name: &worker::Name) {
        if let Some(&index) = self.by_name.get(name) {
            self.nodes[index].availability = Availability::Closed;
            self.nodes[index].capacity = Amount::ZERO;
        }
    }

    /// Adds tasks that wait; tasks of a job that waits already join it.
    pub fn enqueue(&mut self, request: Request) {
        if let Some(waiting) = self.keys.get(&request.job).and_then(|key| self.waiting.get_mut(key))
        {
            waiting.tasks.extend(request.tasks);
            return;
        }
        let key = (Reverse(request.urgency), request.queued, request.job);
        self.keys.insert(request.job, key);
        self.waiting.insert(key, request);
    }

    /// Forgets the waiting tasks of a job; its running tasks stay.
    pub fn withdraw(&mut self, job: job::Id) {
        if let Some(key) = self.keys.remove(&job) {
            self.waiting.remove(&key);
        }
    }

    /// Counts a task that already runs on a worker, whether or not there is room for it.
    pub fn adopt(&mut self, task: task::Id, worker: &worker::Name, holding: &Holding) {
        self.release(task);
        let index = self.node_index(worker);
        self.hold(task, index, holding.demand);
    }

    /// Returns the resources of a task that is surely gone.
    pub fn release(&mut self, task: task::Id) {
        let Some((index, demand)) = self.running.remove(&task) else { return };
        let node = &mut self.nodes[index];
        node.reserved = node.reserved.saturating_sub(&demand);
        node.tasks -= 1;
    }

    /// Returns the resources of a task that ended, and learns from how it ended.
    pub fn finish(&mut self, task: task::Id, _end: task::End, _now: Instant) {
        self.release(task);
    }

    /// Takes in what all tasks of a worker together were last measured to use.
    ///
    /// Use above what is reserved takes room from new tasks until a later report shows less.
    pub fn observe_usage(&mut self, worker: &worker::Name, usage: Amount) {
        if let Some(&index) = self.by_name.get(worker) {
            let node = &mut self.nodes[index];
            node.excess = usage.saturating_sub(&node.reserved);
        }
    }

    /// Decides starts of about `limit` tasks, more only to finish a gang, and reserves them.
    pub fn decide(&mut self, _now: Instant, _unix: Unix, limit: usize) -> Vec<Decision> {
        let limit = limit.min(self.policy.starts);
        let mut decisions = Vec::new();
        let mut started = 0;
        let keys: Vec<_> = self.waiting.keys().copied().collect();
        for key in keys {
            if started >= limit {
                break;
            }
            let tasks = self.place(&key, limit - started);
            if !tasks.is_empty() {
                started += tasks.len();
                decisions.push(Decision::Start { job: key.2, tasks });
            }
        }
        decisions
    }

    /// Why a job waits; `None` when none of its tasks wait.
    pub fn explain(&self, job: job::Id) -> Option<Reason> {
        let request = self.waiting.get(self.keys.get(&job)?)?;
        let impossible = self.impossible(&request.demand, request.kind, request.tasks.len());
        Some(impossible.unwrap_or(Reason::NoRoom { demand: request.demand }))
    }

    /// Why such a job can never run on the workers known; `None` when it can, or when no worker
    /// is known yet.
    pub fn impossible(&self, demand: &Amount, kind: Kind, tasks: usize) -> Option<Reason> {
        if self.nodes.is_empty() {
            return None;
        }
        if !self.nodes.iter().any(|node| demand.fits(&node.capacity)) {
            return Some(Reason::TooLarge { demand: *demand, largest: self.largest() });
        }
        let slots = self
            .nodes
            .iter()
            .map(|node| slots(demand, &node.capacity))
            .fold(0usize, usize::saturating_add);
        (kind != Kind::Batch && slots < tasks).then_some(Reason::TooMany { tasks, slots })
    }

    fn node_index(&mut self, name: &worker::Name) -> usize {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.nodes.len();
        self.nodes.push(Node {
            name: name.clone(),
            rack: String::new(),
            capacity: Amount::ZERO,
            availability: Availability::Closed,
            reserved: Amount::ZERO,
            excess: Amount::ZERO,
            tasks: 0,
        });
        self.by_name.insert(name.clone(), index);
        index
    }

    fn largest(&self) -> Amount {
        self.nodes.iter().fold(Amount::ZERO, |most, node| Amount {
            cpu_millis: most.cpu_millis.max(node.capacity.cpu_millis),
            memory_mib: most.memory_mib.max(node.capacity.memory_mib),
            accelerators: most.accelerators.max(node.capacity.accelerators),
        })
    }

    fn hold(&mut self, task: task::Id, index: usize, demand: Amount) {
        let node = &mut self.nodes[index];
        node.reserved = node.reserved.saturating_add(&demand);
        node.tasks += 1;
        self.running.insert(task, (index, demand));
    }

    fn place(
        &mut self,
        key: &(Reverse<job::Urgency>, Instant, job::Id),
        limit: usize,
    ) -> Vec<Assignment> {
        let Some(request) = self.waiting.get(key) else { return Vec::new() };
        let (demand, kind) = (request.demand, request.kind);
        let count = if kind == Kind::Gang { usize::MAX } else { limit };
        let tasks: Vec<_> = request.tasks.iter().copied().take(count).collect();
        let mut placed = Vec::new();
        for &task in &tasks {
            let Some(index) = self.best(&demand) else { break };
            self.hold(task, index, demand);
            placed.push(Assignment { task, worker: self.nodes[index].name.clone() });
        }
        if kind == Kind::Gang && placed.len() < tasks.len() {
            placed.drain(..).for_each(|assignment| self.release(assignment.task));
        }
        self.dequeue(key, placed.len());
        placed
    }

    fn dequeue(&mut self, key: &(Reverse<job::Urgency>, Instant, job::Id), count: usize) {
        if let Some(request) = self.waiting.get_mut(key) {
            request.tasks.drain(..count);
            if request.tasks.is_empty() {
                self.withdraw(key.2);
            }
        }
    }

    fn best(&self, demand: &Amount) -> Option<usize> {
        let fitting = (0..self.nodes.len()).filter(|&index| demand.fits(&self.nodes[index].free()));
        fitting.min_by_key(|&index| self.nodes[index].free().cpu_millis)
    }
}

fn slots(demand: &Amount, room: &Amount) -> usize {
    let per = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
    let slots = per(demand.cpu_millis, room.cpu_millis)
        .min(per(demand.memory_mib, room.memory_mib))
        .min(per(demand.accelerators, room.accelerators));
    usize::try_from(slots).unwrap_or(usize::MAX)
}
