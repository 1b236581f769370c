//! Leases on workers' own clocks.

use std::time::Duration;

use oriolefork::cell::lease::Lease;
use oriolefork::cell::timings::LEASE;
use oriolefork::clock::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn grant_unknown_clock() {
    assert_eq!(Lease::default().grant(at(5)), None);
    assert_eq!(Lease::default().expires_at(), None);
}

#[test]
fn grant_runs_behind_a_slow_clock() {
    let mut lease = Lease::default();
    lease.observe_clock(1_000, at(0));
    let until = lease.grant(at(1_000)).expect("the clock is known");
    assert_eq!(until, 1_000 + 980 + LEASE.as_millis() as u64);
}

#[test]
fn lapse_covers_a_slow_clock() {
    let mut lease = Lease::default();
    lease.observe_clock(0, at(0));
    let until = lease.grant(at(0)).expect("the clock is known");
    let lapse = lease.expires_at().expect("the clock is known");
    // At that instant the slowest clock allowed has passed the end of the lease.
    let slowest = lapse.as_millis() as f64 * 0.98;
    assert!(slowest > until as f64, "{slowest} {until}");
}

/// An owner takes a worker over whose lease an earlier owner has renewed a moment before. If the
/// first reading did not bound what others granted, the new owner would take the worker's tasks for
/// lapsed at once when it falls silent, and start them elsewhere while they run.
#[test]
fn lapse_counts_grants_of_earlier_owners() {
    let mut lease = Lease::default();
    lease.observe_clock(50_000, at(0));
    let lapse = lease.expires_at().expect("the clock is known");
    assert!(lapse.since(at(0)) > LEASE - Duration::from_millis(1));
}

/// A renewal computed late never shortens what an earlier one granted.
#[test]
fn lapse_keeps_the_longest_grant() {
    let mut lease = Lease::default();
    lease.observe_clock(0, at(0));
    lease.grant(at(4_000));
    let before = lease.expires_at();
    lease.observe_clock(100, at(100));
    assert!(lease.expires_at() >= before.map(|lapse| lapse.before(Duration::from_millis(200))));
}
