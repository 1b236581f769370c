//! Why a job waits or can never run, as a message for operators.

use derive_more::Display;

use super::Preset;
use crate::job;
use crate::resource::Amount;

/// Why a job does not run.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PendingReason {
    /// No worker is known yet.
    #[display("no worker is known yet; check the instance list and the network")]
    NoWorkers,
    /// A task is larger than every worker.
    #[display(
        "a task needs {demand}, more than any worker has (at most {largest}); request less or add \
         a larger worker"
    )]
    TooLarge {
        /// Demand of one task.
        demand: Amount,
        /// The largest capacity of any worker in each dimension.
        largest: Amount,
    },
    /// Fewer tasks fit on all workers when empty than must run at once.
    #[display("{tasks} tasks must run at once, but at most {slots} fit on all workers together")]
    TooManyTasks {
        /// Tasks that must run at once.
        tasks: usize,
        /// Tasks that fit on all workers when empty.
        slots: usize,
    },
    /// No worker that accepts new tasks has enough free capacity now.
    #[display(
        "no worker that accepts new tasks has {demand} free; the job starts when other tasks end"
    )]
    NoFreeCapacity {
        /// Demand of one task.
        demand: Amount,
    },
    /// A gang that waits until its reservation holds all tasks.
    #[display("all {tasks} tasks must start at once; capacity is being reserved for them")]
    ReservingForGang {
        /// Tasks that must run at once.
        tasks: usize,
    },
    /// A task that waits until it fits on a worker reserved for it.
    #[display("no worker has {demand} free; capacity is being reserved until a task fits")]
    ReservingForTask {
        /// Demand of one task.
        demand: Amount,
    },
    /// Free capacity is reserved for another job.
    #[display("the free capacity is reserved for job {job}, which would be delayed")]
    ReservedForOther {
        /// The job.
        job: job::Id,
    },
    /// Its team is above its quota while other teams wait.
    #[display("team uses {usage} of its quota of {quota}, and teams within their quota wait")]
    Quota {
        /// Usage of the team.
        usage: Amount,
        /// Amount that it may use while other teams wait.
        quota: Amount,
    },
    /// The preset holds back batch jobs without a deadline.
    #[display("preset {preset} holds back batch jobs without a deadline while workers are busy")]
    HeldByPreset {
        /// The preset.
        preset: Preset,
    },
    /// Waits for preempted tasks to stop.
    #[display("capacity for {tasks} of its tasks is set aside while preempted tasks stop")]
    Preempting {
        /// Tasks of the waiting job for which capacity is set aside by a preemption claim.
        tasks: usize,
    },
    /// Only workers that are draining, closed or quarantined are large enough.
    #[display(
        "only workers that accept no new tasks (draining, closed, quarantined) are large enough"
    )]
    Unavailable,
    /// No placement of the job, or of jobs of its team with the same kind, urgency and demand, has
    /// been denied yet. Jobs are attempted in the order of the queue, and each round has a limited
    /// number of attempts.
    #[display("placement has not been attempted yet; jobs are attempted in the order of the queue")]
    NotAttempted,
}
