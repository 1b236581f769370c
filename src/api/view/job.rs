//! Jobs and their tasks.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::resource::Amount;
use crate::{job, task, worker};

/// A job to accept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The caller's idempotency key, unique within the team.
    pub key: String,
    /// What the job asks for.
    pub spec: job::Spec,
}

impl Submission {
    /// The identity that the job has or will have.
    pub fn id(&self) -> job::Id {
        job::Id::derive(&self.spec.team, &self.key)
    }
}

/// Where an accepted job's record is kept.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Durability {
    /// In the log.
    #[display("log")]
    Log,
    /// In the memory of at least two instances of the failure domain, until the log is back.
    #[display("peers")]
    Peers,
}

/// An accepted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its identity.
    pub job: job::Id,
    /// Where its record is kept.
    pub durability: Durability,
    /// Whether an earlier call with the same key had been accepted already.
    pub duplicate: bool,
}

/// Where a job stands as a whole.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No task has started.
    #[display("waiting")]
    Waiting,
    /// At least one task has started and not all have ended.
    #[display("running")]
    Running,
    /// A stop was asked for and not every task has ended.
    #[display("cancelling")]
    Cancelling,
    /// Every task finished its work.
    #[display("succeeded")]
    Succeeded,
    /// At least one task failed for good.
    #[display("failed")]
    Failed,
    /// It was stopped on request.
    #[display("cancelled")]
    Cancelled,
    /// Of at least one task it is not known whether it still runs; a person has to decide.
    #[display("uncertain")]
    Uncertain,
}

impl State {
    /// Every state.
    pub const ALL: [Self; 7] = [
        Self::Waiting,
        Self::Running,
        Self::Cancelling,
        Self::Succeeded,
        Self::Failed,
        Self::Cancelled,
        Self::Uncertain,
    ];

    /// Whether a job in this state changes no more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// Waits for a worker.
    #[display("pending")]
    Pending,
    /// Has a worker, which has not yet confirmed the start.
    #[display("starting")]
    Starting,
    /// Runs.
    #[display("running")]
    Running,
    /// Was told to stop, which the worker has not yet confirmed.
    #[display("stopping")]
    Stopping,
    /// Ended and will not run again.
    #[display("{_0}")]
    Ended(task::End),
    /// May or may not run; its worker cannot be asked.
    #[display("uncertain")]
    Uncertain,
}

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Position among the job's tasks, from zero.
    pub index: u32,
    /// Count of earlier tries.
    pub attempt: u32,
    /// Where it stands.
    pub state: Phase,
    /// Worker of the present try, or of the last one.
    pub worker: Option<worker::Name>,
    /// When the present try started.
    pub started: Option<Unix>,
    /// When the task ended.
    pub ended: Option<Unix>,
    /// Why it waits, failed or is uncertain.
    pub reason: Option<String>,
}

/// A job in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Its identity.
    pub id: job::Id,
    /// Its name.
    pub name: String,
    /// Its team.
    pub team: String,
    /// How its tasks are placed.
    pub kind: job::Kind,
    /// How soon it should start.
    pub urgency: job::Urgency,
    /// Where it stands.
    pub state: State,
    /// Number of tasks.
    pub tasks: u32,
    /// When it was accepted.
    pub submitted: Unix,
    /// Time by which every task must have ended.
    pub deadline: Option<Unix>,
}

/// A job with its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What lists show too.
    pub summary: Summary,
    /// Its idempotency key.
    pub key: String,
    /// What each task needs.
    pub demand: Amount,
    /// Whether a task may be started again.
    pub effect: job::Effect,
    /// Where its record is kept.
    pub durability: Durability,
    /// Its tasks by index.
    pub tasks: Vec<Task>,
}

/// Which jobs a list shows; an absent field matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Filter {
    /// Team to match.
    pub team: Option<String>,
    /// Name to match.
    pub name: Option<String>,
    /// State to match.
    pub state: Option<State>,
}

/// Why a job waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: job::Id,
    /// Where it stands.
    pub state: State,
    /// Why, in a sentence for people.
    pub reason: String,
    /// What an operator can do about it.
    pub advice: Option<String>,
    /// How long it has waited.
    pub waited: Duration,
}
