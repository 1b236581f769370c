//! What the engine decides.

use crate::{job, task, worker};

/// A task and the worker that is to run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The task to start.
    pub task: task::Id,
    /// Where its resources are reserved.
    pub worker: worker::Name,
}

/// One step that the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Start tasks of a job; all tasks of a gang come in one such decision.
    Start {
        /// The job.
        job: job::Id,
        /// Its tasks with their workers.
        tasks: Vec<Assignment>,
    },
    /// Checkpoint a running task to make room.
    ///
    /// The task keeps its reservation until the caller reports it gone by
    /// [`Engine::release`](super::Engine::release) or [`Engine::finish`](super::Engine::finish).
    Preempt {
        /// The task to checkpoint.
        task: task::Id,
        /// Where it runs.
        worker: worker::Name,
        /// The urgent job that gets the room.
        beneficiary: job::Id,
    },
}
