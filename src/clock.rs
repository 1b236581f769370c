//! A monotonic clock for leases and timeouts, and a wall clock for deadlines given by callers.
//!
//! Decision logic takes the current time as an argument. Code that waits takes a [`Clock`], so that
//! tests can pause and advance time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in milliseconds since that clock's start.
///
/// Instants of two processes cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Creates an instant from milliseconds since the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The instant `span` later.
    ///
    /// ```
    /// use oriolefork::clock::Instant;
    /// use std::time::Duration;
    /// let start = Instant::from_millis(5);
    /// assert_eq!(start.after(Duration::from_millis(7)).as_millis(), 12);
    /// ```
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// The instant `span` earlier, but not before the clock's start.
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(millis(span)))
    }

    /// Time elapsed since `earlier`; zero when `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// A point on the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Unix(u64);

impl Unix {
    /// Creates a point from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The point `span` later.
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Time elapsed since `earlier`; zero when `earlier` is later than `self`.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// The number of whole milliseconds in a span, limited to `u64::MAX`.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Source of the current time and of timers.
pub trait Clock {
    /// The current time of the monotonic clock.
    fn now(&self) -> Instant;

    /// The current time of the wall clock.
    fn unix(&self) -> Unix;

    /// Completes after `span`.
    fn sleep(&self, span: Duration) -> LocalBoxFuture<'static, ()>;
}

/// The monotonic clock of the async runtime, which stops while the machine is suspended.
#[derive(Clone, Debug)]
pub struct System {
    start: monoio::time::Instant,
}

impl System {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self { start: monoio::time::Instant::now() }
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        Instant(millis(self.start.elapsed()))
    }

    fn unix(&self) -> Unix {
        wall()
    }

    fn sleep(&self, span: Duration) -> LocalBoxFuture<'static, ()> {
        monoio::time::sleep(span).boxed_local()
    }
}

/// A monotonic clock that also counts time while the machine is suspended; its timers are those of
/// the async runtime.
///
/// With the common monotonic clock, an owner that resumes after a suspension would see no time pass
/// and continue to grant leases, although its successor has already waited for them to expire.
#[derive(Clone, Debug)]
pub struct Boot {
    start: Duration,
}

impl Boot {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self { start: since_boot() }
    }
}

impl Clock for Boot {
    fn now(&self) -> Instant {
        Instant(millis(since_boot().saturating_sub(self.start)))
    }

    fn unix(&self) -> Unix {
        wall()
    }

    fn sleep(&self, span: Duration) -> LocalBoxFuture<'static, ()> {
        monoio::time::sleep(span).boxed_local()
    }
}

fn wall() -> Unix {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Unix(millis(since_epoch))
}

/// Processor time used by the process; zero if the system does not report it.
pub fn processor_time() -> Duration {
    let used = nix::time::clock_gettime(nix::time::ClockId::CLOCK_PROCESS_CPUTIME_ID);
    used.map_or(Duration::ZERO, Duration::from)
}

fn since_boot() -> Duration {
    // Linux supports this clock since 2.6.39, so the call fails only on an unsupported system.
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    now.map_or(Duration::ZERO, Duration::from)
}
