//! What every failure domain is doing.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;

use super::Entry;
use crate::api::view::preset::ActivePreset;
use crate::api::view::status::{Domain, LogHealth, Status};
use crate::api::{CallContext, Refusal, view};
use crate::clock::{Instant, Unix};
use crate::config::Value;
use crate::config::gossip::{SyncStatus, worst_by_domain};
use crate::domain::{self, Epoch};
use crate::entry::forward::{Ask, Tell};
use crate::entry::views;

/// Peer method by which an instance asks what another failure domain is doing.
pub const STATUS: &str = "entry/status";

/// Longest that one instance of another failure domain is waited for.
const PATIENCE: Duration = Duration::from_millis(400);
/// Instances of another failure domain that are asked before it counts as cut off.
const TRIES: usize = 2;
/// Age up to which what was heard of an instance goes before what is older.
const RECENT: Duration = Duration::from_secs(5);

/// What was last heard of other failure domains.
#[derive(Debug, Default)]
pub struct Memory {
    domains: RefCell<BTreeMap<domain::Name, Heard>>,
}

/// What was last heard of a failure domain.
#[derive(Clone, Debug)]
struct Heard {
    at: Instant,
    domain: Domain,
}

impl Entry {
    /// What all failure domains are doing, this instance's own first.
    pub(super) async fn status_of_all(&self, call: CallContext) -> Result<Status, Refusal> {
        let own = self.domain_status(call.clone()).await?;
        let others = self.directory.other_domains();
        let asked = join_all(others.iter().map(|domain| self.ask_domain(&call, domain))).await;
        let known = self.known().await;
        let mut domains = vec![own];
        for (name, answer) in others.into_iter().zip(asked) {
            domains.push(match answer {
                Some(domain) => self.hear(domain),
                None => self.recall(&name, &known),
            });
        }
        let preset = in_force(known.value.as_deref());
        Ok(Status { instance: self.identity_view(), preset, domains })
    }

    /// What this failure domain is doing: by its owner's word, or by this instance's own while
    /// none can be reached.
    ///
    /// # Errors
    ///
    /// Refuses while the instance stops.
    pub async fn domain_status(&self, call: CallContext) -> Result<Domain, Refusal> {
        match self.ask(call, Ask::Status).await {
            Ok(Tell::Status(status)) => Ok(*status),
            _ => self.status_here().await,
        }
    }

    /// What this failure domain is doing as far as this instance knows.
    pub(super) async fn status_here(&self) -> Result<Domain, Refusal> {
        let known = self.known().await;
        let name = self.domain.clone();
        let preset = in_force(known.value.as_deref());
        let staleness = known.staleness(&name);
        self.look(move |machine, now, _| {
            let state = views::status(machine, now);
            Ok(Domain {
                name,
                owner: state.owner,
                epoch: state.epoch,
                preset,
                heard: Duration::ZERO,
                staleness,
                workers: state.workers,
                load: state.load,
                log: state.log,
                open_alerts: u64::try_from(machine.board().open_count()).unwrap_or(u64::MAX),
            })
        })
        .await
    }

    async fn ask_domain(&self, call: &CallContext, domain: &domain::Name) -> Option<Domain> {
        let within = PATIENCE.min(call.within / 4);
        let call = CallContext { within, ..call.clone() };
        for address in self.directory.entries_of(domain).into_iter().take(TRIES) {
            let answer: Result<Result<Domain, Refusal>, _> =
                self.peers.call(address, STATUS, &call, within).await;
            self.witness.called(address, &answer);
            match answer {
                Ok(Ok(answer)) if answer.name == *domain => return Some(answer),
                Ok(Ok(answer)) => {
                    log::warn!("event=entry.domain_mismatch peer={address} name={}", answer.name);
                }
                Ok(Err(refusal)) => log::debug!("event=entry.status_refused {refusal}"),
                Err(error) => log::debug!("event=entry.status_unanswered {error}"),
            }
        }
        None
    }

    fn hear(&self, domain: Domain) -> Domain {
        let heard = Heard { at: self.clock.now(), domain: domain.clone() };
        self.memory.domains.borrow_mut().insert(domain.name.clone(), heard);
        domain
    }

    /// What was last heard of a failure domain that does not answer.
    fn recall(&self, name: &domain::Name, known: &Known) -> Domain {
        let heard = self.memory.domains.borrow().get(name).cloned();
        let age = heard.as_ref().map_or(known.uptime, |heard| known.now.since(heard.at));
        let mut domain = heard.map_or_else(|| unheard(name.clone()), |heard| heard.domain);
        let status = known.worst.get(name);
        let status_age = status.map_or(known.uptime, |status| status.heard);
        if let Some(preset) = status.and_then(|status| known.preset_of(status)) {
            domain.preset = preset;
        }
        domain.heard = age.min(status_age);
        domain.staleness = known.staleness(name);
        domain
    }

    async fn known(&self) -> Known {
        let now = self.clock.now();
        Known {
            now,
            uptime: now.since(Instant::default()),
            value: self.config.value().await,
            worst: worst_by_domain(&self.config.sync_statuses().await, RECENT),
        }
    }
}

/// What this instance knows of the settings everywhere.
struct Known {
    now: Instant,
    uptime: Duration,
    value: Option<Rc<Value>>,
    worst: BTreeMap<domain::Name, SyncStatus>,
}

impl Known {
    /// How long a domain's settings have gone unconfirmed by the log: as long as this process has
    /// run, where nothing was heard.
    fn staleness(&self, domain: &domain::Name) -> Duration {
        let status = self.worst.get(domain);
        status.and_then(|status| status.confirmed).unwrap_or(self.uptime)
    }

    /// The preset that was in force where `status` was told.
    fn preset_of(&self, status: &SyncStatus) -> Option<ActivePreset> {
        let value = self.value.as_ref()?;
        if status.version == value.version {
            return Some((&**value).into());
        }
        value.activation_at(status.version).map(ActivePreset::from)
    }
}

/// The preset in force, for people, also while it is not known.
fn in_force(value: Option<&Value>) -> ActivePreset {
    value.map_or_else(unknown_preset, ActivePreset::from)
}

fn unknown_preset() -> ActivePreset {
    ActivePreset {
        preset: "unknown".to_owned(),
        version: 0,
        by: "unknown".to_owned(),
        at: Unix::default(),
    }
}

fn unheard(name: domain::Name) -> Domain {
    Domain {
        name,
        owner: None,
        epoch: Epoch::default(),
        preset: unknown_preset(),
        heard: Duration::ZERO,
        staleness: Duration::ZERO,
        workers: view::worker::WorkerCounts::default(),
        load: view::status::Load::default(),
        log: LogHealth::Down,
        open_alerts: 0,
    }
}
