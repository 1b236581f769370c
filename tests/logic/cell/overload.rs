//! An owner whose thread has more work than time.

use std::time::Duration;

use oriolefork::cell::machine::{Answer, Call, Message};
use oriolefork::cell::overload::{OverloadDetector, SAMPLE_INTERVAL};
use test_case::test_case;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores};

/// Records samples of `lateness_ms` for `duration_ms`.
fn record(detector: &mut OverloadDetector, duration_ms: u64, lateness_ms: u64) {
    let lateness = Duration::from_millis(lateness_ms);
    let sample_ms = lateness_ms + SAMPLE_INTERVAL.as_millis() as u64;
    for _ in 0..duration_ms / sample_ms {
        detector.record(lateness);
    }
}

#[test_case(700, 650 => false; "one long piece of work")]
#[test_case(1_000, 100 => false; "late for a second")]
#[test_case(2_500, 100 => true; "late for longer")]
#[test_case(1_500, 700 => true; "long pieces of work")]
#[test_case(60_000, 60 => false; "busy")]
fn overload_after(duration_ms: u64, lateness_ms: u64) -> bool {
    let mut detector = OverloadDetector::default();
    record(&mut detector, duration_ms, lateness_ms);
    detector.is_overloaded()
}

#[test]
fn overload_ends_once_timers_are_in_time() {
    let mut detector = OverloadDetector::default();
    record(&mut detector, 5_000, 300);
    assert!(detector.is_overloaded());
    record(&mut detector, 500, 5);
    assert!(detector.is_overloaded(), "a moment is too short");
    record(&mut detector, 1_000, 5);
    assert!(!detector.is_overloaded());
}

/// Guards against an owner that accepts jobs which it can only start late.
#[test]
fn overloaded_owner_refuses_new_jobs_at_once() {
    let mut harness = OwnerHarness::new(2);
    harness.deliver(Message::Overloaded(true));
    harness.call(1, Call::Submit(model::job(1, model::step(1, cores(1)))));
    assert_eq!(harness.answer(1), Some(Answer::Unavailable));
    assert!(harness.appends().is_empty(), "nothing of it is stored");
    harness.deliver(Message::Overloaded(false));
    harness.call(2, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    assert_eq!(harness.answer(2), Some(Answer::Accepted));
}

/// Guards against a refusal of a job that is stored already: its caller would take it for one that
/// never runs.
#[test]
fn overloaded_owner_accepts_a_repeated_job() {
    let mut harness = OwnerHarness::new(2);
    harness.start_job(1, model::step(1, cores(1)));
    harness.deliver(Message::Overloaded(true));
    harness.call(2, Call::Submit(model::job(1, model::step(1, cores(1)))));
    harness.complete_appends();
    assert_eq!(harness.answer(2), Some(Answer::Accepted));
}

/// Guards against accepted jobs that wait while their owner is overloaded.
#[test]
fn overloaded_owner_starts_accepted_jobs() {
    let mut harness = OwnerHarness::new(2);
    harness.call(1, Call::Submit(model::job(1, model::step(2, cores(1)))));
    harness.deliver(Message::Overloaded(true));
    harness.complete_appends();
    harness.advance(10);
    harness.complete_appends();
    let starts = harness.drain_starts();
    assert_eq!(starts.len(), 2);
    harness.answer_start(&starts[0], Ok(WORKER_CLOCK_MS + harness.now));
}
