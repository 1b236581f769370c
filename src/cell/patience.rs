//! How long an instance holds a caller's call while no owner takes it.
//!
//! The pattern that this answers: the store is away for seconds, or a failure domain is cut off from
//! the owner, while each caller has some three seconds and a few tries. A call that is held keeps its
//! caller from coming back, and when it is refused at last the time left is too short for another
//! try. So a call waits only for a change of owner, which is over in well under half a second, and is
//! otherwise refused at once, with the time after which to come back.

use std::time::Duration;

use super::timings::{ANSWER_MARGIN, OWNERLESS_HOLD, TRY_TIMEOUT};
use crate::clock::Instant;

/// What a call knows of its chances.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    deadline: Instant,
    hold: Instant,
    doubtful: bool,
}

/// What became of one try to reach the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trial {
    /// It surely did not reach an owner.
    Untaken,
    /// The owner cannot take it at present, and did not.
    Refused,
    /// It may have been carried out.
    Doubtful,
}

/// What to do with the call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again, for this long at most.
    Try(Duration),
    /// Say that it was not done.
    NotDone,
    /// Say that nobody knows.
    Unknown,
}

impl Patience {
    /// For a call that came at `now` from a caller who waits for `span`, at an instance that last
    /// heard of a working owner at `contact`.
    ///
    /// ```
    /// use oriolefork::cell::patience::{Next, Patience};
    /// use oriolefork::clock::Instant;
    /// use std::time::Duration;
    /// let now = Instant::from_millis(9_000);
    /// let patience = Patience::new(now, Duration::from_secs(3), Some(now));
    /// assert!(matches!(patience.next(now), Next::Try(_)));
    /// ```
    pub fn new(now: Instant, span: Duration, contact: Option<Instant>) -> Self {
        let deadline = now.after(span).before(ANSWER_MARGIN);
        let hold = contact.unwrap_or(now).after(OWNERLESS_HOLD).min(deadline);
        Self { deadline, hold, doubtful: false }
    }

    /// What to do at `now`.
    pub fn next(&self, now: Instant) -> Next {
        if now >= self.hold {
            return self.give_up();
        }
        // A try may outlast the hold: an owner that took the call waits for the store.
        Next::Try(self.deadline.since(now).min(TRY_TIMEOUT))
    }

    /// Takes in how a try ended; what to do at `now`.
    ///
    /// Guards against a call that is held until its caller has given up: one that an owner refused
    /// would be refused again, since a store that is away comes back after seconds; one that went out
    /// on a connection that broke is settled soonest by the caller's own repeat at another instance.
    pub fn after(&mut self, trial: Trial, now: Instant) -> Next {
        self.doubtful |= trial == Trial::Doubtful;
        if trial == Trial::Refused { self.give_up() } else { self.next(now) }
    }

    const fn give_up(&self) -> Next {
        if self.doubtful { Next::Unknown } else { Next::NotDone }
    }
}
