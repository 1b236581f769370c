//! Timeouts of calls to a worker, which are short once it has left a call unanswered.

use std::time::Duration;

use super::timings::{COMMAND_TIMEOUT, POLL_TIMEOUT, POLL_WAIT};
use crate::clock::Instant;

/// Time after an unanswered call in which the worker's calls have short timeouts.
const LOSSY_PERIOD: Duration = Duration::from_secs(10);

/// Unanswered calls in a row after which they are long again: the worker is cut off or down, and
/// calls that follow each other quickly would only use up its connections.
const MAX_QUICK_CALLS: u32 = 3;

/// Time for which a poll with a short timeout may be delayed by the worker.
const QUICK_POLL_WAIT: Duration = Duration::from_millis(200);

/// Short timeout of a call, in addition to the time for which the worker may delay its response.
const QUICK_TIMEOUT: Duration = Duration::from_millis(150);

/// How a worker has answered its latest calls.
///
/// Guards against a worker that leaves a part of its calls unanswered and executes them seconds
/// later: with the usual timeouts, the owner learned of most ends two seconds late, and a gang's
/// tickets expired before all its members had started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Responsiveness {
    lossy_until: Option<Instant>,
    unanswered: u32,
}

impl Responsiveness {
    /// Records that a call was answered.
    pub const fn record_answer(&mut self) {
        self.unanswered = 0;
    }

    /// Records that a call got no answer; `true` when a period of short timeouts begins with it.
    pub fn record_unanswered(&mut self, now: Instant) -> bool {
        let begins = self.lossy_until.is_none_or(|until| now >= until);
        self.unanswered += 1;
        self.lossy_until = Some(now.after(LOSSY_PERIOD));
        begins
    }

    /// Whether calls are repeated quickly, because the worker answers some of them.
    ///
    /// ```
    /// use oriolefork::cell::responsiveness::Responsiveness;
    /// use oriolefork::clock::Instant;
    /// let now = Instant::from_millis(0);
    /// let mut worker = Responsiveness::default();
    /// assert!(!worker.is_lossy(now));
    /// assert!(worker.record_unanswered(now));
    /// assert!(worker.is_lossy(now));
    /// ```
    pub fn is_lossy(&self, now: Instant) -> bool {
        self.unanswered < MAX_QUICK_CALLS && self.lossy_until.is_some_and(|until| now < until)
    }

    /// Maximum time for which a poll may be delayed by the worker while no run ends.
    pub fn poll_wait(&self, now: Instant) -> Duration {
        if self.is_lossy(now) { QUICK_POLL_WAIT } else { POLL_WAIT }
    }

    /// Timeout of a poll, in addition to that time.
    pub fn poll_timeout(&self, now: Instant) -> Duration {
        if self.is_lossy(now) { QUICK_TIMEOUT } else { POLL_TIMEOUT }
    }

    /// Timeout of a command.
    pub fn command_timeout(&self, now: Instant) -> Duration {
        if self.is_lossy(now) { QUICK_TIMEOUT } else { COMMAND_TIMEOUT }
    }
}
