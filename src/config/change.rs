//! A change of the settings, and the bounds that every instance checks it against.

use derive_more::Display;

use super::value::{DrainTarget, Preset, Revision, Value};
use crate::resource::Amount;

/// Maximum length of the name of an operator, team, rack or worker, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of teams with a quota.
pub const MAX_QUOTAS: usize = 512;
/// Maximum number of drained workers and racks together.
pub const MAX_DRAINED: usize = 1_024;

/// One change of the settings.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// Put a preset in force.
    #[display("preset {_0}")]
    Preset(Preset),
    /// Set a team's quota, or remove it with `None`.
    #[display("quota of {team}")]
    Quota {
        /// Name of the team.
        team: String,
        /// Limit on the resources that all running tasks of the team hold together.
        limit: Option<Amount>,
    },
    /// Stop placing tasks on a worker or rack.
    #[display("drain {_0}")]
    Drain(DrainTarget),
    /// Place tasks on a drained worker or rack again.
    #[display("undrain {_0}")]
    Undrain(DrainTarget),
    /// Set the log level of every instance; with `None`, each uses the level of its own settings.
    #[display("log level")]
    LogLevel(Option<log::LevelFilter>),
}

/// The bound that a change breaks, independent of the version it is based on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum InvalidChange {
    /// A name is empty or too long.
    #[display("a name must have 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// There are too many quotas.
    #[display("at most {MAX_QUOTAS} teams can have a quota")]
    TooManyQuotas,
    /// There are too many drained workers and racks.
    #[display("at most {MAX_DRAINED} workers and racks can be drained")]
    TooManyDrained,
}

impl Change {
    /// Checks the change against the bounds.
    ///
    /// # Errors
    ///
    /// Returns the bound that the change breaks.
    pub fn check(&self, value: &Value) -> Result<(), InvalidChange> {
        match self {
            Self::Preset(_) | Self::LogLevel(_) => Ok(()),
            Self::Quota { team, limit } => {
                check_name(team)?;
                let adds_quota = limit.is_some() && !value.quotas.contains_key(team);
                if adds_quota && value.quotas.len() >= MAX_QUOTAS {
                    return Err(InvalidChange::TooManyQuotas);
                }
                Ok(())
            }
            Self::Drain(drain) => {
                check_drain(drain)?;
                if !value.drained.contains(drain) && value.drained.len() >= MAX_DRAINED {
                    return Err(InvalidChange::TooManyDrained);
                }
                Ok(())
            }
            Self::Undrain(drain) => check_drain(drain),
        }
    }

    /// Applies the change to `value`; `revision` describes the version that it creates.
    pub(super) fn apply(&self, value: &mut Value, revision: &Revision) {
        match self {
            Self::Preset(preset) => value.set_preset(*preset, revision),
            Self::Quota { team, limit: Some(limit) } => {
                value.quotas.insert(team.clone(), *limit);
            }
            Self::Quota { team, limit: None } => {
                value.quotas.remove(team);
            }
            Self::Drain(drain) => {
                value.drained.insert(drain.clone());
            }
            Self::Undrain(drain) => {
                value.drained.remove(drain);
            }
            Self::LogLevel(level) => value.log_level = *level,
        }
    }
}

/// Checks the length of a name.
pub(super) fn check_name(name: &str) -> Result<(), InvalidChange> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(InvalidChange::NameLength);
    }
    Ok(())
}

fn check_drain(drain: &DrainTarget) -> Result<(), InvalidChange> {
    match drain {
        DrainTarget::Worker { domain, worker } => {
            check_name(domain.as_str())?;
            check_name(worker.as_str())
        }
        DrainTarget::Rack { domain, rack } => {
            check_name(domain.as_str())?;
            check_name(rack)
        }
    }
}
