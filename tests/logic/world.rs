//! Deterministic simulation of the state machines of one failure domain.
//!
//! A seeded random generator delays and loses the messages between them. The invariants are checked
//! after every exchange with a worker.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use oriolefork::clock::{Instant, Unix};
use oriolefork::domain::{Epoch, Instance};
use oriolefork::job;
use oriolefork::membership::{Member, Role, State};
use oriolefork::owner::journal::{AppendRequest, Tag};
use oriolefork::owner::machine::{Answer, Call, Effect, Machine, Message};
use oriolefork::owner::session::{Channel, ExchangeRequest};
use oriolefork::owner::{BatchCopy, Heartbeat, Ticket, Timings};
use oriolefork::placement::{Objective, Policy, Preset};
use oriolefork::resource::Amount;
use oriolefork::standin::{log as fake_log, worker as fake};
use oriolefork::store::{self, AppendOutcome, Offset, Operation, Page};
use oriolefork::worker::{self, Fault};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const DOMAIN: &str = "erie-hall";
const STREAM: &str = "domain";
const TICK: u64 = 50;
const POLL: u64 = 20;
const BOUNDS: fake_log::Bounds = fake_log::Bounds { records: 200, bytes: 1 << 20 };

/// Faults that the simulation injects.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Fraction of messages lost, requests and responses alike.
    pub loss: f64,
    /// Longest delay of a message in milliseconds.
    pub delay: u64,
    /// Fraction of appends that take effect only after their caller has timed out.
    pub late: f64,
    /// Whether the log refuses every call.
    pub log_down: bool,
    /// Whether heartbeats between instances are lost, while the log and the workers are reachable.
    pub partitioned: bool,
}

impl Faults {
    pub const NONE: Self =
        Self { loss: 0.0, delay: 3, late: 0.0, log_down: false, partitioned: false };
}

/// One entry instance.
struct Node {
    name: String,
    run: u64,
    machine: Option<Machine>,
    paused_until: u64,
    is_disconnected: bool,
}

/// One worker.
struct Worker {
    state: fake::State,
    paused_until: u64,
    is_disconnected: bool,
    halted: bool,
    /// Number of task starts of the current process that are already counted.
    counted: usize,
}

/// Event at a later time.
enum Event {
    Tick(usize),
    ToNode {
        node: usize,
        run: u64,
        message: Message,
    },
    Read {
        node: usize,
        run: u64,
        from: Offset,
        until: u64,
    },
    Append {
        node: usize,
        run: u64,
        request: AppendRequest,
        respond: bool,
    },
    Exchange {
        node: usize,
        run: u64,
        epoch: Epoch,
        worker: String,
        request: ExchangeRequest,
        until: u64,
        first: bool,
    },
    Heartbeat {
        from: usize,
        run: u64,
        to: usize,
        heartbeat: Heartbeat,
    },
    StoreBatch {
        from: usize,
        run: u64,
        to: usize,
        copy: BatchCopy,
    },
    Handover {
        to: usize,
        epoch: Epoch,
    },
}

struct ScheduledEvent {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Simulated failure domain.
pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub timings: Timings,
    pub answers: BTreeMap<Ticket, Answer>,
    /// Jobs by the ticket of their submission.
    pub submitted: BTreeMap<Ticket, job::Id>,
    pub log: fake_log::State,
    at_most_once: BTreeSet<job::Id>,
    rng: SmallRng,
    nodes: Vec<Node>,
    workers: BTreeMap<String, Worker>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    order: u64,
    runs: u64,
    tickets: Ticket,
    /// Number of starts of each task, by job and index.
    starts: BTreeMap<(job::Id, u32), usize>,
}

fn address(group: u8, index: usize) -> std::net::SocketAddr {
    ([127, 0, group, u8::try_from(index).unwrap()], 1).into()
}

impl World {
    pub fn new(seed: u64, nodes: usize, workers: usize, capacity: Amount) -> Self {
        enable_trace();
        let mut world = Self {
            now: 0,
            faults: Faults::NONE,
            timings: Timings::default(),
            answers: BTreeMap::new(),
            submitted: BTreeMap::new(),
            log: fake_log::State::new(100_000),
            at_most_once: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            workers: BTreeMap::new(),
            queue: BinaryHeap::new(),
            order: 0,
            runs: 0,
            tickets: 0,
            starts: BTreeMap::new(),
        };
        for index in 0..workers {
            let name = format!("w{index}");
            let state = fake::State::new(fake::Options::new(capacity), world.next_run());
            let worker = Worker {
                state,
                paused_until: 0,
                is_disconnected: false,
                halted: false,
                counted: 0,
            };
            world.workers.insert(name, worker);
        }
        for index in 0..nodes {
            let name = format!("e{index}");
            let node =
                Node { name, run: 0, machine: None, paused_until: 0, is_disconnected: false };
            world.nodes.push(node);
            world.push(0, Event::Tick(index));
        }
        for index in 0..nodes {
            world.start(index);
        }
        world
    }

