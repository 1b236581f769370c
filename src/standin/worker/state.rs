//! Leases, fencing and tasks of one worker.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::instruction::{self, Instruction};
use super::journal::Journal;
use super::pace::Pace;
use crate::clock::Instant;
use crate::domain::Epoch;
use crate::resource::Amount;
use crate::task::{self, End, Phase};
use crate::worker::{Command, Exchange, Observation, Report};

/// Reports whose time of issue is remembered.
const ISSUES_KEPT: usize = 256;

/// What the worker has and how it misbehaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// What it has in all.
    pub capacity: Amount,
    /// Every task fails once started.
    pub fail_all: bool,
    /// Time from a start command to the start of the run.
    pub start_latency: Duration,
    /// Time that a stop takes.
    pub stop_time: Duration,
    /// Time that a checkpoint takes.
    pub checkpoint_time: Duration,
    /// Time until a task's use of resources is reported.
    pub usage_lag: Duration,
    /// How long tasks take.
    pub pace: Pace,
}

impl Options {
    /// A worker without faults or delays.
    pub fn new(capacity: Amount) -> Self {
        Self {
            capacity,
            fail_all: false,
            start_latency: Duration::ZERO,
            stop_time: Duration::ZERO,
            checkpoint_time: Duration::ZERO,
            usage_lag: Duration::ZERO,
            pace: Pace::default(),
        }
    }
}

/// The worker's whole state.
#[derive(Debug)]
pub struct State {
    /// What the worker has and how it misbehaves; may be changed at any time.
    pub options: Options,
    run: u64,
    epoch: Epoch,
    sequence: u64,
    issued: VecDeque<Issue>,
    lease: Lease,
    tasks: BTreeMap<task::Id, Task>,
    forgotten: BTreeMap<task::Id, Instant>,
    journal: Journal,
}

#[derive(Clone, Copy, Debug)]
struct Issue {
    sequence: u64,
    at: Instant,
}

#[derive(Debug)]
struct Task {
    demand: Amount,
    usage: Amount,
    phase: Phase,
    due: Option<Due>,
    measured: Option<Instant>,
    entry: Option<u64>,
    changed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Due {
    at: Instant,
    end: End,
}

/// The lease of all tasks.
#[derive(Clone, Copy, Debug, Default)]
struct Lease {
    /// Issue of the newest report that a renewal answered.
    base: Instant,
    span: Duration,
}

impl Lease {
    fn end(self) -> Instant {
        self.base.after(self.span)
    }
}

impl State {
    /// Starts without tasks. `run` is drawn anew by each process.
    ///
    /// Reports are numbered from `run` on, so that a number issued by an earlier process is never
    /// taken for one of this process.
    pub fn new(options: Options, run: u64) -> Self {
        Self {
            options,
            run,
            epoch: Epoch::default(),
            sequence: run,
            issued: VecDeque::new(),
            lease: Lease::default(),
            tasks: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            journal: Journal::default(),
        }
    }

    /// Identity of the process.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Largest epoch seen.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// What was started, and every breach noticed.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Applies an exchange; [`Self::report`] gives the answer.
    ///
    /// # Errors
    ///
    /// Returns the largest epoch seen when the caller's is smaller; nothing is applied then.
    pub fn apply(&mut self, now: Instant, exchange: &Exchange) -> Result<(), Epoch> {
        self.advance(now);
        if exchange.epoch < self.epoch {
            self.journal.fenced += 1;
            return Err(self.epoch);
        }
        self.epoch = exchange.epoch;
        let base = self.base(now, exchange.seen);
        if let Some(base) = base {
            self.renew(base, exchange.lease);
        }
        self.advance(now);
        let fresh = base.is_some_and(|base| now < base.after(self.lease.span));
        self.obey(now, &exchange.commands, fresh && now < self.lease.end());
        self.advance(now);
        Ok(())
    }

