//! A cell's owners, journal and workers in one thread, with messages delayed, lost and late, owners
//! killed and replaced, and workers cut off, crashed and born again, all drawn from a seed.
//!
//! What users were promised is checked at each start; what must come about in the end is checked
//! after the faults are over.

mod check;
mod faults;
mod orders;

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{AppendError, JournalSnapshot, PollRequest, StartCommand};
use oriolefork::cell::job::{Id, Job, Run, RunOutcome, TaskKey};
use oriolefork::cell::machine::{Answer, Call, Effect, Machine, Message};
use oriolefork::cell::record::Batch;
use oriolefork::clock::{Instant, Unix};
use oriolefork::codec;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::model;
use super::upstream::Upstream;

/// Wall clock at the start, in milliseconds.
const UNIX_START: u64 = 1_700_000_000_000;

/// Time of one step of the world, in milliseconds.
const STEP_MS: u64 = 5;

/// How the faults of a history are mixed.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Share of orders that get no answer and are carried out seconds later.
    pub late: f64,
    /// Share of appends whose answer is lost.
    pub lost_appends: f64,
    /// Milliseconds between two changes of owner; zero for none.
    pub takeover_ms: u64,
    /// Whether the owner before goes on acting beside its successor.
    pub zombies: bool,
    /// Milliseconds between two cuts or crashes of workers; zero for none.
    pub worker_ms: u64,
    /// Whether the store answers nobody at times.
    pub outages: bool,
    /// Workers that reset all orders, to the end, and answer looks; held up orders reach them.
    pub resetting: usize,
    /// Whether some jobs have a task that crashes each worker that starts it.
    pub crashers: bool,
    /// Milliseconds between two changes of what a worker has; zero for none.
    pub resize_ms: u64,
}

enum Order {
    Look(PollRequest),
    Start(StartCommand),
    Stop(Run, Epoch),
}

enum Event {
    Worker { owner: usize, worker: String, order: Order, sent: u64, answered: bool },
    Append { owner: usize, sequence: u64, batch: Bytes, epoch: Epoch, sent: u64, answered: bool },
    Owner { owner: usize, message: Message },
    Finish { worker: String, run: Run },
    Alone { worker: String, run: Run },
    Crash { worker: String, run: Run },
    Restart { number: usize },
}

struct Owner {
    machine: Machine,
    alive: bool,
}

/// What the world knows of a job.
struct Watched {
    job: Job,
    accepted: bool,
    /// A cancellation without an answer may be carried out or not.
    cancel_asked: bool,
    cancelled_at: Option<u64>,
    fails: bool,
    /// Whether its first task crashes each worker that starts it.
    crashes: bool,
}

pub struct World {
    pub now: u64,
    rng: StdRng,
    faults: Faults,
    calm: bool,
    owners: Vec<Owner>,
    journal: Vec<Bytes>,
    epoch: Epoch,
    sequence: u64,
    claims: u64,
    store_down: bool,
    /// State that an owner saved last, as far as it got before it was replaced.
    saved: Option<JournalSnapshot>,
    workers: BTreeMap<String, Upstream>,
    lives: BTreeMap<usize, u32>,
    /// Workers that have crashed and are not back yet.
    down: BTreeSet<String>,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    jobs: BTreeMap<Id, Watched>,
    calls: BTreeMap<(usize, u64), Id>,
    next_call: u64,
    done_noted: BTreeSet<TaskKey>,
    done: BTreeMap<TaskKey, u64>,
    /// Tries that ended as failed, as far as that is in the journal.
    failures: BTreeMap<TaskKey, BTreeSet<u32>>,
    /// Crashes by task, and its starts after the third one.
    crashes: BTreeMap<TaskKey, (u32, u32)>,
    /// Workers that crashed while a task was there, by task.
    crashed_under: BTreeMap<TaskKey, u32>,
    pub starts: u64,
    pub takeovers: u64,
}

impl World {
    pub fn new(seed: u64, workers: usize, faults: Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let lives = (0..workers).map(|number| (number, 0)).collect();
        let mut upstreams = BTreeMap::new();
        for number in 0..workers {
            let offset = rng.random_range(0..1_000_000);
            let mut upstream = Upstream::new(model::cores(16), offset);
            upstream.resetting = number < faults.resetting;
            upstreams.insert(name(number, 0), upstream);
        }
        let mut world = Self {
            now: 0,
            rng,
            faults,
            calm: false,
            owners: Vec::new(),
            journal: Vec::new(),
            epoch: Epoch(0),
            sequence: 0,
            claims: 0,
            store_down: false,
            saved: None,
            workers: upstreams,
            lives,
            down: BTreeSet::new(),
            events: BTreeMap::new(),
            serial: 0,
            jobs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            done_noted: BTreeSet::new(),
            done: BTreeMap::new(),
            failures: BTreeMap::new(),
            crashes: BTreeMap::new(),
            crashed_under: BTreeMap::new(),
            starts: 0,
            takeovers: 0,
        };
        world.take_over();
        world
    }

