//! The owner's decisions: state, message and present time in, effects out.
//!
//! What is decided is applied at once and written to the journal in batches, one under way at a
//! time. Whatever others could see of a decision waits until its batch is stored: starts, answers to
//! callers, final phases, and the leave that a worker gets to forget an end.

mod advice;
mod agenda;
mod asker;
mod askers;
mod backlog;
mod calls;
mod commit;
mod crash;
mod end;
mod field;
mod inheritance;
mod judgement;
mod lack;
mod live;
mod looks;
mod loss;
mod message;
mod orders;
mod place;
mod preemption;
mod rank;
mod reservation;
mod roster;
mod succession;
mod tracked;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use advice::Question;
pub use commit::{Commit, Health};
pub use live::{Live, Stage};
pub use message::{Answer, Call, CallId, Effect, Message};
pub use succession::Succession;
pub use tracked::Tracked;

use self::agenda::Agenda;
use self::asker::Asker;
use self::backlog::Backlog;
use self::field::Fields;
use self::waiting::Hopeful;
use super::Epoch;
use super::activity::OwnerActivity;
use super::job::{Id, Job, Phase, Run, Step, StepKey};
use super::peer::HandoverOffer;
use super::queue::QueueConfig;
use super::record::WorkerId;
use super::state::State;
use super::ticket::Tickets;
use super::timings::Timings;
use super::worker::Worker;
use crate::clock::{Instant, Unix};
use crate::resource::Amount;

/// Times the owner's processor from which another instance should own the cell: a change of owner
/// costs about 50 ms of placements.
const MUCH_STRONGER: f64 = 1.4;

/// Time after a claim in which the cell stays where it is.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);

/// Rest between two looks for ended jobs to forget.
const FORGET_REST: Duration = Duration::from_secs(1);

/// Rest between two looks for leases that have run out, which take seconds.
const LAPSE_REST: Duration = Duration::from_millis(100);

