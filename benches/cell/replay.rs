//! One day of a site: workers, the policy service and the journal answer the machine after the
//! delays that were measured for them.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant as Wall};

use hdrhistogram::Histogram;
use oriolefork::cell::dependencies::{Eligibility, PollRequest, RosterUpdate, WorkerInfo};
use oriolefork::cell::job::{Id, Phase, Run, RunOutcome, StepKey};
use oriolefork::cell::machine::{Call, Effect, Machine, Message, PolicyQuery};
use oriolefork::cell::record::WorkerId;
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use oriolefork::resource::Amount;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::mix::{Day, Kind, SERVICE, Site, around};
use super::upstream::Upstream;

/// Length of a replay, time in which jobs come, and the trouble within it, in milliseconds.
const LENGTH_MS: u64 = 40_000;
const TRAFFIC_MS: u64 = 25_000;
const TROUBLE_MS: (u64, u64) = (8_000, 12_000);
const LOSS_MS: (u64, u64) = (8_000, 14_000);

/// Ways to the store, to a worker and between instances with their answers, in milliseconds.
const APPEND_MS: u64 = 8;
const ORDER_MS: u64 = 5;
const PEER_MS: u64 = 2;

/// The machine looks at its own state at least this often, in milliseconds.
const TICK_MS: u64 = 20;

/// Wall clock at the start, in milliseconds.
const UNIX_START: u64 = 1_700_000_000_000;

/// Workers in a rack.
const RACK: usize = 12;

/// Time of the replay under way, for log lines.
pub static NOW_MS: AtomicU64 = AtomicU64::new(0);

enum Event {
    Arrival(usize),
    Told(Message),
    Looked(WorkerId, PollRequest),
    Held(WorkerId, u64),
    Finish(WorkerId, Run),
    Present,
    Crash(usize),
    Return(usize),
}

struct Job {
    kind: usize,
    at: u64,
    /// Core-milliseconds of work.
    size: f64,
    /// What it earned, as a share of its worth.
    earned: f64,
    /// Time within which it earns all.
    objective: f64,
    begun: bool,
    ended: bool,
}

/// A look that waits at its worker for an end.
struct Parked {
    look: PollRequest,
    serial: u64,
    sent: u64,
}

pub struct Replay<'a> {
    site: &'a Site,
    day: Day,
    rng: StdRng,
    machine: Machine,
    now: u64,
    serial: u64,
    events: BTreeMap<(u64, u64), Event>,
    workers: BTreeMap<WorkerId, Upstream>,
    parked: BTreeMap<WorkerId, Parked>,
    askers: BTreeMap<SocketAddr, u64>,
    jobs: BTreeMap<Id, Job>,
    ids: u64,
    work: BTreeMap<StepKey, f64>,
    outcome: Outcome,
}

/// Figures of one replay.
pub struct Outcome {
    label: String,
    earned: f64,
    owed: f64,
    waiting: [Histogram<u64>; 3],
    /// Shares earned of each kind.
    pub shares: [Share; 3],
    /// Time of the policy service's answers, in milliseconds.
    asked_ms: u64,
    packed: f64,
    samples: u32,
    starts: u64,
    busy: Duration,
    steps: Histogram<u64>,
    jobs: usize,
}

/// Shares of the jobs of one kind that earned something; late ones count in full.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    pub all: f64,
    /// Of the tenth with the most work.
    pub largest: f64,
}

impl Share {
    fn of(mut jobs: Vec<&Job>) -> Self {
        jobs.sort_by(|one, other| other.size.total_cmp(&one.size));
        let served = |jobs: &[&Job]| {
            let served = jobs.iter().filter(|job| job.earned > 0.0).count();
            served as f64 / jobs.len().max(1) as f64
        };
        Self { all: served(&jobs), largest: served(&jobs[..jobs.len().div_ceil(10)]) }
    }
}

