//! Quotas of teams.

use serde::{Deserialize, Serialize};

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