    fn next_run(&mut self) -> u64 {
        self.runs += 1;
        self.runs << 32
    }

    fn members(&self) -> Vec<Member> {
        let entries = self.nodes.iter().enumerate().map(|(index, node)| Member {
            name: node.name.clone(),
            role: Role::Entry,
            domain: DOMAIN.into(),
            address: address(1, index),
            state: State::Live,
        });
        let workers = self.workers.keys().enumerate().map(|(index, name)| Member {
            name: name.clone(),
            role: Role::Worker { rack: format!("r{}", index / 2) },
            domain: DOMAIN.into(),
            address: address(2, index),
            state: State::Live,
        });
        entries.chain(workers).collect()
    }

    /// Starts or restarts the process of an entry instance.
    pub fn start(&mut self, node: usize) {
        let run = self.next_run();
        let me = Instance { name: self.nodes[node].name.clone(), run, peer: address(1, node) };
        let policy = Policy::for_preset(Preset::Ordinary, Objective::Waiting);
        let now = Instant::from_millis(self.now);
        let machine = Machine::new(me, DOMAIN.into(), self.timings.clone(), policy, now);
        self.nodes[node].run = run;
        self.nodes[node].machine = Some(machine);
        self.nodes[node].paused_until = 0;
        let members = self.members();
        self.deliver(node, Message::Members(members));
    }