/// The owner of a cell.
pub struct Machine {
    /// Its epoch.
    pub epoch: Epoch,
    /// Spans that the site sets.
    pub timings: Timings,
    /// What the journal adds up to.
    pub state: State,
    /// The configuration in force.
    pub table: Rc<QueueConfig>,
    /// Workers by name.
    pub workers: Tracked<WorkerId, Worker>,
    /// Tries that are not known to be over.
    pub runs: Tracked<Run, Live>,
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
    hopeful: Hopeful,
    backlog: Backlog,
    failed_on: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    /// Tries of tasks that may be what crashes their workers.
    suspects: BTreeSet<Run>,
    /// When a step may next look for tasks to stop.
    preempted: BTreeMap<StepKey, Instant>,
    /// When each worker is to be looked at.
    looks: Agenda<WorkerId>,
    /// When the next order of each try is to be sent.
    orders: Agenda<Run>,
    /// Workers as rounds of placement see them.
    fields: Fields,
    /// Tries of earlier owners on workers that no list has named yet.
    unlisted: BTreeSet<Run>,
    askers: BTreeMap<SocketAddr, Asker>,
    succession: Succession,
    questions: BTreeMap<u64, Question>,
    last_question: u64,
    effects: Vec<Effect>,
    next_yielding: Instant,
    next_lapse: Instant,
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
        table: Rc<QueueConfig>,
        timings: Timings,
        now: Instant,
        unix: Unix,
    ) -> Self {
        let mut machine = Self {
            epoch: state.epoch,
            timings,
            state,
            table,
            workers: Tracked::default(),
            runs: Tracked::default(),
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
            hopeful: Hopeful::new(now),
            backlog: Backlog::new(now),
            failed_on: BTreeMap::new(),
            suspects: BTreeSet::new(),
            preempted: BTreeMap::new(),
            looks: Agenda::default(),
            orders: Agenda::default(),
            fields: Fields::default(),
            unlisted: BTreeSet::new(),
            askers: BTreeMap::new(),
            succession: Succession::default(),
            questions: BTreeMap::new(),
            last_question: 0,
            effects: Vec::new(),
            next_yielding: now,
            next_lapse: now,
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
            Message::Present { peer, strength, domain } => {
                let new = || Asker::new(strength, domain, now);
                self.askers.entry(peer).or_insert_with(new).seen = now;
            }
        }
    }

    /// Does what is due and returns all effects since the last call.
    pub fn step(&mut self, now: Instant, unix: Unix) -> Vec<Effect> {
        self.step_by_duty(now, unix, &mut |_| {})
    }

    /// Does what is due as [`Machine::step`] does, and calls `done` after each duty.
    pub fn step_by_duty(
        &mut self,
        now: Instant,
        unix: Unix,
        done: &mut dyn FnMut(OwnerActivity),
    ) -> Vec<Effect> {
        self.advance(now, unix);
        self.review_admission();
        done(OwnerActivity::Call);
        self.rank_instances();
        done(OwnerActivity::Watch);
        self.send_orders();
        done(OwnerActivity::Command);
        self.look_around();
        done(OwnerActivity::Poll);
        if self.now >= self.next_lapse {
            self.next_lapse = now.after(LAPSE_REST);
            self.give_up_lapsed();
            self.drop_unlisted();
        }
        if self.now >= self.next_forget {
            self.next_forget = now.after(FORGET_REST);
            self.forget();
        }
        done(OwnerActivity::Upkeep);
        if self.now >= self.next_place && (self.dirty || self.now >= self.place_by) {
            self.place();
            done(OwnerActivity::Placement);
        }
        self.flush();
        done(OwnerActivity::Append);
        std::mem::take(&mut self.effects)
    }

    /// How the store takes what is decided.
    pub fn store_health(&self, now: Instant) -> Health {
        self.commit.health(now)
    }

    /// Whether an owner of `strength` thousandths of a core should be relieved.
    pub fn offer(&self, strength: u32, now: Instant) -> HandoverOffer {
        match self.store_health(now) {
            Health::Stuck => HandoverOffer::Anyone,
            _ if self.is_outclassed(strength, now) => HandoverOffer::Anyone,
            Health::Struggling => HandoverOffer::IfFaster,
            Health::Good => HandoverOffer::NotOffered,
        }
    }

    /// Offset after the last batch that is known to be stored.
    pub const fn journal_end(&self) -> u64 {
        self.commit.end()
    }

    /// Whether an instance is there that is much stronger than `strength`.
    fn is_outclassed(&self, strength: u32, now: Instant) -> bool {
        let settled = now.since(self.claimed) > SETTLED_AFTER;
        settled && f64::from(self.succession.strongest) > f64::from(strength) * MUCH_STRONGER
    }

    fn advance(&mut self, now: Instant, unix: Unix) {
        self.now = self.now.max(now);
        self.unix = unix;
    }

    fn demand(&self, run: &Run) -> Amount {
        self.model(&run.task.step).map_or(Amount::ZERO, Step::allocation)
    }

    /// The step as it was submitted.
    fn model(&self, key: &StepKey) -> Option<&Step> {
        self.state.jobs.get(&key.job)?.job.steps.get(key.step as usize)
    }

    fn forget(&mut self) {
        let gone = self.state.remove_expired(self.unix, self.timings.status_retention);
        for id in gone {
            remove_job(&mut self.tickets, id);
            remove_job(&mut self.failed_on, id);
            remove_job(&mut self.preempted, id);
        }
    }

    /// Tries of a job that are not known to be over.
    fn runs_of_job(&self, job: Id) -> impl Iterator<Item = &Run> {
        let from = self.runs.range(Run::first(StepKey::first(job))..);
        from.map(|(run, _)| run).take_while(move |run| run.task.step.job == job)
    }

    /// Tries of a step that are not known to be over, with what is known of them.
    fn runs_of_step(&self, step: StepKey) -> impl Iterator<Item = (&Run, &Live)> {
        self.runs.range(Run::first(step)..).take_while(move |(run, _)| run.task.step == step)
    }

    fn phase_of(&self, job: Id) -> Option<Phase> {
        self.state.jobs.get(&job).map(super::state::JobState::phase)
    }
}

/// Drops what is kept of a job's steps.
fn remove_job<T>(kept: &mut BTreeMap<StepKey, T>, job: Id) {
    let steps = kept.range(StepKey::first(job)..).map(|(step, _)| *step);
    let steps: Vec<StepKey> = steps.take_while(|step| step.job == job).collect();
    for step in steps {
        kept.remove(&step);
    }
}
