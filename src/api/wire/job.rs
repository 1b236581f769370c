//! JSON form of jobs and their tasks.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::view::job::{Durability, State};
use crate::api::wire::{Amount, check};
use crate::clock::{self, Unix};
use crate::{job, task};

/// Specification of a job in a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Spec {
    /// Name of the job; run times are learned per name.
    pub name: String,
    /// Team whose quota the job counts against.
    pub team: String,
    /// How the tasks are placed.
    pub kind: job::Kind,
    /// Number of tasks.
    #[serde(default = "one")]
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: Amount,
    /// Whether a task may be started again.
    #[serde(default)]
    pub effect: job::Effect,
    /// How soon the job should start.
    #[serde(default)]
    pub urgency: job::Urgency,
    /// Expected run time of a task in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_time_ms: Option<u64>,
    /// Milliseconds since the Unix epoch by which every task must have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<u64>,
    /// Instruction for the worker, which the scheduler does not interpret.
    #[serde(default)]
    pub payload: String,
}

const fn one() -> u32 {
    1
}

impl TryFrom<Spec> for job::Spec {
    type Error = Refusal;

    fn try_from(spec: Spec) -> Result<Self, Refusal> {
        check::name("name", &spec.name)?;
        check::name("team", &spec.team)?;
        check::in_range("tasks", spec.tasks.into(), 1, check::MAX_TASKS.into())?;
        let demand = spec.demand.into_demand("demand")?;
        if let Some(run_time) = spec.run_time_ms {
            check::in_range("run-time-ms", run_time, 1, clock::millis(check::MAX_RUN_TIME))?;
        }
        check::max_length("payload", &spec.payload, check::MAX_PAYLOAD_BYTES)?;
        check_kind(&spec)?;
        Ok(Self {
            name: spec.name,
            team: spec.team,
            kind: spec.kind,
            tasks: spec.tasks,
            demand,
            effect: spec.effect,
            urgency: spec.urgency,
            run_time: spec.run_time_ms.map(Duration::from_millis),
            deadline: spec.deadline_unix_ms.map(Unix::from_millis),
            payload: spec.payload,
        })
    }
}

/// Refuses settings that contradict a long-running job, which runs until it is cancelled.
fn check_kind(spec: &Spec) -> Result<(), Refusal> {
    if spec.kind != job::Kind::LongRunning {
        return Ok(());
    }
    if spec.deadline_unix_ms.is_some() {
        let message = "a long-running job has no end, so it cannot have a deadline";
        return Err(Refusal::invalid("deadline-unix-ms", message));
    }
    if spec.effect == job::Effect::AtMostOnce {
        let message = "a long-running job is started again when it ends, so it cannot be \
                       at-most-once; use batch";
        return Err(Refusal::invalid("effect", message));
    }
    Ok(())
}

impl From<job::Spec> for Spec {
    fn from(spec: job::Spec) -> Self {
        Self {
            name: spec.name,
            team: spec.team,
            kind: spec.kind,
            tasks: spec.tasks,
            demand: spec.demand.into(),
            effect: spec.effect,
            urgency: spec.urgency,
            run_time_ms: spec.run_time.map(clock::millis),
            deadline_unix_ms: spec.deadline.map(Unix::as_millis),
            payload: spec.payload,
        }
    }
}

/// Response to an accepted submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Accepted {
    /// Id of the job.
    pub job: String,
    /// Where the job's record is stored.
    pub durability: Durability,
    /// Whether an earlier call with the same key was already accepted.
    pub duplicate: bool,
}

impl From<view::job::Accepted> for Accepted {
    fn from(accepted: view::job::Accepted) -> Self {
        let view::job::Accepted { job, durability, duplicate } = accepted;
        Self { job: job.to_string(), durability, duplicate }
    }
}

/// State of a task.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The task waits for a worker.
    Pending,
    /// The task was placed, and its worker has not confirmed the start yet.
    Starting,
    /// The task runs.
    Running,
    /// The worker was instructed to stop the task and has not confirmed it yet.
    Stopping,
    /// The task may or may not run.
    Uncertain,
    /// The task completed its work.
    Succeeded,
    /// The task reported a failure.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The task was checkpointed on request.
    Checkpointed,
    /// The worker stopped the task because its lease expired.
    Lapsed,
    /// The worker could not start the task, which never ran.
    Rejected,
}

impl From<view::job::Phase> for Phase {
    fn from(phase: view::job::Phase) -> Self {
        use view::job::Phase as From;
        match phase {
            From::Pending => Self::Pending,
            From::Starting => Self::Starting,
            From::Running => Self::Running,
            From::Stopping => Self::Stopping,
            From::Uncertain => Self::Uncertain,
            From::Ended(end) => end.into(),
        }
    }
}

impl From<task::End> for Phase {
    fn from(end: task::End) -> Self {
        match end {
            task::End::Succeeded => Self::Succeeded,
            task::End::Failed => Self::Failed,
            task::End::Stopped => Self::Stopped,
            task::End::Checkpointed => Self::Checkpointed,
            task::End::Lapsed => Self::Lapsed,
            task::End::Rejected => Self::Rejected,
        }
    }
}

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Task {
    /// Index among the job's tasks, starting at zero.
    pub index: u32,
    /// Number of earlier attempts.
    pub attempt: u32,
    /// Current state.
    pub state: Phase,
    /// Worker of the current or the last attempt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// When the current attempt started, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
    /// When the task ended, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// Why the task waits, failed or is uncertain.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl From<view::job::Task> for Task {
    fn from(task: view::job::Task) -> Self {
        Self {
            index: task.index,
            attempt: task.attempt,
            state: task.state.into(),
            worker: task.worker.map(|worker| worker.to_string()),
            started_unix_ms: task.started.map(Unix::as_millis),
            ended_unix_ms: task.ended.map(Unix::as_millis),
            reason: task.reason,
        }
    }
}

/// Summary of a job, as shown in lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Id of the job.
    pub id: String,
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
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Time by which every task must have ended, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<u64>,
}

impl From<view::job::Summary> for Summary {
    fn from(summary: view::job::Summary) -> Self {
        Self {
            id: summary.id.to_string(),
            name: summary.name,
            team: summary.team,
            kind: summary.kind,
            urgency: summary.urgency,
            state: summary.state,
            tasks: summary.tasks,
            submitted_unix_ms: summary.submitted.as_millis(),
            deadline_unix_ms: summary.deadline.map(Unix::as_millis),
        }
    }
}

/// A job with its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Job {
    /// Summary of the job.
    #[serde(flatten)]
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
    pub task_list: Vec<Task>,
}

impl From<view::job::Job> for Job {
    fn from(job: view::job::Job) -> Self {
        Self {
            summary: job.summary.into(),
            key: job.key,
            demand: job.demand.into(),
            effect: job.effect,
            durability: job.durability,
            task_list: job.tasks.into_iter().map(Into::into).collect(),
        }
    }
}

/// Explanation of why a job waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// Id of the job.
    pub job: String,
    /// Current state.
    pub state: State,
    /// Human-readable reason.
    pub reason: String,
    /// What an operator can do to let the job start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<String>,
    /// Time that the job has waited, in milliseconds.
    pub waited_ms: u64,
}

impl From<view::job::Explanation> for Explanation {
    fn from(explanation: view::job::Explanation) -> Self {
        Self {
            job: explanation.job.to_string(),
            state: explanation.state,
            reason: explanation.reason,
            advice: explanation.advice,
            waited_ms: clock::millis(explanation.waited),
        }
    }
}
