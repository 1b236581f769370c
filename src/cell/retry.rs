//! Retries of a caller's call while no owner accepts it.
//!
//! The problem arises when the store is unreachable for seconds, or when a failure domain is cut
//! off from the owner, while each caller has about three seconds and a few attempts. A caller whose
//! call is held cannot retry, and when the call is refused at last, too little time remains for
//! another attempt. A call therefore waits only for a change of owner, which takes well under half
//! a second. Otherwise it is refused at once, with the time after which to retry.

use std::time::Duration;

use super::timings::{ANSWER_MARGIN, ATTEMPT_TIMEOUT, NO_OWNER_WAIT};
use crate::clock::Instant;

/// Decides whether a call is attempted again.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    deadline: Instant,
    retry_until: Instant,
    may_have_run: bool,
}

/// Outcome of one attempt to reach the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It did not reach an owner.
    NotDelivered,
    /// The owner refused it without executing it.
    Refused,
    /// It may have been executed.
    Unknown,
}

/// What to do with the call next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make an attempt with this timeout.
    Attempt(Duration),
    /// Return that the call was not executed.
    NotExecuted,
    /// Return that the call may have been executed.
    Unknown,
}

impl RetryPolicy {
    /// Creates the policy for a call that arrived at `now` from a caller that waits for `timeout`,
    /// at an instance whose last contact with a working owner was at `owner_heard_at`.
    ///
    /// ```
    /// use oriolefork::cell::retry::{RetryDecision, RetryPolicy};
    /// use oriolefork::clock::Instant;
    /// use std::time::Duration;
    /// let now = Instant::from_millis(9_000);
    /// let policy = RetryPolicy::new(now, Duration::from_secs(3), Some(now));
    /// assert!(matches!(policy.next(now), RetryDecision::Attempt(_)));
    /// ```
    pub fn new(now: Instant, timeout: Duration, owner_heard_at: Option<Instant>) -> Self {
        let deadline = now.after(timeout).before(ANSWER_MARGIN);
        let retry_until = owner_heard_at.unwrap_or(now).after(NO_OWNER_WAIT).min(deadline);
        Self { deadline, retry_until, may_have_run: false }
    }

    /// Returns what to do at `now`.
    pub fn next(&self, now: Instant) -> RetryDecision {
        if now >= self.retry_until {
            return self.give_up();
        }
        // An attempt may continue after `retry_until`: an owner that accepted the call waits for
        // the store.
        RetryDecision::Attempt(self.deadline.since(now).min(ATTEMPT_TIMEOUT))
    }

    /// Records the outcome of an attempt and returns what to do at `now`.
    ///
    /// Guards against holding a call until its caller gives up. A call that an owner refused would
    /// be refused again, since an unreachable store returns only after seconds. A call that was
    /// sent on a broken connection is settled fastest when the caller repeats it at another
    /// instance.
    pub fn after_attempt(&mut self, outcome: AttemptOutcome, now: Instant) -> RetryDecision {
        self.may_have_run |= outcome == AttemptOutcome::Unknown;
        if outcome == AttemptOutcome::Refused { self.give_up() } else { self.next(now) }
    }

    const fn give_up(&self) -> RetryDecision {
        if self.may_have_run { RetryDecision::Unknown } else { RetryDecision::NotExecuted }
    }
}
