//! Waiting and running tasks and the state of workers, as passed to the engine.

use std::time::Duration;

use crate::clock::{Instant, Unix};
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;
use crate::task;

/// Waiting tasks of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The job.
    pub job: job::Id,
    /// Team whose quota the tasks count against.
    pub team: String,
    /// Job name by which run times are estimated.
    pub name: String,
    /// How the tasks are placed.
    pub kind: Kind,
    /// Whether they go before normal jobs.
    pub urgency: Urgency,
    /// Time by which every task must have ended.
    pub deadline: Option<Unix>,
    /// Declared run time of a task.
    pub run_time: Option<Duration>,
    /// Demand of each task.
    pub demand: Amount,
    /// The tasks to place.
    pub tasks: Vec<task::Id>,
    /// When they began to wait.
    pub queued: Instant,
}

/// A task that already runs when a new owner takes over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// Resources to allocate.
    pub demand: Amount,
    /// Team whose quota it counts against.
    pub team: String,
    /// Job name by which run times are estimated.
    pub name: String,
    /// How the task was placed.
    pub kind: Kind,
    /// Whether it went before normal jobs.
    pub urgency: Urgency,
    /// When it started.
    pub started: Instant,
    /// Declared run time.
    pub run_time: Option<Duration>,
    /// Time by which it must have ended.
    pub deadline: Option<Unix>,
}

/// Whether a worker accepts new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum SchedulingState {
    /// Accepts new tasks.
    #[default]
    Open,
    /// Keeps its tasks and accepts no new ones.
    Draining,
    /// Unreachable or not yet fenced; accepts no new tasks.
    Closed,
}
