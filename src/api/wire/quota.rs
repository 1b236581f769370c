//! JSON form of the teams' quotas.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::wire::{Amount, check};

/// The quota of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Name of the team.
    pub team: String,
    /// Resources that the team's running tasks may hold in each failure domain.
    pub limit: Amount,
}

/// Quotas of all teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Version of the configuration on which the next change must be based.
    pub version: u64,
    /// Teams that have a quota, ordered by name.
    pub teams: Vec<Quota>,
}

impl From<view::quota::Table> for Table {
    fn from(table: view::quota::Table) -> Self {
        let quota =
            |quota: view::quota::Quota| Quota { team: quota.team, limit: quota.limit.into() };
        Self { version: table.version, teams: table.teams.into_iter().map(quota).collect() }
    }
}

/// Request to change a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Change {
    /// The new quota; `null` to remove it.
    #[serde(deserialize_with = "Option::deserialize")]
    pub limit: Option<Amount>,
    /// Version of the configuration that the operator had read.
    pub based_on: u64,
    /// Name of the operator.
    pub by: String,
}

impl Change {
    /// Validates the request and converts it into a change of the quota of `team`.
    ///
    /// # Errors
    ///
    /// Refuses an invalid name or a limit that is out of range.
    pub fn into_change(self, team: &str) -> Result<view::quota::Change, Refusal> {
        check::name("team", team)?;
        check::name("by", &self.by)?;
        let limit = self.limit.map(|limit| limit.into_quota("limit")).transpose()?;
        Ok(view::quota::Change { team: team.to_owned(), limit, based_on: self.based_on })
    }
}
