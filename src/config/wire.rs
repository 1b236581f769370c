//! Forms of the settings outside a process: JSON in the log, bincode between peers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::change::{self, DRAINED, QUOTAS};
use super::publish::{Id, Publication};
use super::reader;
use super::state::{self, HISTORY};
use super::value::{self, Drain, Preset, Stamp, TENURES, Version};
use super::{Value, gossip};
use crate::clock::{Unix, millis};
use crate::resource::Amount;
use crate::{domain, worker};

/// Peer method that exchanges digests.
pub const DIGEST: &str = "config.digest";
/// Peer method that fetches the state.
pub const FETCH: &str = "config.fetch";
/// Largest record that is read from the stream, in bytes.
pub const RECORD_BYTES: usize = 512 << 10;

/// A form that holds no valid content.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=config.decode cause={cause}")]
pub struct Error {
    /// Cause as text.
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
    /// A state.
    Snapshot(Snapshot),
}

/// A change with its envelope.
#[derive(Debug, Serialize, Deserialize)]
pub struct Publish {
    id: String,
    base: u64,
    by: String,
    at: Unix,
    set: Change,
}

/// What changes.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// The preset.
    Preset(String),
    /// A quota.
    Quota {
        /// The team.
        team: String,
        /// Its limit.
        limit: Option<Amount>,
    },
    /// A worker or rack to drain.
    Drain(Place),
    /// A worker or rack to use again.
    Undrain(Place),
    /// The log level.
    LogLevel(Option<String>),
}

/// A worker or rack.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Place {
    /// One worker.
    Worker {
        /// Its failure domain.
        domain: domain::Name,
        /// Its name.
        worker: worker::Name,
    },
    /// One rack.
    Rack {
        /// Its failure domain.
        domain: domain::Name,
        /// Its name.
        rack: String,
    },
}

/// A state with the time it was written.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    at: Unix,
    state: State,
}

/// A state.
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    version: u64,
    next: u64,
    preset: String,
    preset_set: Option<Mark>,
    tenures: Vec<Tenure>,
    quotas: BTreeMap<String, Amount>,
    drained: Vec<Place>,
    log_level: Option<String>,
    history: Vec<Entry>,
}

/// A preset that was put in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct Tenure {
    preset: String,
    mark: Mark,
}

/// Who, when and which version.
#[derive(Debug, Serialize, Deserialize)]
pub struct Mark {
    by: String,
    at: Unix,
    version: u64,
}

/// An accepted change.
#[derive(Debug, Serialize, Deserialize)]
pub struct Entry {
    id: String,
    mark: Mark,
}

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

/// The question of [`FETCH`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Fetch {}

/// The answer of [`FETCH`]; empty while nothing is in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct Fetched {
    /// The state in force.
    pub state: Option<State>,
}

/// Writes a record for the stream.
pub fn encode(record: &reader::Record) -> Bytes {
    let wire = Record::from(record);
    // Maps with text keys, text and numbers only: JSON can hold them all.
    serde_json::to_vec(&wire).map(Bytes::from).unwrap_or_default()
}

/// Reads a record of the stream.
///
/// # Errors
///
/// Fails on anything but a record within the bounds; every instance passes over it alike.
pub fn decode(payload: &[u8]) -> Result<reader::Record, Error> {
    if payload.len() > RECORD_BYTES {
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
            Change::Drain(place) => Self::Drain(place.into()),
            Change::Undrain(place) => Self::Undrain(place.into()),
            Change::LogLevel(level) => Self::LogLevel(parse_level(level)?),
        })
    }
}

impl From<&Drain> for Place {
    fn from(drain: &Drain) -> Self {
        match drain.clone() {
            Drain::Worker { domain, worker } => Self::Worker { domain, worker },
            Drain::Rack { domain, rack } => Self::Rack { domain, rack },
        }
    }
}

impl From<Place> for Drain {
    fn from(place: Place) -> Self {
        match place {
            Place::Worker { domain, worker } => Self::Worker { domain, worker },
            Place::Rack { domain, rack } => Self::Rack { domain, rack },
        }
    }
}

impl From<&state::State> for State {
    fn from(state: &state::State) -> Self {
        let value = &state.value;
        Self {
            version: value.version.raw(),
            next: state.next,
            preset: value.preset.to_string(),
            preset_set: value.preset_set.as_ref().map(Mark::from),
            tenures: value.tenures.iter().map(Tenure::from).collect(),
            quotas: value.quotas.clone(),
            drained: value.drained.iter().map(Place::from).collect(),
            log_level: value.log_level.map(|level| level.to_string()),
            history: state.history.iter().map(Entry::from).collect(),
        }
    }
}

impl TryFrom<State> for state::State {
    type Error = Error;

    fn try_from(state: State) -> Result<Self, Error> {
        if state.quotas.len() > QUOTAS || state.drained.len() > DRAINED {
            return Err(Error::new("the state exceeds its bounds"));
        }
        if state.history.len() > HISTORY || state.tenures.len() > TENURES {
            return Err(Error::new("the history exceeds its bound"));
        }
        let tenures: Result<VecDeque<_>, _> =
            state.tenures.into_iter().map(value::Tenure::try_from).collect();
        let history: Result<VecDeque<_>, _> =
            state.history.into_iter().map(state::Entry::try_from).collect();
        let value = Value {
            version: Version::from_raw(state.version),
            preset: parse_preset(&state.preset)?,
            preset_set: state.preset_set.map(Stamp::from),
            tenures: tenures?,
            quotas: state.quotas,
            drained: state.drained.into_iter().map(Drain::from).collect(),
            log_level: parse_level(state.log_level)?,
        };
        Ok(Self { value, next: state.next, history: history? })
    }
}

impl From<&value::Tenure> for Tenure {
    fn from(tenure: &value::Tenure) -> Self {
        Self { preset: tenure.preset.to_string(), mark: (&tenure.stamp).into() }
    }
}

impl TryFrom<Tenure> for value::Tenure {
    type Error = Error;

    fn try_from(tenure: Tenure) -> Result<Self, Error> {
        Ok(Self { preset: parse_preset(&tenure.preset)?, stamp: tenure.mark.into() })
    }
}

impl From<&Stamp> for Mark {
    fn from(stamp: &Stamp) -> Self {
        Self { by: stamp.by.clone(), at: stamp.at, version: stamp.version.raw() }
    }
}

impl From<Mark> for Stamp {
    fn from(mark: Mark) -> Self {
        Self { by: mark.by, at: mark.at, version: Version::from_raw(mark.version) }
    }
}

impl From<&state::Entry> for Entry {
    fn from(entry: &state::Entry) -> Self {
        Self { id: entry.id.to_string(), mark: (&entry.stamp).into() }
    }
}

impl TryFrom<Entry> for state::Entry {
    type Error = Error;

    fn try_from(entry: Entry) -> Result<Self, Error> {
        Ok(Self { id: parse_id(&entry.id)?, stamp: entry.mark.into() })
    }
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
