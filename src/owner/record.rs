//! Records of a failure domain's stream in the log.
//!
//! These types are the serialised form; [`super::table`] holds the state built from them.

use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::domain::{Epoch, Instance};
use crate::store::Offset;
use crate::{alert, job, task, worker};

/// One record of the stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// A claim to own the failure domain.
    Claim(Claim),
    /// Changes made by an owner.
    Batch(Batch),
}

/// A claim to own the failure domain from the next epoch on.
///
/// A claim is valid if `epoch` directly follows the epoch in force at its offset. The first claim
/// of an epoch in log order therefore wins, and every instance that reads the log finds the same
/// winner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch claimed.
    pub epoch: Epoch,
    /// Instance that makes the claim.
    pub instance: Instance,
    /// Earlier owners that may still renew leases, because they are not known to have ended.
    #[serde(rename = "formers")]
    pub former_owners: Vec<Instance>,
}

/// Position from which replaying the stream yields the whole state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayPoint {
    /// First offset to read.
    pub offset: Offset,
    /// Epoch in force before that offset.
    pub epoch: Epoch,
    /// Sequence number of the next batch of that epoch.
    pub sequence: u64,
}

/// Changes that take effect together.
///
/// `epoch` and `sequence` make a batch idempotent: a copy that was appended again because the
/// answer to the first append was lost is skipped on replay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of the owner that wrote the batch.
    pub epoch: Epoch,
    /// Number of batches that the owner wrote before this one in the same epoch.
    pub sequence: u64,
    /// Where a new reader starts its replay.
    #[serde(rename = "floor")]
    pub replay_point: ReplayPoint,
    /// Changes, in the order in which they apply.
    pub entries: Vec<Entry>,
}

/// One change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Entry {
    /// A job was accepted.
    Accepted(Acceptance),
    /// Tasks were assigned to workers. All tasks of a gang are in one entry.
    Placed(Vec<Placement>),
    /// An attempt ended.
    Ended(Conclusion),
    /// A task may still run on a worker that is unreachable.
    Unresolved(task::Id),
    /// A job was cancelled.
    Cancelled(Cancellation),
    /// Snapshot of a job, written before its older records are dropped from the log.
    Restated(JobSnapshot),
    /// An ended job was removed from the table.
    Pruned(job::Id),
    /// An earlier owner is known to have ended its ownership.
    Retired(Instance),
    /// An alert was raised or acknowledged, or its cause has gone.
    Alert(alert::wire::Record),
    /// Snapshot of all alerts, written before their older records are dropped from the log.
    Alerts(alert::wire::BoardSnapshot),
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Identity of the job.
    pub job: job::Id,
    /// Idempotency key under which it was submitted.
    pub key: String,
    /// What is requested.
    pub spec: job::Spec,
    /// When it was accepted.
    pub at: Unix,
}

/// Assignment of a task to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The attempt.
    pub task: task::Id,
    /// Worker that runs it.
    pub worker: worker::Name,
    /// Run number of the worker process at the time of placement. If a worker with the same run
    /// does not report the task, it has never started it.
    pub run: u64,
}

/// End of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conclusion {
    /// The attempt.
    pub task: task::Id,
    /// How it ended.
    pub end: task::End,
    /// When the owner received the report.
    pub at: Unix,
}

/// Cancellation of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancellation {
    /// The job.
    pub job: job::Id,
    /// When it was requested.
    pub at: Unix,
}

/// Snapshot of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// Identity and specification.
    pub acceptance: Acceptance,
    /// When it was cancelled.
    pub cancelled: Option<Unix>,
    /// When its last task ended.
    pub ended: Option<Unix>,
    /// State of each task.
    pub tasks: Vec<TaskSnapshot>,
}

/// Snapshot of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSnapshot {
    /// Number of earlier attempts.
    pub attempt: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// State of the current attempt.
    #[serde(rename = "position")]
    pub state: AttemptState,
}

/// State of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// Waiting for a worker.
    Pending,
    /// Assigned to a worker.
    Placed {
        /// The worker.
        worker: worker::Name,
        /// Run number of its process at the time of placement.
        run: u64,
    },
    /// May still run on a worker that is unreachable.
    Unresolved {
        /// The worker.
        worker: worker::Name,
    },
    /// Ended, with no further attempt.
    Done(task::End),
}
