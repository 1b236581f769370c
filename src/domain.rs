//! Names of failure domains, identities of instances, and the epochs of a failure domain's owner.

use std::fmt;
use std::net::SocketAddr;

use derive_more::{Display, From};
use serde::{Deserialize, Serialize};

/// Name of a failure domain.
#[derive(
    Clone,
    Debug,
    Display,
    From,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
#[from(&str, String)]
pub struct Name(String);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Identity of one process of an entry instance.
///
/// A restarted process has the same name and a different `run`, by which peers detect that the
/// state in the memory of the earlier process is lost.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name from the settings, unique in the failure domain.
    pub name: String,
    /// Random number drawn at start.
    pub run: u64,
    /// Address for connections from peers.
    pub peer: SocketAddr,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.run)
    }
}

/// Fencing token of a failure domain's owner; a larger one supersedes every smaller one.
///
/// `term` counts the ownership claims in the log. `sub` orders takeovers made while the log was
/// unreachable; the next claim in the log supersedes them.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{term}.{sub}")]
pub struct Epoch {
    /// Number of claims in the log.
    pub term: u64,
    /// Increases with each takeover without the log since that claim; zero if there was none.
    pub sub: u32,
}

impl Epoch {
    /// The epoch of the first claim in a log.
    pub const FIRST: Self = Self { term: 1, sub: 0 };

    /// The epoch of the next claim in the log.
    pub const fn next_term(self) -> Self {
        Self { term: self.term + 1, sub: 0 }
    }

    /// The epoch of the instance with `rank` after a takeover without the log.
    ///
    /// Each instance of a failure domain has its own rank. Two instances that cannot reach each
    /// other therefore never use the same epoch, and workers can tell them apart.
    pub const fn next_sub(self, rank: u8) -> Self {
        let round = self.sub / Self::RANKS + 1;
        Self { term: self.term, sub: round * Self::RANKS + rank as u32 }
    }

    /// Whether an owner with this epoch may supersede the owner with epoch `current`.
    pub const fn follows(self, current: Self) -> bool {
        let next_term = self.term == current.term + 1 && self.sub == 0;
        let later_sub = self.term == current.term && self.sub > current.sub;
        next_term || later_sub
    }

    /// Number of ranks, and thus of epochs in each round of takeovers without the log.
    const RANKS: u32 = 256;
}
