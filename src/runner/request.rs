//! Requests of callers and what becomes of them.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Instant;
use crate::job::Effect;
use crate::runner::attempt;

/// Identity of one request at one entry instance; echoed by runners and named to the caller.
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

/// What the router knows of a request; its body stays with the caller's task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Its identity.
    pub id: Id,
    /// Service whose runners answer it.
    pub service: String,
    /// Whether a second run does harm.
    pub effect: Effect,
    /// Moment from which the caller no longer waits.
    pub deadline: Instant,
    /// Whether another failure domain passed it on; such a request is not passed on again.
    pub forwarded: bool,
}

/// Why a request was refused before anything was sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// No runner of the service is known or usable anywhere in reach.
    #[display("no live runner")]
    NoRunner,
    /// The queue is full, or the wait in it would be too long.
    #[display("overloaded")]
    Overloaded,
    /// The deadline would pass before an answer could come.
    #[display("deadline cannot be met")]
    Deadline,
    /// Every try ended before a byte was sent.
    #[display("no runner could be reached")]
    Unreachable,
    /// The instance is about to go.
    #[display("shutting down")]
    ShuttingDown,
    /// At-most-once work needs a record that cannot be written.
    #[display("at-most-once work cannot be recorded")]
    Unrecorded,
}

/// Why nothing is known of a request that was sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownCause {
    /// The deadline passed before a whole answer came.
    #[display("deadline passed")]
    Deadline,
    /// The connection ended, or the answer was broken or not to this request.
    #[display("no whole answer")]
    Broken,
}

/// The end of a request, told to its caller once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The whole answer that this attempt received.
    Complete(attempt::Id),
    /// Nothing was sent, and nothing will be.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// When a further try makes sense.
        retry_after: Duration,
    },
    /// A runner may have worked on it, or still does.
    Unknown {
        /// Why.
        cause: UnknownCause,
        /// When a further try makes sense.
        retry_after: Duration,
    },
}
