//! State machines of one failure domain, joined by messages that a seeded generator delays and
//! loses, with the promises checked after every step.

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

/// Faults in force.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share of messages lost, of requests and answers alike.
    pub loss: f64,
    /// Longest delay of a message in milliseconds.
    pub delay: u64,
    /// Share of appends that take effect only long after their caller gave up.
    pub late: f64,
    /// Whether the log refuses every call.
    pub log_down: bool,
    /// Whether instances do not hear each other, though they reach the log and the workers.
    pub deaf: bool,
}

impl Faults {
    pub const NONE: Self = Self { loss: 0.0, delay: 3, late: 0.0, log_down: false, deaf: false };
}

/// One entry instance.
struct Node {
    name: String,
    run: u64,
    machine: Option<Machine>,
    frozen_until: u64,
    cut: bool,
}

/// One worker.
struct Worker {
    state: fake::State,
    frozen_until: u64,
    cut: bool,
    halted: bool,
    /// Starts of its process that were counted.
    counted: usize,
}

/// Something on its way.
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
        answer: bool,
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

struct Queued {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One failure domain.
pub struct World {
    pub now: u64,
    pub faults: Faults,
    pub timings: Timings,
    pub answers: BTreeMap<Ticket, Answer>,
    /// Jobs that may run any number of times one after another.
    pub submitted: BTreeMap<Ticket, job::Id>,
    pub log: fake_log::State,
    once: BTreeSet<job::Id>,
    rng: SmallRng,
    nodes: Vec<Node>,
    workers: BTreeMap<String, Worker>,
    queue: BinaryHeap<Reverse<Queued>>,
    order: u64,
    runs: u64,
    tickets: Ticket,
    /// Starts of each task, by job and index.
    starts: BTreeMap<(job::Id, u32), usize>,
}

fn address(group: u8, index: usize) -> std::net::SocketAddr {
    ([127, 0, group, u8::try_from(index).unwrap()], 1).into()
}

impl World {
    pub fn new(seed: u64, nodes: usize, workers: usize, capacity: Amount) -> Self {
        trace();
        let mut world = Self {
            now: 0,
            faults: Faults::NONE,
            timings: Timings::default(),
            answers: BTreeMap::new(),
            submitted: BTreeMap::new(),
            log: fake_log::State::new(100_000),
            once: BTreeSet::new(),
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
            let worker = Worker { state, frozen_until: 0, cut: false, halted: false, counted: 0 };
            world.workers.insert(name, worker);
        }
        for index in 0..nodes {
            let name = format!("e{index}");
            let node = Node { name, run: 0, machine: None, frozen_until: 0, cut: false };
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

    /// Starts the process of an entry instance, anew if it ran before.
    pub fn start(&mut self, node: usize) {
        let run = self.next_run();
        let me = Instance { name: self.nodes[node].name.clone(), run, peer: address(1, node) };
        let policy = Policy::for_preset(Preset::Ordinary, Objective::Waiting);
        let now = Instant::from_millis(self.now);
        let machine = Machine::new(me, DOMAIN.into(), self.timings.clone(), policy, now);
        self.nodes[node].run = run;
        self.nodes[node].machine = Some(machine);
        self.nodes[node].frozen_until = 0;
        let members = self.members();
        self.deliver(node, Message::Members(members));
    }

    /// Ends the process of an entry instance without warning.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].machine = None;
    }

    /// Stops the process of an entry instance from running for a while.
    pub fn freeze(&mut self, node: usize, millis: u64) {
        self.nodes[node].frozen_until = self.now + millis;
    }

    /// Cuts an entry instance off from the other instances and from the log.
    pub fn cut(&mut self, node: usize, cut: bool) {
        self.nodes[node].cut = cut;
    }

    /// Ends a worker's process, with all it ran, and starts it anew.
    pub fn restart_worker(&mut self, worker: &str) {
        let run = self.next_run();
        let worker = self.workers.get_mut(worker).unwrap();
        let now = Instant::from_millis(self.now);
        worker.state.advance(now);
        worker.state = fake::State::new(worker.state.options.clone(), run);
        worker.halted = false;
        worker.counted = 0;
    }

    /// Cuts a worker off from every instance.
    pub fn cut_worker(&mut self, worker: &str, cut: bool) {
        self.workers.get_mut(worker).unwrap().cut = cut;
    }

    /// Stops a worker's process for a while; its tasks go on.
    pub fn freeze_worker(&mut self, worker: &str, millis: u64) {
        let until = self.now + millis;
        self.workers.get_mut(worker).unwrap().frozen_until = until;
    }

    /// The instance that owns the domain, if exactly one thinks so.
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

    /// Asks an instance for something.
    pub fn call(&mut self, node: usize, call: Call) -> Ticket {
        self.tickets += 1;
        let ticket = self.tickets;
        if let Call::Submit { job, spec, .. } = &call {
            self.submitted.insert(ticket, *job);
            if spec.effect == job::Effect::AtMostOnce {
                self.once.insert(*job);
            }
        }
        if self.is_up(node) {
            self.deliver(node, Message::Call { ticket, call });
        }
        ticket
    }

    /// Gives up waiting for an answer.
    pub fn expire(&mut self, node: usize, ticket: Ticket) {
        if self.is_up(node) {
            self.deliver(node, Message::Expired(ticket));
        }
    }

    /// Tells an instance to stop in good order.
    pub fn shutdown(&mut self, node: usize) {
        self.deliver(node, Message::Shutdown);
    }

    /// Starts of the tasks of a job.
    pub fn runs_of(&self, job: job::Id) -> usize {
        self.starts.iter().filter(|((of, _), _)| *of == job).map(|(_, starts)| starts).sum()
    }

    fn has_started(&self, job: job::Id) -> bool {
        self.runs_of(job) > 0
    }

    /// Lets `millis` pass.
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

    /// Lets time pass until `done` holds, at most `millis`; returns the time it took.
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
        self.queue.push(Reverse(Queued { at: self.now + delay, order: self.order, event }));
    }

