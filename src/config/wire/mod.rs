//! Wire types of the settings: JSON in the log, bincode between peers.

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::config::change;
use crate::config::publish::{Id, Publication};
use crate::config::reader;
use crate::config::value::{self, Preset, Version};
use crate::resource::Amount;
use crate::{domain, worker};

mod gossip;
mod state;

pub use gossip::{Digest, FetchRequest, FetchResponse, SyncStatus};
pub use state::{HistoryEntry, PresetActivation, Revision, Snapshot, State};

/// Peer method that exchanges digests.
pub const DIGEST: &str = "config.digest";
/// Peer method that fetches the state.
pub const FETCH: &str = "config.fetch";
/// Maximum size of a record that is decoded, in bytes.
pub const MAX_RECORD_BYTES: usize = 512 << 10;

/// Error of decoding a record or a peer's message.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=config.decode cause={cause}")]
pub struct Error {
    /// Cause of the error.
    pub cause: String,
}

impl Error {
    fn new(cause: impl Into<String>) -> Self {
        Self { cause: cause.into() }
    }
}

/// A record of the stream.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// A change.
    Change(Publish),
    /// A snapshot of the state.
    Snapshot(Snapshot),
}

/// Wire form of a [`Publication`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Publish {
    id: String,
    base: u64,
    by: String,
    at: Unix,
    set: Change,
}

/// Wire form of a [`change::Change`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// Put the preset with this name in force.
    Preset(String),
    /// Set or remove a team's quota.
    Quota {
        /// Name of the team.
        team: String,
        /// The quota; `None` removes it.
        limit: Option<Amount>,
    },
    /// Stop placing tasks on a worker or rack.
    Drain(DrainTarget),
    /// Place tasks on a drained worker or rack again.
    Undrain(DrainTarget),
    /// Set or remove the log level of every instance.
    LogLevel(Option<String>),
}

/// Wire form of a [`value::DrainTarget`].
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTarget {
    /// One worker.
    Worker {
        /// Failure domain of the worker.
        domain: domain::Name,
        /// Name of the worker.
        worker: worker::Name,
    },
    /// One rack.
    Rack {
        /// Failure domain of the rack.
        domain: domain::Name,
        /// Name of the rack.
        rack: String,
    },
}

/// Encodes a record for the stream.
pub fn encode(record: &reader::Record) -> Bytes {
    let wire = Record::from(record);
    // Encoding cannot fail: the record has only strings, numbers and maps with string keys.
    serde_json::to_vec(&wire).map(Bytes::from).unwrap_or_default()
}

/// Decodes a record of the stream.
///
/// # Errors
///
/// Fails if the payload is not a record or exceeds a bound; every instance skips such a payload.
pub fn decode(payload: &[u8]) -> Result<reader::Record, Error> {
    if payload.len() > MAX_RECORD_BYTES {
        return Err(Error::new("the record is too large"));
    }
    let wire: Record =
        serde_json::from_slice(payload).map_err(|error| Error::new(error.to_string()))?;
    wire.try_into()
}

impl From<&reader::Record> for Record {
    fn from(record: &reader::Record) -> Self {
        match record {
            reader::Record::Change(publication) => Self::Change(publication.into()),
            reader::Record::Snapshot { state, at } => {
                Self::Snapshot(Snapshot { at: *at, state: state.into() })
            }
        }
    }
}

impl TryFrom<Record> for reader::Record {
    type Error = Error;

    fn try_from(record: Record) -> Result<Self, Error> {
        match record {
            Record::Change(publish) => publish.try_into().map(Self::Change),
            Record::Snapshot(Snapshot { at, state }) => {
                Ok(Self::Snapshot { state: state.try_into()?, at })
            }
        }
    }
}

impl From<&Publication> for Publish {
    fn from(publication: &Publication) -> Self {
        Self {
            id: publication.id.to_string(),
            base: publication.base.raw(),
            by: publication.by.clone(),
            at: publication.at,
            set: (&publication.change).into(),
        }
    }
}

impl TryFrom<Publish> for Publication {
    type Error = Error;

    fn try_from(publish: Publish) -> Result<Self, Error> {
        Ok(Self {
            id: parse_id(&publish.id)?,
            base: Version::from_raw(publish.base),
            by: publish.by,
            at: publish.at,
            change: publish.set.try_into()?,
        })
    }
}

impl From<&change::Change> for Change {
    fn from(change: &change::Change) -> Self {
        match change {
            change::Change::Preset(preset) => Self::Preset(preset.to_string()),
            change::Change::Quota { team, limit } => {
                Self::Quota { team: team.clone(), limit: *limit }
            }
            change::Change::Drain(drain) => Self::Drain(drain.into()),
            change::Change::Undrain(drain) => Self::Undrain(drain.into()),
            change::Change::LogLevel(level) => Self::LogLevel(level.map(|level| level.to_string())),
        }
    }
}

impl TryFrom<Change> for change::Change {
    type Error = Error;

    fn try_from(change: Change) -> Result<Self, Error> {
        Ok(match change {
            Change::Preset(name) => Self::Preset(parse_preset(&name)?),
            Change::Quota { team, limit } => Self::Quota { team, limit },
            Change::Drain(target) => Self::Drain(target.into()),
            Change::Undrain(target) => Self::Undrain(target.into()),
            Change::LogLevel(level) => Self::LogLevel(parse_level(level)?),
        })
    }
}

impl From<&value::DrainTarget> for DrainTarget {
    fn from(drain: &value::DrainTarget) -> Self {
        match drain.clone() {
            value::DrainTarget::Worker { domain, worker } => Self::Worker { domain, worker },
            value::DrainTarget::Rack { domain, rack } => Self::Rack { domain, rack },
        }
    }
}

impl From<DrainTarget> for value::DrainTarget {
    fn from(target: DrainTarget) -> Self {
        match target {
            DrainTarget::Worker { domain, worker } => Self::Worker { domain, worker },
            DrainTarget::Rack { domain, rack } => Self::Rack { domain, rack },
        }
    }
}

fn parse_id(text: &str) -> Result<Id, Error> {
    Id::parse(text).ok_or_else(|| Error::new("the id is not 32 hexadecimal digits"))
}

fn parse_preset(name: &str) -> Result<Preset, Error> {
    name.parse().map_err(|unknown: value::UnknownPreset| Error::new(unknown.to_string()))
}

fn parse_level(level: Option<String>) -> Result<Option<log::LevelFilter>, Error> {
    let parsed = level.map(|text| text.parse());
    parsed.transpose().map_err(|error: log::ParseLevelError| Error::new(error.to_string()))
}
