//! Answers to requests with an idempotency key.

use derive_more::Display;

use super::key::Request;
use super::partition::KeyState;
use super::record::AttemptId;

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request has won its key and may run once.
    Granted(AttemptId),
    /// An earlier request has won the key.
    Duplicate(KeyState),
    /// The request has not run and never will.
    NotRun(Refusal),
}

/// Why a request was not run.
///
/// It concerns this request only: an earlier request with the same key may have run if the log is
/// unavailable or has dropped its record. Only a [`Permit`](super::Permit) that was released unused
/// proves that nothing has run under its key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The log is unreachable or does not answer.
    #[display("the log does not answer")]
    LogUnavailable,
    /// The intent was not read back from the log in time, so it is not known whether it was
    /// written.
    #[display("the log did not confirm the intent in time")]
    Unconfirmed,
    /// Too many requests wait for the log.
    #[display("too many requests wait for the log")]
    Overloaded,
    /// Records of keys this old may be missing, so an earlier run cannot be ruled out.
    #[display("the idempotency key is too old to tell whether an earlier request ran")]
    Expired,
    /// The key's creation time is later than this instance's clock allows.
    #[display("the idempotency key's creation time lies in the future")]
    CreatedInFuture,
    /// The key was used before for other work.
    #[display("the idempotency key was used for other work")]
    KeyReused,
    /// The deduplicator's task has ended.
    #[display("the instance is shutting down")]
    ShuttingDown,
}

impl AdmissionDecision {
    /// Answers `request` when another request has won its key: a duplicate, or a refusal if the key
    /// was used for other work.
    pub(super) fn for_repeat(request: &Request, state: KeyState) -> Self {
        let other = state.fingerprint.is_some_and(|known| known != request.fingerprint);
        if other { Self::NotRun(Refusal::KeyReused) } else { Self::Duplicate(state) }
    }
}
