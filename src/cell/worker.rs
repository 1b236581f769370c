//! A worker as seen by the owner of its cell: its capacity, its allocations and its health.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::command_backoff::CommandBackoff;
use super::dependencies::{WorkerError, WorkerInfo};
use super::job::Run;
use super::lease::Lease;
use super::preempt::Victim;
use super::record::WorkerId;
use super::responsiveness::Responsiveness;
use super::timings::{COMMAND_RETRY, POLL_RETRY};
use crate::clock::Instant;
use crate::planted::{Fault, is_planted};
use crate::resource::Amount;

/// Duration of the quarantine. The sites' failing workers are healthy again after 5 to 8 s.
const QUARANTINE: Duration = Duration::from_secs(4);

/// Pause in new tasks after a worker refused a command: about one poll.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// Maximum delay before another call to a worker that has refused a connection. The delay begins with
/// that of an unanswered poll and doubles with each further refusal, which bounds what is spent on a
/// worker that refuses all of them.
const MAX_REFUSED_RETRY: Duration = Duration::from_millis(1_200);

/// Number of consecutive unanswered polls after which no new tasks are placed on a worker.
const MISSED_POLLS_LIMIT: u32 = 1;

/// A run that may be preempted for steps of queues with a higher priority.
#[derive(Clone, Debug)]
pub struct PreemptibleRun {
    /// Priority of its queue.
    pub priority: u32,
    /// The run and its resources.
    pub victim: Victim,
}

/// A worker of the cell.
#[derive(Clone, Debug)]
pub struct Worker {
    /// ID of this incarnation.
    pub id: WorkerId,
    /// Its entry in the list.
    pub info: Rc<WorkerInfo>,
    /// Time of the list's latest information about it.
    pub info_at: Instant,
    /// Time since which the list has not contained it.
    pub unlisted_since: Option<Instant>,
    /// Its clock and lease.
    pub lease: Lease,
    /// Whether it has answered a call of this owner's epoch, so that it refuses earlier owners.
    pub fenced: bool,
    /// Number of its latest ended run that is in the journal; the worker may forget it.
    pub last_recorded_end: u64,
    /// Number of the latest ended run that it reported.
    pub last_reported_end: u64,
    /// Number of the latest ended run that it was allowed to forget in a poll that it answered.
    pub forgotten_end: u64,
    /// The same of the outstanding poll.
    pub poll_acked_end: u64,
    /// Resources allocated to the runs on it.
    pub allocated: Amount,
    /// Runs placed on it that are not known to have ended.
    pub runs: BTreeSet<Run>,
    /// Time since which nothing runs on it, if nothing does.
    pub idle_since: Instant,
    /// Whether it is deactivated once its outstanding poll has ended.
    pub retiring: bool,
    /// Time of the outstanding poll; `None` without one.
    pub poll_sent_at: Option<Instant>,
    /// Timeout of the outstanding poll.
    pub poll_timeout: Duration,
    /// Time at which the next poll is due.
    pub next_poll: Instant,
    /// Number of consecutive unanswered polls.
    pub missed_polls: u32,
    /// Number of consecutive polls for which it refused a connection.
    pub refused_polls: u32,
    /// Time at which it stopped answering polls: when the first unanswered poll was sent.
    pub unresponsive_since: Option<Instant>,
    /// Jobs with tasks that failed here since the last success.
    pub failures: BTreeSet<super::job::Id>,
    /// Runs on it that may be preempted, as of the last update.
    pub preemptible: Rc<[PreemptibleRun]>,
    /// How it has answered its latest calls.
    pub responsiveness: Responsiveness,
    /// Backoff for unanswered commands.
    pub command_backoff: CommandBackoff,
    /// Time until which it gets no new tasks because of failures.
    pub quarantined_until: Option<Instant>,
}

impl Worker {
    /// Creates a worker that is in the list and has not been called yet. `lease` is granted with
    /// each poll.
    pub fn new(id: WorkerId, info: Rc<WorkerInfo>, lease: Duration, now: Instant) -> Self {
        Self {
            id,
            info,
            info_at: now,
            unlisted_since: None,
            lease: Lease::new(lease),
            fenced: false,
            last_recorded_end: 0,
            last_reported_end: 0,
            forgotten_end: 0,
            poll_acked_end: 0,
            allocated: Amount::ZERO,
            runs: BTreeSet::new(),
            idle_since: now,
            retiring: false,
            poll_sent_at: None,
            poll_timeout: Duration::ZERO,
            next_poll: now,
            missed_polls: 0,
            refused_polls: 0,
            unresponsive_since: None,
            failures: BTreeSet::new(),
            preemptible: Rc::default(),
            responsiveness: Responsiveness::default(),
            command_backoff: CommandBackoff::default(),
            quarantined_until: None,
        }
    }

