//! The owner's decisions: state, message and present time in, effects out.
//!
//! What is decided is applied at once and written to the journal in batches, one under way at a
//! time. Whatever others could see of a decision waits until its batch is stored: starts, answers to
//! callers, final phases, and the leave that a worker gets to forget an end.

mod advice;
mod calls;
mod commit;
mod looks;
mod orders;
mod place;
mod roster;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use advice::Question;
pub use commit::Commit;

use super::Epoch;
use super::job::{End, Id, Job, Phase, Run, Step, StepKey};
use super::link::{Allowed, Base, Fault, Look, Rejected, Report, Roster, Start};
use super::queue::Table;
use super::record::{Record, WorkerId};
use super::state::State;
use super::ticket::Tickets;
use super::timings::{PRESENCE, Timings};
use super::worker::Worker;
use crate::clock::{Instant, Unix};
use crate::resource::Amount;

/// Names a call that waits for its answer.
pub type CallId = u64;

/// Times the owner's processor from which another instance should own the cell: a change of owner
/// costs about 50 ms of placements.
const MUCH_STRONGER: f64 = 1.4;

/// Time after a claim in which the cell stays where it is.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);

/// Rest between two looks for ended jobs to forget.
const FORGET_REST: Duration = Duration::from_secs(1);

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Accept a job.
    Submit(Job),
    /// Cancel a job.
    Cancel(Id),
    /// Tell a job's phase.
    Show(Id),
    /// Count the jobs of a queue for which no task has started.
    Waiting(String),
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The job's phase.
    Phase(Phase),
    /// Jobs that wait.
    Waiting(u64),
    /// No such job.
    Unknown,
    /// The owner cannot tell at present; nothing was done.
    Unavailable,
}

/// What the machine is told.
#[derive(Debug)]
pub enum Message {
    /// A caller asks.
    Call {
        /// Names the call.
        id: CallId,
        /// What is asked.
        call: Call,
    },
    /// An append ended.
    Appended {
        /// Number of the batch.
        sequence: u64,
        /// When it was sent.
        sent: Instant,
        /// Offset after it.
        outcome: Result<u64, Rejected>,
    },
    /// A worker answered a look, or did not.
    Looked {
        /// The worker.
        worker: WorkerId,
        /// When the look was sent.
        sent: Instant,
        /// What it told.
        outcome: Result<Report, Fault>,
    },
    /// A worker answered an order to start.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The try.
        run: Run,
        /// Its clock.
        outcome: Result<u64, Fault>,
    },
    /// A worker answered an order to stop.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The try.
        run: Run,
        /// Its clock.
        outcome: Result<u64, Fault>,
    },
    /// The policy service answered, or did not.
    Advised {
        /// Number of the question.
        question: u64,
        /// What it allows; `None` when no answer came.
        allowed: Option<Allowed>,
    },
    /// The list of workers changed.
    Roster(Roster),
    /// The configuration changed.
    Table(Rc<Table>),
    /// The whole state is to be saved.
    SaveDue,
    /// An instance is there and can ask the policy service.
    Present {
        /// Where it is reached.
        peer: SocketAddr,
        /// Processor that it may use, in thousandths of a core.
        strength: u32,
    },
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append a batch to the journal.
    Append {
        /// Its number.
        sequence: u64,
        /// Its content.
        batch: Bytes,
    },
    /// Look at a worker.
    Look {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// What to ask.
        look: Look,
    },
    /// Start a try.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The order.
        start: Start,
    },
    /// Stop a try.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The try.
        run: Run,
    },
    /// Ask the policy service.
    Advise(Question),
    /// Answer a caller.
    Reply {
        /// Names the call.
        id: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Save the whole state.
    Save(Base),
    /// Another owner has taken the cell over; end.
    StepDown {
        /// How it showed.
        why: String,
    },
}

/// How far a try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its placement is on its way to the journal.
    Recording,
    /// The order to start it has no answer yet.
    Starting {
        /// Whether an order is out.
        out: bool,
    },
    /// Its worker said at that instant that it runs, or has run.
    Running(Instant),
    /// Placed by an earlier owner; its worker has not told of it yet.
    Inherited,
    /// It is to be stopped.
    Stopping {
        /// Whether an order is out.
        out: bool,
        /// When the worker took the order.
        taken: Option<Instant>,
    },
}

