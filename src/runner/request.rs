//! Callers' requests and their outcomes.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::job::Effect;
use crate::runner::attempt;

/// Identity of one request at one entry instance; runners echo it, and callers receive it when the
/// outcome is unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
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

/// A request without its body, which the proxy's task keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its identity.
    pub id: Id,
    /// Service whose runners answer it.
    pub service: String,
    /// Whether the request may run more than once.
    pub effect: Effect,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Whether another failure domain forwarded it; such a request is not forwarded again.
    pub forwarded: bool,
}

/// Why a request was refused before anything was sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No runner of the service is usable in any reachable failure domain.
    #[display("no live runner")]
    NoRunner,
    /// The queue is full, or the wait in it would be too long.
    #[display("overloaded")]
    Overloaded,
    /// The deadline would pass before an answer could come.
    #[display("deadline cannot be met")]
    Deadline,
    /// Every attempt ended before a byte was sent.
    #[display("no runner could be reached")]
    Unreachable,
    /// The instance is shutting down.
    #[display("shutting down")]
    ShuttingDown,
    /// The record that at-most-once work requires cannot be written.
    #[display("at-most-once work cannot be recorded")]
    Unrecorded,
}

/// Why the outcome of a sent request is unknown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownCause {
    /// The deadline passed before a complete response arrived.
    #[display("deadline passed")]
    Deadline,
    /// The connection ended, or the response was malformed or belonged to another request.
    #[display("no whole answer")]
    Broken,
}

/// Final outcome of a request, reported to its caller exactly once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response that this attempt received.
    Complete(attempt::Id),
    /// Nothing reached a runner, and nothing will.
    NotRun {
        /// Reason.
        refusal: Refusal,
        /// Delay after which another attempt makes sense.
        retry_after: Duration,
    },
    /// A runner may have run the request or may still be running it.
    Unknown {
        /// Reason.
        cause: UnknownCause,
        /// Delay after which another attempt makes sense.
        retry_after: Duration,
    },
}
