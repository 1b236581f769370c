//! An owner with a limit of the workers that it polls, and workers that answer it by themselves.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use oriolefork::cell::Epoch;
use oriolefork::cell::caller::Caller;
use oriolefork::cell::dependencies::{
    Eligibility, EndedRun, PollReport, RosterUpdate, RunStatus, WorkerError,
};
use oriolefork::cell::job::{Job, Run, RunOutcome};
use oriolefork::cell::machine::{Call, Effect, Machine, Message};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use oriolefork::resource::Amount;

use super::harness::{UNIX_START_MS, WORKER_CLOCK_MS};
use super::model::{self, cores};

/// Listed workers, and the number of them that may be polled at a time.
pub const LISTED: usize = 60;
pub const MAX_ACTIVE: usize = 8;

/// Factor by which more may be polled while jobs wait, because a worker that is replaced by one from
/// the reserve still holds its last poll.
const EXCHANGE_FACTOR: usize = 2;

/// Time between two steps, and between two lists, in milliseconds.
const STEP_MS: u64 = 20;
const LIST_MS: u64 = 300;

/// Time after which a worker answers a command, and a poll in which nothing is awaited.
const RESPONSE_MS: u64 = 5;

/// Time within which an accepted job starts while a worker has room for it, in milliseconds.
const START_BOUND_MS: u64 = 5_000;

/// The state of a cell that an owner has just claimed.
pub fn claimed() -> State {
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(1), unix(0)));
    state
}

/// A worker as it behaves: what runs on it, and whether it answers.
#[derive(Default)]
pub struct Worker {
    pub running: BTreeSet<Run>,
    ended: Vec<EndedRun>,
    pub is_silent: bool,
}

/// A poll that its worker has not answered.
struct OpenPoll {
    sent: u64,
    answer_at: u64,
}

/// An owner and workers that answer it: held polls after the time for which they are held, and
/// commands at once.
pub struct Site {
    pub machine: Machine,
    pub now: u64,
    pub workers: BTreeMap<String, Worker>,
    polls: BTreeMap<String, OpenPoll>,
    /// Workers that the policy service allows; `None` for all.
    pub eligible: Option<BTreeSet<String>>,
    appends: Vec<u64>,
    /// Largest number of workers without runs that were polled at a time.
    pub most_idle_polled: usize,
    /// Workers that have been polled.
    pub polled: BTreeSet<String>,
    /// The worker of each poll, in order.
    pub polls_sent: Vec<String>,
    pub started: Vec<(String, Run)>,
}

pub fn unix(now: u64) -> Unix {
    Unix::from_millis(UNIX_START_MS + now)
}

pub fn name(number: usize) -> String {
    format!("w{number}")
}

impl Site {
    /// An owner of `state` that may poll `MAX_ACTIVE` workers, of those with `capacity`.
    pub fn new(state: State, capacity: impl Fn(usize) -> Amount) -> Self {
        let timings = Timings { max_active_workers: Some(MAX_ACTIVE), ..Timings::default() };
        let now = Instant::from_millis(0);
        let machine = Machine::new(state, 0, 1, model::queue_config(), timings, now, unix(0));
        let mut site = Self {
            machine,
            now: 0,
            workers: (0..LISTED).map(|number| (name(number), Worker::default())).collect(),
            polls: BTreeMap::new(),
            eligible: None,
            appends: Vec::new(),
            most_idle_polled: 0,
            polled: BTreeSet::new(),
            polls_sent: Vec::new(),
            started: Vec::new(),
        };
        site.list(&(0..LISTED).collect(), capacity);
        site
    }

    /// The same for an owner of an empty cell whose workers have eight cores.
    pub fn empty() -> Self {
        Self::new(claimed(), |_| cores(8))
    }

    /// Delivers a complete list of the workers in `numbers`.
    pub fn list(&mut self, numbers: &BTreeSet<usize>, capacity: impl Fn(usize) -> Amount) {
        let listed = |number: &usize| {
            (name(*number).into(), Rc::new(model::listed(*number, capacity(*number))))
        };
        let changed = numbers.iter().map(listed).collect();
        self.deliver(Message::WorkersChanged(RosterUpdate {
            changed,
            removed: Vec::new(),
            is_complete: true,
            ..RosterUpdate::default()
        }));
    }

    pub fn deliver(&mut self, message: Message) {
        self.machine.handle(message, Instant::from_millis(self.now), unix(self.now));
    }

    pub fn submit(&mut self, number: u64, job: Job) {
        self.deliver(Message::Call {
            id: number,
            call: Call::Submit(job),
            caller: Caller::default(),
        });
    }

