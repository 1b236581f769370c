//! Rate limit on the log lines of a thread.

use std::time::{Duration, Instant};

use log::Level;
use oriolefork::logging::RateLimiter;

/// A fault makes the process log thousands of lines per second. The limit must bound the time spent
/// on logging, still admit warnings, and report the number of dropped lines.
#[test]
fn admit_limits_lines_per_second() {
    let (mut limiter, now) = (RateLimiter::default(), Instant::now());
    let written = (0..10_000).filter(|_| limiter.admit(Level::Info, now).0).count();
    assert_eq!(written, 3_000);
    let (first, missing) = limiter.admit(Level::Warn, now);
    assert_eq!((first, missing), (true, 7_000));
    let warnings = (0..9_999).filter(|_| limiter.admit(Level::Warn, now).0).count();
    assert_eq!(warnings, 999);
    let later = now + Duration::from_secs(1);
    let (write, dropped) = limiter.admit(Level::Info, later);
    assert!(write);
    assert_eq!(dropped, 9_000);
    assert_eq!(limiter.admit(Level::Info, later), (true, 0), "dropped lines are reported once");
}

#[test]
fn count_dropped_is_reported_with_next_line() {
    let (mut limiter, now) = (RateLimiter::default(), Instant::now());
    assert_eq!(limiter.admit(Level::Info, now), (true, 0));
    limiter.count_dropped(1);
    assert_eq!(limiter.admit(Level::Info, now), (true, 1));
}
