//! State machine of a cell's owner: messages and the current time in, effects out, no I/O.
//!
//! Decisions are applied at once and written to the journal in batches, one append at a time.
//! Effects through which others could see a decision wait until its batch is stored: start
//! commands, answers to callers, final phases, and the permission for a worker to forget an end.

mod access;
mod activation;
mod active_run;
mod admission;
mod attempts;
mod backlog;
mod blocker;
mod calls;
mod cap_turns;
mod caps;
mod commands;
mod crash;
mod deferral;
mod end;
mod explain;
mod forget;
mod inactive;
mod job_bytes;
mod journal_queue;
mod lookup;
mod loss;
mod lost_records;
mod message;
mod outcome_stats;
mod overdue_query;
mod passed_over;
mod pending;
mod place;
mod policy_query;
mod polls;
mod preemption;
mod proxy;
mod proxy_shares;
mod query_workers;
mod rank;
mod recovery;
mod reservation;
mod roster;
mod run_times;
mod shares;
mod snapshot;
mod speeds;
mod start_limits;
mod succession;
mod timer_queue;
mod tracked_map;
mod view;
mod withheld;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub use active_run::{ActiveRun, Stage};
pub use journal_queue::{JournalQueue, StoreHealth};
pub use message::{Answer, Call, CallId, Effect, Message};
pub use policy_query::PolicyQuery;
pub use succession::Succession;
pub use tracked_map::TrackedMap;

use self::activation::ActivationLog;
use self::backlog::BacklogLog;
use self::cap_turns::CapTurns;
use self::caps::{CustomerUsage, HeldBack};
use self::deferral::Deferrals;
use self::explain::History;
use self::inactive::InactiveWorkers;
use self::job_bytes::JobBytes;
use self::lost_records::Doubts;
use self::pending::RoundJobs;
use self::proxy::PolicyProxy;
use self::run_times::RunTimes;
use self::shares::CustomerShares;
use self::snapshot::SnapshotSchedule;
use self::speeds::WorkerSpeeds;
use self::start_limits::StartLimitCache;
use self::timer_queue::TimerQueue;
use self::view::WorkerViews;
use super::Epoch;
use super::activity::OwnerActivity;
use super::admission::Admission;
use super::customer::Name;
use super::failure_rate::FailureRate;
use super::job::{Id, Job, Run, StepKey};
use super::peer::HandoverOffer;
use super::queue::QueueConfig;
use super::record::WorkerId;
use super::state::State;
use super::ticket::Tickets;
use super::timings::Timings;
use super::worker::Worker;
use crate::clock::{Instant, Unix};

/// Ratio of another instance's CPU to the owner's from which it should take the cell over. A change
/// of owner costs about 50 ms of placements.
const STRENGTH_RATIO: f64 = 1.4;

/// Time after a claim during which the cell is not handed to a stronger instance.
const MIN_TENURE: Duration = Duration::from_millis(1_500);

