//! One try of a request at one upstream.

use std::time::Duration;

use derive_more::Display;

use crate::clock::Instant;
use crate::domain;
use crate::runner::share::Handle;
use crate::runner::{Name, request};

/// Identity of an attempt, unique in its process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(u64);

impl Id {
    /// Builds an identity from its number.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// The identity's number.
    pub const fn raw(self) -> u64 {
        self.0
    }
}

/// Where an attempt went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A runner of the own failure domain.
    Runner {
        /// The runner.
        name: Name,
        /// Whose slot it holds.
        slots: Handle,
    },
    /// An entry instance of another failure domain.
    Domain(domain::Name),
}

/// An attempt that has not ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its request.
    pub request: request::Id,
    /// Service of the request.
    pub service: String,
    /// Where it went.
    pub target: Target,
    /// When it started.
    pub started: Instant,
    /// Whether it failed while the runner may still work on it.
    pub outcome_unknown: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer to this very request came; `failed` when it reports a fault of the server.
    Complete {
        /// Whether the status is one of a server's faults.
        failed: bool,
    },
    /// Nothing was sent.
    NotSent,
    /// Another entry instance refused it before anything reached a runner.
    Refused {
        /// When that instance wants to be asked again.
        retry_after: Duration,
    },
    /// Bytes were sent, and no whole answer came.
    Broken,
    /// A whole answer came that belongs to something else.
    Mismatched,
}
