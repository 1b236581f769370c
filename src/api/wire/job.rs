//! Jobs and their tasks.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::view::job::{Durability, State};
use crate::api::wire::{Amount, check};
use crate::clock::{self, Unix};
use crate::{job, task};

/// What a job asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Spec {
    /// Name under which run times are learned.
    pub name: String,
    /// Team whose quota the job counts against.
    pub team: String,
    /// How the tasks are placed.
    pub kind: job::Kind,
    /// Number of tasks.
    #[serde(default = "one")]
    pub tasks: u32,
    /// What each task needs.
    pub demand: Amount,
    /// Whether a task may be started again.
    #[serde(default)]
    pub effect: job::Effect,
    /// How soon it should start.
    #[serde(default)]
    pub urgency: job::Urgency,
    /// Expected run time of a task in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub run_time_ms: Option<u64>,
    /// Milliseconds since the Unix epoch by which every task must have ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_unix_ms: Option<u64>,
    /// Opaque instruction for the worker.
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

/// Checks what a long-running job, which has no end of its own, cannot be asked for.
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

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Accepted {
    /// Its identity.
    pub job: String,
    /// Where its record is kept.
    pub durability: Durability,
    /// Whether an earlier call with the same key had been accepted already.
    pub duplicate: bool,
}

impl From<view::job::Accepted> for Accepted {
    fn from(accepted: view::job::Accepted) -> Self {
        let view::job::Accepted { job, durability, duplicate } = accepted;
        Self { job: job.to_string(), durability, duplicate }
    }
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Waits for a worker.
    Pending,
    /// Has a worker, which has not yet confirmed the start.
    Starting,
    /// Runs.
    Running,
    /// Was told to stop, which the worker has not yet confirmed.
    Stopping,
    /// May or may not run.
    Uncertain,
    /// Finished its work.
    Succeeded,
    /// Reported a failure.
    Failed,
    /// Was stopped on request.
    Stopped,
    /// Was checkpointed on request.
    Checkpointed,
    /// Was stopped by its worker because its lease lapsed.
    Lapsed,
    /// Could not be started by its worker and never ran.
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
    /// Position among the job's tasks, from zero.
    pub index: u32,
    /// Count of earlier tries.
    pub attempt: u32,
    /// Where it stands.
    pub state: Phase,
    /// Worker of the present try, or of the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker: Option<String>,
    /// When the present try started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_unix_ms: Option<u64>,
    /// When the task ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// Why it waits, failed or is uncertain.
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

/// A job in a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Summary {
    /// Its identity.
    pub id: String,
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
    pub submitted_unix_ms: u64,
    /// Time by which every task must have ended.
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
    /// What lists show too.
    #[serde(flatten)]
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

/// Why a job waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Explanation {
    /// The job.
    pub job: String,
    /// Where it stands.
    pub state: State,
    /// Why, in a sentence for people.
    pub reason: String,
    /// What an operator can do about it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<String>,
    /// How long it has waited.
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
