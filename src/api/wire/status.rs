//! What the scheduler is doing.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::view::status::LogHealth;
use crate::api::wire::preset::ActivePreset;
use crate::api::wire::worker::WorkerCounts;
use crate::clock;

/// The instance that answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its name from the settings.
    pub instance: String,
    /// Random number drawn at start, in hexadecimal digits.
    pub run: String,
    /// Failure domain it stands in.
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

/// Whether an instance should get traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it should.
    pub ready: bool,
    /// Why not, one sentence each.
    pub reasons: Vec<String>,
    /// The instance.
    #[serde(flatten)]
    pub identity: Identity,
}

/// How much work waits and runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
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

impl From<view::status::Load> for Load {
    fn from(load: view::status::Load) -> Self {
        let view::status::Load { waiting_jobs, pending_tasks, running_tasks, uncertain_tasks } =
            load;
        Self { waiting_jobs, pending_tasks, running_tasks, uncertain_tasks }
    }
}

/// What one failure domain is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Domain {
    /// Its name.
    pub name: String,
    /// Instance that owns it, if any is known.
    #[serde(default)]
    pub owner: Option<String>,
    /// The owner's epoch.
    pub epoch: String,
    /// The preset in force there, as last heard.
    pub preset: ActivePreset,
    /// Age of what is known of the domain.
    pub heard_ms: u64,
    /// How long the domain's configuration has gone unconfirmed by the log.
    pub staleness_ms: u64,
    /// Its workers.
    pub workers: WorkerCounts,
    /// Its work.
    pub load: Load,
    /// How the log answers there.
    pub log: LogHealth,
    /// Alerts that nobody has acknowledged.
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

/// What the scheduler is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: Identity,
    /// The preset in force, as this instance knows it.
    pub preset: ActivePreset,
    /// All failure domains that this instance has heard of, its own first.
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

/// A level of the log to set.
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
