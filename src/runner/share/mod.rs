//! Division of a runner's slots among the entry instances of its failure domain.
//!
//! Every instance *owns* a fixed part of each runner's slots, its entitlement, which depends only
//! on the settings. It lends slots that it does not need for a bounded time to the coordinator,
//! which is the owner of the failure domain, and the coordinator grants them under shorter leases
//! to instances that need more. Together the instances never use more than the runner's limit, even
//! while two of them act as coordinator, because a coordinator grants only slots that were lent to
//! its own identity.
//!
//! Three rules make this safe without comparing the clocks of two processes:
//!
//! - a lender counts a loan from the moment it *sends* it, the coordinator from an earlier
//!   timestamp of its own clock that the lender echoes;
//! - a borrower counts its lease from the moment it sends its request, the coordinator from the
//!   later moment of its response, and the coordinator adds the longest time a request may run;
//! - a restarted process uses its entitlement only after every loan and every request of its
//!   predecessor must have ended.

mod ledger;
mod local_slots;

pub use ledger::Ledger;
pub use local_slots::{Handle, LocalSlots};

use std::time::Duration;

use derive_more::Display;

use crate::clock::Instant;
use crate::domain::Epoch;
use crate::runner::Name;

/// Position of an entry instance among those of its failure domain, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Index below `count`, distinct for every running instance.
    pub index: u32,
    /// Number of entry instances of the domain.
    pub count: u32,
}

impl Position {
    /// The only instance of its domain.
    pub const SINGLE: Self = Self { index: 0, count: 1 };

    /// Slots of a runner that belong to this position. Over all positions they add up to `limit`.
    ///
    /// ```
    /// use oriolefork::runner::{Name, share::Position};
    /// let runner = Name::from("runner-1");
    /// let parts = (0..3).map(|index| Position { index, count: 3 }.entitlement(&runner, 8));
    /// assert_eq!(parts.sum::<u32>(), 8);
    /// ```
    pub fn entitlement(self, runner: &Name, limit: u32) -> u32 {
        let count = self.count.max(1);
        // The position that gets the remaining slots depends on the runner, so that no position is
        // favoured overall.
        let hash = xxhash_rust::xxh3::xxh3_64(runner.as_str().as_bytes());
        let turn = (u64::from(self.index) + hash % u64::from(count)) % u64::from(count);
        let remainder = u64::from(limit % count);
        limit / count + u32::from(turn < remainder)
    }
}

/// Durations of leases and loans; all instances of a domain must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseDurations {
    /// Longest time that a runner works on one request.
    pub run_limit: Duration,
    /// How long a borrower may start requests on a grant.
    pub lease: Duration,
    /// How long a lender does not use slots that it lent.
    pub loan: Duration,
    /// Allowance for clocks that run at different rates.
    pub margin: Duration,
}

impl LeaseDurations {
    /// Durations for a run limit, with leases long enough to survive a few lost exchanges.
    ///
    /// ```
    /// use oriolefork::runner::share::LeaseDurations;
    /// use std::time::Duration;
    /// let durations = LeaseDurations::for_run_limit(Duration::from_secs(5));
    /// assert!(durations.loan > durations.lease + durations.run_limit + durations.margin);
    /// ```
    pub fn for_run_limit(run_limit: Duration) -> Self {
        let lease = Duration::from_secs(2);
        let margin = run_limit / 20 + Duration::from_millis(100);
        let loan = run_limit + lease + lease + margin;
        Self { run_limit, lease, loan, margin }
    }

    /// Time by which every request started under a grant made at `now` has ended.
    fn grant_end(&self, now: Instant) -> Instant {
        now.after(self.lease + self.run_limit + self.margin)
    }
}

impl Default for LeaseDurations {
    fn default() -> Self {
        Self::for_run_limit(Duration::from_secs(5))
    }
}

/// Identity of a coordinator: the owner's epoch and the run of its process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{epoch}/{run:x}")]
pub struct CoordinatorId {
    /// Epoch of the failure domain's owner.
    pub epoch: Epoch,
    /// Run of the owner's process.
    pub run: u64,
}

/// Identity of a lender or borrower.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{index}/{run:x}")]
pub struct ParticipantId {
    /// Index of its position.
    pub index: u32,
    /// Run of its process.
    pub run: u64,
}

/// A reading of a coordinator's clock, comparable only with readings of the same clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// Coordinator whose clock was read.
    pub coordinator: CoordinatorId,
    /// The reading.
    pub at: Instant,
}

/// Request of an instance to the coordinator, one per exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareRequest {
    /// Sender of the request.
    pub participant: ParticipantId,
    /// Increases with every request of this participant; the coordinator ignores lower ones.
    pub sequence: u64,
    /// Last timestamp received from the coordinator; without it nothing is lent or granted.
    pub timestamp: Option<Timestamp>,
    /// One entry per runner; a runner left out has nothing lent, held or requested.
    pub runners: Vec<SlotRequest>,
}

/// Slots of one runner that an instance lends, holds and requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The runner.
    pub runner: Name,
    /// Own slots lent to the coordinator from now on.
    pub lend: u32,
    /// Borrowed slots still held; the rest is returned by this request.
    pub holding: u32,
    /// Borrowed slots requested in total.
    pub want: u32,
}

/// Response of the coordinator to a [`ShareRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareResponse {
    /// Sequence number of the request.
    pub sequence: u64,
    /// Reading of the coordinator's clock, to be echoed in the next request.
    pub timestamp: Timestamp,
    /// One entry per runner that concerns the participant.
    pub runners: Vec<SlotGrant>,
}

/// Slots of one runner that the coordinator grants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The runner.
    pub runner: Name,
    /// Slots of the participant that the coordinator still counts as lent.
    pub lent: u32,
    /// Slots that the participant may borrow for one lease, counted from its request.
    pub borrowed: u32,
    /// Slots that the other participants request in total.
    pub wanted_by_others: u32,
}
