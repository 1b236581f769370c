//! Division of a runner's slots among the entry instances of its failure domain.
//!
//! Every instance *owns* a fixed part of each runner's slots, its entitlement, which depends on
//! nothing but the settings. What an instance does not need it lends for a bounded time to the
//! keeper of its domain, and the keeper grants it under shorter leases to instances in need. The
//! parts add up to the runner's limit whoever is the keeper, even when two instances believe
//! themselves to be it, because a keeper only grants what was lent to it by name.
//!
//! Three rules keep it safe without comparing clocks of two processes:
//!
//! - a lender counts its loan from the moment it *sends* it, the keeper from a stamp of its own
//!   clock that the lender echoes, which is older;
//! - a borrower counts its lease from the moment it sends its call, the keeper from the later
//!   moment at which it answers, and adds the longest time a request may run;
//! - a restarted process does not use its entitlement until everything that its predecessor may
//!   have lent or sent is over.

mod ledger;
mod local_slots;

pub use ledger::Ledger;
pub use local_slots::{Handle, LocalSlots};

use std::time::Duration;

use derive_more::Display;

use crate::clock::Instant;
use crate::domain::Epoch;
use crate::runner::Name;

/// Place of an entry instance among those of its failure domain, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Index, below `count`; no two instances that run have the same.
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
        // The odd slots go to other positions for other runners, so that no position has less.
        let hash = xxhash_rust::xxh3::xxh3_64(runner.as_str().as_bytes());
        let turn = (u64::from(self.index) + hash % u64::from(count)) % u64::from(count);
        let remainder = u64::from(limit % count);
        limit / count + u32::from(turn < remainder)
    }
}

/// Spans that every instance of a domain has to agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseDurations {
    /// Longest time for which a runner works on one request.
    pub run_limit: Duration,
    /// How long a borrower may start requests on a grant.
    pub lease: Duration,
    /// How long a lender keeps from using what it lent.
    pub loan: Duration,
    /// Allowance for clocks that run at unlike rates.
    pub margin: Duration,
}

impl LeaseDurations {
    /// Terms for a run limit, with leases that outlive a few lost exchanges.
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

    /// Time after a grant at which its last request is surely over.
    fn grant_end(&self, now: Instant) -> Instant {
        now.after(self.lease + self.run_limit + self.margin)
    }
}

impl Default for LeaseDurations {
    fn default() -> Self {
        Self::for_run_limit(Duration::from_secs(5))
    }
}

/// Identity of one keeper: the owner's epoch and the run of its process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{epoch}/{run:x}")]
pub struct CoordinatorId {
    /// Epoch of the failure domain's owner.
    pub epoch: Epoch,
    /// Run of the owner's process.
    pub run: u64,
}

/// Identity of one lender or borrower.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{index}/{run:x}")]
pub struct ParticipantId {
    /// Index of its position.
    pub index: u32,
    /// Run of its process.
    pub run: u64,
}

/// A reading of a keeper's clock, meaningful to that keeper alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timestamp {
    /// Whose clock.
    pub coordinator: CoordinatorId,
    /// The reading.
    pub at: Instant,
}

/// What an instance tells the keeper, once per exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareRequest {
    /// Who asks.
    pub participant: ParticipantId,
    /// Rises with every call of this party; a smaller one is void.
    pub sequence: u64,
    /// The keeper's last stamp; without it nothing is lent.
    pub timestamp: Option<Timestamp>,
    /// One line a runner; a runner left out has nothing lent, held or wanted.
    pub runners: Vec<SlotRequest>,
}

/// An instance's position on one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// The runner.
    pub runner: Name,
    /// Own slots lent to the keeper from now on.
    pub lend: u32,
    /// Borrowed slots still held; the rest is given back by this call.
    pub holding: u32,
    /// Borrowed slots wanted in all.
    pub want: u32,
}

/// A keeper's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareResponse {
    /// Sequence of the call answered.
    pub sequence: u64,
    /// The keeper's clock, to be echoed in the next call.
    pub timestamp: Timestamp,
    /// One line a runner that concerns the party.
    pub runners: Vec<SlotGrant>,
}

/// What a keeper grants on one runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// The runner.
    pub runner: Name,
    /// Slots of the party that the keeper still counts as lent.
    pub lent: u32,
    /// Slots that the party may borrow for one lease, counted from its call.
    pub borrowed: u32,
    /// Slots that others want in all.
    pub wanted_by_others: u32,
}
