//! What an owner's time is counted for.

use std::future::ready;

use futures_util::FutureExt;
use oriolefork::cell::duty::{Duty, Ledger};
use oriolefork::clock::{Instant, Unix};

use super::story::Story;

#[test]
fn measure_counts_for_its_duty() {
    let ledger = Ledger::new();
    for _ in 0..64 {
        let answer = ledger.measure(Duty::Look, ready(7).boxed_local()).now_or_never();
        assert_eq!(answer, Some(7));
    }
    assert_eq!((ledger.times(Duty::Look), ledger.times(Duty::Order)), (64, 0));
}

#[test]
fn lap_counts_what_went_before() {
    let ledger = Ledger::new();
    let mut lap = ledger.lap();
    lap.end(Duty::Placement);
    lap.restart();
    lap.end(Duty::Append);
    assert_eq!((ledger.times(Duty::Placement), ledger.times(Duty::Append)), (1, 1));
}

#[test]
fn step_by_duty_ends_with_the_journal() {
    let mut story = Story::begin(2);
    let mut duties = Vec::new();
    let (now, unix) = (Instant::from_millis(60_000), Unix::from_millis(60_000));
    story.machine.step_by_activity(now, unix, &mut |duty| duties.push(duty));
    assert_eq!(duties.last(), Some(&Duty::Append));
    assert!(duties.contains(&Duty::Look) && duties.contains(&Duty::Upkeep), "{duties:?}");
}