/// A try that is not known to be over.
#[derive(Clone, Debug)]
pub struct Live {
    /// Its worker.
    pub worker: WorkerId,
    /// Room it takes.
    pub demand: Amount,
    /// How far it is.
    pub stage: Stage,
    /// Orders to start that were sent.
    pub tries: u32,
    /// Whether an order without an answer may have reached the worker.
    pub doubtful: bool,
    /// When the next order is due.
    pub next_try: Instant,
    /// When it was placed.
    pub since: Instant,
    /// Whether it is to be stopped as soon as possible.
    pub unwanted: bool,
    /// Share of its work that is done, and when that last rose.
    pub progress: (u32, Instant),
}

/// An instance that can ask the policy service.
#[derive(Clone, Copy, Debug)]
struct Asker {
    seen: Instant,
    question: Option<u64>,
    strength: u32,
}

/// The owner of a cell.
pub struct Machine {
    /// Its epoch.
    pub epoch: Epoch,
    /// Spans that the site sets.
    pub timings: Timings,
    /// What the journal adds up to.
    pub state: State,
    /// The configuration in force.
    pub table: Rc<Table>,
    /// Workers by name.
    pub workers: BTreeMap<WorkerId, Worker>,
    /// Tries that are not known to be over.
    pub runs: BTreeMap<Run, Live>,
    /// What the policy service said of steps.
    pub tickets: BTreeMap<StepKey, Tickets>,
    /// Mean run time of a task by queue, in milliseconds.
    pub run_times: BTreeMap<String, f64>,
    /// Share of the workers that may run a step, by queue.
    pub shares: BTreeMap<String, f64>,
    claim: u64,
    commit: Commit,
    /// New jobs that wait for a slow store.
    admission: Vec<(CallId, Job)>,
    claimed: Instant,
    dead: BTreeSet<WorkerId>,
    save_due: bool,
    unsettled: BTreeSet<Id>,
    failed_on: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    askers: BTreeMap<SocketAddr, Asker>,
    questions: BTreeMap<u64, Question>,
    last_question: u64,
    effects: Vec<Effect>,
    next_place: Instant,
    place_by: Instant,
    next_forget: Instant,
    dirty: bool,
    now: Instant,
    unix: Unix,
}

impl Machine {
    /// The owner that claimed the cell at `now`, with number `claim` of its epoch, and read `state`
    /// from its journal up to offset `end`.
    pub fn new(
        state: State,
        claim: u64,
        end: u64,
        table: Rc<Table>,
        timings: Timings,
        now: Instant,
        unix: Unix,
    ) -> Self {
        let mut machine = Self {
            epoch: state.epoch,
            timings,
            state,
            table,
            workers: BTreeMap::new(),
            runs: BTreeMap::new(),
            tickets: BTreeMap::new(),
            run_times: BTreeMap::new(),
            shares: BTreeMap::new(),
            claim,
            commit: Commit::new(claim + 1, end, now),
            admission: Vec::new(),
            claimed: now,
            dead: BTreeSet::new(),
            save_due: false,
            unsettled: BTreeSet::new(),
            failed_on: BTreeMap::new(),
            askers: BTreeMap::new(),
            questions: BTreeMap::new(),
            last_question: 0,
            effects: Vec::new(),
            next_place: now,
            place_by: now,
            next_forget: now,
            dirty: true,
            now,
            unix,
        };
        machine.inherit();
        machine
    }

    /// Takes in one message.
    pub fn handle(&mut self, message: Message, now: Instant, unix: Unix) {
        self.advance(now, unix);
        match message {
            Message::Call { id, call } => self.call(id, call),
            Message::Appended { sequence, sent, outcome } => self.appended(sequence, sent, outcome),
            Message::Looked { worker, sent, outcome } => self.looked(&worker, sent, outcome),
            Message::Started { worker, run, outcome } => self.started(&worker, run, outcome),
            Message::Stopped { worker, run, outcome } => self.stopped(&worker, run, outcome),
            Message::Advised { question, allowed } => self.advised(question, allowed.as_ref()),
            Message::Roster(roster) => self.roster(roster),
            Message::Table(table) => self.configure(table),
            Message::SaveDue => self.save_due = true,
            Message::Present { peer, strength } => {
                let asker = Asker { seen: now, question: None, strength };
                self.askers.entry(peer).or_insert(asker).seen = now;
            }
        }
    }

