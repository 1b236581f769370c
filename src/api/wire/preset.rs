//! JSON form of presets.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::wire::check;

/// Preset that is or was active, with the change that activated it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ActivePreset {
    /// Name of the preset.
    pub preset: String,
    /// Version of the configuration that activated the preset.
    pub version: u64,
    /// Name of the operator who activated it.
    pub by: String,
    /// When it was activated, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
}

impl From<view::preset::ActivePreset> for ActivePreset {
    fn from(current: view::preset::ActivePreset) -> Self {
        let view::preset::ActivePreset { preset, version, by, at } = current;
        Self { preset, version, by, at_unix_ms: at.as_millis() }
    }
}

/// One setting of a preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name of the setting.
    pub name: String,
    /// Value as text, with its unit.
    pub value: String,
}

/// A named placement policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preset {
    /// Name of the preset.
    pub name: String,
    /// Purpose of the preset.
    pub about: String,
    /// Settings of the preset.
    pub fields: Vec<Field>,
}

impl From<view::preset::Preset> for Preset {
    fn from(preset: view::preset::Preset) -> Self {
        let field = |field: view::preset::Field| Field { name: field.name, value: field.value };
        Self {
            name: preset.name,
            about: preset.about,
            fields: preset.fields.into_iter().map(field).collect(),
        }
    }
}

/// The active preset and all available presets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetList {
    /// The active preset.
    pub current: ActivePreset,
    /// Version of the configuration on which the next change must be based.
    pub version: u64,
    /// All available presets.
    pub presets: Vec<Preset>,
}

impl From<view::preset::PresetList> for PresetList {
    fn from(list: view::preset::PresetList) -> Self {
        Self {
            current: list.current.into(),
            version: list.version,
            presets: list.presets.into_iter().map(Into::into).collect(),
        }
    }
}

/// Request to activate a preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Change {
    /// Name of the preset.
    pub preset: String,
    /// Version of the configuration that the operator had read.
    pub based_on: u64,
    /// Name of the operator.
    pub by: String,
}

impl TryFrom<Change> for view::preset::Change {
    type Error = Refusal;

    fn try_from(change: Change) -> Result<Self, Refusal> {
        check::name("preset", &change.preset)?;
        check::name("by", &change.by)?;
        Ok(Self { preset: change.preset, based_on: change.based_on })
    }
}
