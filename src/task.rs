//! Tasks, the units of work that run on workers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::job;

/// Identity of one attempt to run a task.
///
/// A worker treats repeated starts with the same identity as one start.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}-{index}-{attempt}")]
pub struct Id {
    /// Job the task belongs to.
    pub job: job::Id,
    /// Position among the job's tasks, from zero.
    pub index: u32,
    /// Number of earlier attempts.
    pub attempt: u32,
}

/// How an attempt to run a task ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// The task completed its work.
    #[display("succeeded")]
    Succeeded,
    /// The task reported a failure.
    #[display("failed")]
    Failed,
    /// The task was stopped on request.
    #[display("stopped")]
    Stopped,
    /// The task was checkpointed on request and can be resumed.
    #[display("checkpointed")]
    Checkpointed,
    /// The worker stopped the task because its lease expired.
    #[display("lapsed")]
    Lapsed,
    /// The worker could not start the task, so it never ran.
    #[display("rejected")]
    Rejected,
}

/// State of a task as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The task runs and holds its resources.
    Running,
    /// The task is being stopped or checkpointed and still holds its resources.
    Stopping,
    /// The task has ended and holds no resources.
    Ended(End),
}
