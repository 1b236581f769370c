//! The border to workers, the upstreams that run tasks under leases.
//!
//! One exchange carries commands, renews the leases of the worker's tasks and returns what has
//! changed there. Every command is idempotent, because an exchange whose answer was lost is sent
//! again.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From};
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use crate::domain::Epoch;
use crate::resource::Amount;
use crate::task;

pub mod http;
pub mod wire;

/// Name of a worker, unique in its failure domain.
#[derive(
    Clone,
    Debug,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
#[from(&str, String)]
pub struct Name(String);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An instruction to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a task; a task already known by this identity stays as it is.
    Start {
        /// Identity of the try.
        task: task::Id,
        /// What to reserve for it.
        demand: Amount,
        /// Opaque instruction from the job.
        payload: String,
    },
    /// Stop a task and release what it holds.
    Stop(task::Id),
    /// Save a task's progress, then stop it.
    Checkpoint(task::Id),
    /// Hold a task to the processor time it declared.
    Throttle(task::Id),
    /// Drop the memory of an ended task; sent once its end is recorded.
    Forget(task::Id),
}

/// One call to a worker.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Fencing token of the caller; a worker refuses one smaller than it has seen.
    pub epoch: Epoch,
    /// Lease that this call renews for every task the worker runs; zero renews nothing. It counts
    /// from the issue of the report named by `seen`.
    pub lease: Duration,
    /// Instructions in order.
    pub commands: Vec<Command>,
    /// Sequence of the last report received; zero asks for a full one.
    pub seen: u64,
    /// How long the worker may hold the answer back while it has nothing new.
    pub wait: Duration,
}

/// State of one task at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Identity of the try.
    pub task: task::Id,
    /// Where it stands.
    pub phase: task::Phase,
    /// What is reserved for it.
    pub demand: Amount,
    /// What it was last measured to use, with a lag.
    pub usage: Amount,
}

/// A worker's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Identity of the worker's process; a change means that its tasks are gone.
    pub run: u64,
    /// Sequence number to name as `seen` in the next call.
    pub sequence: u64,
    /// Whether `tasks` lists every task that the worker knows, not only changes.
    pub full: bool,
    /// Tasks that changed.
    pub tasks: Vec<Observation>,
    /// What the worker has in all.
    pub capacity: Amount,
}

/// Why an exchange failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The worker has seen a larger epoch: the caller is no longer the owner.
    #[display("fenced by epoch {_0}")]
    Fenced(Epoch),
    /// Nothing reached the worker.
    #[display("nothing was sent: {_0}")]
    NotSent(String),
    /// The worker may have applied the call.
    #[display("no whole answer: {_0}")]
    Unknown(String),
}

/// An exchange that failed, with the worker at which it did.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=worker.exchange peer={peer} cause={fault}")]
pub struct Error {
    /// Address of the worker.
    pub peer: SocketAddr,
    /// What went wrong.
    #[error(not(source))]
    pub fault: Fault,
}

/// Way to reach workers.
pub trait WorkerTransport {
    /// Carries out one exchange with the worker at `peer`, within `timeout` on top of
    /// `exchange.wait`.
    ///
    /// # Errors
    ///
    /// Returns the [`Fault`] that says whether the worker may have applied the call.
    fn exchange<'a>(
        &'a self,
        peer: SocketAddr,
        exchange: &'a Exchange,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Report, Error>>;
}
