//! Workers and the orders that operators give about them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::resource::Amount;
use crate::worker;

/// How a worker stands with the owner of its failure domain.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work.
    #[display("live")]
    Live,
    /// Finishes what it runs and takes no new work.
    #[display("draining")]
    Draining,
    /// Fails what it starts and takes no new work.
    #[display("quarantined")]
    Quarantined,
    /// Answers, but has not yet accepted the owner's epoch and told what it runs.
    #[display("unfenced")]
    Unfenced,
    /// Does not answer.
    #[display("unreachable")]
    Unreachable,
    /// Given up on an operator's word.
    #[display("lost")]
    Lost,
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: worker::Name,
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

/// An operator's order about a worker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Give it no new work.
    #[display("drain")]
    Drain,
    /// Give it work again.
    #[display("undrain")]
    Undrain,
    /// It is gone for good: whatever it ran does not run any more.
    #[display("lost")]
    Lost,
}

/// How many workers stand in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Take work.
    pub live: u32,
    /// Take no new work by order or because they fail what they start.
    pub draining: u32,
    /// Not yet fenced by the owner's epoch.
    pub unfenced: u32,
    /// Do not answer.
    pub unreachable: u32,
}
