//! Decisions of the placement engine.

use crate::{job, task, worker};

/// A task and the worker that is to run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The task to start.
    pub task: task::Id,
    /// The worker on which its resources are allocated.
    pub worker: worker::Name,
}

/// A start or a preemption for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start tasks of a job; all tasks of a gang come in one such decision.
    Start {
        /// The job.
        job: job::Id,
        /// Its tasks with their workers.
        tasks: Vec<Assignment>,
    },
    /// Checkpoint a running task to free its resources.
    ///
    /// The task keeps its allocation until the caller reports that it has ended, by
    /// [`Engine::release`](super::Engine::release) or [`Engine::finish`](super::Engine::finish).
    Preempt {
        /// The task to checkpoint.
        task: task::Id,
        /// The worker on which it runs.
        worker: worker::Name,
        /// The job that gets the freed resources.
        beneficiary: job::Id,
    },
}
