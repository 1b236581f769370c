//! Presets.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::wire::check;

/// The preset in force since some version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ActivePreset {
    /// Name of the preset.
    pub preset: String,
    /// Version of the configuration that put it in force.
    pub version: u64,
    /// Who did.
    pub by: String,
    /// When they did.
    pub at_unix_ms: u64,
}

impl From<view::preset::ActivePreset> for ActivePreset {
    fn from(current: view::preset::ActivePreset) -> Self {
        let view::preset::ActivePreset { preset, version, by, at } = current;
        Self { preset, version, by, at_unix_ms: at.as_millis() }
    }
}

/// One field of a preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Its name.
    pub name: String,
    /// Its value as text, with its unit.
    pub value: String,
}

/// A named policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preset {
    /// Its name.
    pub name: String,
    /// What it is for.
    pub about: String,
    /// What it sets.
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

/// The preset in force and all presets to choose from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetList {
    /// The one in force.
    pub current: ActivePreset,
    /// Version on which the next change has to be based.
    pub version: u64,
    /// All that there are.
    pub presets: Vec<Preset>,
}

impl From<view::preset::PresetList> for PresetList {
    fn from(choice: view::preset::PresetList) -> Self {
        Self {
            current: choice.current.into(),
            version: choice.version,
            presets: choice.presets.into_iter().map(Into::into).collect(),
        }
    }
}

/// A preset to put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Change {
    /// Its name.
    pub preset: String,
    /// Version that the person saw when they decided.
    pub based_on: u64,
    /// The person.
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
