//! Cells: a cell is a set of workers with one owner among all instances. It runs jobs of several
//! steps.
//!
//! Any instance accepts callers' calls and forwards them to the owner. The owner makes a decision,
//! writes it to the cell's journal in the platform's store, and only then acts on it: no task
//! starts before its placement is stored. An instance that takes a cell over replays the journal,
//! fences the former owner at every worker, and continues from the replayed state.
//!
//! | File | Contents |
//! |---|---|
//! | `job.rs`, `queue.rs` | jobs as submitted, and the configuration of their queues |
//! | `customer.rs` | customers, their keys and the resources that they may use |
//! | `config_message.rs` | the configuration as instances send it to each other |
//! | `caller.rs` | what an instance states about the caller of a forwarded call |
//! | `record.rs`, `state.rs`, `job_state.rs` | journal records and the state that they yield |
//! | `task_list.rs`, `index_set.rs` | states of many tasks, and sets of numbers, in little memory |
//! | `stored_job.rs`, `stored_state.rs` | a job in the form of the journal, the state in that of a snapshot |
//! | `worker.rs`, `lease.rs`, `incarnation.rs` | a worker's capacity, clock, lease and identity |
//! | `command_backoff.rs` | backoff for workers that leave commands unanswered |
//! | `crash_score.rs` | evidence that a task crashes its workers |
//! | `ticket.rs` | which workers may run a step, as the policy service answered |
//! | `machine/` | the owner's decisions, as a state machine without I/O |
//! | `dependencies.rs` | interfaces to workers, the policy service, the journal and the platform |
//! | `preempt.rs` | choice of running tasks to stop for more urgent ones |
//! | `forward.rs`, `retry.rs` | forwarding of calls to the owner, and their retries |
//! | `run_time/`, `learned.rs` | learned run times, and the record of what an owner has learned |
//! | `fair_share.rs` | customers' shares, counted in work |
//! | `admission.rs` | refusal of jobs that cannot end in time |
//! | `features.rs` | optional parts of an owner's decisions |
//! | `worker_speed/` | speeds of workers, learned from run times |
//! | `explain/` | what an owner tells operators about jobs, customers and workers |
//! | `activity.rs` | time that an owner spends on each kind of work |
//! | `peer.rs` | messages between instances |
//! | `timings.rs` | timeouts, intervals and limits |
//! | `overload.rs` | detection of an owner whose thread has more work than time |
//! | `watch.rs` | time for which an owner delays its response to a follower |
//! | `owner/`, `election/`, `node/`, `replay.rs`, `dependency_status.rs` | tasks of an instance |

pub mod activity;
pub mod admission;
pub mod caller;
pub mod command_backoff;
pub mod config_message;
pub mod crash_score;
pub mod customer;
pub mod dependencies;
mod dependency_status;
pub mod election;
pub mod explain;
pub mod failure_rate;
pub mod fair_share;
pub mod features;
pub mod forward;
pub mod incarnation;
pub mod index_set;
pub mod job;
pub mod job_state;
pub mod learned;
pub mod lease;
pub mod machine;
pub mod node;
pub mod overload;
pub mod owner;
pub mod peer;
pub mod preempt;
pub mod queue;
pub mod record;
pub mod replay;
pub mod responsiveness;
pub mod retry;
pub mod run_time;
pub mod state;
mod stored_job;
pub mod stored_state;
pub mod task_list;
pub mod ticket;
pub mod timings;
pub mod watch;
pub mod worker;
pub mod worker_speed;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of a cell. The cells of a site are numbered from zero.
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

/// Term of an owner. Each claim of the cell raises it, and workers refuse commands of a smaller
/// one.
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
