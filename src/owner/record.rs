//! Records of a failure domain's stream in the log.
//!
//! The types here are the serialised form; [`super::table`] holds the model built from them.

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
/// It holds if `epoch` directly follows the epoch in force at its offset, so that the first claim
/// of an epoch in log order wins and every other instance reads the same winner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch claimed.
    pub epoch: Epoch,
    /// Claimant.
    pub instance: Instance,
    /// Earlier owners that may still renew leases, because nobody has seen them gone.
    #[serde(rename = "formers")]
    pub former_owners: Vec<Instance>,
}

/// AttemptState from which reading the stream yields the whole state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayPoint {
    /// First offset to read.
    pub offset: Offset,
    /// Epoch in force just before it.
    pub epoch: Epoch,
    /// Sequence that the next batch of that epoch carries.
    pub sequence: u64,
}

/// Changes that take effect together.
///
/// `epoch` and `sequence` make a batch idempotent: a copy appended again after a lost answer is
/// skipped on reading.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Batch {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Count of the writer's earlier batches in this epoch.
    pub sequence: u64,
    /// Where a new reader has to start.
    #[serde(rename = "floor")]
    pub replay_point: ReplayPoint,
    /// Changes in order.
    pub entries: Vec<Entry>,
}

/// One change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Entry {
    /// A job was accepted.
    Accepted(Acceptance),
    /// Tasks were assigned to workers; all of a gang stand in one entry.
    Placed(Vec<Placement>),
    /// A try ended.
    Ended(Conclusion),
    /// A task may still run on a worker that nobody can reach.
    Unresolved(task::Id),
    /// A job is to be stopped.
    Cancelled(Cancellation),
    /// The whole state of a job, repeated before its older records are dropped.
    Restated(JobSnapshot),
    /// A finished job left the table.
    Pruned(job::Id),
    /// An earlier owner has surely ended its ownership.
    Retired(Instance),
    /// An alert was raised or acknowledged, or its cause has gone.
    Alert(alert::wire::Record),
    /// The whole board of alerts, repeated before its older records are dropped.
    Alerts(alert::wire::Ledger),
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acceptance {
    /// Identity of the job.
    pub job: job::Id,
    /// Idempotency key under which it was submitted.
    pub key: String,
    /// What it asks for.
    pub spec: job::Spec,
    /// When it was accepted.
    pub at: Unix,
}

/// Assignment of a task to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The try.
    pub task: task::Id,
    /// Where it runs.
    pub worker: worker::Name,
    /// Process of the worker as known when placing. A worker of the same run that does not know
    /// the task has surely never started it.
    pub run: u64,
}

/// End of a try.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conclusion {
    /// The try.
    pub task: task::Id,
    /// How it ended.
    pub end: task::End,
    /// When the owner learned of it.
    pub at: Unix,
}

/// Request to stop a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancellation {
    /// The job.
    pub job: job::Id,
    /// When it was asked for.
    pub at: Unix,
}

/// Whole state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// Identity and description.
    pub acceptance: Acceptance,
    /// When it was cancelled.
    pub cancelled: Option<Unix>,
    /// When its last task ended.
    pub ended: Option<Unix>,
    /// State of each task.
    pub tasks: Vec<TaskSnapshot>,
}

/// State of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSnapshot {
    /// Count of earlier tries.
    pub attempt: u32,
    /// Count of tries that failed.
    pub failures: u32,
    /// Where the present try stands.
    #[serde(rename = "position")]
    pub state: AttemptState,
}

/// Where a try stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// Waits for a worker.
    Pending,
    /// Assigned to a worker.
    Placed {
        /// The worker.
        worker: worker::Name,
        /// Its process when placing.
        run: u64,
    },
    /// May still run on a worker that nobody can reach.
    Unresolved {
        /// The worker.
        worker: worker::Name,
    },
    /// Ended for good.
    Done(task::End),
}
