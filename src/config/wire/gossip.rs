//! Forms of what peers exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Error, State};
use crate::clock::millis;
use crate::config::value::Version;
use crate::config::{change, gossip};
use crate::domain;

/// An instance's standing.
#[derive(Debug, Serialize, Deserialize)]
pub struct Standing {
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
    from: Standing,
    rows: Vec<Standing>,
}

/// The question of [`FETCH`](super::FETCH).
#[derive(Debug, Serialize, Deserialize)]
pub struct Fetch {}

/// The answer of [`FETCH`](super::FETCH); empty while nothing is in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct Fetched {
    /// The state in force.
    pub state: Option<State>,
}

impl From<&gossip::Standing> for Standing {
    fn from(standing: &gossip::Standing) -> Self {
        Self {
            instance: standing.instance.clone(),
            domain: standing.domain.clone(),
            version: standing.version.raw(),
            next: standing.next,
            in_force: standing.in_force,
            confirmed_ms: standing.confirmed.map(millis),
            heard_ms: millis(standing.heard),
        }
    }
}

impl From<Standing> for gossip::Standing {
    fn from(standing: Standing) -> Self {
        Self {
            instance: standing.instance,
            domain: standing.domain,
            version: Version::from_raw(standing.version),
            next: standing.next,
            in_force: standing.in_force,
            confirmed: standing.confirmed_ms.map(Duration::from_millis),
            heard: Duration::from_millis(standing.heard_ms),
        }
    }
}

impl From<&gossip::Digest> for Digest {
    fn from(digest: &gossip::Digest) -> Self {
        Self { from: (&digest.from).into(), rows: digest.rows.iter().map(Standing::from).collect() }
    }
}

impl TryFrom<Digest> for gossip::Digest {
    type Error = Error;

    fn try_from(digest: Digest) -> Result<Self, Error> {
        if digest.rows.len() > gossip::ROWS {
            return Err(Error::new("the digest has too many rows"));
        }
        let rows: Vec<gossip::Standing> =
            digest.rows.into_iter().map(gossip::Standing::from).collect();
        let from = gossip::Standing::from(digest.from);
        let named = rows.iter().chain([&from]).all(is_named);
        if !named {
            return Err(Error::new("a standing lacks a proper name"));
        }
        Ok(Self { from, rows })
    }
}

fn is_named(standing: &gossip::Standing) -> bool {
    let names = [standing.instance.as_str(), standing.domain.as_str()];
    names.into_iter().all(|name| change::check_name(name).is_ok())
}
