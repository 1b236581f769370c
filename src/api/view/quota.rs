//! Views of the teams' quotas.

use serde::{Deserialize, Serialize};

use crate::config;
use crate::resource::Amount;

/// Quotas of all teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Version of the configuration on which the next change must be based.
    pub version: u64,
    /// Teams that have a quota, ordered by name.
    pub teams: Vec<Quota>,
}

/// The quota of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Name of the team.
    pub team: String,
    /// Resources that the team's running tasks may hold in each failure domain.
    pub limit: Amount,
}

/// Request to change a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the team.
    pub team: String,
    /// The new quota; absent to remove it.
    pub limit: Option<Amount>,
    /// Version of the configuration that the operator had read.
    pub based_on: u64,
}

impl From<&config::Value> for Table {
    fn from(value: &config::Value) -> Self {
        let quota = |(team, limit): (&String, &Amount)| Quota { team: team.clone(), limit: *limit };
        Self { version: value.version.raw(), teams: value.quotas.iter().map(quota).collect() }
    }
}

impl From<&Change> for config::Change {
    fn from(change: &Change) -> Self {
        Self::Quota { team: change.team.clone(), limit: change.limit }
    }
}
