//! Why a job waits or can never run, in words for operators.

use derive_more::Display;

use super::Preset;
use crate::job;
use crate::resource::Amount;

/// Why a job does not run.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PendingReason {
    /// No worker is known.
    #[display("no worker is known yet; check the instance list and the network")]
    NoWorkers,
    /// Larger than every worker.
    #[display(
        "a task needs {demand}, more than any worker has (at most {largest}); ask for less or add \
         a larger worker"
    )]
    TooLarge {
        /// What one task needs.
        demand: Amount,
        /// The largest amount of each resource on any worker.
        largest: Amount,
    },
    /// All tasks together are more than all workers hold when empty.
    #[display("{tasks} tasks must run at once, but all workers together hold only {slots} of them")]
    TooManyTasks {
        /// Tasks that must run at once.
        tasks: usize,
        /// Tasks that all workers hold when empty.
        slots: usize,
    },
    /// No worker that takes new tasks has room now.
    #[display("no worker that takes new tasks has {demand} free; it starts when work ends")]
    NoRoom {
        /// What one task needs.
        demand: Amount,
    },
    /// A gang for which there is not enough room at once.
    #[display("all {tasks} tasks must start at once; room is being kept for them")]
    ReservingForGang {
        /// Tasks that must run at once.
        tasks: usize,
    },
    /// Waits for a worker on which room is kept for it.
    #[display("no worker has {demand} free; room is being kept until a task fits")]
    ReservingForTask {
        /// What one task needs.
        demand: Amount,
    },
    /// Room is kept for a job that waits longer.
    #[display("the room is kept for job {job}, which would be delayed")]
    ReservedForOther {
        /// The job.
        job: job::Id,
    },
    /// Its team is above its quota while others wait.
    #[display("team uses {usage} of its quota of {quota}, and teams within their quota wait")]
    Quota {
        /// What the team uses.
        usage: Amount,
        /// What it may use while others wait.
        quota: Amount,
    },
    /// The preset holds it back.
    #[display("preset {preset} holds back batch work that has no deadline while workers are busy")]
    HeldByPreset {
        /// The preset.
        preset: Preset,
    },
    /// Preempted tasks have not stopped yet.
    #[display("room is being made: {tasks} preempted tasks have not stopped yet")]
    Preempting {
        /// Tasks that are being checkpointed for it.
        tasks: usize,
    },
    /// Only draining, closed or quarantined workers could take it.
    #[display(
        "only workers that take no new tasks (draining, closed, quarantined) are large enough"
    )]
    Unavailable,
    /// Other work goes first.
    #[display("its turn has not come; other work goes first")]
    LowerPriority,
}
