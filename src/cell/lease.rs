//! Leases of workers, computed on the worker's monotonic clock.

use std::time::Duration;

use super::timings::{CLOCK_DRIFT, LEASE, LEASE_MARGIN};
use crate::clock::{Instant, millis};

/// Reading of a worker's clock from one of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockReading {
    worker_ms: u64,
    received: Instant,
}

/// Lease for the runs on one worker: the worker stops them when the lease expires.
///
/// The expiry is a time on the worker's own clock. A renewal that is delayed on its way is
/// therefore harmless: the lease never lasts longer than was intended when the renewal was sent.
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
    /// Creates a lease of that length. Workers shorten a lease that is longer than their site's
    /// maximum.
    ///
    /// ```
    /// use oriolefork::cell::lease::Lease;
    /// use oriolefork::clock::Instant;
    /// use std::time::Duration;
    /// let mut lease = Lease::new(Duration::from_secs(6));
    /// lease.observe_clock(1_000, Instant::from_millis(0));
    /// assert_eq!(lease.grant(Instant::from_millis(0)), Some(7_000));
    /// ```
    pub const fn new(length: Duration) -> Self {
        Self { length, reading: None, granted_ms: 0 }
    }

    /// Records the clock in a response that arrived at `received`.
    ///
    /// The first reading also bounds the leases of earlier owners: none of them lasts longer than a
    /// full lease from now, because the worker refuses their renewals from this response on.
    pub fn observe_clock(&mut self, worker_ms: u64, received: Instant) {
        if self.reading.is_none() {
            self.granted_ms = worker_ms.saturating_add(millis(self.length));
        }
        self.reading = Some(ClockReading { worker_ms, received });
    }

    /// Whether the worker's clock is known.
    pub const fn is_clock_known(&self) -> bool {
        self.reading.is_some()
    }

    /// Renews the lease and returns its expiry on the worker's clock; `None` before that clock is
    /// known.
    pub fn grant(&mut self, now: Instant) -> Option<u64> {
        let reading = self.reading?;
        // A lower bound of the worker's clock, which may run slow by the drift.
        let passed = millis(now.since(reading.received)) as f64 * (1.0 - CLOCK_DRIFT);
        let passed = (passed as u64).saturating_add(millis(self.length));
        let until = reading.worker_ms.saturating_add(passed);
        self.granted_ms = self.granted_ms.max(until);
        Some(until)
    }

    /// Time at which every lease granted so far has expired; `None` before the worker's clock is
    /// known.
    pub fn expires_at(&self) -> Option<Instant> {
        let reading = self.reading?;
        let remaining =
            self.granted_ms.saturating_sub(reading.worker_ms) as f64 / (1.0 - CLOCK_DRIFT);
        Some(reading.received.after(Duration::from_millis(remaining.ceil() as u64) + LEASE_MARGIN))
    }
}
