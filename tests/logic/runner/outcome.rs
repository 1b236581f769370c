//! Outcomes reported to callers, and attempts sent to runners.

use oriolefork::job::Effect as Rerun;
use oriolefork::membership::State;
use oriolefork::runner::attempt::Outcome;
use oriolefork::runner::request::{Refusal, UnknownCause};
use oriolefork::runner::{Effect, Policy, RequestOutcome};
use test_case::test_case;

use super::setup::{COMPLETE, Setup, entry, runner};

// An answer that arrives after its caller's deadline must reach no other caller and produce no
// second outcome.
#[test]
fn finish_late_answer_reaches_no_one() {
    let mut setup = Setup::new(1, 8);
    let first = setup.submit(Rerun::AtMostOnce, 100);
    let late = setup.sent()[0].0;
    setup.advance(150);
    let second = setup.submit(Rerun::AtMostOnce, 1000);
    setup.finish(late, COMPLETE);
    let is_expected = matches!(
        setup.outcome(first),
        Some(RequestOutcome::Unknown { cause: UnknownCause::Deadline, .. })
    );
    assert!(is_expected, "{:?}", setup.outcome(first));
    assert_eq!(setup.outcome(second), None);
}

// At-most-once work must not be sent again after the connection broke, because the first attempt
// may have run.
#[test]
fn finish_broken_at_most_once_is_unknown_at_once() {
    let mut setup = Setup::new(3, 8);
    let id = setup.submit(Rerun::AtMostOnce, 10_000);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, Outcome::Broken);
    let is_expected = matches!(
        setup.outcome(id),
        Some(RequestOutcome::Unknown { cause: UnknownCause::Broken, .. })
    );
    assert!(is_expected);
    setup.advance(20_000);
    assert!(setup.sent().is_empty());
}

#[test]
fn finish_unsent_at_most_once_goes_elsewhere() {
    let mut setup = Setup::new(2, 8);
    let id = setup.submit(Rerun::AtMostOnce, 1000);
    let (attempt, first) = setup.sent()[0];
    setup.finish(attempt, Outcome::NotSent);
    let (attempt, second) = setup.sent()[0];
    assert_ne!(first, second);
    setup.finish(attempt, COMPLETE);
    assert_eq!(setup.outcome(id), Some(RequestOutcome::Complete(attempt)));
}

// An attempt that broke off may have run, even if every later attempt failed to connect. "Not run"
// would let the caller send the work again.
#[test]
fn finish_broken_then_unsent_is_not_called_not_run() {
    let mut setup = Setup::new(3, 8);
    let id = setup.submit(Rerun::Idempotent, 1000);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, Outcome::Broken);
    while let Some((attempt, _)) = setup.sent().first().copied() {
        setup.finish(attempt, Outcome::NotSent);
    }
    assert!(matches!(setup.outcome(id), Some(RequestOutcome::Unknown { .. })));
}

#[test]
fn finish_all_unsent_is_not_run() {
    let mut setup = Setup::new(3, 8);
    let id = setup.submit(Rerun::AtMostOnce, 1000);
    while let Some((attempt, _)) = setup.sent().first().copied() {
        setup.finish(attempt, Outcome::NotSent);
    }
    let refusal = Refusal::Unreachable;
    let is_expected = matches!(setup.outcome(id), Some(RequestOutcome::NotRun { refusal: r, .. }) if r == refusal);
    assert!(is_expected);
}

// A slot whose request may still be running must not be reused, or the runner works on more
// requests than it has slots.
#[test_case(Outcome::Broken, 1 ; "broken_keeps_slot")]
#[test_case(Outcome::Mismatched, 1 ; "mismatched_keeps_slot")]
#[test_case(Outcome::NotSent, 0 ; "unsent_frees_slot")]
#[test_case(COMPLETE, 0 ; "complete_frees_slot")]
fn finish_slot(outcome: Outcome, held: u32) {
    let mut setup = Setup::new(1, 8);
    setup.submit(Rerun::AtMostOnce, 1000);
    setup.advance(50);
    // Unsent attempts are retried until the attempts are used up.
    while let Some((attempt, _)) = setup.sent().first().copied() {
        assert_eq!(setup.in_use(1), 1);
        setup.finish(attempt, outcome);
    }
    assert_eq!(setup.in_use(1), held);
    setup.advance(Policy::default().run_limit.as_millis() as u64);
    assert_eq!(setup.in_use(1), 0);
}

