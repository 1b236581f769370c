//! Interface to workers, the upstreams that run tasks under leases.
//!
//! One exchange sends commands, renews the leases of the worker's tasks and returns the tasks whose
//! state has changed. All commands are idempotent, because an exchange whose response was lost is
//! sent again.

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

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a task; has no effect if the worker already has a task with this identity.
    Start {
        /// Identity of the attempt.
        task: task::Id,
        /// Resources to allocate to it.
        demand: Amount,
        /// Opaque payload from the job.
        payload: String,
    },
    /// Stop a task and release its resources.
    Stop(task::Id),
    /// Save a checkpoint of a task, then stop it.
    Checkpoint(task::Id),
    /// Limit a task to the CPU time it declared.
    Throttle(task::Id),
    /// Delete the state of an ended task; sent once its end is recorded in the log.
    Forget(task::Id),
}

/// One exchange with a worker: the request.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Fencing token of the caller; a worker refuses an exchange with one smaller than the largest
    /// it has received.
    pub epoch: Epoch,
    /// Duration of the lease that this call grants to every task the worker runs, counted from the
    /// time at which the worker issued the report `seen`; zero renews nothing.
    pub lease: Duration,
    /// Commands, in the order in which they are carried out.
    pub commands: Vec<Command>,
    /// Sequence number of the last report received; zero requests a full report.
    pub seen: u64,
    /// How long the worker may delay its response while no task has changed.
    pub wait: Duration,
}

/// State of one task at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Identity of the attempt.
    pub task: task::Id,
    /// Phase of its execution.
    pub phase: task::Phase,
    /// Resources allocated to it.
    pub demand: Amount,
    /// Resources it used when last measured; lags behind the actual use.
    pub usage: Amount,
}

/// A worker's response to an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Identity of the worker's process; if it changes, the tasks of the former process are lost.
    pub run: u64,
    /// Sequence number to send as [`Exchange::seen`] in the next exchange.
    pub sequence: u64,
    /// Whether `tasks` lists all tasks of the worker, not only the changed ones.
    pub full: bool,
    /// Tasks whose state has changed, or all tasks in a full report.
    pub tasks: Vec<Observation>,
    /// Total resources of the worker.
    pub capacity: Amount,
}

/// Why an exchange failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The worker has received a larger epoch: the caller is no longer the owner.
    #[display("fenced by epoch {_0}")]
    Fenced(Epoch),
    /// The exchange was not sent.
    #[display("nothing was sent: {_0}")]
    NotSent(String),
    /// The worker may have carried out the commands.
    #[display("no whole answer: {_0}")]
    Unknown(String),
}

/// Error of an exchange, with the address of the worker.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=worker.exchange peer={peer} cause={fault}")]
pub struct Error {
    /// Address of the worker.
    pub peer: SocketAddr,
    /// Cause of the failure.
    #[error(not(source))]
    pub fault: Fault,
}

/// Sends exchanges to workers.
pub trait WorkerTransport {
    /// Performs one exchange with the worker at `peer`, within `exchange.wait` plus `timeout`.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] that states whether the worker may have carried out the commands.
    fn exchange<'a>(
        &'a self,
        peer: SocketAddr,
        exchange: &'a Exchange,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Report, Error>>;
}
