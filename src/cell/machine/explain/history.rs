//! What the owner remembers of ended attempts and refused calls, within fixed bounds.
//!
//! The journal holds no outcome of earlier attempts, and a job drops its details when it ends. The
//! history is lost with the owner.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use derive_more::Display;

use crate::cell::customer::Name;
use crate::cell::job::{Id, Run, RunOutcome, StepKey};
use crate::cell::record::WorkerId;
use crate::clock::{Instant, millis};

/// Jobs whose attempts are remembered: those that a busy site accepts and keeps in two minutes.
const MAX_JOBS: usize = 12_288;

/// Attempts that are remembered over all jobs; they take 3.4 MB at most.
const MAX_ATTEMPTS: usize = 32_768;
const _: () = assert!(size_of::<PastAttempt>() <= 104);

/// Attempts that are remembered of one job.
pub(in crate::cell::machine) const MAX_JOB_ATTEMPTS: usize = 16;

/// Refused calls that are remembered.
const MAX_REFUSALS: usize = 4_096;

/// Customers and queues with counters of their own.
const MAX_COUNTED: usize = 2_048;

/// Number of outcomes of an attempt.
const OUTCOMES: usize = 10;

/// All outcomes, in the order of their discriminants.
const ALL_OUTCOMES: [RunOutcome; OUTCOMES] = [
    RunOutcome::Succeeded,
    RunOutcome::Failed,
    RunOutcome::Stopped,
    RunOutcome::LeaseExpired,
    RunOutcome::GangBroken,
    RunOutcome::GangTimeout,
    RunOutcome::NeverStarted,
    RunOutcome::WorkerLost,
    RunOutcome::WorkerCrashed,
    RunOutcome::WorkerCrashedAtStart,
];

/// Why the owner refused a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::cell::machine) enum RefusalReason {
    /// The owner's thread has more work than time.
    #[display("overloaded")]
    Overloaded,
    /// The store does not complete appends.
    #[display("store")]
    Store,
    /// A gang is wider than the customer's cap.
    #[display("above_cap")]
    AboveCap,
    /// The key is not valid by the owner's configuration.
    #[display("key")]
    Key,
    /// Another customer's job has the ID.
    #[display("id_in_use")]
    IdInUse,
    /// The instance that forwarded the call is of an earlier version and has not checked the key.
    #[display("unchecked")]
    Unchecked,
    /// The job could not end in time.
    #[display("late")]
    Late,
    /// The open jobs take all the memory that they may take.
    #[display("memory")]
    Memory,
}

impl RefusalReason {
    pub(super) const ALL: [Self; 8] = [
        Self::Overloaded,
        Self::Store,
        Self::AboveCap,
        Self::Key,
        Self::IdInUse,
        Self::Unchecked,
        Self::Late,
        Self::Memory,
    ];

    pub(super) const fn cause(self) -> &'static str {
        match self {
            Self::Overloaded => "the owner's thread had more work than time (owner.overload)",
            Self::Store => "the store did not complete appends",
            Self::AboveCap => "a gang of the job is wider than its customer's cap",
            Self::Key => "the caller's key was not valid by the owner's configuration",
            Self::IdInUse => "another customer's job has this ID",
            Self::Unchecked => "the instance was of an earlier version and had not checked the key",
            Self::Late => "the job could not have ended within three times its objective",
            Self::Memory => "the open jobs took all the memory that they may take",
        }
    }
}

/// An ended attempt.
#[derive(Clone, Debug)]
pub(super) struct PastAttempt {
    pub(super) run: Run,
    pub(super) worker: WorkerId,
    pub(super) outcome: RunOutcome,
    pub(super) took_ms: u32,
    pub(super) ended: Instant,
    pub(super) preempted_for: Option<StepKey>,
}

/// What is remembered of one job.
#[derive(Clone, Debug, Default)]
pub(super) struct JobHistory {
    counts: [u32; OUTCOMES],
    pub(super) attempts: Vec<PastAttempt>,
    pub(super) preemptions: u32,
    /// Time that the job took and its objective, if it succeeded.
    pub(super) end: Option<(u64, u64)>,
}

/// A refused call.
#[derive(Clone, Debug)]
pub(super) struct RefusedCall {
    pub(super) reason: RefusalReason,
    pub(super) customer: Option<Name>,
    pub(super) at: Instant,
    pub(super) count: u32,
    pub(super) retry_after_ms: Option<u64>,
}

/// Counters of a customer or a queue since the owner took office.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) refused: u64,
    pub(super) on_time: u64,
    pub(super) late: u64,
}

/// History of an owner.
#[derive(Debug)]
pub(in crate::cell::machine) struct History {
    jobs: HashMap<Id, JobHistory>,
    job_order: Recent<Id>,
    attempts: usize,
    /// Attempts that are being stopped for a step.
    preempted: BTreeMap<Run, StepKey>,
    refused: HashMap<Id, RefusedCall>,
    refused_order: Recent<Id>,
    pub(super) refusals: [u64; RefusalReason::ALL.len()],
    /// Jobs that were accepted after they had been refused.
    pub(super) returned: u64,
    pub(super) customers: HashMap<Name, Counts>,
    pub(super) queues: BTreeMap<String, Counts>,
}

impl Default for History {
    fn default() -> Self {
        Self {
            jobs: HashMap::new(),
            job_order: Recent::new(MAX_JOBS),
            attempts: 0,
            preempted: BTreeMap::new(),
            refused: HashMap::new(),
            refused_order: Recent::new(MAX_REFUSALS),
            refusals: Default::default(),
            returned: 0,
            customers: HashMap::new(),
            queues: BTreeMap::new(),
        }
    }
}

