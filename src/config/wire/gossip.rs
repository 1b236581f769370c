//! Forms of what peers exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, State};
use crate::clock::millis;
use crate::config::value::Version;
use crate::config::{change, gossip};
use crate::domain;

/// An instance's status.
#[derive(Debug, Serialize, Deserialize)]
pub struct SyncStatus {
    instance: String,
    domain: domain::Name,
    version: u64,
    next: u64,
    in_force: bool,
    confirmed_ms: Option<u64>,
    heard_ms: u64,
}

/// What peers exchange.
#[derive(Debug, Serialize, Deserialize)]
pub struct Digest {
    from: SyncStatus,
    rows: Vec<SyncStatus>,
}

/// The question of [`FETCH`](super::FETCH).
#[derive(Debug, Serialize, Deserialize)]
pub struct FetchRequest {}

/// The answer of [`FETCH`](super::FETCH); empty while nothing is in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct FetchResponse {
    /// The state in force.
    pub state: Option<State>,
}

impl From<&gossip::SyncStatus> for SyncStatus {
    fn from(status: &gossip::SyncStatus) -> Self {
        Self {
            instance: status.instance.clone(),
            domain: status.domain.clone(),
            version: status.version.raw(),
            next: status.next,
            in_force: status.in_force,
            confirmed_ms: status.confirmed.map(millis),
            heard_ms: millis(status.heard),
        }
    }
}

impl From<SyncStatus> for gossip::SyncStatus {
    fn from(status: SyncStatus) -> Self {
        Self {
            instance: status.instance,
            domain: status.domain,
            version: Version::from_raw(status.version),
            next: status.next,
            in_force: status.in_force,
            confirmed: status.confirmed_ms.map(Duration::from_millis),
            heard: Duration::from_millis(status.heard_ms),
        }
    }
}

impl From<&gossip::Digest> for Digest {
    fn from(digest: &gossip::Digest) -> Self {
        Self {
            from: (&digest.from).into(),
            rows: digest.rows.iter().map(SyncStatus::from).collect(),
        }
    }
}

impl TryFrom<Digest> for gossip::Digest {
    type Error = Error;

    fn try_from(digest: Digest) -> Result<Self, Error> {
        if digest.rows.len() > gossip::MAX_ROWS {
            return Err(Error::new("the digest has too many rows"));
        }
        let rows: Vec<gossip::SyncStatus> =
            digest.rows.into_iter().map(gossip::SyncStatus::from).collect();
        let from = gossip::SyncStatus::from(digest.from);
        let named = rows.iter().chain([&from]).all(is_named);
        if !named {
            return Err(Error::new("a status lacks a proper name"));
        }
        Ok(Self { from, rows })
    }
}

fn is_named(status: &gossip::SyncStatus) -> bool {
    let names = [status.instance.as_str(), status.domain.as_str()];
    names.into_iter().all(|name| change::check_name(name).is_ok())
}