/// Interval between two removals of ended jobs whose retention is over.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two checks for expired leases. Leases last for seconds.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State of a cell's owner.
pub struct Machine {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Durations from the site's settings.
    pub timings: Timings,
    /// State of the cell, as the journal's records define it.
    pub state: State,
    /// Configuration in force.
    pub config: Rc<QueueConfig>,
    /// Active workers, which are polled, by name of their incarnation.
    pub workers: TrackedMap<WorkerId, Worker>,
    /// The other listed workers.
    inactive: InactiveWorkers,
    activation_log: ActivationLog,
    /// Whether steps wait for which too few active workers have capacity.
    lacks_workers: bool,
    /// Whether all pages of the list have been read.
    is_list_complete: bool,
    /// Position of the next waiting step for which workers may be activated.
    next_examined: usize,
    /// When workers may next be activated for waiting steps.
    next_extension: Instant,
    /// Attempts that are not known to have ended.
    pub runs: TrackedMap<Run, ActiveRun>,
    /// Resources that each customer's attempts use.
    usage: CustomerUsage,
    shares: CustomerShares,
    /// Steps that the last round did not consider because of caps, by customer.
    held_back: BTreeMap<Name, HeldBack>,
    /// Turns of gangs that wait for the caps of their customers.
    cap_turns: HashMap<Name, CapTurns>,
    admission: Admission,
    /// Ended attempts and refused calls, for explanations.
    history: History,
    /// Answers of the policy service, by step.
    pub tickets: BTreeMap<StepKey, Tickets>,
    /// Mean run time of a task by queue, in milliseconds.
    pub mean_run_times_ms: BTreeMap<String, f64>,
    run_times: RunTimes,
    start_limit_cache: StartLimitCache,
    /// Mean share of the queried workers that may run a step, by queue.
    pub eligible_shares: BTreeMap<String, f64>,
    speeds: WorkerSpeeds,
    claim: u64,
    journal: JournalQueue,
    /// New jobs that are delayed by a slow store.
    delayed_jobs: Vec<(CallId, Job)>,
    /// Whether new jobs are refused because the owner's thread is overloaded.
    overloaded: bool,
    job_bytes: JobBytes,
    claimed: Instant,
    /// Worker incarnations that have ended but may still be listed.
    dead_workers: BTreeSet<WorkerId>,
    snapshots: SnapshotSchedule,
    /// Jobs of which the store has removed records that no snapshot contains.
    doubts: Option<Doubts>,
    /// Jobs whose final phase is not stored yet.
    unstored_ends: BTreeSet<Id>,
    round_jobs: RoundJobs,
    /// Steps that rules pass over although they could run.
    deferrals: Deferrals,
    backlog: BacklogLog,
    failure_rate: FailureRate,
    /// Workers on which tasks of a step have failed.
    failed_workers: BTreeMap<StepKey, BTreeSet<WorkerId>>,
    /// Attempts of tasks that are suspected of crashing their workers.
    suspects: BTreeSet<Run>,
    /// When each step may next preempt tasks.
    next_preemption: BTreeMap<StepKey, Instant>,
    /// When each worker is to be polled.
    polls: TimerQueue<WorkerId>,
    /// When the next command of each attempt is to be sent.
    commands: TimerQueue<Run>,
    /// Views of the workers for placement rounds.
    views: WorkerViews,
    /// Attempts of earlier owners on workers that have not been listed yet.
    unlisted_runs: BTreeSet<Run>,
    /// Instances that follow the owner, by address.
    proxies: BTreeMap<SocketAddr, PolicyProxy>,
    /// Address of the instance that runs this owner, which is among them.
    own_address: Option<SocketAddr>,
    succession: Succession,
    /// Policy queries in flight, by number.
    queries: BTreeMap<u64, PolicyQuery>,
    last_query: u64,
    effects: Vec<Effect>,
    next_preemptible_scan: Instant,
    next_lease_check: Instant,
    next_round: Instant,
    /// When the next round starts even if nothing changes.
    round_by: Instant,
    next_forget: Instant,
    /// Whether something has changed that may let a task be placed.
    needs_placement: bool,
    now: Instant,
    unix: Unix,
}

impl Machine {
    /// Creates the state machine of an owner that claimed the cell at `now`, with sequence number
    /// `claim` of its epoch, after it had read `state` from the journal up to offset `end`.
    pub fn new(
        state: State,
        claim: u64,
        end: u64,
        config: Rc<QueueConfig>,
        timings: Timings,
        now: Instant,
        unix: Unix,
    ) -> Self {
        let mut machine = Self {
            epoch: state.epoch,
            timings,
            state,
            config,
            workers: TrackedMap::default(),
            inactive: InactiveWorkers::default(),
            activation_log: ActivationLog::default(),
            lacks_workers: false,
            is_list_complete: false,
            next_examined: 0,
            next_extension: now,
            runs: TrackedMap::default(),
            usage: CustomerUsage::default(),
            shares: CustomerShares::default(),
            held_back: BTreeMap::new(),
            cap_turns: HashMap::new(),
            admission: Admission::default(),
            history: History::default(),
            tickets: BTreeMap::new(),
            mean_run_times_ms: BTreeMap::new(),
            run_times: RunTimes::default(),
            start_limit_cache: StartLimitCache::default(),
            eligible_shares: BTreeMap::new(),
            speeds: WorkerSpeeds::default(),
            claim,
            journal: JournalQueue::new(claim + 1, end, now),
            delayed_jobs: Vec::new(),
            overloaded: false,
            job_bytes: JobBytes::default(),
            claimed: now,
            dead_workers: BTreeSet::new(),
            snapshots: SnapshotSchedule::new(timings.retention, now),
            doubts: None,
            unstored_ends: BTreeSet::new(),
            round_jobs: RoundJobs::new(now),
            deferrals: Deferrals::default(),
            backlog: BacklogLog::new(now),
            failure_rate: FailureRate::default(),
            failed_workers: BTreeMap::new(),
            suspects: BTreeSet::new(),
            next_preemption: BTreeMap::new(),
            polls: TimerQueue::default(),
            commands: TimerQueue::default(),
            views: WorkerViews::default(),
            unlisted_runs: BTreeSet::new(),
            proxies: BTreeMap::new(),
            own_address: None,
            succession: Succession::default(),
            queries: BTreeMap::new(),
            last_query: 0,
            effects: Vec::new(),
            next_preemptible_scan: now,
            next_lease_check: now,
            next_round: now,
            round_by: now,
            next_forget: now,
            needs_placement: true,
            now,
            unix,
        };
        machine.count_job_bytes();
        machine.recover_runs();
        machine.recover_shares();
        machine.recover_started_work();
        machine
    }

