//! The settings themselves.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::str::FromStr;

use derive_more::Display;

use crate::clock::Unix;
use crate::resource::Amount;
use crate::{domain, placement, worker};

/// Number of accepted changes; it never decreases.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(u64);

impl Version {
    /// The version before any change.
    pub const ZERO: Self = Self(0);

    /// Creates a version from its number.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the version's number.
    pub const fn raw(self) -> u64 {
        self.0
    }

    /// Returns the version that an accepted change on this one creates.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Scheduling preset for the whole system; exactly one is in force.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Preset {
    /// Ordinary operation.
    #[default]
    #[display("ordinary")]
    Ordinary,
    /// A peak of load.
    #[display("peak")]
    Peak,
    /// Maintenance of workers.
    #[display("maintenance")]
    Maintenance,
}

impl Preset {
    /// Every preset.
    pub const ALL: [Self; 3] = [Self::Ordinary, Self::Peak, Self::Maintenance];
}

impl From<Preset> for placement::Preset {
    fn from(preset: Preset) -> Self {
        match preset {
            Preset::Ordinary => Self::Ordinary,
            Preset::Peak => Self::Peak,
            Preset::Maintenance => Self::Maintenance,
        }
    }
}

/// A name that is not the name of a preset.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("unknown preset {name:?}; the presets are ordinary, peak and maintenance")]
pub struct UnknownPreset {
    /// The name given.
    pub name: String,
}

impl FromStr for Preset {
    type Err = UnknownPreset;

    /// Parses the form that `Display` writes.
    ///
    /// ```
    /// use oriolefork::config::Preset;
    /// assert_eq!("peak".parse(), Ok(Preset::Peak));
    /// assert!("Peak".parse::<Preset>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|preset| preset.to_string() == text)
            .ok_or_else(|| UnknownPreset { name: text.to_owned() })
    }
}

/// Worker or rack whose workers take no new tasks.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainTarget {
    /// One worker.
    #[display("worker {domain}/{worker}")]
    Worker {
        /// Failure domain of the worker.
        domain: domain::Name,
        /// The worker.
        worker: worker::Name,
    },
    /// All workers of a rack.
    #[display("rack {domain}/{rack}")]
    Rack {
        /// Failure domain of the rack.
        domain: domain::Name,
        /// Name of the rack.
        rack: String,
    },
}

/// A version of the settings, with the operator and time of the change that created it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("version {version} by {by}")]
pub struct Revision {
    /// Name of the operator.
    pub by: String,
    /// Time at which an instance received the change from the operator.
    pub at: Unix,
    /// The version that the change created.
    pub version: Version,
}

/// A preset that was put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresetActivation {
    /// The preset.
    pub preset: Preset,
    /// Revision that put it in force.
    pub revision: Revision,
}

/// All settings as of one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value {
    /// Number of accepted changes.
    pub version: Version,
    /// The one preset in force.
    pub preset: Preset,
    /// Revision that set the preset; `None` while it is the default.
    pub preset_revision: Option<Revision>,
    /// The latest presets put in force, oldest first, including the current one.
    pub preset_history: VecDeque<PresetActivation>,
    /// Quota of each team that has one.
    pub quotas: BTreeMap<String, Amount>,
    /// Workers and racks that take no new tasks.
    pub drained: BTreeSet<DrainTarget>,
    /// Log level of every instance; with `None`, each uses the level of its own settings.
    pub log_level: Option<log::LevelFilter>,
}

/// Maximum number of entries in [`Value::preset_history`].
pub const MAX_PRESET_HISTORY: usize = 16;

impl Value {
    /// Puts a preset in force.
    pub(super) fn set_preset(&mut self, preset: Preset, revision: &Revision) {
        self.preset = preset;
        self.preset_revision = Some(revision.clone());
        if self.preset_history.len() == MAX_PRESET_HISTORY {
            self.preset_history.pop_front();
        }
        self.preset_history.push_back(PresetActivation { preset, revision: revision.clone() });
    }

    /// Returns the preset that was in force at `version`, if it is in the history.
    pub fn activation_at(&self, version: Version) -> Option<&PresetActivation> {
        if version > self.version {
            return None;
        }
        self.preset_history.iter().rev().find(|activation| activation.revision.version <= version)
    }

    /// Whether a worker is drained, either itself or with its rack.
    ///
    /// ```
    /// use oriolefork::config::{DrainTarget, Value};
    /// let mut value = Value::default();
    /// value.drained.insert(DrainTarget::Rack { domain: "kurow-hall".into(), rack: "r1".to_owned() });
    /// assert!(value.is_drained(&"kurow-hall".into(), &"w7".into(), "r1"));
    /// assert!(!value.is_drained(&"oamaru-hall".into(), &"w7".into(), "r1"));
    /// ```
    pub fn is_drained(&self, domain: &domain::Name, worker: &worker::Name, rack: &str) -> bool {
        self.drained.iter().any(|drain| match drain {
            DrainTarget::Worker { domain: at, worker: name } => at == domain && name == worker,
            DrainTarget::Rack { domain: at, rack: name } => at == domain && name == rack,
        })
    }
}