    fn latency(&mut self) -> u64 {
        let longest = self.faults.delay.max(1);
        self.rng.random_range(1..=longest)
    }

    fn lost(&mut self) -> bool {
        let loss = self.faults.loss;
        loss > 0.0 && self.rng.random_bool(loss)
    }

    fn is_current(&self, node: usize, run: u64) -> bool {
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
                if self.is_current(node, run) {
                    self.deliver(node, message);
                }
            }
            Event::Read { node, run, from, until } => self.read(node, run, from, until),
            Event::Append { node, run, request, answer } => {
                self.append(node, run, &request, answer)
            }
            Event::Exchange { node, run, epoch, worker, request, until, first } => {
                self.exchange(node, run, epoch, worker, request, until, first);
            }
            Event::Heartbeat { from, run, to, heartbeat } => self.beat(from, run, to, heartbeat),
            Event::StoreBatch { from, run, to, copy } => self.hold(from, run, to, copy),
            Event::Handover { to, epoch } => {
                if self.is_up(to) {
                    self.deliver(to, Message::Handover(epoch));
                }
            }
        }
    }

    /// How long an event waits because the process that has to handle it is frozen.
    fn blocked(&self, event: &Event) -> Option<u64> {
        let until = match event {
            Event::Tick(node) | Event::ToNode { node, .. } => self.nodes[*node].frozen_until,
            Event::Heartbeat { to, .. }
            | Event::StoreBatch { to, .. }
            | Event::Handover { to, .. } => self.nodes[*to].frozen_until,
            Event::Exchange { worker, .. } => self.workers[worker].frozen_until,
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
                        && !self.lost()
                    {
                        self.push(delay, Event::Heartbeat { from: node, run, to, heartbeat });
                    }
                }
            }
            Effect::StoreBatch { to, copy } => {
                for peer in to {
                    let to = (0..self.nodes.len()).find(|index| address(1, *index) == peer);
                    if let Some(to) = to
                        && !self.lost()
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
                assert_eq!(before, None, "a caller is answered once");
            }
            Effect::Stopped => self.kill(node),
        }
    }

    fn send_append(&mut self, node: usize, run: u64, request: AppendRequest, delay: u64) {
        let (loss, late) = (self.faults.loss, self.faults.late);
        if late > 0.0 && self.rng.random_bool(late) {
            let hold = self.rng.random_range(500..6_000);
            let tag = request.tag;
            self.push(hold, Event::Append { node, run, request, answer: false });
            return self.fail_append(node, run, tag, AppendOutcome::Unknown, 400);
        }
        if loss > 0.0 && self.rng.random_bool(loss) {
            return self.fail_append(node, run, request.tag, AppendOutcome::Unknown, 400);
        }
        self.push(delay, Event::Append { node, run, request, answer: true });
    }

    fn fail_append(&mut self, node: usize, run: u64, tag: Tag, outcome: AppendOutcome, delay: u64) {
        let error = log_error(Operation::Append, outcome);
        self.push(
            delay,
            Event::ToNode { node, run, message: Message::Appended { tag, result: Err(error) } },
        );
    }

    fn append(&mut self, node: usize, run: u64, request: &AppendRequest, answer: bool) {
        if self.faults.log_down || self.nodes[node].cut {
            if answer {
                self.fail_append(node, run, request.tag, AppendOutcome::NotWritten, 2);
            }
            return;
        }
        let offset = self.log.append(STREAM, request.payload.clone());
        if !answer {
            return;
        }
        if self.lost() {
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
        if !self.is_current(node, run) {
            return;
        }
        if self.faults.log_down || self.nodes[node].cut || self.lost() {
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
        let lost = first && (self.lost() || self.workers[&name].cut);
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
        if self.lost() || self.workers[&name].cut {
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

    fn beat(&mut self, from: usize, run: u64, to: usize, heartbeat: Heartbeat) {
        if self.faults.deaf || self.nodes[from].cut || self.nodes[to].cut || !self.is_up(to) {
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

    fn hold(&mut self, from: usize, run: u64, to: usize, copy: BatchCopy) {
        if self.nodes[from].cut || self.nodes[to].cut || !self.is_up(to) {
            return;
        }
        let (epoch, sequence) = (copy.epoch, copy.sequence);
        self.deliver(to, Message::StoreBatch(copy));
        let kept = self.is_up(to) && self.machine(to).copies.contains(epoch, sequence);
        if kept && !self.lost() {
            let from_instance = self.machine(to).me.clone();
            let message = Message::BatchStored { from: from_instance, epoch, sequence };
            let delay = self.latency();
            self.push(delay, Event::ToNode { node: from, run, message });
        }
    }

    /// The promises that hold at every moment; only an exchange can break them.
    fn check(&mut self) {
        let now = Instant::from_millis(self.now);
        let mut live = BTreeSet::new();
        for (name, worker) in &mut self.workers {
            worker.state.advance(now);
            let journal = worker.state.journal();
            assert_eq!(journal.overcommitted, 0, "{name} was given more than it has");
            let running: Vec<_> = journal.runs().filter(|run| run.ended.is_none()).collect();
            assert_eq!(journal.doubles, 0, "{name} ran a task twice at once: {running:?}");
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
                let holds = !matches!(task.phase, oriolefork::task::Phase::Ended(_));
                let fresh = !holds || live.insert((task.task.job, task.task.index));
                assert!(fresh, "{} runs on two workers at {}", task.task, self.now);
            }
        }
    }

    /// The promises that can be told at the end of a history.
    pub fn check_end(&self) {
        for (ticket, answer) in &self.answers {
            let Some(job) = self.submitted.get(ticket) else { continue };
            let alone = self.submitted.values().filter(|other| *other == job).count() == 1;
            if let Answer::Refused(refusal) = answer
                && alone
            {
                assert!(!self.has_started(*job), "job {job} ran though refused: {refusal:?}");
            }
        }
        for (task, starts) in &self.starts {
            let once = self.once.contains(&task.0);
            assert!(!once || *starts <= 1, "task {task:?} was started {starts} times");
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

/// Prints the machines' log lines when a history is looked into.
pub fn trace() {
    if std::env::var_os("ORIOLEFORK_TRACE").is_some() && ::log::set_logger(&Trace).is_ok() {
        ::log::set_max_level(::log::LevelFilter::Debug);
    }
}