    /// Plays `duration` milliseconds.
    pub fn play(&mut self, duration: u64) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Plays until `holds`, for `START_BOUND_MS` at most; returns whether it does.
    pub fn play_until(&mut self, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + START_BOUND_MS;
        while !holds(self) && self.now < end {
            self.step();
        }
        holds(self)
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        if self.now % LIST_MS < STEP_MS {
            let unchanged = RosterUpdate {
                changed: Vec::new(),
                removed: Vec::new(),
                is_complete: false,
                ..RosterUpdate::default()
            };
            self.deliver(Message::WorkersChanged(unchanged));
        }
        self.see_instance();
        self.answer_polls();
        for sequence in std::mem::take(&mut self.appends) {
            let sent = Instant::from_millis(self.now - RESPONSE_MS);
            self.deliver(Message::Appended { sequence, sent, outcome: Ok(1) });
        }
        let effects = self.machine.step(Instant::from_millis(self.now), unix(self.now));
        effects.into_iter().for_each(|effect| self.execute(effect));
        let idle = self.polls.keys().filter(|worker| self.is_idle(worker)).count();
        self.most_idle_polled = self.most_idle_polled.max(idle);
    }

    /// Whether nothing runs on a worker, and nothing has been placed on it.
    fn is_idle(&self, worker: &str) -> bool {
        let placed = self.machine.workers.get(worker).is_some_and(|worker| !worker.runs.is_empty());
        !placed && self.workers[worker].running.is_empty()
    }

    fn see_instance(&mut self) {
        let peer = ([127, 0, 0, 1], 1).into();
        self.deliver(Message::InstanceSeen { peer, cpu_millis: 1, domain: "hall".into() });
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Append { sequence, .. } => self.appends.push(sequence),
            Effect::Poll { worker, poll, timeout, .. } => {
                let state = &self.workers[&*worker];
                let wait = if state.is_silent { timeout } else { poll.max_wait };
                let open = OpenPoll {
                    sent: self.now,
                    answer_at: self.now + RESPONSE_MS + wait.as_millis() as u64,
                };
                self.polls_sent.push(worker.to_string());
                self.polled.insert(worker.to_string());
                self.polls.insert(worker.to_string(), open);
            }
            Effect::Start { worker, start, .. } => {
                let state = self.workers.get_mut(&*worker).expect("a listed worker");
                let outcome = if state.is_silent {
                    Err(WorkerError::Unknown("no answer".to_owned()))
                } else {
                    state.running.insert(start.run);
                    self.started.push((worker.to_string(), start.run));
                    Ok(WORKER_CLOCK_MS + self.now)
                };
                self.deliver(Message::Started { worker, run: start.run, outcome });
            }
            Effect::QueryPolicy(query) => {
                let allowed = query.workers.iter().filter(|worker| {
                    self.eligible.as_ref().is_none_or(|eligible| eligible.contains(&***worker))
                });
                let workers = allowed.map(|worker| (worker.clone(), "ticket".to_owned())).collect();
                let eligibility = Some(Eligibility { workers, valid_ms: None });
                self.deliver(Message::PolicyAnswered { query: query.number, eligibility });
            }
            _ => {}
        }
    }

    fn answer_polls(&mut self) {
        let due = |(worker, poll): (&String, &OpenPoll)| {
            let has_ended = !self.workers[worker].ended.is_empty();
            (poll.answer_at <= self.now || has_ended).then(|| worker.clone())
        };
        let due: Vec<String> = self.polls.iter().filter_map(due).collect();
        for worker in due {
            let Some(poll) = self.polls.remove(&worker) else { continue };
            let sent = Instant::from_millis(poll.sent);
            let outcome = self.report(&worker);
            self.deliver(Message::Polled { worker: worker.as_str().into(), sent, outcome });
        }
    }

    fn report(&mut self, worker: &str) -> Result<PollReport, WorkerError> {
        let state = self.workers.get_mut(worker).expect("a worker");
        if state.is_silent {
            return Err(WorkerError::Unknown("no answer".to_owned()));
        }
        let running = state.running.iter().map(|run| RunStatus {
            run: *run,
            checkpoint: String::new(),
            percent: 10,
            load: 0,
        });
        Ok(PollReport {
            clock_ms: WORKER_CLOCK_MS + self.now,
            running: running.collect(),
            ended: std::mem::take(&mut state.ended),
            partial: false,
        })
    }

    /// Ends everything that runs.
    pub fn end_all(&mut self) {
        for state in self.workers.values_mut() {
            let first = 1 + state.ended.len() as u64;
            let runs = std::mem::take(&mut state.running);
            let ended = runs.into_iter().zip(first..).map(|(run, number)| EndedRun {
                number,
                run,
                outcome: RunOutcome::Succeeded,
                checkpoint: String::new(),
            });
            state.ended.extend(ended);
        }
    }

    pub fn workers_with_runs(&self) -> BTreeSet<String> {
        let busy = self.workers.iter().filter(|(_, worker)| !worker.running.is_empty());
        busy.map(|(worker, _)| worker.clone()).collect()
    }

    /// Checks that no more workers without runs are polled at a time than the site allows.
    pub fn check_bound(&self) {
        self.check_idle_polled(MAX_ACTIVE);
    }

    /// The same after jobs had to wait for workers from the reserve.
    pub fn check_bound_with_exchange(&self) {
        self.check_idle_polled(MAX_ACTIVE * EXCHANGE_FACTOR);
    }

    fn check_idle_polled(&self, bound: usize) {
        assert!(
            self.most_idle_polled <= bound,
            "{} workers without runs were polled at a time; {} polls to {} workers",
            self.most_idle_polled,
            self.polls_sent.len(),
            self.polled.len()
        );
    }
}
