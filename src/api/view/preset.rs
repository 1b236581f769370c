//! Views of presets, exactly one of which is active.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::clock::Unix;
use crate::config;
use crate::placement::{Objective, Policy};

/// Preset that is or was active, with the change that activated it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActivePreset {
    /// Name of the preset.
    pub preset: String,
    /// Version of the configuration that activated the preset.
    pub version: u64,
    /// Name of the operator who activated it.
    pub by: String,
    /// When it was activated.
    pub at: Unix,
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
    /// Human-readable purpose of the preset.
    pub about: String,
    /// Settings of the preset.
    pub fields: Vec<Field>,
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

/// Request to activate a preset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the preset.
    pub preset: String,
    /// Version of the configuration that the operator had read.
    pub based_on: u64,
}

/// Author shown while no operator has changed the preset.
const NOBODY: &str = "nobody";

impl From<&config::Value> for ActivePreset {
    fn from(value: &config::Value) -> Self {
        let preset = value.preset.to_string();
        match &value.preset_revision {
            Some(revision) => Self {
                preset,
                version: revision.version.raw(),
                by: revision.by.clone(),
                at: revision.at,
            },
            None => Self { preset, version: 0, by: NOBODY.to_owned(), at: Unix::default() },
        }
    }
}

impl From<&config::value::PresetActivation> for ActivePreset {
    fn from(activation: &config::value::PresetActivation) -> Self {
        let config::value::PresetActivation { preset, revision } = activation;
        let (version, by) = (revision.version.raw(), revision.by.clone());
        Self { preset: preset.to_string(), version, by, at: revision.at }
    }
}

impl PresetList {
    /// Lists the presets for the placement objective `objective`, with the active one from `value`.
    pub fn new(value: &config::Value, objective: Objective) -> Self {
        let presets =
            config::Preset::ALL.into_iter().map(|preset| Preset::new(preset, objective)).collect();
        Self { current: value.into(), version: value.version.raw(), presets }
    }
}

impl Preset {
    fn new(preset: config::Preset, objective: Objective) -> Self {
        let about = match preset {
            config::Preset::Ordinary => "ordinary days",
            config::Preset::Peak => "peaks: short waiting times take precedence over packing",
            config::Preset::Maintenance => "maintenance: workers are serviced rack by rack",
        };
        let fields = fields(&Policy::for_preset(preset.into(), objective));
        Self { name: preset.to_string(), about: about.to_owned(), fields }
    }
}

/// Formats the settings of a policy as text.
fn fields(policy: &Policy) -> Vec<Field> {
    let span = |span| humantime::format_duration(span).to_string();
    let none = || "none".to_owned();
    let percent = |thousandths: u64| format!("{} %", thousandths / 10);
    let starts =
        if policy.max_starts == usize::MAX { none() } else { policy.max_starts.to_string() };
    let field = |name: &str, value: String| Field { name: name.to_owned(), value };
    vec![
        field("weighs", policy.objective.to_string()),
        field("urgent-preempts-batch", policy.preemption_enabled.to_string()),
        field("headroom-of-workers", percent(policy.headroom_permille)),
        field("batch-held-above", policy.hold_batch_above_permille.map_or_else(none, percent)),
        field("slack-window", span(policy.slack_window)),
        field("age-bound", span(policy.aging_threshold)),
        field("gang-patience", span(policy.hard_reservation_after)),
        field("drain-horizon", policy.drain_horizon.map_or_else(none, span)),
        field("starts-at-once", starts),
    ]
}

impl TryFrom<&Change> for config::Change {
    type Error = Refusal;

    fn try_from(change: &Change) -> Result<Self, Refusal> {
        let preset = change.preset.parse::<config::Preset>();
        preset.map(Self::Preset).map_err(|error| Refusal::invalid("preset", error.to_string()))
    }
}
