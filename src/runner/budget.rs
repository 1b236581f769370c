//! Token buckets that limit retries and hedges to a fraction of the traffic.

/// A token bucket that refills with each request instead of with time, so that retries cannot
/// multiply the load when every attempt fails.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl Budget {
    /// Creates a full bucket that gains `ratio` tokens per request and holds at most `burst`.
    ///
    /// ```
    /// use oriolefork::runner::budget::Budget;
    /// let mut budget = Budget::new(0.5, 1.0);
    /// assert!(budget.try_take());
    /// assert!(!budget.try_take());
    /// budget.refill();
    /// budget.refill();
    /// assert!(budget.try_take());
    /// ```
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { tokens: burst, ratio, burst }
    }

    /// Adds the tokens for one request.
    pub fn refill(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one token; returns false when less than one is left.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
