//! Detection of an owner whose thread has more work than time.
//!
//! An owner that goes on accepting jobs while its thread is overloaded starts all of them late, and
//! answers the instances that follow it too late as well. New jobs are therefore refused until it
//! has caught up; leases, ends and jobs accepted before come first.

use std::time::Duration;

/// Interval between two samples of the thread's lateness.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Mean lateness from which the thread counts as overloaded, and below which it no longer does, in
/// milliseconds. A thread that keeps up has no piece of work that takes as long.
const OVERLOADED_MS: f64 = 80.0;
const RELIEVED_MS: f64 = 40.0;

/// Maximum lateness with which one sample counts, in milliseconds, so that a single long piece of
/// work, such as the first one of a new owner, is no overload.
const MAX_SAMPLE_MS: f64 = 120.0;

/// Time over which the mean is taken, in milliseconds.
const WINDOW_MS: f64 = 1_000.0;

/// Mean of how late a timer of the owner's thread fires.
///
/// ```
/// use oriolefork::cell::overload::OverloadDetector;
/// use std::time::Duration;
/// let mut detector = OverloadDetector::default();
/// assert!(!detector.record(Duration::from_millis(900)));
/// assert!(detector.record(Duration::from_millis(900)));
/// assert!(detector.is_overloaded());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadDetector {
    mean_ms: f64,
    is_overloaded: bool,
}

impl OverloadDetector {
    /// Records that a timer of [`SAMPLE_INTERVAL`] fired `lateness` after its time; returns whether
    /// the state has changed.
    pub fn record(&mut self, lateness: Duration) -> bool {
        let took_ms = (SAMPLE_INTERVAL + lateness).as_secs_f64() * 1e3;
        let late_ms = (lateness.as_secs_f64() * 1e3).min(MAX_SAMPLE_MS);
        let weight = 1.0 - (-took_ms / WINDOW_MS).exp();
        self.mean_ms += (late_ms - self.mean_ms) * weight;
        let limit_ms = if self.is_overloaded { RELIEVED_MS } else { OVERLOADED_MS };
        let is_overloaded = self.mean_ms >= limit_ms;
        std::mem::replace(&mut self.is_overloaded, is_overloaded) != is_overloaded
    }

    /// Whether the thread has more work than time.
    pub const fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
