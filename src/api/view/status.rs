//! Status of the scheduler.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::api::view::{Identity, preset, worker};
use crate::domain;
use crate::domain::Epoch;

/// Number of waiting and running jobs and tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Jobs with at least one pending task.
    pub waiting_jobs: u64,
    /// Tasks without a worker.
    pub pending_tasks: u64,
    /// Tasks that hold resources.
    pub running_tasks: u64,
    /// Tasks that may or may not run.
    pub uncertain_tasks: u64,
}

/// How the log responds to an instance's appends.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogHealth {
    /// Appends complete in time.
    #[display("up")]
    Up,
    /// Appends complete late.
    #[display("slow")]
    Slow,
    /// Appends get no response.
    #[display("down")]
    Down,
}

/// Status of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// Name of the failure domain.
    pub name: domain::Name,
    /// Instance that owns the failure domain, if known.
    pub owner: Option<String>,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Preset that the domain last reported as active.
    pub preset: preset::ActivePreset,
    /// Age of the information about the domain.
    pub heard: Duration,
    /// Time since the log last confirmed the domain's configuration.
    pub staleness: Duration,
    /// Workers of the domain by state.
    pub workers: worker::WorkerCounts,
    /// Jobs and tasks of the domain.
    pub load: Load,
    /// How the log responds to the domain's instances.
    pub log: LogHealth,
    /// Number of unacknowledged alerts.
    pub open_alerts: u64,
}

/// Status of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the responding instance.
    pub instance: Identity,
    /// Active preset according to this instance.
    pub preset: preset::ActivePreset,
    /// All failure domains known to this instance, its own first.
    pub domains: Vec<Domain>,
}
