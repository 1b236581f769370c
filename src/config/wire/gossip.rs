//! Wire types of the calls between peers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, State};
use crate::clock::millis;
use crate::config::value::Version;
use crate::config::{change, gossip};
use crate::domain;

/// Wire form of an instance's sync status.
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

/// Request and response of [`DIGEST`](super::DIGEST).
#[derive(Debug, Serialize, Deserialize)]
pub struct Digest {
    from: SyncStatus,
    rows: Vec<SyncStatus>,
}

/// Request of [`FETCH`](super::FETCH).
#[derive(Debug, Serialize, Deserialize)]
pub struct FetchRequest {}

/// Response of [`FETCH`](super::FETCH).
#[derive(Debug, Serialize, Deserialize)]
pub struct FetchResponse {
    /// The state in force; `None` while there is none.
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
        let valid = rows.iter().chain([&from]).all(has_valid_names);
        if !valid {
            return Err(Error::new("a row has an empty or too long name"));
        }
        Ok(Self { from, rows })
    }
}

fn has_valid_names(status: &gossip::SyncStatus) -> bool {
    let names = [status.instance.as_str(), status.domain.as_str()];
    names.into_iter().all(|name| change::check_name(name).is_ok())
}
