//! JSON form of workers.

use serde::{Deserialize, Serialize};

use crate::api::view;
use crate::api::view::worker::State;
use crate::api::wire::Amount;

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker.
    pub name: String,
    /// Rack of the worker.
    pub rack: String,
    /// Current state.
    pub state: State,
    /// Total resources of the worker.
    pub capacity: Amount,
    /// Resources held by tasks on the worker.
    pub reserved: Amount,
    /// Number of tasks that hold resources on the worker.
    pub tasks: u32,
}

impl From<view::worker::Worker> for Worker {
    fn from(worker: view::worker::Worker) -> Self {
        Self {
            name: worker.name.to_string(),
            rack: worker.rack,
            state: worker.state,
            capacity: worker.capacity.into(),
            reserved: worker.reserved.into(),
            tasks: worker.tasks,
        }
    }
}

/// Workers of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Workers, ordered by name.
    pub workers: Vec<Worker>,
}

impl From<Vec<view::worker::Worker>> for List {
    fn from(workers: Vec<view::worker::Worker>) -> Self {
        Self { workers: workers.into_iter().map(Into::into).collect() }
    }
}

/// Number of workers by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Workers that accept new tasks.
    pub live: u32,
    /// Workers that get no new tasks.
    pub draining: u32,
    /// Workers that have not accepted the owner's epoch yet.
    pub unfenced: u32,
    /// Workers that do not respond.
    pub unreachable: u32,
}

impl From<view::worker::WorkerCounts> for WorkerCounts {
    fn from(count: view::worker::WorkerCounts) -> Self {
        let view::worker::WorkerCounts { live, draining, unfenced, unreachable } = count;
        Self { live, draining, unfenced, unreachable }
    }
}
