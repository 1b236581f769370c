//! Failure domains, instances and the epoch of a failure domain's owner.

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

/// Identity of one run of an entry instance's process.
///
/// A restarted process has the name of the earlier one and another `run`, so that a peer can tell
/// that the memory of the earlier process is gone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name from the settings, unique in the failure domain.
    pub name: String,
    /// Random number drawn at start.
    pub run: u64,
    /// Address at which peers reach the process.
    pub peer: SocketAddr,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.run)
    }
}

/// Fencing token of a failure domain's owner; a larger one supersedes every smaller one.
///
/// `term` counts the claims in the log. `sub` counts takeovers made while the log was away, which
/// the next claim in the log supersedes.
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
    /// Count of claims in the log.
    pub term: u64,
    /// Count of takeovers without the log since then.
    pub sub: u32,
}

impl Epoch {
    /// The epoch of the first claim in a stream.
    pub const FIRST: Self = Self { term: 1, sub: 0 };

    /// The epoch that a claim in the log after this one takes.
    pub const fn next_term(self) -> Self {
        Self { term: self.term + 1, sub: 0 }
    }

    /// The epoch that the instance of `rank` takes when it takes over without the log.
    ///
    /// Ranks differ among the instances of a failure domain, so that two of them which cannot hear
    /// each other never take the same epoch, and workers tell them apart.
    pub const fn next_sub(self, rank: u8) -> Self {
        let round = self.sub / Self::RANKS + 1;
        Self { term: self.term, sub: round * Self::RANKS + rank as u32 }
    }

    /// Whether a claim of this epoch holds where `current` is in force.
    pub const fn follows(self, current: Self) -> bool {
        let next_term = self.term == current.term + 1 && self.sub == 0;
        let later_sub = self.term == current.term && self.sub > current.sub;
        next_term || later_sub
    }

    /// Takeovers without the log that one round has room for.
    const RANKS: u32 = 256;
}