    /// Handles one message.
    pub fn handle(&mut self, message: Message, now: Instant, unix: Unix) {
        self.advance(now, unix);
        match message {
            Message::Call { id, call, caller } => self.call(id, call, &caller),
            Message::Appended { sequence, sent, outcome } => self.appended(sequence, sent, outcome),
            Message::Polled { worker, sent, outcome } => self.poll_answered(&worker, sent, outcome),
            Message::Started { worker, run, outcome } => self.start_answered(&worker, run, outcome),
            Message::Stopped { worker, run, outcome } => self.stop_answered(&worker, run, outcome),
            Message::PolicyAnswered { query, eligibility } => {
                self.policy_answered(query, eligibility.as_ref())
            }
            Message::WorkersChanged(roster) => self.update_workers(roster),
            Message::ConfigChanged(config) => self.configure(config),
            Message::Overloaded(overloaded) => self.overloaded = overloaded,
            Message::LearnedRead(record) => self.adopt_learned(*record),
            Message::SnapshotRequested => self.snapshots.request(),
            Message::SnapshotSaved(is_saved) => self.snapshot_saved(is_saved),
            Message::InstanceSeen { peer, cpu_millis, domain } => {
                self.note_instance(peer, cpu_millis, domain)
            }
        }
    }

    /// Does what is due and returns all effects since the last call.
    pub fn step(&mut self, now: Instant, unix: Unix) -> Vec<Effect> {
        self.step_by_activity(now, unix, &mut |_| {})
    }

    /// Like [`Machine::step`], and calls `done` after each activity.
    pub fn step_by_activity(
        &mut self,
        now: Instant,
        unix: Unix,
        done: &mut dyn FnMut(OwnerActivity),
    ) -> Vec<Effect> {
        self.advance(now, unix);
        self.admit_delayed_jobs();
        done(OwnerActivity::Call);
        self.rank_instances();
        done(OwnerActivity::Watch);
        self.send_commands();
        done(OwnerActivity::Command);
        self.send_polls();
        done(OwnerActivity::Poll);
        if self.now >= self.next_lease_check {
            self.next_lease_check = now.after(LEASE_CHECK_INTERVAL);
            self.expire_leases();
            self.settle_doubts();
            self.remove_unlisted_workers();
            self.adjust_active_workers();
            self.refresh_proportions();
        }
        if self.now >= self.next_forget {
            self.next_forget = now.after(FORGET_INTERVAL);
            self.forget();
            self.count_job_bytes();
            self.report_unsaved();
        }
        done(OwnerActivity::Upkeep);
        if self.now >= self.next_round && (self.needs_placement || self.now >= self.round_by) {
            self.place();
            self.log_passed_over();
            done(OwnerActivity::Placement);
        }
        self.take_snapshot_when_due();
        self.flush();
        done(OwnerActivity::Append);
        self.take_effects()
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// How fast the store completes appends.
    pub fn store_health(&self, now: Instant) -> StoreHealth {
        self.journal.health(now)
    }

    /// Whether another instance should take the cell over from this owner, which may use
    /// `cpu_millis` thousandths of a core.
    pub fn offer(&self, cpu_millis: u32, now: Instant) -> HandoverOffer {
        match self.store_health(now) {
            StoreHealth::Stuck => HandoverOffer::Anyone,
            _ if self.stronger_instance_exists(cpu_millis, now) => HandoverOffer::Anyone,
            StoreHealth::Degraded => HandoverOffer::IfFaster,
            StoreHealth::Good => HandoverOffer::NotOffered,
        }
    }

    /// Journal offset after the last batch that is known to be stored.
    pub const fn journal_end(&self) -> u64 {
        self.journal.end()
    }

    /// Whether an instance is present that may use much more CPU than `cpu_millis`.
    fn stronger_instance_exists(&self, cpu_millis: u32, now: Instant) -> bool {
        let settled = now.since(self.claimed) > MIN_TENURE;
        settled && f64::from(self.succession.strongest) > f64::from(cpu_millis) * STRENGTH_RATIO
    }

    fn advance(&mut self, now: Instant, unix: Unix) {
        self.now = self.now.max(now);
        self.unix = unix;
    }
}
