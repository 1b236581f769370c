//! Jobs of several steps, their tasks, and the attempts to run a task.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use super::customer::Name;
use crate::clock::Unix;
use crate::resource::Amount;

/// Maximum number of steps of a job. It is far above any real job and bounds the memory that one
/// call can make an owner use.
pub const MAX_STEPS: usize = 256;

/// Maximum number of tasks of a job over all its steps.
pub const MAX_TASKS: u64 = 20_000;

/// Length of a job ID in characters.
const ID_CHARACTERS: usize = 16;

/// ID of a job: sixteen hexadecimal digits chosen by the caller. The case of letters is kept.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id([u8; ID_CHARACTERS]);

/// Error for a text that is not a job ID.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("a job's identity has sixteen hexadecimal digits")]
pub struct InvalidId;

impl FromStr for Id {
    type Err = InvalidId;

    /// ```
    /// use oriolefork::cell::job::Id;
    /// assert!("5c0e7a21d94b36f8".parse::<Id>().is_ok());
    /// assert!("5c0e7a21d94b36f".parse::<Id>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, InvalidId> {
        let bytes: [u8; ID_CHARACTERS] = text.as_bytes().try_into().map_err(|_| InvalidId)?;
        if bytes.iter().all(u8::is_ascii_hexdigit) { Ok(Self(bytes)) } else { Err(InvalidId) }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{}", *byte as char))
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// ID chosen by the caller.
    pub id: Id,
    /// Name of the queue that it was submitted to.
    pub queue: String,
    /// Customer that submitted it; `None` for an anonymous caller, or on a site without customers.
    pub customer: Option<Name>,
    /// Text for the workers, passed on unchanged.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// Schedule of a repeated job.
    pub schedule: Option<Schedule>,
}

/// Times at which the steps of a repeated job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due.
    pub first: Unix,
    /// Interval between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Total number of occurrences.
    pub count: u32,
}

/// A step: equal tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub demand: Amount,
    /// The caller's estimate of the run time of one task, in milliseconds.
    pub estimate_ms: u64,
    /// Indexes of earlier steps that must have succeeded before this one starts.
    #[serde(rename = "after")]
    pub depends_on: Vec<usize>,
    /// Whether its tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether the step is a gang: its tasks work only when all of them run at once.
    pub gang: bool,
    /// Whether the tasks are much slower on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    #[serde(rename = "label")]
    pub required_label: Option<String>,
    /// Rack that holds the data. The tasks are much slower elsewhere.
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step on one worker; zero for no limit.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether several attempts of a task may run at once.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run, as named by the caller.
    pub image: Option<String>,
    /// Target for the tail latency of long-running tasks, in milliseconds.
    #[serde(rename = "target_ms")]
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks use idle CPU of other tasks instead of having CPU allocated to them.
    #[serde(rename = "fills")]
    pub opportunistic: bool,
    /// For long-running steps: maximum number of tasks that actions of the scheduler may make
    /// unavailable at one time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Why a job is invalid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidJob {
    /// It has no steps, or too many.
    #[display("a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no tasks, or the job has too many.
    #[display("each step has a task, and a job at most {MAX_TASKS}")]
    Tasks,
    /// A step depends on itself, on a later step, or on one that does not exist.
    #[display("step {step} must come after earlier steps only")]
    Order {
        /// Index of the step.
        step: usize,
    },
    /// The job repeats with an interval of zero.
    #[display("the interval of a repeated job must be greater than zero")]
    Schedule,
}

impl Step {
    /// Whether its tasks serve requests of users and have a latency target.
    pub const fn has_latency_target(&self) -> bool {
        self.latency_target_ms.is_some()
    }

    /// Size of its texts and of its list of earlier steps, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let texts = text(&self.required_label) + text(&self.data_rack) + text(&self.image);
        texts + size_of::<usize>() * self.depends_on.len()
    }

    /// Resources allocated to one task on its worker.
    pub const fn allocation(&self) -> Amount {
        if self.opportunistic { Amount { cpu_millis: 0, ..self.demand } } else { self.demand }
    }
}

