//! What an owner's time is counted for.

use std::future::ready;

use futures_util::FutureExt;
use oriolefork::cell::activity::{OwnerActivity, ThreadProfiler};
use oriolefork::clock::{Instant, Unix};

use super::story::Story;

#[test]
fn measure_counts_for_its_duty() {
    let ledger = ThreadProfiler::new();
    for _ in 0..64 {
        let answer = ledger.measure(OwnerActivity::Poll, ready(7).boxed_local()).now_or_never();
        assert_eq!(answer, Some(7));
    }
    assert_eq!((ledger.count(OwnerActivity::Poll), ledger.count(OwnerActivity::Command)), (64, 0));
}

#[test]
fn lap_counts_what_went_before() {
    let ledger = ThreadProfiler::new();
    let mut lap = ledger.stopwatch();
    lap.record(OwnerActivity::Placement);
    lap.restart();
    lap.record(OwnerActivity::Append);
    assert_eq!(
        (ledger.count(OwnerActivity::Placement), ledger.count(OwnerActivity::Append)),
        (1, 1)
    );
}

#[test]
fn step_by_duty_ends_with_the_journal() {
    let mut story = Story::begin(2);
    let mut duties = Vec::new();
    let (now, unix) = (Instant::from_millis(60_000), Unix::from_millis(60_000));
    story.machine.step_by_activity(now, unix, &mut |duty| duties.push(duty));
    assert_eq!(duties.last(), Some(&OwnerActivity::Append));
    assert!(
        duties.contains(&OwnerActivity::Poll) && duties.contains(&OwnerActivity::Upkeep),
        "{duties:?}"
    );
}
