//! Typed refusals: what went wrong and whether the work may have run.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::intent;

/// Whether the work that a call asked for may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It did not run and never will because of this call.
    #[display("not-run")]
    NotRun,
    /// It may have run or may still run; ask again with the same key or identity.
    #[display("unknown")]
    Unknown,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The call is malformed or a field is out of its range.
    #[display("invalid")]
    Invalid,
    /// The operators' token is missing or wrong.
    #[display("unauthorized")]
    Unauthorized,
    /// Nothing has this identity or path.
    #[display("not-found")]
    NotFound,
    /// The path exists, but not with this method.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// Another change came first: read the present version and decide anew.
    #[display("stale-version")]
    StaleVersion,
    /// The idempotency key was used for different work.
    #[display("key-reused")]
    KeyReused,
    /// The idempotency key is older than the log keeps records.
    #[display("key-expired")]
    KeyExpired,
    /// The job already ended, so that the change no longer applies.
    #[display("already-ended")]
    AlreadyEnded,
    /// The work fits no worker of the failure domain, now or later.
    #[display("impossible")]
    Impossible,
    /// The team's quota could never hold the work.
    #[display("quota")]
    Quota,
    /// The request is larger than the limit.
    #[display("too-large")]
    TooLarge,
    /// Queues are full.
    #[display("overloaded")]
    Overloaded,
    /// The call could not be answered before its deadline.
    #[display("deadline")]
    Deadline,
    /// The failure domain has no owner at the moment.
    #[display("no-owner")]
    NoOwner,
    /// The log is away and too few instances of the domain could hold the record instead.
    #[display("log-unavailable")]
    LogUnavailable,
    /// The instance is shutting down.
    #[display("shutting-down")]
    ShuttingDown,
    /// No runner of the service is live and in reach.
    #[display("no-runner")]
    NoRunner,
    /// Work was sent, and no whole answer came back.
    #[display("answer-lost")]
    AnswerLost,
    /// A fault inside the scheduler.
    #[display("internal")]
    Internal,
}

/// A call that was not carried out, or of which that is not known.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, derive_more::Error)]
#[display("reason={reason} ran={ran} message={message}")]
pub struct Refusal {
    /// Whether the work may have run.
    pub ran: Ran,
    /// Why it was refused.
    pub reason: Reason,
    /// What happened, in a sentence for people.
    pub message: String,
    /// When a new try is worthwhile.
    pub retry_after: Option<Duration>,
    /// The field or header at fault, as a path such as `demand.cpu-millis`.
    pub field: Option<String>,
}

impl Refusal {
    /// A refusal of a call that surely had no effect.
    ///
    /// ```
    /// use oriolefork::api::{Ran, Reason, Refusal};
    /// let refusal = Refusal::not_run(Reason::Overloaded, "the queue is full");
    /// assert_eq!(refusal.ran, Ran::NotRun);
    /// ```
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self { ran: Ran::NotRun, reason, message: message.into(), retry_after: None, field: None }
    }

    /// A refusal of a call that may have had its effect.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self { ran: Ran::Unknown, ..Self::not_run(reason, message) }
    }

    /// A refusal of a call whose field at `path` is out of its range.
    pub fn invalid(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { field: Some(path.into()), ..Self::not_run(Reason::Invalid, message) }
    }

    /// The same refusal with the time after which a new try is worthwhile.
    pub fn after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}

/// Why work that runs at most once was not begun. It speaks for the request alone.
impl From<intent::Refusal> for Refusal {
    fn from(refusal: intent::Refusal) -> Self {
        let reason = match refusal {
            intent::Refusal::Expired => Reason::KeyExpired,
            intent::Refusal::CreatedInFuture => Reason::Invalid,
            intent::Refusal::KeyReused => Reason::KeyReused,
            intent::Refusal::Overloaded => Reason::Overloaded,
            intent::Refusal::ShuttingDown => Reason::ShuttingDown,
            intent::Refusal::LogUnavailable | intent::Refusal::Unconfirmed => {
                Reason::LogUnavailable
            }
        };
        Self::not_run(reason, refusal.to_string())
    }
}