impl Job {
    /// Checks the constraints that the wire format does not enforce.
    ///
    /// # Errors
    /// Returns the first violated constraint.
    pub fn validate(&self) -> Result<(), InvalidJob> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(InvalidJob::Steps);
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if self.steps.iter().any(|step| step.count == 0) || tasks > MAX_TASKS {
            return Err(InvalidJob::Tasks);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.depends_on.iter().any(|&earlier| earlier >= number) {
                return Err(InvalidJob::Order { step: number });
            }
        }
        match self.schedule {
            Some(schedule) if schedule.interval_ms == 0 && schedule.count > 1 => {
                Err(InvalidJob::Schedule)
            }
            _ => Ok(()),
        }
    }

    /// Number of times that its steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// Due time of occurrence `number`; `None` for a job that runs at once.
    pub fn due_at(&self, number: u32) -> Option<Unix> {
        let schedule = self.schedule?;
        let offset = schedule.interval_ms.saturating_mul(u64::from(number));
        Some(Unix::from_millis(schedule.first.as_millis().saturating_add(offset)))
    }
}

/// Identifies one step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: Id,
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
}

impl StepKey {
    /// Smallest key of the steps of `job`.
    pub(super) const fn first(job: Id) -> Self {
        Self { job, occurrence: 0, step: 0 }
    }
}

/// Identifies one task.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Index of the task within the step.
    pub index: u32,
}

/// Error for a text that is not a task key. A task key has four parts, separated by dots.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not the name of a task")]
pub struct InvalidTaskKey;

impl FromStr for TaskKey {
    type Err = InvalidTaskKey;

    /// ```
    /// use oriolefork::cell::job::TaskKey;
    /// let key: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
    /// assert_eq!(key.to_string(), "5c0e7a21d94b36f8.0.1.17");
    /// ```
    fn from_str(text: &str) -> Result<Self, InvalidTaskKey> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(InvalidTaskKey);
        let job = part()?.parse().map_err(|_| InvalidTaskKey)?;
        let occurrence = part()?.parse().map_err(|_| InvalidTaskKey)?;
        let step = part()?.parse().map_err(|_| InvalidTaskKey)?;
        let index = part()?.parse().map_err(|_| InvalidTaskKey)?;
        if parts.next().is_some() {
            return Err(InvalidTaskKey);
        }
        Ok(Self { step: StepKey { job, occurrence, step }, index })
    }
}

/// One attempt to run a task.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{task}#{number}")]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Number of the attempt, which rises with each one. The members of one attempt of a gang share
    /// it.
    pub number: u32,
}

impl Run {
    /// Smallest run of `step`. Runs of later steps are greater.
    pub(super) const fn first(step: StepKey) -> Self {
        Self { task: TaskKey { step, index: 0 }, number: 0 }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{}", self.name())]
pub enum RunOutcome {
    /// The task succeeded.
    #[serde(rename = "Done")]
    Succeeded,
    /// The attempt failed, because of the task or of its worker.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its worker's lease ran out.
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[serde(rename = "Broken")]
    GangBroken,
    /// The other members of its gang did not start in time.
    #[serde(rename = "Alone")]
    GangTimeout,
    /// It did not start and cannot start any more.
    #[serde(rename = "Void")]
    NeverStarted,
    /// Its worker is gone.
    #[serde(rename = "Lost")]
    WorkerLost,
    /// Its worker crashed during the attempt.
    #[serde(rename = "Crashed")]
    WorkerCrashed,
    /// Its worker crashed when the attempt started, so the task may be the cause.
    #[serde(rename = "CrashedAtStart")]
    WorkerCrashedAtStart,
}

/// Phase of a job as shown to callers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{}", self.name())]
pub enum Phase {
    /// No task has started.
    Pending,
    /// Some task has started.
    Running,
    /// All tasks succeeded.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl RunOutcome {
    /// Whether the worker reported this outcome, which proves that the attempt started.
    pub const fn is_reported_by_worker(self) -> bool {
        !matches!(
            self,
            Self::NeverStarted
                | Self::WorkerLost
                | Self::WorkerCrashed
                | Self::WorkerCrashedAtStart
        )
    }

    /// Value of the metrics label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Succeeded => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::LeaseExpired => "lapsed",
            Self::GangBroken => "broken",
            Self::GangTimeout => "alone",
            Self::NeverStarted => "void",
            Self::WorkerLost => "lost",
            Self::WorkerCrashed => "crashed",
            Self::WorkerCrashedAtStart => "crashed_at_start",
        }
    }
}

impl Phase {
    /// Name in responses, log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Whether the job will never run again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
