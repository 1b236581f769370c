//! Presets, of which exactly one is in force.

use serde::{Deserialize, Serialize};

use crate::clock::Unix;

/// The preset in force since some version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Name of the preset.
    pub preset: String,
    /// Version of the configuration that put it in force.
    pub version: u64,
    /// Who did.
    pub by: String,
    /// When they did.
    pub at: Unix,
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
    /// What it is for, in a sentence for people.
    pub about: String,
    /// What it sets.
    pub fields: Vec<Field>,
}

/// The preset in force and all presets to choose from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Choice {
    /// The one in force.
    pub current: InForce,
    /// Version on which the next change has to be based.
    pub version: u64,
    /// All that there are.
    pub presets: Vec<Preset>,
}

/// A preset to put in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its name.
    pub preset: String,
    /// Version that the person saw when they decided.
    pub based_on: u64,
}
