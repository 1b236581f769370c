//! Views of jobs and their tasks.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::resource::Amount;
use crate::{job, task, worker};

/// Request to accept a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The caller's idempotency key, unique within the team.
    pub key: String,
    /// Specification of the job.
    pub spec: job::Spec,
}

impl Submission {
    /// Returns the job's id, which is derived from its team and key.
    pub fn id(&self) -> job::Id {
        job::Id::derive(&self.spec.team, &self.key)
    }
}

/// Where an accepted job's record is stored.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Durability {
    /// In the log.
    #[display("log")]
    Log,
    /// In the memory of at least two instances of the failure domain, until the log is available
    /// again.
    #[display("peers")]
    Peers,
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Id of the job.
    pub job: job::Id,
    /// Where the job's record is stored.
    pub durability: Durability,
    /// Whether an earlier call with the same key was already accepted.
    pub duplicate: bool,
}

/// State of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has started.
    #[display("waiting")]
    Waiting,
    /// At least one task has started, and not all tasks have ended.
    #[display("running")]
    Running,
    /// Cancellation was requested, and not all tasks have ended.
    #[display("cancelling")]
    Cancelling,
    /// All tasks completed their work.
    #[display("succeeded")]
    Succeeded,
    /// At least one task failed and will not be retried.
    #[display("failed")]
    Failed,
    /// The job was cancelled on request.
    #[display("cancelled")]
    Cancelled,
    /// At least one task may or may not still run; an operator has to decide.
    #[display("uncertain")]
    Uncertain,
}

impl State {
    /// All states.
    pub const ALL: [Self; 7] = [
        Self::Waiting,
        Self::Running,
        Self::Cancelling,
        Self::Succeeded,
        Self::Failed,
        Self::Cancelled,
        Self::Uncertain,
    ];

    /// Whether a job in this state can no longer change.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// State of a task.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The task waits for a worker.
    #[display("pending")]
    Pending,
    /// The task was placed, and its worker has not confirmed the start yet.
    #[display("starting")]
    Starting,
    /// The task runs.
    #[display("running")]
    Running,
    /// The worker was instructed to stop the task and has not confirmed it yet.
    #[display("stopping")]
    Stopping,
    /// The task ended and will not run again.
    #[display("{_0}")]
    Ended(task::End),
    /// The task may or may not run, because its worker cannot be reached.
    #[display("uncertain")]
    Uncertain,
}

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Index among the job's tasks, starting at zero.
    pub index: u32,
    /// Number of earlier attempts.
    pub attempt: u32,
    /// Current state.
    pub state: Phase,
    /// Worker of the current or the last attempt.
    pub worker: Option<worker::Name>,
    /// When the current attempt started.
    pub started: Option<Unix>,
    /// When the task ended.
    pub ended: Option<Unix>,
    /// Why the task waits, failed or is uncertain.
    pub reason: Option<String>,
}

/// Summary of a job, as shown in lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Id of the job.
    pub id: job::Id,
    /// Name of the job.
    pub name: String,
    /// Team that the job belongs to.
    pub team: String,
    /// How the tasks are placed.
    pub kind: job::Kind,
    /// How soon the job should start.
    pub urgency: job::Urgency,
    /// Current state.
    pub state: State,
    /// Number of tasks.
    pub tasks: u32,
    /// When the job was accepted.
    pub submitted: Unix,
    /// Time by which every task must have ended.
    pub deadline: Option<Unix>,
}

/// A job with its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Summary of the job.
    pub summary: Summary,
    /// Idempotency key of the submission.
    pub key: String,
    /// Resources that each task needs.
    pub demand: Amount,
    /// Whether a task may be started again.
    pub effect: job::Effect,
    /// Where the job's record is stored.
    pub durability: Durability,
    /// Tasks, ordered by index.
    pub tasks: Vec<Task>,
}

/// Filter for a list of jobs; an absent field matches all jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Team to match.
    pub team: Option<String>,
    /// Name to match.
    pub name: Option<String>,
    /// State to match.
    pub state: Option<State>,
}

/// Explanation of why a job waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Id of the job.
    pub job: job::Id,
    /// Current state.
    pub state: State,
    /// Human-readable reason.
    pub reason: String,
    /// What an operator can do to let the job start.
    pub advice: Option<String>,
    /// Time that the job has waited.
    pub waited: Duration,
}
