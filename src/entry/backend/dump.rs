//! Dump of the whole state of the process, for diagnosis. It contains no secrets: no token is part
//! of any state in it.

use serde::Serialize;

use super::Entry;
use crate::api::{Reason, Refusal, view, wire};
use crate::clock::millis;
use crate::config::{self, gossip};
use crate::entry::views;
use crate::intent::Stats;
use crate::membership::follow::Roster;
use crate::owner::machine::Machine;
use crate::{domain, membership, runner};

/// State of the process.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Dump {
    instance: wire::status::Identity,
    readiness: Readiness,
    owner: Owner,
    settings: Option<Settings>,
    standings: Vec<Standing>,
    instances: Instances,
    requests: Option<runner::proxy::Dump>,
    intents: Option<Intents>,
}

#[derive(Serialize)]
struct Readiness {
    ready: bool,
    reasons: Vec<String>,
}

/// State of the failure domain at this instance.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Owner {
    is_owner: bool,
    owner: Option<String>,
    epoch: String,
    known_epoch: String,
    caught_up: bool,
    next_offset: u64,
    /// Earlier owners that may still act as owners.
    formers: Vec<String>,
    open_alerts: usize,
    jobs: Vec<wire::job::Job>,
    workers: Vec<wire::worker::Worker>,
}

/// The settings in force.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Settings {
    version: u64,
    preset: wire::preset::ActivePreset,
    quotas: Vec<wire::quota::Quota>,
    drained: Vec<String>,
    log_level: Option<String>,
}

/// How current the settings are at one instance.
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Standing {
    instance: String,
    domain: domain::Name,
    version: u64,
    in_force: bool,
    confirmed_ms: Option<u64>,
    heard_ms: u64,
}

/// The instance list.
#[derive(Serialize)]
struct Instances {
    members: Vec<membership::wire::Member>,
    /// Classes of instances of which the platform's list lost suspiciously many.
    suspects: Vec<String>,
}

/// Counters of the records of at-most-once work.
#[derive(Serialize)]
struct Intents {
    intents: u64,
    appends: u64,
    reads: u64,
    unsettled: u64,
}

impl Entry {
    /// The whole state of the process.
    pub(super) async fn dump_all(&self) -> Result<serde_json::Value, Refusal> {
        let owner = self.read_state(|machine, _, _| Ok(Owner::from(machine))).await?;
        let standings = self.config.sync_statuses().await;
        let dump = Dump {
            instance: self.identity_view().into(),
            readiness: self.readiness.view().into(),
            owner,
            settings: self.config.value().await.as_deref().map(Settings::from),
            standings: standings.iter().map(Standing::from).collect(),
            instances: Instances::from(&*self.directory.roster()),
            requests: self.requests.dump().await,
            intents: self.binder.deduplicator.stats().await.map(Intents::from),
        };
        let failed = |error| {
            Refusal::not_run(Reason::Internal, format!("the state cannot be serialized: {error}"))
        };
        serde_json::to_value(dump).map_err(failed)
    }
}

impl From<&Machine> for Owner {
    fn from(machine: &Machine) -> Self {
        let job = |id| views::job(machine, id).ok().map(wire::job::Job::from);
        let workers = views::active(machine).map(views::workers).unwrap_or_default();
        Self {
            is_owner: machine.is_owner(),
            owner: machine.owner().map(ToString::to_string),
            epoch: machine.replica.epoch().to_string(),
            known_epoch: machine.known_epoch().to_string(),
            caught_up: machine.is_ready(),
            next_offset: machine.replica.next_offset(),
            formers: machine.replica.former_owners().iter().map(ToString::to_string).collect(),
            open_alerts: machine.board().open_count(),
            jobs: machine.replica.table.jobs().filter_map(|known| job(known.id)).collect(),
            workers: workers.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<view::Readiness> for Readiness {
    fn from(readiness: view::Readiness) -> Self {
        let view::Readiness { ready, reasons } = readiness;
        Self { ready, reasons }
    }
}

impl From<&config::Value> for Settings {
    fn from(value: &config::Value) -> Self {
        Self {
            version: value.version.raw(),
            preset: view::preset::ActivePreset::from(value).into(),
            quotas: wire::quota::Table::from(view::quota::Table::from(value)).teams,
            drained: value.drained.iter().map(ToString::to_string).collect(),
            log_level: value.log_level.map(|level| level.to_string().to_lowercase()),
        }
    }
}

impl From<&gossip::SyncStatus> for Standing {
    fn from(standing: &gossip::SyncStatus) -> Self {
        Self {
            instance: standing.instance.clone(),
            domain: standing.domain.clone(),
            version: standing.version.raw(),
            in_force: standing.in_force,
            confirmed_ms: standing.confirmed.map(millis),
            heard_ms: millis(standing.heard),
        }
    }
}

impl From<&Roster> for Instances {
    fn from(roster: &Roster) -> Self {
        Self {
            members: roster.members.iter().map(Into::into).collect(),
            suspects: roster.suspects.iter().map(|(class, _)| class.to_string()).collect(),
        }
    }
}

impl From<Stats> for Intents {
    fn from(stats: Stats) -> Self {
        let Stats { intents, appends, reads, unconfirmed, .. } = stats;
        Self { intents, appends, reads, unsettled: unconfirmed }
    }
}
