//! Workers.

use serde::{Deserialize, Serialize};

use crate::api::view;
use crate::api::view::worker::State;
use crate::api::wire::Amount;

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Rack it stands in.
    pub rack: String,
    /// How it stands.
    pub state: State,
    /// What it has.
    pub capacity: Amount,
    /// What is reserved on it.
    pub reserved: Amount,
    /// Tasks that hold resources on it.
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
    /// The workers in order of name.
    pub workers: Vec<Worker>,
}

impl From<Vec<view::worker::Worker>> for List {
    fn from(workers: Vec<view::worker::Worker>) -> Self {
        Self { workers: workers.into_iter().map(Into::into).collect() }
    }
}

/// How many workers stand in which way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Take work.
    pub live: u32,
    /// Take no new work.
    pub draining: u32,
    /// Not yet fenced by the owner's epoch.
    pub unfenced: u32,
    /// Do not answer.
    pub unreachable: u32,
}

impl From<view::worker::WorkerCounts> for WorkerCounts {
    fn from(count: view::worker::WorkerCounts) -> Self {
        let view::worker::WorkerCounts { live, draining, unfenced, unreachable } = count;
        Self { live, draining, unfenced, unreachable }
    }
}
