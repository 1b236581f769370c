//! One attempt to run a request at one upstream.

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

/// Destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A runner of the own failure domain.
    Runner {
        /// The runner.
        name: Name,
        /// Handle of the runner's slots, one of which the attempt holds.
        slots: Handle,
    },
    /// An entry instance of another failure domain.
    Domain(domain::Name),
}

/// An attempt that has not ended or still holds a slot.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its request.
    pub request: request::Id,
    /// Service of the request.
    pub service: String,
    /// Destination.
    pub target: Target,
    /// When it started.
    pub started: Instant,
    /// Whether the call failed after it was sent, so that the runner may still be working on it.
    pub outcome_unknown: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response to this request arrived.
    Complete {
        /// Whether the status is 500 or above.
        failed: bool,
    },
    /// Nothing was sent.
    NotSent,
    /// Another entry instance refused the request before anything reached a runner.
    Refused {
        /// Delay before the next attempt, as requested by that instance.
        retry_after: Duration,
    },
    /// Bytes were sent, but no complete response arrived.
    Broken,
    /// A complete response arrived, but with the identity of another request.
    Mismatched,
}
