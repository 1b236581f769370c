//! Worker leases, which expire on the workers' own clocks.

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
fn expiry_covers_a_slow_clock() {
    let mut lease = Lease::default();
    lease.observe_clock(0, at(0));
    let until = lease.grant(at(0)).expect("the clock is known");
    let expiry = lease.expires_at().expect("the clock is known");
    // At `expiry` the slowest allowed clock has passed the end of the lease.
    let slowest = expiry.as_millis() as f64 * 0.98;
    assert!(slowest > until as f64, "{slowest} {until}");
}

/// A new owner reads the clock of a worker whose lease the former owner has just renewed. If the
/// first reading did not bound the leases of others, the new owner would count the worker's runs as
/// expired as soon as the worker stops answering, and start the tasks elsewhere while they still
/// run.
#[test]
fn expiry_counts_grants_of_earlier_owners() {
    let mut lease = Lease::default();
    lease.observe_clock(50_000, at(0));
    let expiry = lease.expires_at().expect("the clock is known");
    assert!(expiry.since(at(0)) > LEASE - Duration::from_millis(1));
}

/// A renewal computed late never shortens an earlier grant.
#[test]
fn expiry_keeps_the_longest_grant() {
    let mut lease = Lease::default();
    lease.observe_clock(0, at(0));
    lease.grant(at(4_000));
    let before = lease.expires_at();
    lease.observe_clock(100, at(100));
    assert!(lease.expires_at() >= before.map(|expiry| expiry.before(Duration::from_millis(200))));
}
