//! A single-threaded simulation of a cell's owners, journal and workers. Messages are delayed, lost
//! and late, owners are killed and replaced, and workers become unreachable, crash and restart, all
//! drawn from a seed.
//!
//! Safety is checked at each start; what must happen eventually is checked after the faults have
//! ended.

mod calls;
mod caps;
mod faults;
mod invariants;
mod journal;
mod ledger;
pub mod policy;
mod waiting;
mod worker_calls;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{JournalSnapshot, PollRequest, StartCommand};
use oriolefork::cell::job::{Id, Run, TaskKey};
use oriolefork::cell::machine::{Effect, Machine, Message};
use oriolefork::clock::{Instant, Unix};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::calls::SubmittedJob;
use self::caps::Caps;
use self::ledger::Ledger;
use self::policy::Policy;
use self::waiting::WaitingSteps;
use super::model;
use super::upstream::Upstream;

/// Wall clock at the start, in milliseconds.
const UNIX_START_MS: u64 = 1_700_000_000_000;

/// Length of one simulation step, in milliseconds.
const STEP_MS: u64 = 5;

/// Kinds and rates of the faults in a history.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Fraction of calls to workers that get no response and are executed seconds later.
    pub delayed_calls: f64,
    /// Fraction of appends whose response is lost.
    pub lost_append_answers: f64,
    /// Mean interval between changes of owner, in milliseconds; zero for none.
    pub takeover_ms: u64,
    /// Whether a replaced owner keeps acting beside its successor.
    pub stale_owners: bool,
    /// Mean interval between losses of connection or crashes of workers, in milliseconds; zero for
    /// none.
    pub worker_ms: u64,
    /// Whether half of the losses of connection to workers lose only the workers' answers.
    pub one_way_cuts: bool,
    /// Whether the store has outages.
    pub outages: bool,
    /// Number of workers that reset commands throughout the history and answer only polls; delayed
    /// commands still reach them.
    pub resetting_workers: usize,
    /// Whether some jobs have a task that crashes each worker that starts it.
    pub crashing_tasks: bool,
    /// Mean interval between changes of a worker's capacity, in milliseconds; zero for none.
    pub resize_ms: u64,
    /// Whether an owner may begin without a configuration and receive it later.
    pub late_config: bool,
    /// Whether the owner learns of an unanswered call after the timeout that it has set, and not after
    /// `UNANSWERED_MS`.
    pub own_timeouts: bool,
    /// Every how manieth job fails.
    pub failing_interval: u64,
    /// Mean interval between changes of the customers' caps, in milliseconds; zero for a site
    /// without customers.
    pub cap_ms: u64,
    /// Whether the policy service allows each step only a few workers.
    pub policy: bool,
    /// Fraction of queries to the policy service that get no answer, and of those whose answer is
    /// late.
    pub lost_policy_answers: f64,
    /// Number of workers that an owner polls without need; zero for no limit.
    pub active_workers: usize,
}

enum WorkerCall {
    Poll(PollRequest),
    Start(StartCommand),
    Stop(Run, Epoch),
}

enum Event {
    Worker { owner: usize, worker: String, call: WorkerCall, route: Route },
    Append { owner: usize, sequence: u64, batch: Bytes, epoch: Epoch, sent: u64, answered: bool },
    Owner { owner: usize, message: Message },
    Finish { worker: String, run: Run },
    GangTimeout { worker: String, run: Run },
    Crash { worker: String, run: Run },
    Restart { number: usize },
}

/// How a call to a worker is delivered.
#[derive(Clone, Copy)]
struct Route {
    sent: u64,
    /// Time after which a call without an answer counts as unanswered, in milliseconds.
    timeout: u64,
    answered: bool,
}

struct Owner {
    machine: Machine,
    alive: bool,
}

pub struct Simulation {
    pub now: u64,
    rng: StdRng,
    faults: Faults,
    faults_ended: bool,
    caps: Caps,
    policy: Option<Policy>,
    waiting: WaitingSteps,
    owners: Vec<Owner>,
    journal: Vec<Bytes>,
    epoch: Epoch,
    sequence: u64,
    claims: u64,
    store_down: bool,
    /// Last snapshot, saved by an owner that may have been replaced since.
    saved: Option<JournalSnapshot>,
    workers: BTreeMap<String, Upstream>,
    incarnations: BTreeMap<usize, u32>,
    /// Workers that have crashed and not restarted yet.
    down: BTreeSet<String>,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    jobs: BTreeMap<Id, SubmittedJob>,
    calls: BTreeMap<(usize, u64), Id>,
    next_call: u64,
    recorded_successes: BTreeSet<TaskKey>,
    succeeded_at: BTreeMap<TaskKey, u64>,
    ledger: Ledger,
    /// Numbers of failed runs in the journal, by task.
    failures: BTreeMap<TaskKey, BTreeSet<u32>>,
    /// Crashes at the start of each task, and its starts after the third crash.
    start_crashes: BTreeMap<TaskKey, (u32, u32)>,
    /// Number of workers that crashed while they ran a task, by task.
    worker_crashes: BTreeMap<TaskKey, u32>,
    pub starts: u64,
    pub takeovers: u64,
}