impl<'a> Replay<'a> {
    pub fn new(site: &'a Site, day: Day, seed: u64) -> Self {
        let (now, unix) = (Instant::from_millis(0), Unix::from_millis(UNIX_START));
        let timings = Timings::default();
        let machine = Machine::new(State::default(), 1, 0, site.table(), timings, now, unix);
        let histogram = || Histogram::new(3).expect("three digits");
        let outcome = Outcome {
            label: format!("{:<20} {:<13}", site.label, format!("{day:?}").to_lowercase()),
            earned: 0.0,
            owed: 0.0,
            waiting: [histogram(), histogram(), histogram()],
            shares: [Share::default(); 3],
            asked_ms: 0,
            packed: 0.0,
            samples: 0,
            starts: 0,
            busy: Duration::ZERO,
            steps: histogram(),
            jobs: 0,
        };
        let mut replay = Self {
            site,
            day,
            rng: StdRng::seed_from_u64(seed),
            machine,
            now: 0,
            serial: 0,
            events: BTreeMap::new(),
            workers: BTreeMap::new(),
            parked: BTreeMap::new(),
            askers: (0..site.instances).map(|number| (instance(number), 0)).collect(),
            jobs: BTreeMap::new(),
            ids: 0,
            work: BTreeMap::new(),
            outcome,
        };
        for number in 0..site.workers {
            replay.revive(number, 0);
        }
        let roster = replay.roster();
        replay.schedule(0, Event::Told(Message::WorkersChanged(roster)));
        replay.schedule(0, Event::Present);
        for kind in 0..site.kinds.len() {
            replay.schedule(1_000, Event::Arrival(kind));
        }
        if day == Day::Loss {
            for number in (0..site.workers).step_by(4) {
                replay.schedule(LOSS_MS.0, Event::Crash(number));
                replay.schedule(LOSS_MS.1, Event::Return(number));
            }
        }
        replay
    }

    /// Plays the day to its end.
    pub fn run(mut self) -> Outcome {
        let mut tick = 0;
        while self.now < LENGTH_MS {
            let next = self.events.first_key_value().map_or(LENGTH_MS, |((at, _), _)| *at);
            self.now = next.min(tick);
            NOW_MS.store(self.now, Ordering::Relaxed);
            if tick <= self.now {
                tick = self.now + TICK_MS;
                self.sample();
                self.note_ends();
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.take(event);
            }
            self.step();
        }
        for job in self.jobs.values() {
            self.outcome.owed += self.site.kinds[job.kind].worth;
        }
        for (kind, share) in self.outcome.shares.iter_mut().enumerate() {
            *share = Share::of(self.jobs.values().filter(|job| job.kind == kind).collect());
        }
        self.outcome.jobs = self.jobs.len();
        self.outcome
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    fn times(&self) -> (Instant, Unix) {
        (Instant::from_millis(self.now), Unix::from_millis(UNIX_START + self.now))
    }

    fn tell(&mut self, message: Message) {
        let (now, unix) = self.times();
        let begun = Wall::now();
        self.machine.handle(message, now, unix);
        self.outcome.busy += begun.elapsed();
    }

    fn step(&mut self) {
        let (now, unix) = self.times();
        let begun = Wall::now();
        let effects = self.machine.step(now, unix);
        let took = begun.elapsed();
        self.outcome.busy += took;
        self.outcome.steps += took.as_micros() as u64;
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrival(kind) => self.arrive(kind),
            Event::Told(message) => self.tell(message),
            Event::Looked(worker, look) => self.look(worker, look),
            Event::Held(worker, serial) => {
                if self.parked.get(&worker).is_some_and(|parked| parked.serial == serial) {
                    self.answer_parked(&worker);
                }
            }
            Event::Finish(worker, run) => self.finish(&worker, run),
            Event::Present => {
                for peer in self.askers.keys().copied().collect::<Vec<_>>() {
                    self.tell(Message::InstanceSeen { peer, strength: 1, domain: "hall".into() });
                }
                self.schedule(200, Event::Present);
            }
            Event::Crash(number) => {
                let worker = life(number, 0);
                self.workers.remove(&worker);
                self.parked.remove(&worker);
                let roster =
                    RosterUpdate { changed: Vec::new(), removed: vec![worker], is_complete: false };
                self.schedule(3_000, Event::Told(Message::WorkersChanged(roster)));
            }
            Event::Return(number) => {
                self.revive(number, 1);
                let roster = self.roster();
                self.schedule(10, Event::Told(Message::WorkersChanged(roster)));
            }
        }
    }