    /// Does what is due and returns all effects since the last call.
    pub fn step(&mut self, now: Instant, unix: Unix) -> Vec<Effect> {
        self.advance(now, unix);
        self.review_admission();
        self.send_orders();
        self.look_around();
        self.give_up_lapsed();
        if self.now >= self.next_forget {
            self.next_forget = now.after(FORGET_REST);
            self.forget();
        }
        self.drop_unlisted();
        if self.now >= self.next_place && (self.dirty || self.now >= self.place_by) {
            self.place();
        }
        self.flush();
        std::mem::take(&mut self.effects)
    }

    /// Whether the cell should go to an instance that reaches the store better.
    pub fn is_cut_from_store(&self, now: Instant) -> bool {
        self.commit.is_stuck(now)
    }

    /// Instances that were heard of lately, the strongest first: the owner does most of the work,
    /// and instances differ fourfold.
    pub fn present(&self, now: Instant) -> Vec<SocketAddr> {
        let fresh = self.askers.iter().filter(|(_, asker)| asker.is_fresh(now));
        let mut ranked: Vec<(Reverse<u32>, SocketAddr)> =
            fresh.map(|(peer, asker)| (Reverse(asker.strength), *peer)).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Whether an instance is there that is much stronger than `strength`.
    pub fn is_outclassed(&self, strength: u32, now: Instant) -> bool {
        let settled = now.since(self.claimed) > SETTLED_AFTER;
        let stronger = |asker: &Asker| {
            asker.is_fresh(now) && f64::from(asker.strength) > f64::from(strength) * MUCH_STRONGER
        };
        settled && self.askers.values().any(stronger)
    }

    fn advance(&mut self, now: Instant, unix: Unix) {
        self.now = self.now.max(now);
        self.unix = unix;
    }

    /// Takes over the tries that the journal says may run.
    fn inherit(&mut self) {
        let live: Vec<(Run, WorkerId)> =
            self.state.live.iter().map(|(run, worker)| (*run, worker.clone())).collect();
        for (run, worker) in live {
            let demand = self.demand(&run);
            self.runs.insert(run, Live::new(worker, demand, Stage::Inherited, self.now));
        }
        let ended = |phase: Phase| phase.is_final();
        let unwanted: Vec<Run> = self
            .runs
            .keys()
            .filter(|run| {
                let entry = self.state.jobs.get(&run.task.step.job);
                entry.is_none_or(|entry| ended(entry.phase()))
            })
            .copied()
            .collect();
        for run in unwanted {
            if let Some(live) = self.runs.get_mut(&run) {
                live.unwanted = true;
            }
        }
    }

    fn demand(&self, run: &Run) -> Amount {
        self.model(&run.task.step).map_or(Amount::ZERO, Step::room)
    }

    /// The step as it was submitted.
    fn model(&self, key: &StepKey) -> Option<&Step> {
        self.state.jobs.get(&key.job)?.job.steps.get(key.step as usize)
    }

    fn forget(&mut self) {
        let gone = self.state.forget(self.unix, self.timings.status_retention);
        for id in gone {
            self.tickets.retain(|step, _| step.job != id);
            self.failed_on.retain(|step, _| step.job != id);
        }
    }

    /// Records the end of a try and gives its room back.
    fn end_run(&mut self, run: Run, end: End, saved: String) {
        let Some(live) = self.runs.remove(&run) else { return };
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.release(&run, &live.demand);
        }
        self.dirty = true;
        let took_ms = self.now.since(live.since).as_millis();
        log::info!(
            "event=task.ended task={run} worker={} end={end} took_ms={took_ms}",
            live.worker
        );
        let job = run.task.step.job;
        let was_final = self.phase_of(job).is_none_or(Phase::is_final);
        self.judge(&run, &live, end);
        self.record(Record::Ended { run, worker: live.worker, end, saved });
        if was_final {
            return;
        }
        if self.phase_of(job).is_some_and(Phase::is_final) {
            self.settle(job);
        } else {
            self.after_end(run, end);
        }
    }

