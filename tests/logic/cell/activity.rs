//! Profiling of an owner's thread time by activity.

use std::future::ready;

use futures_util::FutureExt;
use oriolefork::cell::activity::{OwnerActivity, ThreadProfiler};
use oriolefork::clock::{Instant, Unix};

use super::harness::OwnerHarness;

#[test]
fn measure_counts_for_its_activity() {
    let profiler = ThreadProfiler::new();
    for _ in 0..64 {
        let answer = profiler.measure(OwnerActivity::Poll, ready(7).boxed_local()).now_or_never();
        assert_eq!(answer, Some(7));
    }
    assert_eq!(
        (profiler.count(OwnerActivity::Poll), profiler.count(OwnerActivity::Command)),
        (64, 0)
    );
}

#[test]
fn stopwatch_records_each_activity() {
    let profiler = ThreadProfiler::new();
    let mut stopwatch = profiler.stopwatch();
    stopwatch.record(OwnerActivity::Placement);
    stopwatch.restart();
    stopwatch.record(OwnerActivity::Append);
    assert_eq!(
        (profiler.count(OwnerActivity::Placement), profiler.count(OwnerActivity::Append)),
        (1, 1)
    );
}

#[test]
fn step_by_activity_ends_with_append() {
    let mut harness = OwnerHarness::new(2);
    let mut activities = Vec::new();
    let (now, unix) = (Instant::from_millis(60_000), Unix::from_millis(60_000));
    harness.machine.step_by_activity(now, unix, &mut |activity| activities.push(activity));
    assert_eq!(activities.last(), Some(&OwnerActivity::Append));
    assert!(
        activities.contains(&OwnerActivity::Poll) && activities.contains(&OwnerActivity::Upkeep),
        "{activities:?}"
    );
}