    /// Ends what has come to its end by `now`, with the time at which it did.
    pub fn advance(&mut self, now: Instant) {
        let lapse = Due { at: self.lease.end(), end: End::Lapsed };
        self.forgotten.retain(|_, until| now < *until);
        let next = self.sequence + 1;
        for task in self.tasks.values_mut() {
            task.advance(now, lapse, next, &mut self.journal);
        }
    }

    /// Earliest time at which [`Self::advance`] changes something.
    pub fn next_event(&self) -> Option<Instant> {
        let lapse = Some(self.lease.end());
        let live = self.tasks.values().filter(|task| task.is_live());
        live.flat_map(|task| [task.due.map(|due| due.at), task.measured, lapse]).flatten().min()
    }

    /// Whether a report would show something to a caller that has seen report `seen`.
    pub fn has_news(&self, seen: u64) -> bool {
        self.is_full(seen) || self.tasks.values().any(|task| task.changed > seen)
    }

    /// Issues a report to a caller that has seen report `seen`.
    pub fn report(&mut self, now: Instant, seen: u64) -> Report {
        let full = self.is_full(seen);
        let shown = self.tasks.iter().filter(|(_, task)| full || task.changed > seen);
        let tasks = shown.map(|(id, task)| task.observe(*id)).collect();
        self.sequence += 1;
        if self.issued.len() == ISSUES_KEPT {
            self.issued.pop_front();
        }
        self.issued.push_back(Issue { sequence: self.sequence, at: now });
        let (run, sequence, capacity) = (self.run, self.sequence, self.options.capacity);
        Report { run, sequence, full, tasks, capacity }
    }

    /// Sum of what the tasks hold.
    pub fn held(&self) -> Amount {
        let live = self.tasks.values().filter(|task| task.is_live());
        live.fold(Amount::ZERO, |sum, task| sum.saturating_add(&task.demand))
    }

    /// Tasks known, ended ones included.
    pub fn known(&self) -> impl Iterator<Item = Observation> {
        self.tasks.iter().map(|(id, task)| task.observe(*id))
    }

    fn is_full(&self, seen: u64) -> bool {
        seen <= self.run || seen > self.sequence
    }

    /// When the report that an exchange answers was issued; `None` for one of an earlier process or
    /// one issued too long ago.
    ///
    /// Guards against exchanges that the network held back while their caller gave up on them. They
    /// show as a start or a renewal that the owner no longer counts on: the task would run here
    /// beside its replacement. A lease therefore counts from the issue of the report, which
    /// precedes the sending of the exchange.
    fn base(&self, now: Instant, seen: u64) -> Option<Instant> {
        if seen == 0 {
            return Some(now);
        }
        self.issued.iter().find(|issue| issue.sequence == seen).map(|issue| issue.at)
    }

    /// Renews the lease, unless an exchange that answered a newer report has overtaken this one.
    fn renew(&mut self, base: Instant, span: Duration) {
        if !span.is_zero() && base >= self.lease.base {
            self.lease = Lease { base, span };
        }
    }

    fn obey(&mut self, now: Instant, commands: &[Command], live: bool) {
        for command in commands {
            match command {
                Command::Start { task, demand, payload } => {
                    self.start(now, *task, *demand, payload, live);
                }
                Command::Stop(task) => self.end(*task, now.after(self.options.stop_time), false),
                Command::Checkpoint(task) => {
                    self.end(*task, now.after(self.options.checkpoint_time), true);
                }
                Command::Throttle(task) => self.throttle(*task),
                Command::Forget(task) => self.forget(now, *task),
            }
        }
    }

