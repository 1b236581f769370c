//! Tasks, the units that run on workers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::job;

/// Identity of one try at running one task.
///
/// A worker treats two starts with the same identity as one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}-{index}-{attempt}")]
pub struct Id {
    /// Job the task belongs to.
    pub job: job::Id,
    /// Position among the job's tasks, from zero.
    pub index: u32,
    /// Count of earlier tries.
    pub attempt: u32,
}

/// How a task's run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// It finished its work.
    #[display("succeeded")]
    Succeeded,
    /// It reported a failure.
    #[display("failed")]
    Failed,
    /// It was stopped on request.
    #[display("stopped")]
    Stopped,
    /// It was checkpointed on request and can resume.
    #[display("checkpointed")]
    Checkpointed,
    /// The worker stopped it because its lease lapsed.
    #[display("lapsed")]
    Lapsed,
    /// The worker could not start it; it never ran.
    #[display("rejected")]
    Rejected,
}

/// What a worker says of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Holds its resources.
    Running,
    /// Holds its resources while a stop or checkpoint is under way.
    Stopping,
    /// Holds nothing any more.
    Ended(End),
}