    fn arrive(&mut self, kind: usize) {
        let site = self.site;
        let model = &site.kinds[kind];
        let (from, to) = TROUBLE_MS;
        let rush = if (from..to).contains(&self.now) { self.day.rush() } else { 1.0 };
        let rate = model.per_second * rush;
        let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() * 1_000.0 / rate;
        if self.now < TRAFFIC_MS {
            self.schedule(gap as u64, Event::Arrival(kind));
        }
        self.ids += 1;
        let id: Id = format!("{:016x}", self.ids * 0x9e37_79b9).parse().expect("sixteen digits");
        let job = model.draw(id, kind, &mut self.rng);
        let mut chain = 0.0;
        let mut size = 0.0;
        for (number, step) in job.steps.iter().enumerate() {
            let work = around(model.work_ms, 0.5, &mut self.rng);
            size += work * f64::from(step.count) * step.demand.cpu_millis as f64 / 1_000.0;
            chain += work + model.advice.0 + 30.0 * model.advice.1;
            self.work.insert(StepKey { job: id, occurrence: 0, step: number as u32 }, work);
        }
        let objective = chain * model.stretch + model.target_ms as f64;
        let (begun, ended) = (false, false);
        let known = Job { kind, at: self.now, size, earned: 0.0, objective, begun, ended };
        self.jobs.insert(id, known);
        self.tell(Message::Call { id: self.ids, call: Call::Submit(job) });
    }

    fn carry_out(&mut self, effect: Effect) {
        let (now, _) = self.times();
        match effect {
            Effect::Append { sequence, .. } => {
                let message = Message::Appended { sequence, sent: now, outcome: Ok(sequence) };
                self.schedule(APPEND_MS, Event::Told(message));
            }
            Effect::Poll { worker, poll, .. } => self.schedule(2, Event::Looked(worker, poll)),
            Effect::Start { worker, start, .. } => self.start(worker, &start),
            Effect::Stop { worker, run, .. } => {
                let epoch = self.machine.epoch;
                let Some(upstream) = self.workers.get_mut(&worker) else { return };
                let clock = upstream.clock_ms(self.now);
                let outcome = upstream.stop(run, epoch).map(|_| clock);
                let message = Message::Stopped { worker: worker.clone(), run, outcome };
                self.schedule(ORDER_MS, Event::Told(message));
                self.answer_parked(&worker);
            }
            Effect::QueryPolicy(question) => self.advise(&question),
            Effect::Reply { .. } | Effect::Save(_) => {}
            Effect::StepDown { reason } => panic!("the owner stepped down: {reason}"),
        }
    }

    fn start(&mut self, worker: WorkerId, start: &oriolefork::cell::dependencies::StartCommand) {
        let run = start.run;
        let demand = start.job.steps[run.task.step.step as usize].demand;
        let Some(upstream) = self.workers.get_mut(&worker) else { return };
        let outcome = upstream.start(start, demand, self.now);
        let clock = upstream.clock_ms(self.now);
        if outcome == Ok(true) {
            self.outcome.starts += 1;
            let speed =
                [0.8, 1.0, 1.25][xxhash_rust::xxh3::xxh3_64(worker.as_bytes()) as usize % 3];
            let work = self.work.get(&run.task.step).copied().unwrap_or(1_000.0);
            let took = (work / speed).max(1.0) as u64;
            self.schedule(ORDER_MS + took, Event::Finish(worker.clone(), run));
            let now = self.now;
            if let Some(job) = self.jobs.get_mut(&run.task.step.job)
                && !job.begun
            {
                job.begun = true;
                self.outcome.waiting[job.kind] += now - job.at;
            }
        }
        let message = Message::Started { worker, run, outcome: outcome.map(|_| clock) };
        self.schedule(ORDER_MS, Event::Told(message));
    }

    fn finish(&mut self, worker: &WorkerId, run: Run) {
        let Some(upstream) = self.workers.get_mut(worker) else { return };
        upstream.end(run, RunOutcome::Succeeded);
        self.answer_parked(worker);
    }

    fn look(&mut self, worker: WorkerId, look: PollRequest) {
        let Some(upstream) = self.workers.get_mut(&worker) else { return };
        self.serial += 1;
        let (serial, wait) = (self.serial, look.max_wait.as_millis() as u64);
        let answered = upstream.look(&look, self.now).is_ok_and(|report| !report.ended.is_empty());
        self.parked.insert(worker.clone(), Parked { look, serial, sent: self.now });
        if answered || wait == 0 {
            self.answer_parked(&worker);
        } else {
            self.schedule(wait, Event::Held(worker, serial));
        }
    }

    fn answer_parked(&mut self, worker: &WorkerId) {
        let Some(parked) = self.parked.remove(worker) else { return };
        let Some(upstream) = self.workers.get_mut(worker) else { return };
        let outcome = upstream.look(&parked.look, self.now);
        let sent = Instant::from_millis(parked.sent);
        let message = Message::Polled { worker: worker.clone(), sent, outcome };
        self.schedule(3, Event::Told(message));
    }

