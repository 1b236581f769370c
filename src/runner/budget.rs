//! Token buckets that keep retries and hedges to a part of the traffic.

/// A bucket that fills with requests, not with time, so that a failure of everything cannot
/// multiply the load.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl Budget {
    /// Creates a full bucket that gains `ratio` tokens a request and holds at most `burst`.
    ///
    /// ```
    /// use oriolefork::runner::budget::Budget;
    /// let mut budget = Budget::new(0.5, 1.0);
    /// assert!(budget.spend());
    /// assert!(!budget.spend());
    /// budget.earn();
    /// budget.earn();
    /// assert!(budget.spend());
    /// ```
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self { tokens: burst, ratio, burst }
    }

    /// Counts one request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes one token; false when there is none.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
