//! A worker's steady clock as the owner knows it, and how long the worker may hold what runs.

use std::time::Duration;

use super::timings::{CLOCK_DRIFT, LEASE, LEASE_MARGIN};
use crate::clock::{Instant, millis};

/// What an answer said of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockReading {
    worker_ms: u64,
    received: Instant,
}

/// Lease that a worker grants to what runs on it.
///
/// A lease ends at a time on the worker's own clock. That makes a renewal that is held up on its way
/// harmless: it never lasts longer than was meant when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    length: Duration,
    reading: Option<ClockReading>,
    granted_ms: u64,
}

impl Default for Lease {
    fn default() -> Self {
        Self::new(LEASE)
    }
}

impl Lease {
    /// Grants leases of that length; workers shorten what is longer than their site's bound.
    ///
    /// ```
    /// use oriolefork::cell::lease::Lease;
    /// use oriolefork::clock::Instant;
    /// use std::time::Duration;
    /// let mut lease = Lease::new(Duration::from_secs(6));
    /// lease.read(1_000, Instant::from_millis(0));
    /// assert_eq!(lease.grant(Instant::from_millis(0)), Some(7_000));
    /// ```
    pub const fn new(length: Duration) -> Self {
        Self { length, reading: None, granted_ms: 0 }
    }

    /// Takes the clock out of an answer that arrived at `received`.
    ///
    /// The first reading also bounds what earlier owners granted: no grant reaches further than a
    /// whole lease from now, and the worker refuses their orders from here on.
    pub fn observe_clock(&mut self, worker_ms: u64, received: Instant) {
        if self.reading.is_none() {
            self.granted_ms = worker_ms + millis(self.length);
        }
        self.reading = Some(ClockReading { worker_ms, received });
    }

    /// Whether the worker's clock is known.
    pub const fn is_clock_known(&self) -> bool {
        self.reading.is_some()
    }

    /// End of a lease granted now, on the worker's clock; `None` before its clock is known.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        let reading = self.reading?;
        // A lower bound of the worker's clock: it may run slow by the drift.
        let passed = millis(now.since(reading.received)) as f64 * (1.0 - CLOCK_DRIFT);
        let until = reading.worker_ms + passed as u64 + millis(self.length);
        self.granted_ms = self.granted_ms.max(until);
        Some(until)
    }

    /// When everything granted so far has surely run out; `None` before the clock is known.
    pub fn expires_at(&self) -> Option<Instant> {
        let reading = self.reading?;
        let left = self.granted_ms.saturating_sub(reading.worker_ms) as f64 / (1.0 - CLOCK_DRIFT);
        Some(reading.received.after(Duration::from_millis(left.ceil() as u64) + LEASE_MARGIN))
    }
}
