//! How long an instance holds a caller's call while no owner takes it.
//!
//! The pattern that this answers: the store is away for seconds, or a failure domain is cut off from
//! the owner, while each caller has some three seconds and a few tries. A call that is held keeps its
//! caller from coming back, and when it is refused at last the time left is too short for another
//! try. So a call waits only for a change of owner, which is over in well under half a second, and is
//! otherwise refused at once, with the time after which to come back.

use std::time::Duration;

use super::timings::{ANSWER_MARGIN, ATTEMPT_TIMEOUT, NO_OWNER_WAIT};
use crate::clock::Instant;

/// What a call knows of its chances.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    deadline: Instant,
    retry_until: Instant,
    may_have_run: bool,
}

/// What became of one try to reach the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It surely did not reach an owner.
    NotDelivered,
    /// The owner cannot take it at present, and did not.
    Refused,
    /// It may have been carried out.
    Unknown,
}

/// What to do with the call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again, for this long at most.
    Attempt(Duration),
    /// Say that it was not done.
    NotExecuted,
    /// Say that nobody knows.
    Unknown,
}

impl RetryPolicy {
    /// For a call that came at `now` from a caller who waits for `span`, at an instance that last
    /// heard of a working owner at `contact`.
    ///
    /// ```
    /// use oriolefork::cell::retry::{RetryDecision, RetryPolicy};
    /// use oriolefork::clock::Instant;
    /// use std::time::Duration;
    /// let now = Instant::from_millis(9_000);
    /// let patience = RetryPolicy::new(now, Duration::from_secs(3), Some(now));
    /// assert!(matches!(patience.next(now), RetryDecision::Attempt(_)));
    /// ```
    pub fn new(now: Instant, span: Duration, contact: Option<Instant>) -> Self {
        let deadline = now.after(span).before(ANSWER_MARGIN);
        let hold = contact.unwrap_or(now).after(NO_OWNER_WAIT).min(deadline);
        Self { deadline, retry_until: hold, may_have_run: false }
    }

    /// What to do at `now`.
    pub fn next(&self, now: Instant) -> RetryDecision {
        if now >= self.retry_until {
            return self.give_up();
        }
        // A try may outlast the hold: an owner that took the call waits for the store.
        RetryDecision::Attempt(self.deadline.since(now).min(ATTEMPT_TIMEOUT))
    }

    /// Takes in how a try ended; what to do at `now`.
    ///
    /// Guards against a call that is held until its caller has given up: one that an owner refused
    /// would be refused again, since a store that is away comes back after seconds; one that went out
    /// on a connection that broke is settled soonest by the caller's own repeat at another instance.
    pub fn after_attempt(&mut self, trial: AttemptOutcome, now: Instant) -> RetryDecision {
        self.may_have_run |= trial == AttemptOutcome::Unknown;
        if trial == AttemptOutcome::Refused { self.give_up() } else { self.next(now) }
    }

    const fn give_up(&self) -> RetryDecision {
        if self.may_have_run { RetryDecision::Unknown } else { RetryDecision::NotExecuted }
    }
}
