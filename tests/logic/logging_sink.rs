//! Bounds on the lines that a process writes.

use std::time::{Duration, Instant};

use log::Level;
use oriolefork::logging::Window;

/// A fault makes the process log each decision thousands of times a second. The log must not take
/// its time, must still hold the warnings, and must say what is missing.
#[test]
fn take_bounds_a_flood() {
    let (mut window, now) = (Window::default(), Instant::now());
    let written = (0..10_000).filter(|_| window.take(Level::Info, now).0).count();
    assert_eq!(written, 3_000);
    let (first, missing) = window.take(Level::Warn, now);
    assert_eq!((first, missing), (true, 7_000));
    let warnings = (0..9_999).filter(|_| window.take(Level::Warn, now).0).count();
    assert_eq!(warnings, 999);
    let later = now + Duration::from_secs(1);
    let (write, dropped) = window.take(Level::Info, later);
    assert!(write);
    assert_eq!(dropped, 9_000);
    assert_eq!(window.take(Level::Info, later), (true, 0), "it is said once");
}

#[test]
fn give_back_counts_on() {
    let (mut window, now) = (Window::default(), Instant::now());
    assert_eq!(window.take(Level::Info, now), (true, 0));
    window.give_back(1);
    assert_eq!(window.take(Level::Info, now), (true, 1));
}
