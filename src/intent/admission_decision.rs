//! What a request with an idempotency key is told.

use derive_more::Display;

use super::key::Request;
use super::partition::KeyState;
use super::record::AttemptId;

/// The answer to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request has won its key and may be tried once.
    Granted(AttemptId),
    /// An earlier request has won the key.
    Duplicate(KeyState),
    /// The request has run nothing and never will.
    NotRun(Refusal),
}

/// Why a request was not run.
///
/// It speaks for the request alone: an earlier one with the same key may have run, which the log
/// could not be asked or no longer knows. Only a [`Permit`](super::Permit) that was given back
/// unused proves that nothing has run under its key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The log could not be reached or did not answer.
    #[display("the log does not answer")]
    LogUnavailable,
    /// The log's answer was lost, and the intent was not found there in time.
    #[display("the log did not confirm the intent in time")]
    Unconfirmed,
    /// Too many requests wait for the log.
    #[display("too many requests wait for the log")]
    Overloaded,
    /// Records of keys of that age may be gone, so an earlier run cannot be ruled out.
    #[display("the idempotency key is too old to tell whether an earlier request ran")]
    Expired,
    /// The key's creation time lies ahead of this instance's clock.
    #[display("the idempotency key's creation time lies in the future")]
    CreatedInFuture,
    /// The key was used before for other work.
    #[display("the idempotency key was used for other work")]
    KeyReused,
    /// The deduplicator has ended.
    #[display("the instance is shutting down")]
    ShuttingDown,
}

impl AdmissionDecision {
    /// What `request` is told when another request has won its key.
    pub(super) fn repeat(request: &Request, state: KeyState) -> Self {
        let other = state.fingerprint.is_some_and(|known| known != request.fingerprint);
        if other { Self::NotRun(Refusal::KeyReused) } else { Self::Duplicate(state) }
    }
}
