//! What the scheduler is doing.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::api::view::{Identity, preset, worker};
use crate::domain;
use crate::domain::Epoch;

/// How much work waits and runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Jobs with at least one pending task.
    pub waiting_jobs: u64,
    /// Tasks without a worker.
    pub pending_tasks: u64,
    /// Tasks that hold resources.
    pub running_tasks: u64,
    /// Tasks of which it is not known whether they run.
    pub uncertain_tasks: u64,
}

/// How the log answers an instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogHealth {
    /// Appends are answered in time.
    #[display("up")]
    Up,
    /// Appends are answered late.
    #[display("slow")]
    Slow,
    /// Appends are not answered.
    #[display("down")]
    Down,
}

/// What one failure domain is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Its name.
    pub name: domain::Name,
    /// Instance that owns it, if any is known.
    pub owner: Option<String>,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The preset in force there, as last heard.
    pub preset: preset::ActivePreset,
    /// Age of what is known of the domain.
    pub heard: Duration,
    /// How long the domain's configuration has gone unconfirmed by the log.
    pub staleness: Duration,
    /// Its workers.
    pub workers: worker::WorkerCounts,
    /// Its work.
    pub load: Load,
    /// How the log answers there.
    pub log: LogHealth,
    /// Alerts that nobody has acknowledged.
    pub open_alerts: u64,
}

/// What the scheduler is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: Identity,
    /// The preset in force, as this instance knows it.
    pub preset: preset::ActivePreset,
    /// All failure domains that this instance has heard of, its own first.
    pub domains: Vec<Domain>,
}
