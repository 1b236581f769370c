//! Refusals: why a call failed and whether its work may have run.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::intent;

/// Whether the work that a call requested may have run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// The work did not run and will not run because of this call.
    #[display("not-run")]
    NotRun,
    /// The work may have run or may still run; retry with the same idempotency key or id.
    #[display("unknown")]
    Unknown,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The call is malformed, or a field is out of range.
    #[display("invalid")]
    Invalid,
    /// The operator token is missing or wrong.
    #[display("unauthorized")]
    Unauthorized,
    /// No object has this id, or no route has this path.
    #[display("not-found")]
    NotFound,
    /// The path does not support this method.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// Another change was made first; read the current version before trying again.
    #[display("stale-version")]
    StaleVersion,
    /// The idempotency key was used for different work.
    #[display("key-reused")]
    KeyReused,
    /// The idempotency key is older than the log's retention of records.
    #[display("key-expired")]
    KeyExpired,
    /// The job has already ended, so the change no longer applies.
    #[display("already-ended")]
    AlreadyEnded,
    /// The work can never fit on any worker of the failure domain.
    #[display("impossible")]
    Impossible,
    /// The work alone exceeds the team's quota.
    #[display("quota")]
    Quota,
    /// The request is larger than the limit.
    #[display("too-large")]
    TooLarge,
    /// A queue is full.
    #[display("overloaded")]
    Overloaded,
    /// The call did not complete within its time limit.
    #[display("deadline")]
    Deadline,
    /// The failure domain currently has no owner.
    #[display("no-owner")]
    NoOwner,
    /// The log is unavailable, and too few instances of the domain can store the record instead.
    #[display("log-unavailable")]
    LogUnavailable,
    /// The instance is shutting down.
    #[display("shutting-down")]
    ShuttingDown,
    /// No live runner of the service can be reached.
    #[display("no-runner")]
    NoRunner,
    /// The work was sent to a runner, and no complete response was received.
    #[display("answer-lost")]
    AnswerLost,
    /// Internal error of the scheduler.
    #[display("internal")]
    Internal,
}

/// Failure of a call: it was not carried out, or its outcome is unknown.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize, derive_more::Error)]
#[display("reason={reason} ran={ran} message={message}")]
pub struct Refusal {
    /// Whether the work may have run.
    pub ran: ExecutionStatus,
    /// Why the call was refused.
    pub reason: Reason,
    /// Human-readable description of the error.
    pub message: String,
    /// Delay after which the caller should retry.
    pub retry_after: Option<Duration>,
    /// Invalid field or header, as a path such as `demand.cpu-millis`.
    pub field: Option<String>,
}

impl Refusal {
    /// Creates a refusal of a call that had no effect.
    ///
    /// ```
    /// use oriolefork::api::{ExecutionStatus, Reason, Refusal};
    /// let refusal = Refusal::not_run(Reason::Overloaded, "the queue is full");
    /// assert_eq!(refusal.ran, ExecutionStatus::NotRun);
    /// ```
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            ran: ExecutionStatus::NotRun,
            reason,
            message: message.into(),
            retry_after: None,
            field: None,
        }
    }

    /// Creates a refusal of a call that may have taken effect.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self { ran: ExecutionStatus::Unknown, ..Self::not_run(reason, message) }
    }

    /// Creates a refusal of a call whose field at `path` is invalid.
    pub fn invalid(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { field: Some(path.into()), ..Self::not_run(Reason::Invalid, message) }
    }

    /// Sets the delay after which the caller should retry.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}

/// Converts the reason why work that runs at most once was not started.
///
/// The refusal covers this request only: another request with the same key may have run the work.
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
