//! Views of workers, and operators' actions on them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::resource::Amount;
use crate::worker;

/// State of a worker as seen by the owner of its failure domain.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The worker accepts new tasks.
    #[display("live")]
    Live,
    /// The worker finishes its running tasks and gets no new ones.
    #[display("draining")]
    Draining,
    /// Tasks fail on the worker, which therefore gets no new ones.
    #[display("quarantined")]
    Quarantined,
    /// The worker responds, but has not yet accepted the owner's epoch and reported its tasks.
    #[display("unfenced")]
    Unfenced,
    /// The worker does not respond.
    #[display("unreachable")]
    Unreachable,
    /// An operator declared the worker lost.
    #[display("lost")]
    Lost,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker.
    pub name: worker::Name,
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

/// Action of an operator on a worker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Stop placing new tasks on the worker.
    #[display("drain")]
    Drain,
    /// Place new tasks on the worker again.
    #[display("undrain")]
    Undrain,
    /// Declare the worker permanently gone; none of its tasks runs any more.
    #[display("lost")]
    Lost,
}

/// Number of workers by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Workers that accept new tasks.
    pub live: u32,
    /// Workers that get no new tasks because they are drained or quarantined.
    pub draining: u32,
    /// Workers that have not accepted the owner's epoch yet.
    pub unfenced: u32,
    /// Workers that do not respond.
    pub unreachable: u32,
}