    /// Address at which it accepts polls and commands.
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }

    /// Whether new tasks may be placed on it.
    pub fn accepts_tasks(&self, now: Instant) -> bool {
        let quarantined = self.quarantined_until.is_some_and(|until| now < until);
        self.fenced
            && !self.retiring
            && self.lease.is_clock_known()
            && self.unlisted_since.is_none()
            && !self.info.draining
            && self.missed_polls < MISSED_POLLS_LIMIT
            && !quarantined
            && !self.command_backoff.is_active(now)
    }

    /// Whether nothing has run on it from `since` on, and nothing is known or owed that polls are
    /// needed for.
    pub fn is_idle(&self, since: Instant, now: Instant) -> bool {
        let is_healthy = self.accepts_tasks(now) && self.failures.is_empty();
        self.idle_since <= since && is_healthy && self.is_unneeded()
    }

    /// Whether it may be given tasks, or may once it has answered its first poll.
    pub fn is_promising(&self) -> bool {
        self.missed_polls == 0 && self.unlisted_since.is_none() && !self.info.draining
    }

    /// Whether it holds nothing and may not be given tasks.
    pub fn is_useless(&self) -> bool {
        !self.is_promising() && self.may_be_deactivated()
    }

    /// Whether nothing is lost if it is not polled any more. A worker that is not listed is polled
    /// until it is removed.
    pub fn may_be_deactivated(&self) -> bool {
        self.is_unneeded() && self.unlisted_since.is_none()
    }

    /// Whether neither runs nor ends that it may not forget yet are left on it.
    fn is_unneeded(&self) -> bool {
        self.runs.is_empty() && self.forgotten_end >= self.last_reported_end
    }

    /// The next time after `now` at which a pause in new tasks or a lower preference ends.
    pub fn next_backoff_change(&self, now: Instant) -> Option<Instant> {
        let ends = self.quarantined_until.into_iter().chain(self.command_backoff.deadlines());
        ends.filter(|end| *end > now).min()
    }

    /// Free capacity.
    pub fn free_capacity(&self) -> Amount {
        self.info.capacity.saturating_sub(&self.allocated)
    }

    /// Whether the list's information about its capacity is no older than `known_for`.
    ///
    /// Guards against a capacity that shrinks while the list cannot be read: all tasks that had
    /// waited until then would be placed at once, by the former capacity.
    pub fn is_capacity_current(&self, known_for: Option<Duration>, now: Instant) -> bool {
        self.capacity_valid_until(known_for).is_none_or(|until| now <= until)
    }

    /// Time until which its capacity counts as current; `None` for no limit.
    pub fn capacity_valid_until(&self, known_for: Option<Duration>) -> Option<Instant> {
        known_for.map(|known_for| self.info_at.after(known_for))
    }

    /// Whether more is allocated than its capacity, which may shrink.
    pub fn is_overcommitted(&self) -> bool {
        !self.allocated.fits(&self.info.capacity)
    }

    /// Allocates resources to a run.
    pub fn allocate(&mut self, run: Run, demand: &Amount) {
        if self.runs.insert(run) && !is_planted(Fault::CapacityNotCounted) {
            self.allocated = self.allocated.saturating_add(demand);
        }
    }

    /// Releases the resources of a run that has ended at `now`.
    pub fn release(&mut self, run: &Run, demand: &Amount, now: Instant) {
        if self.runs.remove(run) {
            self.idle_since = now;
            self.allocated = self.allocated.saturating_sub(demand);
        }
    }

    /// Records a call that got no answer.
    pub fn record_unanswered_call(&mut self, now: Instant) {
        if self.responsiveness.record_unanswered(now) {
            log::info!("event=worker.lossy worker={}", self.id);
        }
    }

    /// Records a poll that got no answer, and returns the delay before the next one.
    pub fn record_missed_poll(&mut self, fault: &WorkerError, now: Instant) -> Duration {
        self.missed_polls += 1;
        if let WorkerError::ConnectionRefused { .. } = fault {
            self.record_refused_poll();
            return self.refused_retry();
        }
        self.refused_polls = 0;
        self.record_unanswered_call(now);
        if self.responsiveness.is_lossy(now) { COMMAND_RETRY } else { POLL_RETRY }
    }

    fn record_refused_poll(&mut self) {
        self.refused_polls = self.refused_polls.saturating_add(1);
        if self.refused_polls == 1 {
            let address = self.address();
            log::warn!("event=worker.connections_refused worker={} address={address}", self.id);
        }
    }

    /// Delay before the next call to a worker that has refused a connection.
    pub fn refused_retry(&self) -> Duration {
        let doublings = self.refused_polls.saturating_sub(1).min(8);
        (POLL_RETRY * (1 << doublings)).min(MAX_REFUSED_RETRY)
    }

    /// Pauses new tasks for a moment after the worker refused a command.
    pub fn pause_after_refusal(&mut self, now: Instant) {
        self.pause_until(now.after(REFUSAL_PAUSE));
    }

    /// Pauses new tasks until `end`, or until the end of an earlier pause if that is later.
    fn pause_until(&mut self, end: Instant) {
        self.quarantined_until = self.quarantined_until.max(Some(end));
    }

    /// Records a successful run.
    pub fn record_success(&mut self) {
        self.failures.clear();
    }

    /// Records a failed run; `true` when the worker is quarantined because `streak` jobs have
    /// failed on it in a row.
    pub fn record_failure(&mut self, job: super::job::Id, streak: usize, now: Instant) -> bool {
        self.failures.insert(job);
        if self.failures.len() < streak {
            return false;
        }
        self.failures.clear();
        self.pause_until(now.after(QUARANTINE));
        true
    }
}
