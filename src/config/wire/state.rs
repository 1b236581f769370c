//! Wire types of the state, in snapshots and between peers.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::{DrainTarget, Error, parse_id, parse_level, parse_preset};
use crate::clock::Unix;
use crate::config::Value;
use crate::config::change::{MAX_DRAINED, MAX_QUOTAS};
use crate::config::state::{self, MAX_HISTORY};
use crate::config::value::{self, MAX_PRESET_HISTORY, Version};
use crate::resource::Amount;

/// Wire form of a snapshot: a state and the time at which it was written.
#[derive(Debug, Serialize, Deserialize)]
pub struct Snapshot {
    pub(super) at: Unix,
    pub(super) state: State,
}

/// Wire form of a [`state::State`].
#[derive(Debug, Serialize, Deserialize)]
pub struct State {
    version: u64,
    next: u64,
    preset: String,
    preset_set: Option<Revision>,
    tenures: Vec<PresetActivation>,
    quotas: BTreeMap<String, Amount>,
    drained: Vec<DrainTarget>,
    log_level: Option<String>,
    history: Vec<HistoryEntry>,
}

/// Wire form of a [`value::PresetActivation`].
#[derive(Debug, Serialize, Deserialize)]
pub struct PresetActivation {
    preset: String,
    mark: Revision,
}

/// Wire form of a [`value::Revision`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Revision {
    by: String,
    at: Unix,
    version: u64,
}

/// Wire form of a [`state::HistoryEntry`].
#[derive(Debug, Serialize, Deserialize)]
pub struct HistoryEntry {
    id: String,
    mark: Revision,
}

impl From<&state::State> for State {
    fn from(state: &state::State) -> Self {
        let value = &state.value;
        Self {
            version: value.version.raw(),
            next: state.next,
            preset: value.preset.to_string(),
            preset_set: value.preset_revision.as_ref().map(Revision::from),
            tenures: value.preset_history.iter().map(PresetActivation::from).collect(),
            quotas: value.quotas.clone(),
            drained: value.drained.iter().map(DrainTarget::from).collect(),
            log_level: value.log_level.map(|level| level.to_string()),
            history: state.history.iter().map(HistoryEntry::from).collect(),
        }
    }
}

impl TryFrom<State> for state::State {
    type Error = Error;

    fn try_from(state: State) -> Result<Self, Error> {
        if state.quotas.len() > MAX_QUOTAS || state.drained.len() > MAX_DRAINED {
            return Err(Error::new("the state exceeds its bounds"));
        }
        if state.history.len() > MAX_HISTORY || state.tenures.len() > MAX_PRESET_HISTORY {
            return Err(Error::new("the history exceeds its bound"));
        }
        let preset_history: Result<VecDeque<_>, _> =
            state.tenures.into_iter().map(value::PresetActivation::try_from).collect();
        let history: Result<VecDeque<_>, _> =
            state.history.into_iter().map(state::HistoryEntry::try_from).collect();
        let value = Value {
            version: Version::from_raw(state.version),
            preset: parse_preset(&state.preset)?,
            preset_revision: state.preset_set.map(value::Revision::from),
            preset_history: preset_history?,
            quotas: state.quotas,
            drained: state.drained.into_iter().map(value::DrainTarget::from).collect(),
            log_level: parse_level(state.log_level)?,
        };
        Ok(Self { value, next: state.next, history: history? })
    }
}

impl From<&value::PresetActivation> for PresetActivation {
    fn from(activation: &value::PresetActivation) -> Self {
        Self { preset: activation.preset.to_string(), mark: (&activation.revision).into() }
    }
}

impl TryFrom<PresetActivation> for value::PresetActivation {
    type Error = Error;

    fn try_from(activation: PresetActivation) -> Result<Self, Error> {
        Ok(Self { preset: parse_preset(&activation.preset)?, revision: activation.mark.into() })
    }
}

impl From<&value::Revision> for Revision {
    fn from(revision: &value::Revision) -> Self {
        Self { by: revision.by.clone(), at: revision.at, version: revision.version.raw() }
    }
}

impl From<Revision> for value::Revision {
    fn from(revision: Revision) -> Self {
        Self { by: revision.by, at: revision.at, version: Version::from_raw(revision.version) }
    }
}

impl From<&state::HistoryEntry> for HistoryEntry {
    fn from(entry: &state::HistoryEntry) -> Self {
        Self { id: entry.id.to_string(), mark: (&entry.revision).into() }
    }
}

impl TryFrom<HistoryEntry> for state::HistoryEntry {
    type Error = Error;

    fn try_from(entry: HistoryEntry) -> Result<Self, Error> {
        Ok(Self { id: parse_id(&entry.id)?, revision: entry.mark.into() })
    }
}