impl Simulation {
    pub fn new(seed: u64, workers: usize, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let incarnations = (0..workers).map(|number| (number, 0)).collect();
        let mut upstreams = BTreeMap::new();
        for number in 0..workers {
            let offset = rng.random_range(0..1_000_000);
            let mut upstream = Upstream::new(model::cores(16), offset);
            upstream.resets_commands = number < faults.resetting_workers;
            upstreams.insert(name(number, 0), upstream);
        }
        let mut simulation = Self {
            now: 0,
            rng,
            faults,
            faults_ended: false,
            caps: Caps::default(),
            policy: faults.policy.then(|| Policy::new(seed)),
            waiting: WaitingSteps::default(),
            owners: Vec::new(),
            journal: Vec::new(),
            epoch: Epoch(0),
            sequence: 0,
            claims: 0,
            store_down: false,
            saved: None,
            workers: upstreams,
            incarnations,
            down: BTreeSet::new(),
            events: BTreeMap::new(),
            event_count: 0,
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            recorded_successes: BTreeSet::new(),
            succeeded_at: BTreeMap::new(),
            ledger: Ledger::default(),
            failures: BTreeMap::new(),
            start_crashes: BTreeMap::new(),
            worker_crashes: BTreeMap::new(),
            starts: 0,
            takeovers: 0,
        };
        if simulation.has_customers() {
            simulation.change_caps();
        }
        simulation.take_over();
        simulation
    }

    /// Advances the clock while faults are drawn.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.draw_faults();
            self.step();
        }
    }

    /// Ends all faults, if they have not ended yet, and advances the clock.
    pub fn settle(&mut self, span_ms: u64) {
        if !self.faults_ended {
            self.end_faults();
        }
        let end = self.now + span_ms;
        while self.now < end {
            self.step();
        }
    }

    fn end_faults(&mut self) {
        self.faults_ended = true;
        self.store_down = false;
        if self.has_customers() {
            self.change_caps();
        }
        for upstream in self.workers.values_mut() {
            upstream.reachable = true;
            upstream.answers_lost = false;
        }
        if !self.owners.last().is_some_and(|owner| owner.alive) {
            self.take_over();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.announce_instances();
        self.expire_leases();
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            let event = entry.remove();
            self.handle_event(event);
        }
        for number in 0..self.owners.len() {
            if !self.owners[number].alive {
                continue;
            }
            let (now, unix) = self.clocks();
            for effect in self.owners[number].machine.step(now, unix) {
                self.execute_effect(number, effect);
            }
        }
        self.check_waiting();
    }

    fn clocks(&self) -> (Instant, Unix) {
        (Instant::from_millis(self.now), Unix::from_millis(UNIX_START_MS + self.now))
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn chance(&mut self, share: f64) -> bool {
        !self.faults_ended && self.rng.random_bool(share)
    }

    fn execute_effect(&mut self, owner: usize, effect: Effect) {
        let delay = self.rng.random_range(1..6);
        let sent = self.now;
        match effect {
            Effect::Append { sequence, batch } => {
                let epoch = self.owners[owner].machine.epoch;
                let lost = self.faults.lost_append_answers;
                let answered = !self.chance(lost);
                let event = Event::Append { owner, sequence, batch, epoch, sent, answered };
                self.schedule(delay + 4, event);
            }
            Effect::Poll { worker, poll, timeout, .. } => {
                self.send_call(owner, worker.to_string(), WorkerCall::Poll(poll), delay, timeout);
            }
            Effect::Start { worker, start, timeout, .. } => {
                self.send_call(owner, worker.to_string(), WorkerCall::Start(start), delay, timeout);
            }
            Effect::Stop { worker, run, timeout, .. } => {
                let call = WorkerCall::Stop(run, self.owners[owner].machine.epoch);
                self.send_call(owner, worker.to_string(), call, delay, timeout);
            }
            Effect::QueryPolicy(query) => self.answer_query(owner, &query),
            Effect::Reply { id, answer } => self.handle_answer(owner, id, answer),
            Effect::Save(snapshot) => {
                self.saved = Some(snapshot);
                self.schedule(delay, Event::Owner { owner, message: Message::SnapshotSaved(true) });
            }
            Effect::StepDown { .. } => self.owners[owner].alive = false,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Owner { owner, message } => {
                let (now, unix) = self.clocks();
                if self.owners[owner].alive {
                    self.owners[owner].machine.handle(message, now, unix);
                }
            }
            Event::Append { owner, sequence, batch, epoch, sent, answered } => {
                self.append(owner, sequence, batch, epoch, sent, answered);
            }
            Event::Worker { owner, worker, call, route } => {
                self.deliver(owner, &worker, &call, route);
            }
            Event::Finish { worker, run } => self.finish(&worker, run),
            Event::GangTimeout { worker, run } => self.time_out_gang(&worker, run),
            Event::Crash { worker, run } => self.crash(worker, run),
            Event::Restart { number } => self.restart(number),
        }
    }
}

/// Returns the name of a worker's incarnation: names with `@` keep the worker's own name across
/// incarnations, names with `-` do not.
fn name(number: usize, incarnation: u32) -> String {
    let separator = if number.is_multiple_of(2) { '-' } else { '@' };
    format!("w{number}{separator}{incarnation}")
}
