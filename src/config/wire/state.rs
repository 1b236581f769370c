//! Form of a state, in snapshots and between peers.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Error, Place, parse_id, parse_level, parse_preset};
use crate::clock::Unix;
use crate::config::Value;
use crate::config::change::{DRAINED, QUOTAS};
use crate::config::state::{self, HISTORY};
use crate::config::value::{self, Drain, Stamp, TENURES, Version};
use crate::resource::Amount;

/// A state with the time it was written.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    pub(super) at: Unix,
    pub(super) state: State,
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
