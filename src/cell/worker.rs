//! A worker as the owner of its cell knows it: what it has, what is reserved on it, and whether it
//! can be trusted with more.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::command_backoff::CommandBackoff;
use super::dependencies::WorkerInfo;
use super::job::Run;
use super::lease::Lease;
use super::preempt::Victim;
use super::record::WorkerId;
use crate::clock::Instant;
use crate::resource::Amount;

/// Failures in a row, of different jobs and without a success between, after which a worker gets no
/// new work for a while. Jobs that can never be done fail two to four times on sound workers.
const FAILURES_TO_QUARANTINE: usize = 3;

/// Time without new work; the sites' failing workers are sound again after 5 to 8 s.
const QUARANTINE: Duration = Duration::from_secs(4);

/// Time without new work after a worker refused an order: about one look.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// Looks in a row without an answer after which nothing new is placed on a worker.
const MISSED_POLLS_LIMIT: u32 = 1;

/// A task that may be stopped for steps of queues that go before its own.
#[derive(Clone, Debug)]
pub struct PreemptibleRun {
    /// Priority of its queue.
    pub priority: u32,
    /// The try and its room.
    pub victim: Victim,
}

/// A worker of the cell.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name of this life of it.
    pub id: WorkerId,
    /// What the list says of it.
    pub info: Rc<WorkerInfo>,
    /// When the list last told of it.
    pub info_at: Instant,
    /// Since when the list has not named it.
    pub unlisted_since: Option<Instant>,
    /// Its clock and lease.
    pub lease: Lease,
    /// Whether it has answered under this owner's epoch, so that it refuses earlier owners.
    pub fenced: bool,
    /// Latest end that is in the journal; the worker may forget it.
    pub last_recorded_end: u64,
    /// Latest end that it has told of.
    pub last_reported_end: u64,
    /// Room taken by the tries on it.
    pub allocated: Amount,
    /// Tries placed on it and not known to be over.
    pub runs: BTreeSet<Run>,
    /// Whether a look is out, since when.
    pub poll_sent_at: Option<Instant>,
    /// When the next look is due.
    pub next_poll: Instant,
    /// Looks in a row without an answer.
    pub missed_polls: u32,
    /// When it stopped answering looks, as early as the first unanswered look shows.
    pub unresponsive_since: Option<Instant>,
    /// Jobs whose tasks failed here since the last one that went well.
    pub failures: BTreeSet<super::job::Id>,
    /// Tasks on it that may be stopped for more urgent ones, as of the last look for such.
    pub preemptible: Rc<[PreemptibleRun]>,
    /// Orders that it left without an answer.
    pub command_backoff: CommandBackoff,
    /// Until when it gets no new work because of failures.
    pub quarantined_until: Option<Instant>,
}

impl Worker {
    /// A worker that the list names and that has not been called yet; `lease` is granted with each look.
    pub fn new(id: WorkerId, listed: Rc<WorkerInfo>, lease: Duration, now: Instant) -> Self {
        Self {
            id,
            info: listed,
            info_at: now,
            unlisted_since: None,
            lease: Lease::new(lease),
            fenced: false,
            last_recorded_end: 0,
            last_reported_end: 0,
            allocated: Amount::ZERO,
            runs: BTreeSet::new(),
            poll_sent_at: None,
            next_poll: now,
            missed_polls: 0,
            unresponsive_since: None,
            failures: BTreeSet::new(),
            preemptible: Rc::default(),
            command_backoff: CommandBackoff::default(),
            quarantined_until: None,
        }
    }

    /// Address at which it takes orders.
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }

    /// Whether new work may go there.
    pub fn accepts_tasks(&self, now: Instant) -> bool {
        let quarantined = self.quarantined_until.is_some_and(|until| now < until);
        self.fenced
            && self.lease.is_clock_known()
            && self.unlisted_since.is_none()
            && !self.info.draining
            && self.missed_polls < MISSED_POLLS_LIMIT
            && !quarantined
            && !self.command_backoff.is_active(now)
    }

    /// The next moment after `now` at which a rest of it, or what is remembered of one, is over.
    pub fn next_backoff_change(&self, now: Instant) -> Option<Instant> {
        let ends = self.quarantined_until.into_iter().chain(self.command_backoff.deadlines());
        ends.filter(|end| *end > now).min()
    }

    /// Room that nothing is reserved for.
    pub fn free_capacity(&self) -> Amount {
        self.info.capacity.saturating_sub(&self.allocated)
    }

    /// Whether what the list said of its room is no older than `known_for`.
    ///
    /// Guards against room that shrinks while the list cannot be read: what waited until then would go out
    /// by the room before, all at once.
    pub fn is_capacity_current(&self, known_for: Option<Duration>, now: Instant) -> bool {
        self.capacity_valid_until(known_for).is_none_or(|until| now <= until)
    }

    /// Last moment at which its room counts as known; `None` for no end.
    pub fn capacity_valid_until(&self, known_for: Option<Duration>) -> Option<Instant> {
        known_for.map(|known_for| self.info_at.after(known_for))
    }

    /// Whether more is reserved than it has, since its room has shrunk.
    pub fn is_overcommitted(&self) -> bool {
        !self.allocated.fits(&self.info.capacity)
    }

    /// Reserves room for a try.
    pub fn allocate(&mut self, run: Run, demand: &Amount) {
        if self.runs.insert(run) {
            self.allocated = self.allocated.saturating_add(demand);
        }
    }

    /// Gives the room of a try back.
    pub fn release(&mut self, run: &Run, demand: &Amount) {
        if self.runs.remove(run) {
            self.allocated = self.allocated.saturating_sub(demand);
        }
    }

    /// Places nothing there for a moment, after it refused an order.
    pub fn pause_after_refusal(&mut self, now: Instant) {
        self.pause_until(now.after(REFUSAL_PAUSE));
    }

    /// Places nothing there until `end`, nor before the end of an earlier rest.
    fn pause_until(&mut self, end: Instant) {
        self.quarantined_until = self.quarantined_until.max(Some(end));
    }

    /// Notes a task that went well.
    pub fn record_success(&mut self) {
        self.failures.clear();
    }

    /// Notes a failed task; `true` when the worker is quarantined for it.
    pub fn record_failure(&mut self, job: super::job::Id, now: Instant) -> bool {
        self.failures.insert(job);
        if self.failures.len() < FAILURES_TO_QUARANTINE {
            return false;
        }
        self.failures.clear();
        self.pause_until(now.after(QUARANTINE));
        true
    }
}
