//! Quotas of teams.

use serde::{Deserialize, Serialize};

use crate::config;
use crate::resource::Amount;

/// Table of all teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Version on which the next change has to be based.
    pub version: u64,
    /// Teams that have a quota, by name.
    pub teams: Vec<Quota>,
}

/// The quota of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The team.
    pub team: String,
    /// What its running tasks may hold in each failure domain.
    pub limit: Amount,
}

/// A change of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The team.
    pub team: String,
    /// The new quota; absent to remove it.
    pub limit: Option<Amount>,
    /// Version that the person saw when they decided.
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
