//! Presets, of which exactly one is in force.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::clock::Unix;
use crate::config;
use crate::placement::{Objective, Policy};

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

/// Who has set the preset while nobody has.
const NOBODY: &str = "nobody";

impl From<&config::Value> for InForce {
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

impl From<&config::value::PresetActivation> for InForce {
    fn from(activation: &config::value::PresetActivation) -> Self {
        let config::value::PresetActivation { preset, revision } = activation;
        let (version, by) = (revision.version.raw(), revision.by.clone());
        Self { preset: preset.to_string(), version, by, at: revision.at }
    }
}

impl Choice {
    /// The presets of a deployment that weighs `weighs` more, with `value` in force.
    pub fn of(value: &config::Value, weighs: Objective) -> Self {
        let presets =
            config::Preset::ALL.into_iter().map(|preset| Preset::of(preset, weighs)).collect();
        Self { current: value.into(), version: value.version.raw(), presets }
    }
}

impl Preset {
    fn of(preset: config::Preset, weighs: Objective) -> Self {
        let about = match preset {
            config::Preset::Ordinary => "ordinary days",
            config::Preset::Peak => "peaks: waiting time goes before packing",
            config::Preset::Maintenance => "maintenance: workers are serviced rack by rack",
        };
        let fields = fields(&Policy::for_preset(preset.into(), weighs));
        Self { name: preset.to_string(), about: about.to_owned(), fields }
    }
}

/// What a policy sets, for people.
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
