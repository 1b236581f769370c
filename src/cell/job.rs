//! Jobs of several steps, their tasks and the tries to run them.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::resource::Amount;

/// Most steps of one job. Far above any real job; bounds what one call can make an owner keep.
pub const MAX_STEPS: usize = 256;

/// Most tasks of one job over all its steps.
pub const MAX_TASKS: u64 = 20_000;

/// Characters of a job's identity.
const ID_CHARACTERS: usize = 16;

/// Identity of a job: sixteen hexadecimal digits that the caller chose, kept as written.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id([u8; ID_CHARACTERS]);

/// Text that is no identity of a job.
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

/// What a caller submits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identity chosen by the caller.
    pub id: Id,
    /// Name of the queue it was handed to.
    pub queue: String,
    /// Text for the workers, passed on as it came.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<Step>,
    /// When it runs again, if it does.
    pub schedule: Option<Schedule>,
}

/// The times at which a job's steps run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due.
    pub first: Unix,
    /// Rest between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Occurrences in all.
    pub count: u32,
}

/// Equal tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks.
    pub count: u32,
    /// What each task needs.
    pub demand: Amount,
    /// Rough run time of one task, in milliseconds, as the caller guessed it.
    pub estimate_ms: u64,
    /// Earlier steps that must all have ended well before this one starts.
    #[serde(rename = "after")]
    pub depends_on: Vec<usize>,
    /// Whether its tasks save their progress.
    pub checkpoints: bool,
    /// Whether the tasks only work together.
    pub gang: bool,
    /// Whether the tasks are much slower on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must carry.
    #[serde(rename = "label")]
    pub required_label: Option<String>,
    /// Rack where the data lies; elsewhere the tasks are much slower.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; zero for no bound.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether several copies of a task may run at once.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// What the tasks run, as the caller names it.
    pub image: Option<String>,
    /// Bound on the tail of the response times of lasting tasks, in milliseconds.
    #[serde(rename = "target_ms")]
    pub latency_target_ms: Option<u64>,
    /// Whether the tasks take what others leave unused instead of room of their own.
    #[serde(rename = "fills")]
    pub opportunistic: bool,
    /// Tasks that the scheduler's own actions may keep away at one time, for lasting steps.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

/// Why a job is refused for good.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidJob {
    /// It has no steps or too many.
    #[display("a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no tasks, or all have too many.
    #[display("each step has a task, and a job at most {MAX_TASKS}")]
    Tasks,
    /// A step waits for itself, for a later one, or for one that is not there.
    #[display("step {step} must come after earlier steps only")]
    Order {
        /// The step.
        step: usize,
    },
    /// The times of its occurrences do not add up.
    #[display("the interval of a repeated job must be greater than zero")]
    Schedule,
}

impl Step {
    /// Whether its tasks serve users of their own and must answer them in time.
    pub const fn has_latency_target(&self) -> bool {
        self.latency_target_ms.is_some()
    }

    /// Room that one task takes on its worker.
    pub const fn allocation(&self) -> Amount {
        if self.opportunistic { Amount { cpu_millis: 0, ..self.demand } } else { self.demand }
    }
}

impl Job {
    /// Checks what the wire form cannot rule out.
    ///
    /// # Errors
    /// Tells the first thing that is wrong.
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

    /// How often its steps run.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count.max(1))
    }

    /// When occurrence `number` is due; `None` for a job that runs at once.
    pub fn due_at(&self, number: u32) -> Option<Unix> {
        let schedule = self.schedule?;
        let offset = schedule.interval_ms.saturating_mul(u64::from(number));
        Some(Unix::from_millis(schedule.first.as_millis().saturating_add(offset)))
    }
}

/// Names one step of one occurrence of a job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: Id,
    /// Which of its occurrences.
    pub occurrence: u32,
    /// Which of its steps.
    pub step: u32,
}

impl StepKey {
    /// Name that stands before those of all steps of `job`.
    pub(super) const fn first(job: Id) -> Self {
        Self { job, occurrence: 0, step: 0 }
    }
}

/// Names one task.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Its number within the step.
    pub index: u32,
}

/// A task's name in four parts, as workers write it, that cannot be read.
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

/// One try to run a task.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{task}#{number}")]
pub struct Run {
    /// The task.
    pub task: TaskKey,
    /// Rises with each try; the members of one try of a gang share it.
    pub number: u32,
}

impl Run {
    /// Name that stands before those of all tries of `step` and of the steps after it.
    pub(super) const fn first(step: StepKey) -> Self {
        Self { task: TaskKey { step, index: 0 }, number: 0 }
    }
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{}", self.name())]
pub enum RunOutcome {
    /// The task has done its work.
    #[serde(rename = "Done")]
    Succeeded,
    /// It failed by its own fault or its worker's.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its worker's lease ran out.
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[serde(rename = "Broken")]
    GangBroken,
    /// It waited too long for the other members of its gang.
    #[serde(rename = "Alone")]
    GangTimeout,
    /// It never began and surely never will.
    #[serde(rename = "Void")]
    NeverStarted,
    /// Its worker is gone, and the try with it.
    #[serde(rename = "Lost")]
    WorkerLost,
    /// Its worker crashed while it was there.
    #[serde(rename = "Crashed")]
    WorkerCrashed,
    /// Its worker crashed as it began, so that it may be the cause.
    #[serde(rename = "CrashedAtStart")]
    WorkerCrashedAtStart,
}

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{}", self.name())]
pub enum Phase {
    /// No task has started.
    Pending,
    /// Some task has started.
    Running,
    /// All tasks have done their work.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl RunOutcome {
    /// Whether its worker told of it, so that the try surely began.
    pub const fn is_reported_by_worker(self) -> bool {
        !matches!(
            self,
            Self::NeverStarted
                | Self::WorkerLost
                | Self::WorkerCrashed
                | Self::WorkerCrashedAtStart
        )
    }

    /// Its name in metrics.
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
    /// Its name in answers, log lines and metrics.
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