    fn start(&mut self, now: Instant, id: task::Id, demand: Amount, payload: &str, live: bool) {
        if self.tasks.contains_key(&id) || self.forgotten.contains_key(&id) {
            return;
        }
        let instruction = payload.parse::<Instruction>().ok().filter(|_| live);
        let Some(instruction) = instruction else {
            return self.reject(id, demand);
        };
        let held = self.held().saturating_add(&demand);
        if !held.fits(&self.options.capacity) {
            self.journal.overcommit(now, id, held);
        }
        let mut running = self.tasks.iter().filter(|(_, task)| task.is_live());
        if running.any(|(other, _)| (other.job, other.index) == (id.job, id.index)) {
            self.journal.doubles += 1;
        }
        let begin = now.after(self.options.start_latency);
        let task = Task {
            demand,
            usage: Amount::ZERO,
            phase: Phase::Running,
            due: self.due(begin, id, &instruction),
            measured: Some(begin.after(self.options.usage_lag)),
            entry: Some(self.journal.start(now, id)),
            changed: self.sequence + 1,
        };
        let usage = instruction.usage.unwrap_or(demand);
        self.tasks.insert(id, Task { usage, ..task });
    }

    fn due(&self, begin: Instant, id: task::Id, instruction: &Instruction) -> Option<Due> {
        let stated = Duration::from_millis(instruction.run_ms);
        let done = begin.after(self.options.pace.run_time(id, stated));
        match instruction.end {
            _ if self.options.fail_all => Some(Due { at: begin, end: End::Failed }),
            instruction::End::Succeeded => Some(Due { at: done, end: End::Succeeded }),
            instruction::End::Failed => Some(Due { at: done, end: End::Failed }),
            instruction::End::Never => None,
        }
    }

    /// Remembers a task that never ran, so that a start that arrives later has no effect.
    fn reject(&mut self, id: task::Id, demand: Amount) {
        let task = Task {
            demand,
            usage: Amount::ZERO,
            phase: Phase::Ended(End::Rejected),
            due: None,
            measured: None,
            entry: None,
            changed: self.sequence + 1,
        };
        self.tasks.insert(id, task);
    }

    fn end(&mut self, id: task::Id, at: Instant, saved: bool) {
        let next = self.sequence + 1;
        let Some(task) = self.tasks.get_mut(&id) else {
            return self.reject(id, Amount::ZERO);
        };
        if !task.is_live() {
            return;
        }
        let end = if saved { End::Checkpointed } else { End::Stopped };
        if task.due.is_none_or(|due| at < due.at) {
            task.due = Some(Due { at, end });
        }
        if task.phase != Phase::Stopping {
            task.phase = Phase::Stopping;
            task.changed = next;
        }
    }

    fn throttle(&mut self, id: task::Id) {
        let next = self.sequence + 1;
        if let Some(task) = self.tasks.get_mut(&id).filter(|task| task.is_live()) {
            task.usage.cpu_millis = task.usage.cpu_millis.min(task.demand.cpu_millis);
            task.changed = next;
        }
    }

    /// Drops an ended task, but keeps its identity until no copy of its start can be fresh.
    ///
    /// Guards against a start that was sent twice because its answer was lost: the copy may arrive
    /// after the task has run, ended and been forgotten, and would run it again.
    fn forget(&mut self, now: Instant, id: task::Id) {
        if self.tasks.get(&id).is_some_and(|task| !task.is_live()) {
            self.tasks.remove(&id);
            self.forgotten.insert(id, now.after(self.lease.span));
        }
    }
}

impl Task {
    fn is_live(&self) -> bool {
        !matches!(self.phase, Phase::Ended(_))
    }

    fn advance(&mut self, now: Instant, lapse: Due, next: u64, journal: &mut Journal) {
        if !self.is_live() {
            return;
        }
        if self.measured.is_some_and(|at| at <= now) {
            self.measured = None;
            self.changed = next;
        }
        let first = self.due.filter(|due| due.at <= lapse.at).unwrap_or(lapse);
        if now < first.at {
            return;
        }
        self.phase = Phase::Ended(first.end);
        self.changed = next;
        if let Some(entry) = self.entry {
            journal.end(entry, first.at, first.end);
        }
    }

    fn observe(&self, task: task::Id) -> Observation {
        let shown = self.is_live() && self.measured.is_none();
        let usage = if shown { self.usage } else { Amount::ZERO };
        Observation { task, phase: self.phase, demand: self.demand, usage }
    }
}
