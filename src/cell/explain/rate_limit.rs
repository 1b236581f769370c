//! Limit of the reports that an owner computes.

use std::time::Duration;

use crate::clock::Instant;

/// Explanations that an owner computes in one second at most. Each takes up to a few milliseconds
/// of its thread.
const MAX_PER_SECOND: u32 = 5;

/// Interval over which explanations are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Limits how many reports an owner computes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    since: Option<Instant>,
    count: u32,
    in_progress: bool,
}

impl RateLimit {
    /// Begins a report; `false` if none may begin now.
    ///
    /// ```
    /// use oriolefork::cell::explain::RateLimit;
    /// use oriolefork::clock::Instant;
    /// let now = Instant::from_millis(0);
    /// let mut limit = RateLimit::default();
    /// assert!(limit.begin(now));
    /// assert!(!limit.begin(now), "one at a time");
    /// limit.end();
    /// assert!(limit.begin(now));
    /// ```
    pub fn begin(&mut self, now: Instant) -> bool {
        if self.since.is_none_or(|since| now.since(since) >= WINDOW) {
            self.since = Some(now);
            self.count = 0;
        }
        if self.in_progress || self.count >= MAX_PER_SECOND {
            return false;
        }
        self.count += 1;
        self.in_progress = true;
        true
    }

    /// Ends a report.
    pub const fn end(&mut self) {
        self.in_progress = false;
    }
}
