//! A cell: a set of workers with one owner among all instances, which runs jobs of several steps.
//!
//! Any instance takes callers' calls and passes them to the owner. The owner decides, writes what
//! it decided to the cell's journal in the platform's store, and only then acts: no task starts
//! whose placement is not stored. An instance that takes a cell over reads the journal, makes every
//! worker refuse the owner before it, and goes on from there.
//!
//! | File | Duty |
//! |---|---|
//! | `job.rs`, `queue.rs` | what callers submit and the rules of the queue it goes to |
//! | `record.rs`, `state.rs` | the journal's records and what they add up to |
//! | `worker.rs`, `lease.rs` | a worker's room, its clock and how long it may hold what runs |
//! | `ticket.rs` | which workers may run a step, by the policy service's word |
//! | `machine/` | the owner's decisions; pure |
//! | `dependencies.rs` | borders to workers, policy service, journal and lists |
//! | `preempt.rs` | which running tasks make room for more urgent ones |
//! | `retry.rs` | how long a call waits for an owner |
//! | `activity.rs` | what an owner spends its time on |
//! | `owner.rs`, `election/`, `forward.rs`, `node/`, `replay.rs`, `dependency_status.rs` | the tasks of an instance |

pub mod activity;
pub mod command_backoff;
pub mod crash_score;
pub mod dependencies;
mod dependency_status;
pub mod election;
pub mod forward;
pub mod incarnation;
pub mod job;
pub mod lease;
pub mod machine;
pub mod node;
pub mod owner;
pub mod peer;
pub mod preempt;
pub mod queue;
pub mod record;
mod replay;
pub mod retry;
pub mod state;
pub mod ticket;
pub mod timings;
pub mod worker;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of a cell; cells of one site are numbered from zero.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Id(pub u32);

/// Rank of an owner in the order of claims; workers refuse orders of a smaller one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of the next owner.
    ///
    /// ```
    /// use oriolefork::cell::Epoch;
    /// assert!(Epoch(3).next() > Epoch(3));
    /// ```
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
