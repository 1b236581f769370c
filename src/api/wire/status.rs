//! Status of the scheduler.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::view::status::LogHealth;
use crate::api::wire::preset::ActivePreset;
use crate::api::wire::worker::WorkerCounts;
use crate::clock;

/// Identity of the responding instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the instance from its settings.
    pub instance: String,
    /// Random number that the process draws when it starts, in hexadecimal.
    pub run: String,
    /// Failure domain of the instance.
    pub domain: String,
}

impl From<view::Identity> for Identity {
    fn from(identity: view::Identity) -> Self {
        Self {
            instance: identity.instance,
            run: format!("{:016x}", identity.run),
            domain: identity.domain.to_string(),
        }
    }
}

/// Whether an instance should receive traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether the instance is ready.
    pub ready: bool,
    /// Reasons why the instance is not ready, one sentence each.
    pub reasons: Vec<String>,
    /// Identity of the instance.
    #[serde(flatten)]
    pub identity: Identity,
}

/// Number of waiting and running jobs and tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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

impl From<view::status::Load> for Load {
    fn from(load: view::status::Load) -> Self {
        let view::status::Load { waiting_jobs, pending_tasks, running_tasks, uncertain_tasks } =
            load;
        Self { waiting_jobs, pending_tasks, running_tasks, uncertain_tasks }
    }
}

/// Status of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Domain {
    /// Name of the failure domain.
    pub name: String,
    /// Instance that owns the failure domain, if known.
    #[serde(default)]
    pub owner: Option<String>,
    /// Epoch of the owner.
    pub epoch: String,
    /// Preset that the domain last reported as active.
    pub preset: ActivePreset,
    /// Age of the information about the domain, in milliseconds.
    pub heard_ms: u64,
    /// Milliseconds since the log last confirmed the domain's configuration.
    pub staleness_ms: u64,
    /// Workers of the domain by state.
    pub workers: WorkerCounts,
    /// Jobs and tasks of the domain.
    pub load: Load,
    /// How the log responds to the domain's instances.
    pub log: LogHealth,
    /// Number of unacknowledged alerts.
    pub open_alerts: u64,
}

impl From<view::status::Domain> for Domain {
    fn from(domain: view::status::Domain) -> Self {
        Self {
            name: domain.name.to_string(),
            owner: domain.owner,
            epoch: domain.epoch.to_string(),
            preset: domain.preset.into(),
            heard_ms: clock::millis(domain.heard),
            staleness_ms: clock::millis(domain.staleness),
            workers: domain.workers.into(),
            load: domain.load.into(),
            log: domain.log,
            open_alerts: domain.open_alerts,
        }
    }
}

/// Status of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the responding instance.
    pub instance: Identity,
    /// Active preset according to this instance.
    pub preset: ActivePreset,
    /// All failure domains known to this instance, its own first.
    pub domains: Vec<Domain>,
}

impl From<view::status::Status> for Status {
    fn from(status: view::status::Status) -> Self {
        Self {
            instance: status.instance.into(),
            preset: status.preset.into(),
            domains: status.domains.into_iter().map(Into::into).collect(),
        }
    }
}

/// Request to set the log level.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct LogLevel {
    /// One of `off`, `error`, `warn`, `info`, `debug` and `trace`.
    pub level: String,
}

impl TryFrom<&LogLevel> for log::LevelFilter {
    type Error = Refusal;

    fn try_from(wanted: &LogLevel) -> Result<Self, Refusal> {
        let message = "level must be off, error, warn, info, debug or trace";
        wanted.level.parse().map_err(|_| Refusal::invalid("level", message))
    }
}