    /// Lets time pass with faults.
    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.draw_faults();
            self.step();
        }
    }

    /// Ends all faults and lets time pass.
    pub fn settle(&mut self, span_ms: u64) {
        self.calm = true;
        self.store_down = false;
        for upstream in self.workers.values_mut() {
            upstream.reachable = true;
        }
        if !self.owners.last().is_some_and(|owner| owner.alive) {
            self.take_over();
        }
        let end = self.now + span_ms;
        while self.now < end {
            self.step();
        }
    }

    pub fn submit(&mut self, job: Job, fails: bool, crashes: bool) {
        let id = job.id;
        let watched = Watched {
            job: job.clone(),
            accepted: false,
            cancel_asked: false,
            cancelled_at: None,
            fails,
            crashes: crashes && self.faults.crashers,
        };
        self.jobs.insert(id, watched);
        self.ask(id, Call::Submit(job));
    }

    pub fn cancel(&mut self, number: u64) {
        let id = model::id(number);
        if let Some(watched) = self.jobs.get_mut(&id) {
            watched.cancel_asked = true;
        }
        self.ask(id, Call::Cancel(id));
    }

    /// Jobs that were accepted and not cancelled.
    pub fn accepted(&self) -> u64 {
        let kept = |watched: &&Watched| watched.accepted && watched.cancelled_at.is_none();
        self.jobs.values().filter(kept).count() as u64
    }

    fn ask(&mut self, id: Id, call: Call) {
        let owner = self.owners.len() - 1;
        self.next_call += 1;
        let number = self.next_call;
        self.calls.insert((owner, number), id);
        let message = Message::Call { id: number, call };
        self.schedule(1, Event::Owner { owner, message });
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.lapse_workers();
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= self.now
        {
            let event = entry.remove();
            self.carry_out(event);
        }
        for number in 0..self.owners.len() {
            if !self.owners[number].alive {
                continue;
            }
            let (now, unix) = self.clocks();
            for effect in self.owners[number].machine.step(now, unix) {
                self.take_effect(number, effect);
            }
        }
    }

    fn clocks(&self) -> (Instant, Unix) {
        (Instant::from_millis(self.now), Unix::from_millis(UNIX_START + self.now))
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    fn chance(&mut self, share: f64) -> bool {
        !self.calm && self.rng.random_bool(share)
    }

    fn take_effect(&mut self, owner: usize, effect: Effect) {
        let delay = self.rng.random_range(1..6);
        let sent = self.now;
        match effect {
            Effect::Append { sequence, batch } => {
                let epoch = self.owners[owner].machine.epoch;
                let lost = self.faults.lost_appends;
                let answered = !self.chance(lost);
                let event = Event::Append { owner, sequence, batch, epoch, sent, answered };
                self.schedule(delay + 4, event);
            }
            Effect::Poll { worker, poll, .. } => {
                self.order(owner, worker.to_string(), Order::Look(poll), delay);
            }
            Effect::Start { worker, start, .. } => {
                self.order(owner, worker.to_string(), Order::Start(start), delay);
            }
            Effect::Stop { worker, run, .. } => {
                let epoch = self.owners[owner].machine.epoch;
                self.order(owner, worker.to_string(), Order::Stop(run, epoch), delay);
            }
            Effect::QueryPolicy(_) => {}
            Effect::Reply { id, answer } => self.answered(owner, id, answer),
            Effect::Save(base) => self.saved = Some(base),
            Effect::StepDown { .. } => self.owners[owner].alive = false,
        }
    }

    fn carry_out(&mut self, event: Event) {
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
            Event::Worker { owner, worker, order, sent, answered } => {
                self.deliver(owner, &worker, &order, sent, answered);
            }
            Event::Finish { worker, run } => self.finish(&worker, run),
            Event::Alone { worker, run } => self.alone(&worker, run),
            Event::Crash { worker, run } => self.crash(worker, run),
            Event::Restart { number } => self.restart(number),
        }
    }

    fn append(
        &mut self,
        owner: usize,
        sequence: u64,
        batch: Bytes,
        epoch: Epoch,
        sent: u64,
        answered: bool,
    ) {
        let outcome = if self.store_down {
            Err(AppendError::NotWritten("down".to_owned()))
        } else if epoch < self.epoch {
            Err(AppendError::Fenced)
        } else if sequence == self.sequence + 1 {
            self.sequence = sequence;
            self.note_records(&batch);
            self.journal.push(batch);
            Ok(self.journal.len() as u64)
        } else {
            assert!(sequence <= self.sequence, "a gap in the numbers of batches");
            Ok(self.journal.len() as u64)
        };
        let outcome = if answered { outcome } else { Err(AppendError::Unknown("lost".to_owned())) };
        let delay = if answered { 3 } else { 900 };
        let message = Message::Appended { sequence, sent: Instant::from_millis(sent), outcome };
        self.schedule(delay, Event::Owner { owner, message });
    }

    fn note_records(&mut self, batch: &Bytes) {
        use oriolefork::cell::record::Record;
        let batch: Batch = codec::decode(batch).expect("a batch");
        for record in batch.records {
            match record {
                Record::Cancelled { job } => {
                    if let Some(watched) = self.jobs.get_mut(&job) {
                        watched.cancelled_at.get_or_insert(self.now);
                    }
                }
                Record::Ended { run, outcome: RunOutcome::Succeeded, .. } => {
                    self.done_noted.insert(run.task);
                }
                Record::Ended { run, outcome: RunOutcome::Failed, .. } => {
                    self.failures.entry(run.task).or_default().insert(run.number);
                }
                _ => {}
            }
        }
    }

    fn answered(&mut self, owner: usize, call: u64, answer: Answer) {
        let Some(id) = self.calls.remove(&(owner, call)) else { return };
        if answer == Answer::Accepted
            && let Some(watched) = self.jobs.get_mut(&id)
        {
            watched.accepted = true;
        }
    }
}

/// Name of a worker's life: every other worker starts again under the name that it had.
fn name(number: usize, life: u32) -> String {
    let separator = if number.is_multiple_of(2) { '-' } else { '@' };
    format!("w{number}{separator}{life}")
}