impl JobHistory {
    /// Ended attempts by outcome.
    pub(super) fn counts(&self) -> impl Iterator<Item = (RunOutcome, u32)> + '_ {
        ALL_OUTCOMES.into_iter().zip(self.counts).filter(|(_, count)| *count > 0)
    }

    /// Adds an attempt, in the place of a successful one if there are too many. Returns whether
    /// one more is kept.
    fn add(&mut self, attempt: PastAttempt) -> bool {
        self.counts[attempt.outcome as usize] += 1;
        self.preemptions += u32::from(attempt.preempted_for.is_some());
        if self.attempts.len() < MAX_JOB_ATTEMPTS {
            self.attempts.push(attempt);
            return true;
        }
        if attempt.outcome != RunOutcome::Succeeded {
            let succeeded = |old: &PastAttempt| old.outcome == RunOutcome::Succeeded;
            let replaced = self.attempts.iter().position(succeeded).unwrap_or(0);
            self.attempts.remove(replaced);
            self.attempts.push(attempt);
        }
        false
    }
}

impl History {
    pub(super) fn of(&self, job: &Id) -> Option<&JobHistory> {
        self.jobs.get(job)
    }

    pub(super) fn refusal(&self, job: &Id) -> Option<&RefusedCall> {
        self.refused.get(job)
    }

    fn entry(&mut self, job: Id) -> &mut JobHistory {
        if !self.jobs.contains_key(&job)
            && let Some(oldest) = self.job_order.push(job)
        {
            self.forget(&oldest);
        }
        self.jobs.entry(job).or_default()
    }

    fn forget(&mut self, job: &Id) {
        let gone = self.jobs.remove(job);
        self.attempts -= gone.map_or(0, |gone| gone.attempts.len());
    }

    /// Notes that an attempt is stopped for a more urgent step.
    pub(in crate::cell::machine) fn note_preempted(&mut self, run: Run, step: StepKey) {
        self.preempted.insert(run, step);
    }

    /// Notes the end of an attempt.
    pub(in crate::cell::machine) fn note_end(
        &mut self,
        run: Run,
        worker: &WorkerId,
        outcome: RunOutcome,
        took: Duration,
        now: Instant,
    ) {
        let preempted_for = self.preempted.remove(&run);
        let preempted_for = preempted_for.filter(|_| outcome == RunOutcome::Stopped);
        let took_ms = u32::try_from(millis(took)).unwrap_or(u32::MAX);
        let worker = worker.clone();
        let attempt = PastAttempt { run, worker, outcome, took_ms, ended: now, preempted_for };
        let is_kept = self.entry(run.task.step.job).add(attempt);
        self.attempts += usize::from(is_kept);
        while self.attempts > MAX_ATTEMPTS {
            let Some(oldest) = self.job_order.pop() else { break };
            self.forget(&oldest);
        }
    }

    /// Notes that a job has succeeded after `took_ms`.
    pub(in crate::cell::machine) fn note_success(
        &mut self,
        job: Id,
        queue: &str,
        customer: Option<&Name>,
        took_ms: u64,
        objective_ms: u64,
    ) {
        self.entry(job).end = Some((took_ms, objective_ms));
        let on_time = took_ms <= objective_ms;
        let count = |counts: &mut Counts| {
            counts.on_time += u64::from(on_time);
            counts.late += u64::from(!on_time);
        };
        if self.queues.len() < MAX_COUNTED || self.queues.contains_key(queue) {
            count(self.queues.entry(queue.to_owned()).or_default());
        }
        if let Some(name) = customer {
            self.count_customer(name, count);
        }
    }

    /// Notes a refused call about a job.
    pub(in crate::cell::machine) fn note_refusal(
        &mut self,
        job: Id,
        customer: Option<&Name>,
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        now: Instant,
    ) {
        self.refusals[reason as usize] += 1;
        if let Some(name) = customer {
            self.count_customer(name, |counts| counts.refused += 1);
        }
        let count = match self.refused.get(&job) {
            Some(before) => before.count.saturating_add(1),
            None => {
                if let Some(oldest) = self.refused_order.push(job) {
                    self.refused.remove(&oldest);
                }
                1
            }
        };
        let customer = customer.cloned();
        self.refused.insert(job, RefusedCall { reason, customer, at: now, count, retry_after_ms });
    }

    /// Notes that a job was accepted.
    pub(in crate::cell::machine) fn note_accepted(&mut self, job: &Id) {
        self.returned += u64::from(self.refused.contains_key(job));
    }

    fn count_customer(&mut self, name: &Name, count: impl FnOnce(&mut Counts)) {
        if let Some(counts) = self.customers.get_mut(name) {
            count(counts);
        } else if self.customers.len() < MAX_COUNTED {
            count(self.customers.entry(name.clone()).or_default());
        }
    }
}

/// Items that are kept in the order of their arrival, up to a limit.
#[derive(Clone, Debug)]
struct Recent<T> {
    items: VecDeque<T>,
    limit: usize,
}

impl<T> Recent<T> {
    const fn new(limit: usize) -> Self {
        Self { items: VecDeque::new(), limit }
    }

    /// Adds an item; returns the oldest one if there are too many.
    fn push(&mut self, item: T) -> Option<T> {
        self.items.push_back(item);
        if self.items.len() > self.limit { self.items.pop_front() } else { None }
    }

    /// Removes the oldest item.
    fn pop(&mut self) -> Option<T> {
        self.items.pop_front()
    }
}
