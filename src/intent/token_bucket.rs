//! The share of the log's appends that one instance may use.

use std::time::Duration;

use crate::clock::{Instant, millis};

/// Milliseconds in a second.
const SECOND: u64 = 1000;

/// A token bucket over appends.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: u64,
    capacity: u64,
    /// Thousandths of an append.
    credit: u64,
    refilled: Instant,
}

impl TokenBucket {
    /// Starts a full budget of `burst` appends that refills at `per_second`.
    pub fn new(per_second: u32, burst: u32) -> Self {
        let capacity = u64::from(burst.max(1)) * SECOND;
        Self {
            per_second: u64::from(per_second.max(1)),
            capacity,
            credit: capacity,
            refilled: Instant::default(),
        }
    }

    /// Takes one append; `false` when none is left.
    ///
    /// ```
    /// use oriolefork::clock::Instant;
    /// use oriolefork::intent::TokenBucket;
    /// let mut budget = TokenBucket::new(10, 1);
    /// let start = Instant::from_millis(0);
    /// assert!(budget.try_take(start));
    /// assert!(!budget.try_take(start));
    /// assert!(budget.try_take(budget.available_at(start)));
    /// ```
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let enough = self.credit >= SECOND;
        if enough {
            self.credit -= SECOND;
        }
        enough
    }

    /// When the next append may be taken.
    pub fn available_at(&self, now: Instant) -> Instant {
        let missing = SECOND.saturating_sub(self.credit);
        let wait = missing.div_ceil(self.per_second);
        self.refilled.after(Duration::from_millis(wait)).max(now)
    }

    fn refill(&mut self, now: Instant) {
        let passed = millis(now.since(self.refilled));
        let earned = passed.saturating_mul(self.per_second);
        self.credit = self.credit.saturating_add(earned).min(self.capacity);
        self.refilled = self.refilled.max(now);
    }
}
