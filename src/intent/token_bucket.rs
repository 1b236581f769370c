//! Limits how many appends per second one instance makes.

use std::time::Duration;

use crate::clock::{Instant, millis};

const MILLIS_PER_SECOND: u64 = 1000;

/// Token bucket that limits appends.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: u64,
    capacity: u64,
    /// Available tokens, in thousandths of an append.
    credit: u64,
    refilled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` appends that refills at `per_second`.
    pub fn new(per_second: u32, burst: u32) -> Self {
        let capacity = u64::from(burst.max(1)) * MILLIS_PER_SECOND;
        Self {
            per_second: u64::from(per_second.max(1)),
            capacity,
            credit: capacity,
            refilled: Instant::default(),
        }
    }

    /// Takes the token for one append; `false` if none is available.
    ///
    /// ```
    /// use oriolefork::clock::Instant;
    /// use oriolefork::intent::TokenBucket;
    /// let mut bucket = TokenBucket::new(10, 1);
    /// let start = Instant::from_millis(0);
    /// assert!(bucket.try_take(start));
    /// assert!(!bucket.try_take(start));
    /// assert!(bucket.try_take(bucket.available_at(start)));
    /// ```
    pub fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let available = self.credit >= MILLIS_PER_SECOND;
        if available {
            self.credit -= MILLIS_PER_SECOND;
        }
        available
    }

    /// Time at which the next token is available.
    pub fn available_at(&self, now: Instant) -> Instant {
        let missing = MILLIS_PER_SECOND.saturating_sub(self.credit);
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