    /// Crashes the process of an entry instance.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].machine = None;
    }

    /// Pauses the process of an entry instance for `millis` milliseconds.
    pub fn pause(&mut self, node: usize, millis: u64) {
        self.nodes[node].paused_until = self.now + millis;
    }

    /// Disconnects an entry instance from the other instances and the log, or reconnects it.
    pub fn set_disconnected(&mut self, node: usize, is_disconnected: bool) {
        self.nodes[node].is_disconnected = is_disconnected;
    }

    /// Restarts a worker process; its tasks end.
    pub fn restart_worker(&mut self, worker: &str) {
        let run = self.next_run();
        let worker = self.workers.get_mut(worker).unwrap();
        let now = Instant::from_millis(self.now);
        worker.state.advance(now);
        worker.state = fake::State::new(worker.state.options.clone(), run);
        worker.halted = false;
        worker.counted = 0;
    }

    /// Disconnects a worker from every instance, or reconnects it.
    pub fn set_worker_disconnected(&mut self, worker: &str, is_disconnected: bool) {
        self.workers.get_mut(worker).unwrap().is_disconnected = is_disconnected;
    }

    /// Pauses a worker process for `millis` milliseconds; its tasks continue.
    pub fn pause_worker(&mut self, worker: &str, millis: u64) {
        let until = self.now + millis;
        self.workers.get_mut(worker).unwrap().paused_until = until;
    }

    /// The instance that acts as the owner, if there is exactly one.
    pub fn owner(&self) -> Option<usize> {
        let owns = |node: &Node| node.machine.as_ref().is_some_and(Machine::is_owner);
        let mut owners = (0..self.nodes.len()).filter(|index| owns(&self.nodes[*index]));
        let owner = owners.next();
        owner.filter(|_| owners.next().is_none())
    }

    pub fn machine(&self, node: usize) -> &Machine {
        self.nodes[node].machine.as_ref().unwrap()
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].machine.is_some()
    }

    /// Sends a call to an instance; the answer appears in `answers` under the returned ticket.
    pub fn call(&mut self, node: usize, call: Call) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        if let Call::Submit { job, spec, .. } = &call {
            self.submitted.insert(ticket, *job);
            if spec.effect == job::Effect::AtMostOnce {
                self.at_most_once.insert(*job);
            }
        }
        if self.is_up(node) {
            self.deliver(node, Message::Call { ticket, call });
        }
        ticket
    }

    /// Signals that the deadline of a call has passed.
    pub fn expire(&mut self, node: usize, ticket: Ticket) {
        if self.is_up(node) {
            self.deliver(node, Message::Expired(ticket));
        }
    }

    /// Shuts an instance down gracefully.
    pub fn shutdown(&mut self, node: usize) {
        self.deliver(node, Message::Shutdown);
    }

    /// Number of starts of the tasks of a job.
    pub fn runs_of(&self, job: job::Id) -> usize {
        self.starts.iter().filter(|((of, _), _)| *of == job).map(|(_, starts)| starts).sum()
    }

    fn has_started(&self, job: job::Id) -> bool {
        self.runs_of(job) > 0
    }

    /// Advances the time by `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            let exchange = matches!(next.event, Event::Exchange { .. });
            self.step(next.event);
            if exchange {
                self.check();
            }
        }
        self.now = end;
    }

    /// Advances the time until `done` holds and returns how long that took, or `None` if it took
    /// more than `millis` milliseconds.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now >= start + millis {
                return None;
            }
            self.run(10);
        }
        Some(Duration::from_millis(self.now - start))
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(ScheduledEvent { at: self.now + delay, order: self.order, event }));
    }

    fn latency(&mut self) -> u64 {
        let longest = self.faults.delay.max(1);
        self.rng.random_range(1..=longest)
    }

    fn draw_loss(&mut self) -> bool {
        let loss = self.faults.loss;
        loss > 0.0 && self.rng.random_bool(loss)
    }

    fn is_running_process(&self, node: usize, run: u64) -> bool {
        self.nodes[node].run == run && self.nodes[node].machine.is_some()
    }

    fn step(&mut self, event: Event) {
        if let Some(delay) = self.blocked(&event) {
            return self.push(delay, event);
        }
        match event {
            Event::Tick(node) => {
                if self.is_up(node) {
                    self.deliver(node, Message::Tick);
                }
                self.push(TICK, Event::Tick(node));
            }
            Event::ToNode { node, run, message } => {
                if self.is_running_process(node, run) {
                    self.deliver(node, message);
                }
            }
            Event::Read { node, run, from, until } => self.read(node, run, from, until),
            Event::Append { node, run, request, respond } => {
                self.append(node, run, &request, respond)
            }
            Event::Exchange { node, run, epoch, worker, request, until, first } => {
                self.exchange(node, run, epoch, worker, request, until, first);
            }
            Event::Heartbeat { from, run, to, heartbeat } => {
                self.receive_heartbeat(from, run, to, heartbeat)
            }
            Event::StoreBatch { from, run, to, copy } => self.store_batch(from, run, to, copy),
            Event::Handover { to, epoch } => {
                if self.is_up(to) {
                    self.deliver(to, Message::Handover(epoch));
                }
            }
        }
    }

    /// How long an event is postponed because the process that handles it is paused.
    fn blocked(&self, event: &Event) -> Option<u64> {
        let until = match event {
            Event::Tick(node) | Event::ToNode { node, .. } => self.nodes[*node].paused_until,
            Event::Heartbeat { to, .. }
            | Event::StoreBatch { to, .. }
            | Event::Handover { to, .. } => self.nodes[*to].paused_until,
            Event::Exchange { worker, .. } => self.workers[worker].paused_until,
            Event::Read { .. } | Event::Append { .. } => 0,
        };
        (until > self.now).then(|| until - self.now)
    }

    fn deliver(&mut self, node: usize, message: Message) {
        let now = Instant::from_millis(self.now);
        let unix = Unix::from_millis(self.now);
        let Some(machine) = &mut self.nodes[node].machine else { return };
        for effect in machine.handle(message, now, unix) {
            self.perform(node, effect);
        }
    }

    fn perform(&mut self, node: usize, effect: Effect) {
        let run = self.nodes[node].run;
        let delay = self.latency();
        match effect {
            Effect::Read { from, wait } => {
                let until = self.now + u64::try_from(wait.as_millis()).unwrap();
                self.push(delay, Event::Read { node, run, from, until });
            }
            Effect::Append(request) => self.send_append(node, run, request, delay),
            Effect::Exchange { epoch, worker, request } => {
                let worker = worker.as_str().to_owned();
                let until = self.now + u64::try_from(request.exchange.wait.as_millis()).unwrap();
                self.push(
                    delay,
                    Event::Exchange { node, run, epoch, worker, request, until, first: true },
                );
            }
            Effect::Heartbeat { to, heartbeat } => {
                for peer in to {
                    let to = (0..self.nodes.len()).find(|index| address(1, *index) == peer);
                    let heartbeat = heartbeat.clone();
                    if let Some(to) = to
                        && !self.draw_loss()
                    {
                        self.push(delay, Event::Heartbeat { from: node, run, to, heartbeat });
                    }
                }
            }
            Effect::StoreBatch { to, copy } => {
                for peer in to {
                    let to = (0..self.nodes.len()).find(|index| address(1, *index) == peer);
                    if let Some(to) = to
                        && !self.draw_loss()
                    {
                        let copy = copy.clone();
                        self.push(delay, Event::StoreBatch { from: node, run, to, copy });
                    }
                }
            }
            Effect::Handover { to, epoch } => {
                let to = (0..self.nodes.len()).find(|index| address(1, *index) == to).unwrap();
                self.push(delay, Event::Handover { to, epoch });
            }
            Effect::Reply { ticket, answer } => {
                ::log::debug!(
                    "event=world.answered node={node} ticket={ticket} at={} answer={answer:?}",
                    self.now
                );
                let before = self.answers.insert(ticket, answer);
                assert_eq!(before, None, "a call is answered once");
            }
            Effect::Stopped => self.kill(node),
        }
    }

    fn send_append(&mut self, node: usize, run: u64, request: AppendRequest, delay: u64) {
        let (loss, late) = (self.faults.loss, self.faults.late);
        if late > 0.0 && self.rng.random_bool(late) {
            let late_by = self.rng.random_range(500..6_000);
            let tag = request.tag;
            self.push(late_by, Event::Append { node, run, request, respond: false });
            return self.fail_append(node, run, tag, AppendOutcome::Unknown, 400);
        }
        if loss > 0.0 && self.rng.random_bool(loss) {
            return self.fail_append(node, run, request.tag, AppendOutcome::Unknown, 400);
        }
        self.push(delay, Event::Append { node, run, request, respond: true });
    }

    fn fail_append(&mut self, node: usize, run: u64, tag: Tag, outcome: AppendOutcome, delay: u64) {
        let error = log_error(Operation::Append, outcome);
        self.push(
            delay,
            Event::ToNode { node, run, message: Message::Appended { tag, result: Err(error) } },
        );
    }

    fn append(&mut self, node: usize, run: u64, request: &AppendRequest, respond: bool) {
        if self.faults.log_down || self.nodes[node].is_disconnected {
            if respond {
                self.fail_append(node, run, request.tag, AppendOutcome::NotWritten, 2);
            }
            return;
        }
        let offset = self.log.append(STREAM, request.payload.clone());
        if !respond {
            return;
        }
        if self.draw_loss() {
            return self.fail_append(node, run, request.tag, AppendOutcome::Unknown, 400);
        }
        let delay = self.latency();
        self.push(
            delay,
            Event::ToNode {
                node,
                run,
                message: Message::Appended { tag: request.tag, result: Ok(offset) },
            },
        );
    }

    fn read(&mut self, node: usize, run: u64, from: Offset, until: u64) {
        if !self.is_running_process(node, run) {
            return;
        }
        if self.faults.log_down || self.nodes[node].is_disconnected || self.draw_loss() {
            let error = log_error(Operation::Read, AppendOutcome::NotWritten);
            let message = Message::Read(Err(error));
            return self.push(2, Event::ToNode { node, run, message });
        }
        let page: Page = self.log.read(STREAM, from, BOUNDS);
        if page.records.is_empty() && self.now < until {
            return self.push(POLL, Event::Read { node, run, from, until });
        }
        let delay = self.latency();
        self.push(delay, Event::ToNode { node, run, message: Message::Read(Ok(page)) });
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn exchange(
        &mut self,
        node: usize,
        run: u64,
        epoch: Epoch,
        name: String,
        request: ExchangeRequest,
        until: u64,
        first: bool,
    ) {
        let lost = first && (self.draw_loss() || self.workers[&name].is_disconnected);
        let halted = self.workers[&name].halted;
        let peer = request.address;
        let answer = |fault| Err(worker::Error { peer, fault });
        if lost {
            let fault = Fault::Unknown("lost".to_owned());
            return self.exchanged(node, run, epoch, &name, request.channel, answer(fault), 500);
        }
        if halted {
            let fault = Fault::NotSent("refused".to_owned());
            return self.exchanged(node, run, epoch, &name, request.channel, answer(fault), 2);
        }
        let now = Instant::from_millis(self.now);
        let state = &mut self.workers.get_mut(&name).unwrap().state;
        if first && let Err(rival) = state.apply(now, &request.exchange) {
            let result = answer(Fault::Fenced(rival));
            return self.exchanged(node, run, epoch, &name, request.channel, result, 2);
        }
        state.advance(now);
        if !state.has_news(request.exchange.seen) && self.now < until {
            return self.push(
                POLL,
                Event::Exchange { node, run, epoch, worker: name, request, until, first: false },
            );
        }
        let report = state.report(now, request.exchange.seen);
        if self.draw_loss() || self.workers[&name].is_disconnected {
            let fault = Fault::Unknown("answer lost".to_owned());
            return self.exchanged(node, run, epoch, &name, request.channel, answer(fault), 500);
        }
        let delay = self.latency();
        self.exchanged(node, run, epoch, &name, request.channel, Ok(report), delay);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn exchanged(
        &mut self,
        node: usize,
        run: u64,
        epoch: Epoch,
        worker: &str,
        channel: Channel,
        result: Result<worker::Report, worker::Error>,
        delay: u64,
    ) {
        let message = Message::Exchanged { epoch, worker: worker.into(), channel, result };
        self.push(delay, Event::ToNode { node, run, message });
    }

    fn receive_heartbeat(&mut self, from: usize, run: u64, to: usize, heartbeat: Heartbeat) {
        if self.faults.partitioned
            || self.nodes[from].is_disconnected
            || self.nodes[to].is_disconnected
            || !self.is_up(to)
        {
            return;
        }
        self.deliver(to, Message::Heartbeat(heartbeat));
        if !self.is_up(to) {
            return;
        }
        let known = self.machine(to).known_epoch();
        let delay = self.latency();
        let from_instance = self.machine(to).me.clone();
        let message = Message::HeartbeatAnswered { from: from_instance, epoch: known };
        self.push(delay, Event::ToNode { node: from, run, message });
    }

    fn store_batch(&mut self, from: usize, run: u64, to: usize, copy: BatchCopy) {
        if self.nodes[from].is_disconnected || self.nodes[to].is_disconnected || !self.is_up(to) {
            return;
        }
        let (epoch, sequence) = (copy.epoch, copy.sequence);
        self.deliver(to, Message::StoreBatch(copy));
        let is_stored = self.is_up(to) && self.machine(to).copies.contains(epoch, sequence);
        if is_stored && !self.draw_loss() {
            let from_instance = self.machine(to).me.clone();
            let message = Message::BatchStored { from: from_instance, epoch, sequence };
            let delay = self.latency();
            self.push(delay, Event::ToNode { node: from, run, message });
        }
    }

    /// Checks the invariants that hold at any time. Only an exchange with a worker can break them.
    fn check(&mut self) {
        let now = Instant::from_millis(self.now);
        let mut live = BTreeSet::new();
        for (name, worker) in &mut self.workers {
            worker.state.advance(now);
            let journal = worker.state.journal();
            assert_eq!(journal.overcommitted, 0, "{name} runs more than its capacity");
            let running: Vec<_> = journal.runs().filter(|run| run.ended.is_none()).collect();
            assert_eq!(journal.doubles, 0, "{name} ran a task twice at the same time: {running:?}");
            for run in journal.runs().skip(worker.counted) {
                worker.counted += 1;
                ::log::info!(
                    "event=world.started worker={name} task={} at={}",
                    run.task,
                    run.started.as_millis()
                );
                *self.starts.entry((run.task.job, run.task.index)).or_default() += 1;
            }
            for task in worker.state.known() {
                let is_running = !matches!(task.phase, oriolefork::task::Phase::Ended(_));
                let is_first = !is_running || live.insert((task.task.job, task.task.index));
                assert!(is_first, "{} runs on two workers at {}", task.task, self.now);
            }
        }
    }

    /// Checks the invariants that can be decided only at the end of a history.
    pub fn check_end(&self) {
        for (ticket, answer) in &self.answers {
            let Some(job) = self.submitted.get(ticket) else { continue };
            let alone = self.submitted.values().filter(|other| *other == job).count() == 1;
            if let Answer::Refused(refusal) = answer
                && alone
            {
                assert!(
                    !self.has_started(*job),
                    "job {job} ran although it was refused: {refusal:?}"
                );
            }
        }
        for (task, starts) in &self.starts {
            let at_most_once = self.at_most_once.contains(&task.0);
            assert!(!at_most_once || *starts <= 1, "task {task:?} was started {starts} times");
        }
    }
}

fn log_error(operation: Operation, outcome: AppendOutcome) -> store::Error {
    store::Error { operation, peer: address(3, 0), outcome, cause: "fault".to_owned() }
}

struct Trace;

impl ::log::Log for Trace {
    fn enabled(&self, _: &::log::Metadata<'_>) -> bool {
        true
    }
    fn log(&self, record: &::log::Record<'_>) {
        eprintln!("{}", record.args());
    }
    fn flush(&self) {}
}

/// Prints the machines' log lines if the variable `ORIOLEFORK_TRACE` is set.
pub fn enable_trace() {
    if std::env::var_os("ORIOLEFORK_TRACE").is_some() && ::log::set_logger(&Trace).is_ok() {
        ::log::set_max_level(::log::LevelFilter::Debug);
    }
}