    fn phase_of(&self, job: Id) -> Option<Phase> {
        self.state.jobs.get(&job).map(super::state::Entry::phase)
    }

    /// Draws the conclusions from an end that does not close its job.
    fn after_end(&mut self, run: Run, end: End) {
        let key = run.task.step;
        let Some(entry) = self.state.jobs.get(&key.job) else { return };
        let Some(model) = entry.job.steps.get(key.step as usize) else { return };
        if end == End::Done && !model.lasting {
            return;
        }
        if model.gang {
            self.break_gang(&run);
        }
        if end != End::Failed || self.may_try_again(&run) {
            return;
        }
        log::warn!("event=job.failed job={} task={run} reason=attempts", key.job);
        self.record(Record::Failed { job: key.job });
        self.settle(key.job);
        self.stop_job(key.job);
    }

    fn may_try_again(&self, run: &Run) -> bool {
        let key = run.task.step;
        let Some(entry) = self.state.jobs.get(&key.job) else { return false };
        let Some(model) = entry.job.steps.get(key.step as usize) else { return false };
        if model.lasting {
            return true;
        }
        let attempts = self.table.queue(&entry.job.queue).map_or(u32::MAX, |queue| queue.attempts);
        let Some(step) = self.state.step(&key) else { return false };
        let failures = if model.gang {
            u32::try_from(step.failed_tries.len()).unwrap_or(u32::MAX)
        } else {
            step.tasks[run.task.index as usize].failures
        };
        failures < attempts.max(1)
    }

    /// Learns from an end about the worker and the queue.
    fn judge(&mut self, run: &Run, live: &Live, end: End) {
        let step = run.task.step;
        // Lasting tasks may fail at any time; that says nothing of their worker.
        if self.model(&step).is_some_and(|model| model.lasting) {
            return;
        }
        let Some(worker) = self.workers.get_mut(&live.worker) else { return };
        match end {
            End::Done => {
                worker.note_success();
                self.learn(run, live);
            }
            End::Failed => {
                let quarantined = worker.note_failure(step.job, self.now);
                self.failed_on.entry(step).or_default().insert(live.worker.clone());
                if quarantined {
                    log::warn!("event=worker.quarantined worker={} reason=failures", live.worker);
                }
            }
            _ => {}
        }
    }

    fn learn(&mut self, run: &Run, live: &Live) {
        /// Weight of one run in the mean.
        const WEIGHT: f64 = 0.05;
        let Some(entry) = self.state.jobs.get(&run.task.step.job) else { return };
        let took = self.now.since(live.since).as_millis() as f64;
        let mean = self.run_times.entry(entry.job.queue.clone()).or_insert(took);
        *mean += (took - *mean) * WEIGHT;
    }

    /// Stops all tries of a job.
    fn stop_job(&mut self, job: Id) {
        let runs: Vec<Run> =
            self.runs.keys().filter(|run| run.task.step.job == job).copied().collect();
        for run in runs {
            self.stop_run(run);
        }
        self.tickets.retain(|step, _| step.job != job);
        self.dirty = true;
    }

    /// The members of a gang only work together: when one is gone, the others only take up room.
    fn break_gang(&mut self, gone: &Run) {
        let same = |run: &&Run| run.task.step == gone.task.step && run.number == gone.number;
        let members: Vec<Run> = self.runs.keys().filter(same).copied().collect();
        for member in members {
            self.stop_run(member);
        }
    }
}

impl Asker {
    fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.seen) < PRESENCE
    }
}

impl Live {
    fn new(worker: WorkerId, demand: Amount, stage: Stage, now: Instant) -> Self {
        Self {
            worker,
            demand,
            stage,
            tries: 0,
            doubtful: false,
            next_try: now,
            since: now,
            unwanted: false,
            progress: (0, now),
        }
    }
}
