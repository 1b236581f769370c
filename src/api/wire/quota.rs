//! Quotas of teams.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::wire::{Amount, check};

/// The quota of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// The team.
    pub team: String,
    /// What its running tasks may hold in each failure domain.
    pub limit: Amount,
}

/// Quotas of all teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Version on which the next change has to be based.
    pub version: u64,
    /// Teams that have a quota, by name.
    pub teams: Vec<Quota>,
}

impl From<view::quota::Table> for Table {
    fn from(table: view::quota::Table) -> Self {
        let quota =
            |quota: view::quota::Quota| Quota { team: quota.team, limit: quota.limit.into() };
        Self { version: table.version, teams: table.teams.into_iter().map(quota).collect() }
    }
}

/// A change of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Change {
    /// The new quota; `null` to remove it.
    #[serde(deserialize_with = "Option::deserialize")]
    pub limit: Option<Amount>,
    /// Version that the person saw when they decided.
    pub based_on: u64,
    /// The person.
    pub by: String,
}

impl Change {
    /// The change of the quota of `team`, checked.
    ///
    /// # Errors
    ///
    /// Names the field that is out of its range.
    pub fn into_change(self, team: &str) -> Result<view::quota::Change, Refusal> {
        check::name("team", team)?;
        check::name("by", &self.by)?;
        let limit = self.limit.map(|limit| limit.into_quota("limit")).transpose()?;
        Ok(view::quota::Change { team: team.to_owned(), limit, based_on: self.based_on })
    }
}