    /// Each instance has one question answered after the other.
    fn advise(&mut self, question: &PolicyQuery) {
        let Some(job) = self.jobs.get(&question.step.job) else { return };
        let (decide, each, good) = self.site.kinds[job.kind].advice;
        let took = (decide + each * question.workers.len() as f64) as u64;
        let from = self.askers.get(&question.proxy).copied().unwrap_or(0).max(self.now + PEER_MS);
        self.askers.insert(question.proxy, from + took);
        self.outcome.asked_ms += took;
        let may = |worker: &&WorkerId| {
            let name = format!("{} {worker}", question.step);
            (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) % 1_000) as f64 / 1_000.0 < good
        };
        let allowed = question.workers.iter().filter(may);
        let workers = allowed.map(|worker| (worker.clone(), "ticket".to_owned())).collect();
        let allowed = Some(Eligibility { workers, valid_ms: Some(1_500) });
        let message = Message::PolicyAnswered { query: question.number, allowed };
        self.schedule(from + took + PEER_MS - self.now, Event::Told(message));
    }

    fn note_ends(&mut self) {
        let now = self.now;
        for id in self.machine.state.jobs.keys() {
            let Some(job) = self.jobs.get_mut(id) else { continue };
            if job.ended || self.machine.state.jobs[id].phase() != Phase::Completed {
                continue;
            }
            job.ended = true;
            let took = (now - job.at) as f64;
            let Kind { worth, late, .. } = self.site.kinds[job.kind];
            if took <= job.objective {
                job.earned = 1.0;
            } else if took <= 3.0 * job.objective {
                job.earned = late / worth;
            }
            self.outcome.earned += worth * job.earned;
        }
    }

    fn sample(&mut self) {
        if self.now < 2_000 || self.now > TRAFFIC_MS {
            return;
        }
        let used: u64 = self.workers.values().map(|worker| worker.used().cpu_millis).sum();
        let all: u64 = self.workers.values().map(|worker| worker.capacity.cpu_millis).sum();
        self.outcome.packed += used as f64 / all as f64;
        self.outcome.samples += 1;
    }

    fn revive(&mut self, number: usize, lives: u32) {
        let room = Amount {
            cpu_millis: self.site.cores * 1_000,
            memory_mib: self.site.gib * 1_024,
            accelerators: 0,
        };
        self.workers.insert(life(number, lives), Upstream::new(room, 1_000));
    }

    fn roster(&self) -> RosterUpdate {
        let listed = |(number, (id, worker)): (usize, (&WorkerId, &Upstream))| {
            let rack = format!("r{}", number / RACK);
            let listed = WorkerInfo {
                address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16)),
                service: SERVICE.to_owned(),
                domain: "hall".to_owned(),
                rack: Some(rack.clone()),
                labels: vec!["a".to_owned(), rack],
                capacity: worker.capacity,
                draining: false,
                remaining_ms: None,
            };
            (id.clone(), Rc::new(listed))
        };
        let present = self.workers.iter().enumerate().map(listed).collect();
        RosterUpdate { changed: present, removed: Vec::new(), is_complete: false }
    }
}

fn life(number: usize, lives: u32) -> WorkerId {
    format!("worker-{number:04}-{lives}").into()
}

fn instance(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7_540))
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = LENGTH_MS as f64 / 1_000.0;
        write!(f, "{} {:>6.3}", self.label, self.earned / self.owed)?;
        write!(f, " {:>7.3}", self.packed / f64::from(self.samples.max(1)))?;
        for waiting in &self.waiting {
            let (half, most) = (waiting.value_at_quantile(0.5), waiting.value_at_quantile(0.99));
            write!(f, " {half:>10}/{most:>10}")?;
        }
        for Share { all, largest } in self.shares {
            write!(f, " {all:>5.2}/{largest:>4.2}")?;
        }
        write!(f, " {:>7.1}", self.asked_ms as f64 / LENGTH_MS as f64)?;
        write!(f, " {:>7} {:>8.1}", self.jobs, self.starts as f64 * 1_000.0 / TRAFFIC_MS as f64)?;
        write!(f, " {:>8.1}", self.busy.as_secs_f64() * 1_000.0 / seconds)?;
        let (p99, longest) = (self.steps.value_at_quantile(0.99), self.steps.max());
        write!(f, " {:>8.2} {:>8.2}", p99 as f64 / 1_000.0, longest as f64 / 1_000.0)
    }
}
