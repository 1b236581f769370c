//! JSON format of exchanges with a worker.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::millis;
use crate::domain::Epoch;
use crate::resource::Amount;
use crate::task::{self, End};
use crate::{job, worker};

/// Identity of an attempt of a task, written `job-index-attempt`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TaskId(String);

/// Error for a text that is not the identity of an attempt.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("`{text}` is no task")]
pub struct Error {
    /// The invalid text.
    pub text: String,
}

/// JSON form of [`worker::Command`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Run a task.
    Start {
        /// Identity of the attempt.
        task: TaskId,
        /// Resources to allocate to it.
        demand: Amount,
        /// Opaque payload from the job.
        payload: String,
    },
    /// Stop a task.
    Stop(TaskId),
    /// Save a checkpoint of a task, then stop it.
    Checkpoint(TaskId),
    /// Limit a task to the CPU time it declared.
    Throttle(TaskId),
    /// Delete the state of an ended task.
    Forget(TaskId),
}

/// JSON form of [`worker::Exchange`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Fencing token of the caller.
    pub epoch: Epoch,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Commands, in the order in which they are carried out.
    pub commands: Vec<Command>,
    /// Sequence number of the last report received, or zero.
    pub seen: u64,
    /// Longest time by which the response may be delayed, in milliseconds.
    pub wait_ms: u64,
}

/// JSON form of [`task::Phase`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[expect(missing_docs, reason = "the variants are those of the model")]
pub enum Phase {
    Running,
    Stopping,
    Succeeded,
    Failed,
    Stopped,
    Checkpointed,
    Lapsed,
    Rejected,
}

/// JSON form of [`worker::Observation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Identity of the attempt.
    pub task: TaskId,
    /// Phase of its execution.
    pub phase: Phase,
    /// Resources allocated to it.
    pub demand: Amount,
    /// Resources it used when last measured.
    pub usage: Amount,
}

/// JSON form of [`worker::Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Identity of the worker's process.
    pub run: u64,
    /// Sequence number of this report.
    pub sequence: u64,
    /// Whether all tasks of the worker are listed.
    pub full: bool,
    /// Tasks whose state has changed, or all tasks in a full report.
    pub tasks: Vec<Observation>,
    /// Total resources of the worker.
    pub capacity: Amount,
}

/// Body of the response to a fenced caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Largest epoch that the worker has received.
    pub fenced_by: Epoch,
}

impl From<task::Id> for TaskId {
    fn from(id: task::Id) -> Self {
        Self(id.to_string())
    }
}

impl TryFrom<TaskId> for task::Id {
    type Error = Error;

    fn try_from(task: TaskId) -> Result<Self, Error> {
        parse(&task.0).ok_or(Error { text: task.0 })
    }
}

fn parse(text: &str) -> Option<task::Id> {
    let mut parts = text.splitn(3, '-');
    let job = job::Id::parse(parts.next()?)?;
    let index = parts.next()?.parse().ok()?;
    let attempt = parts.next()?.parse().ok()?;
    Some(task::Id { job, index, attempt })
}

impl From<&worker::Command> for Command {
    fn from(command: &worker::Command) -> Self {
        match command {
            worker::Command::Start { task, demand, payload } => {
                Self::Start { task: (*task).into(), demand: *demand, payload: payload.clone() }
            }
            worker::Command::Stop(task) => Self::Stop((*task).into()),
            worker::Command::Checkpoint(task) => Self::Checkpoint((*task).into()),
            worker::Command::Throttle(task) => Self::Throttle((*task).into()),
            worker::Command::Forget(task) => Self::Forget((*task).into()),
        }
    }
}

impl TryFrom<Command> for worker::Command {
    type Error = Error;

    fn try_from(command: Command) -> Result<Self, Error> {
        Ok(match command {
            Command::Start { task, demand, payload } => {
                Self::Start { task: task.try_into()?, demand, payload }
            }
            Command::Stop(task) => Self::Stop(task.try_into()?),
            Command::Checkpoint(task) => Self::Checkpoint(task.try_into()?),
            Command::Throttle(task) => Self::Throttle(task.try_into()?),
            Command::Forget(task) => Self::Forget(task.try_into()?),
        })
    }
}

impl From<&worker::Exchange> for Exchange {
    fn from(exchange: &worker::Exchange) -> Self {
        Self {
            epoch: exchange.epoch,
            lease_ms: millis(exchange.lease),
            commands: exchange.commands.iter().map(Command::from).collect(),
            seen: exchange.seen,
            wait_ms: millis(exchange.wait),
        }
    }
}

impl TryFrom<Exchange> for worker::Exchange {
    type Error = Error;

    fn try_from(exchange: Exchange) -> Result<Self, Error> {
        let commands = exchange.commands.into_iter().map(TryFrom::try_from);
        Ok(Self {
            epoch: exchange.epoch,
            lease: Duration::from_millis(exchange.lease_ms),
            commands: commands.collect::<Result<_, _>>()?,
            seen: exchange.seen,
            wait: Duration::from_millis(exchange.wait_ms),
        })
    }
}

impl From<task::Phase> for Phase {
    fn from(phase: task::Phase) -> Self {
        match phase {
            task::Phase::Running => Self::Running,
            task::Phase::Stopping => Self::Stopping,
            task::Phase::Ended(End::Succeeded) => Self::Succeeded,
            task::Phase::Ended(End::Failed) => Self::Failed,
            task::Phase::Ended(End::Stopped) => Self::Stopped,
            task::Phase::Ended(End::Checkpointed) => Self::Checkpointed,
            task::Phase::Ended(End::Lapsed) => Self::Lapsed,
            task::Phase::Ended(End::Rejected) => Self::Rejected,
        }
    }
}

impl From<Phase> for task::Phase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Running => Self::Running,
            Phase::Stopping => Self::Stopping,
            Phase::Succeeded => Self::Ended(End::Succeeded),
            Phase::Failed => Self::Ended(End::Failed),
            Phase::Stopped => Self::Ended(End::Stopped),
            Phase::Checkpointed => Self::Ended(End::Checkpointed),
            Phase::Lapsed => Self::Ended(End::Lapsed),
            Phase::Rejected => Self::Ended(End::Rejected),
        }
    }
}

impl From<&worker::Observation> for Observation {
    fn from(observation: &worker::Observation) -> Self {
        let (task, phase) = (observation.task.into(), observation.phase.into());
        Self { task, phase, demand: observation.demand, usage: observation.usage }
    }
}

impl TryFrom<Observation> for worker::Observation {
    type Error = Error;

    fn try_from(observation: Observation) -> Result<Self, Error> {
        let (task, phase) = (observation.task.try_into()?, observation.phase.into());
        Ok(Self { task, phase, demand: observation.demand, usage: observation.usage })
    }
}

impl From<&worker::Report> for Report {
    fn from(report: &worker::Report) -> Self {
        Self {
            run: report.run,
            sequence: report.sequence,
            full: report.full,
            tasks: report.tasks.iter().map(Observation::from).collect(),
            capacity: report.capacity,
        }
    }
}

impl TryFrom<Report> for worker::Report {
    type Error = Error;

    fn try_from(report: Report) -> Result<Self, Error> {
        let tasks = report.tasks.into_iter().map(TryFrom::try_from);
        Ok(Self {
            run: report.run,
            sequence: report.sequence,
            full: report.full,
            tasks: tasks.collect::<Result<_, _>>()?,
            capacity: report.capacity,
        })
    }
}
