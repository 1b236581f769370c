//! Status of all failure domains.

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
use crate::entry::forward::{OwnerRequest, OwnerResponse};
use crate::entry::views;

/// Peer method that returns the status of a failure domain.
pub const STATUS: &str = "entry/status";

/// Maximum time to wait for one instance of another failure domain.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of instances of another failure domain to try before it counts as unreachable.
const MAX_ATTEMPTS: usize = 2;
/// Age up to which the sync status of an instance counts as recent and is preferred to older ones.
const RECENT_AGE: Duration = Duration::from_secs(5);

/// Last status received from each other failure domain.
#[derive(Debug, Default)]
pub struct LastStatuses {
    domains: RefCell<BTreeMap<domain::Name, RecordedStatus>>,
}

/// Last status received from a failure domain.
#[derive(Clone, Debug)]
struct RecordedStatus {
    at: Instant,
    domain: Domain,
}

impl Entry {
    /// Status of all failure domains, this instance's own first.
    pub(super) async fn status_of_all(&self, call: CallContext) -> Result<Status, Refusal> {
        let own = self.domain_status(call.clone()).await?;
        let others = self.directory.other_domains();
        let answers =
            join_all(others.iter().map(|domain| self.request_status(&call, domain))).await;
        let settings = self.settings_overview().await;
        let mut domains = vec![own];
        for (name, answer) in others.into_iter().zip(answers) {
            domains.push(match answer {
                Some(domain) => self.record_status(domain),
                None => self.last_status(&name, &settings),
            });
        }
        let preset = in_force(settings.value.as_deref());
        Ok(Status { instance: self.identity_view(), preset, domains })
    }

    /// Status of this failure domain, from its owner or, if the owner cannot be reached, from this
    /// instance.
    ///
    /// # Errors
    ///
    /// Refuses while the instance is stopping.
    pub async fn domain_status(&self, call: CallContext) -> Result<Domain, Refusal> {
        match self.call_owner(call, OwnerRequest::Status).await {
            Ok(OwnerResponse::Status(status)) => Ok(*status),
            _ => self.status_here().await,
        }
    }

    /// Status of this failure domain as seen by this instance.
    pub(super) async fn status_here(&self) -> Result<Domain, Refusal> {
        let settings = self.settings_overview().await;
        let name = self.domain.clone();
        let preset = in_force(settings.value.as_deref());
        let staleness = settings.staleness(&name);
        self.read_state(move |machine, now, _| {
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

    async fn request_status(&self, call: &CallContext, domain: &domain::Name) -> Option<Domain> {
        let within = REQUEST_TIMEOUT.min(call.within / 4);
        let call = CallContext { within, ..call.clone() };
        for address in self.directory.entries_of(domain).into_iter().take(MAX_ATTEMPTS) {
            let answer: Result<Result<Domain, Refusal>, _> =
                self.peers.call(address, STATUS, &call, within).await;
            self.reachability.record_call(address, &answer);
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

    fn record_status(&self, domain: Domain) -> Domain {
        let recorded = RecordedStatus { at: self.clock.now(), domain: domain.clone() };
        self.last_statuses.domains.borrow_mut().insert(domain.name.clone(), recorded);
        domain
    }

    /// Last status of a failure domain that does not answer.
    fn last_status(&self, name: &domain::Name, settings: &SettingsOverview) -> Domain {
        let recorded = self.last_statuses.domains.borrow().get(name).cloned();
        let age =
            recorded.as_ref().map_or(settings.uptime, |recorded| settings.now.since(recorded.at));
        let mut domain =
            recorded.map_or_else(|| empty_status(name.clone()), |recorded| recorded.domain);
        let status = settings.worst.get(name);
        let status_age = status.map_or(settings.uptime, |status| status.heard);
        if let Some(preset) = status.and_then(|status| settings.preset_of(status)) {
            domain.preset = preset;
        }
        domain.heard = age.min(status_age);
        domain.staleness = settings.staleness(name);
        domain
    }

    async fn settings_overview(&self) -> SettingsOverview {
        let now = self.clock.now();
        SettingsOverview {
            now,
            uptime: now.since(Instant::default()),
            value: self.config.value().await,
            worst: worst_by_domain(&self.config.sync_statuses().await, RECENT_AGE),
        }
    }
}

/// How current the settings are in all failure domains, as known here.
struct SettingsOverview {
    now: Instant,
    uptime: Duration,
    value: Option<Rc<Value>>,
    worst: BTreeMap<domain::Name, SyncStatus>,
}

impl SettingsOverview {
    /// Time since the log last confirmed a domain's settings; the uptime of this process if that is
    /// unknown.
    fn staleness(&self, domain: &domain::Name) -> Duration {
        let status = self.worst.get(domain);
        status.and_then(|status| status.confirmed).unwrap_or(self.uptime)
    }

    /// The preset in force at the version that `status` reports.
    fn preset_of(&self, status: &SyncStatus) -> Option<ActivePreset> {
        let value = self.value.as_ref()?;
        if status.version == value.version {
            return Some((&**value).into());
        }
        value.activation_at(status.version).map(ActivePreset::from)
    }
}

/// The preset in force, or a placeholder if it is not known.
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

fn empty_status(name: domain::Name) -> Domain {
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
