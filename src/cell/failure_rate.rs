//! Share of the attempts in a cell that fail, and the failures in a row that this makes improbable.

/// Weight of one attempt in the mean: it follows the last fifty or so, which a small site ends in
/// a second or two.
const WEIGHT: f64 = 0.02;

/// Probability below which failures in a row on one worker are taken for the worker's fault: that
/// of three at a rate of a fifth.
const IMPROBABLE: f64 = 0.008;

/// Fewest failures in a row that are taken for the worker's fault. Jobs that cannot succeed fail
/// two to four times on healthy workers.
const MIN_STREAK: usize = 3;

/// Highest rate that is assumed, so that the number of failures stays finite.
const MAX_RATE: f64 = 0.99;

/// Mean share of the recent attempts in a cell that failed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate(f64);

impl FailureRate {
    /// Records that an attempt has ended.
    pub fn record(&mut self, failed: bool) {
        self.0 += (f64::from(u8::from(failed)) - self.0) * WEIGHT;
    }

    /// Number of failures in a row that are improbable on a sound worker.
    ///
    /// ```
    /// use oriolefork::cell::failure_rate::FailureRate;
    /// let mut rate = FailureRate::default();
    /// assert_eq!(rate.improbable_streak(), 3);
    /// (0..100).for_each(|number| rate.record(number % 2 == 0));
    /// assert!(rate.improbable_streak() > 5);
    /// ```
    pub fn improbable_streak(&self) -> usize {
        let rate = self.0.clamp(f64::MIN_POSITIVE, MAX_RATE);
        let streak = (IMPROBABLE.ln() / rate.ln()).ceil();
        MIN_STREAK.max(streak as usize)
    }
}
