//! What the engine is told about waiting and running work.

use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;
use crate::task;

/// Tasks of a job that wait to be placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The job.
    pub job: job::Id,
    /// Team whose quota the tasks count against.
    pub team: String,
    /// Job name under which run times are learned.
    pub name: String,
    /// How the tasks are placed.
    pub kind: Kind,
    /// How soon they should start.
    pub urgency: Urgency,
    /// Time by which every task must have ended.
    pub deadline: Option<Unix>,
    /// Declared run time of a task.
    pub run_time: Option<Duration>,
    /// What each task needs.
    pub demand: Amount,
    /// The tasks to place.
    pub tasks: Vec<task::Id>,
    /// When they began to wait.
    pub queued: Instant,
}

/// A task that already runs, as a new owner learns of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// What is reserved for the task.
    pub demand: Amount,
    /// Team whose quota it counts against.
    pub team: String,
    /// Job name under which run times are learned.
    pub name: String,
    /// How the task was placed.
    pub kind: Kind,
    /// How soon it should have started.
    pub urgency: Urgency,
    /// When it started.
    pub started: Instant,
    /// Declared run time.
    pub run_time: Option<Duration>,
    /// Time by which it must have ended.
    pub deadline: Option<Unix>,
}

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SchedulingState {
    /// Takes new tasks.
    #[default]
    Open,
    /// Keeps its tasks and takes no new ones.
    Draining,
    /// Cannot be reached or is not yet fenced; takes no new tasks.
    Closed,
}