// A runner that is leaving may stop at any time, so new requests sent to it would be lost.
#[test_case(true ; "leaving")]
#[test_case(false ; "gone")]
fn set_members_leaving_gets_no_new_work(listed: bool) {
    let mut setup = Setup::new(2, 8);
    let mut running = Vec::new();
    for _ in 0..8 {
        setup.submit(Rerun::AtMostOnce, 1000);
        running.extend(setup.sent());
    }
    if listed {
        setup.members[0].state = State::Leaving;
    } else {
        setup.members.remove(0);
    }
    setup.apply_members();
    for _ in 0..6 {
        setup.submit(Rerun::AtMostOnce, 1000);
    }
    let ports: Vec<u16> = setup.sent().iter().map(|(_, port)| *port).collect();
    assert!(!ports.is_empty() && ports.iter().all(|port| *port == 1002), "{ports:?}");
    let (cut, _) = running.into_iter().find(|(_, port)| *port == 1001).expect("both were used");
    setup.finish(cut, COMPLETE);
    let complete = |effect: &Effect| matches!(effect, Effect::Answer { outcome: RequestOutcome::Complete(id), .. } if *id == cut);
    assert!(setup.effects.iter().any(complete));
}

// A runner that mixes up its callers could show one customer's data to another, so a single
// mismatched response ejects it.
#[test]
fn finish_mismatched_ejects_at_once() {
    let mut setup = Setup::new(4, 8);
    let id = setup.submit(Rerun::Idempotent, 1000);
    let (attempt, faulty) = setup.sent()[0];
    setup.finish(attempt, Outcome::Mismatched);
    let (retry, healthy) = setup.sent()[0];
    assert_ne!(healthy, faulty);
    setup.finish(retry, COMPLETE);
    assert_eq!(setup.outcome(id), Some(RequestOutcome::Complete(retry)));
    for _ in 0..20 {
        setup.submit(Rerun::Idempotent, 1000);
    }
    assert!(setup.sent().iter().all(|(_, port)| *port != faulty));
}

// When every runner of the domain is down, another domain must get the request.
#[test]
fn submit_without_own_runner_goes_to_another_domain() {
    let members = vec![runner("oamaru", 9, 8), entry("oamaru", 1), entry("kurow", 2)];
    let mut setup = Setup::with(Policy::default(), members);
    let id = setup.submit(Rerun::AtMostOnce, 1000);
    let (attempt, port) = setup.sent()[0];
    assert_eq!(port, 2001);
    setup.finish(attempt, COMPLETE);
    assert_eq!(setup.outcome(id), Some(RequestOutcome::Complete(attempt)));
}

#[test]
fn submit_forwarded_is_not_forwarded_again() {
    let members = vec![runner("oamaru", 9, 8), entry("oamaru", 1)];
    let mut setup = Setup::with(Policy::default(), members);
    let id = setup.submit_as(Rerun::Idempotent, 1000, true);
    assert!(setup.sent().is_empty());
    let refusal = Refusal::NoRunner;
    assert!(
        matches!(setup.outcome(id), Some(RequestOutcome::NotRun { refusal: r, .. }) if r == refusal)
    );
}

// A draining instance must answer the requests it accepted and refuse new ones at once.
#[test]
fn drain_finishes_what_was_taken() {
    let mut setup = Setup::new(1, 1);
    let running = setup.submit(Rerun::AtMostOnce, 1000);
    let (attempt, _) = setup.sent()[0];
    let queued = setup.submit(Rerun::AtMostOnce, 1000);
    setup.router.drain();
    let refused = setup.submit(Rerun::AtMostOnce, 1000);
    let refusal = Refusal::ShuttingDown;
    assert!(
        matches!(setup.outcome(refused), Some(RequestOutcome::NotRun { refusal: r, .. }) if r == refusal)
    );
    setup.finish(attempt, COMPLETE);
    assert_eq!(setup.outcome(running), Some(RequestOutcome::Complete(attempt)));
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, COMPLETE);
    assert_eq!(setup.outcome(queued), Some(RequestOutcome::Complete(attempt)));
    assert_eq!(setup.router.open_requests(), 0);
}
