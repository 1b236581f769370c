//! What callers are told, and what runners are sent.

use oriolefork::job::Effect as Rerun;
use oriolefork::membership::State;
use oriolefork::runner::attempt::Outcome;
use oriolefork::runner::request::{Refusal, UnknownCause};
use oriolefork::runner::{Effect, Policy, RequestOutcome};
use test_case::test_case;

use super::setup::{COMPLETE, Setup, entry, runner};

// A caller's deadline passes while a runner still works. Its answer comes later, when another
// caller waits, and must not reach that one or free a verdict twice.
#[test]
fn finish_late_answer_reaches_no_one() {
    let mut setup = Setup::new(1, 8);
    let first = setup.submit(Rerun::AtMostOnce, 100);
    let late = setup.sent()[0].0;
    setup.pass(150);
    let second = setup.submit(Rerun::AtMostOnce, 1000);
    setup.finish(late, COMPLETE);
    let told = matches!(
        setup.outcome(first),
        Some(RequestOutcome::Unknown { cause: UnknownCause::Deadline, .. })
    );
    assert!(told, "{:?}", setup.outcome(first));
    assert_eq!(setup.outcome(second), None);
}

// A renewal runs twice: the connection broke after the request had been sent, and the request was
// sent again although nobody knew whether the first one had run.
#[test]
fn finish_broken_at_most_once_is_unknown_at_once() {
    let mut setup = Setup::new(3, 8);
    let id = setup.submit(Rerun::AtMostOnce, 10_000);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, Outcome::Broken);
    let told = matches!(
        setup.outcome(id),
        Some(RequestOutcome::Unknown { cause: UnknownCause::Broken, .. })
    );
    assert!(told);
    setup.pass(20_000);
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

// A caller reads "not run" and sends its work again by another way, but the first try had reached
// a runner before every further one failed to connect.
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
    let told = matches!(setup.outcome(id), Some(RequestOutcome::NotRun { refusal: r, .. }) if r == refusal);
    assert!(told);
}

// A runner with 8 slots works on 9 requests: a connection broke, the request went on running, and
// its slot was given to the next one.
#[test_case(Outcome::Broken, 1 ; "broken_keeps_slot")]
#[test_case(Outcome::Mismatched, 1 ; "mismatched_keeps_slot")]
#[test_case(Outcome::NotSent, 0 ; "unsent_frees_slot")]
#[test_case(COMPLETE, 0 ; "whole_frees_slot")]
fn finish_slot(outcome: Outcome, held: u32) {
    let mut setup = Setup::new(1, 8);
    setup.submit(Rerun::AtMostOnce, 1000);
    setup.pass(50);
    // What was not sent is tried again, until the tries are used up.
    while let Some((attempt, _)) = setup.sent().first().copied() {
        assert_eq!(setup.in_use(1), 1);
        setup.finish(attempt, outcome);
    }
    assert_eq!(setup.in_use(1), held);
    setup.pass(Policy::default().run_limit.as_millis() as u64);
    assert_eq!(setup.in_use(1), 0);
}

// A runner is about to be replaced. Requests that still went to it would be cut.
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
    setup.list();
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

// One runner mixes up its callers. Every answer of it that were believed would show a firm's data
// to another firm.
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

// Every runner of the domain is down. Work that could run in the next domain is refused.
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
fn submit_forwarded_is_not_passed_on_again() {
    let members = vec![runner("oamaru", 9, 8), entry("oamaru", 1)];
    let mut setup = Setup::with(Policy::default(), members);
    let id = setup.submit_as(Rerun::Idempotent, 1000, true);
    assert!(setup.sent().is_empty());
    let refusal = Refusal::NoRunner;
    assert!(
        matches!(setup.outcome(id), Some(RequestOutcome::NotRun { refusal: r, .. }) if r == refusal)
    );
}

// An instance is replaced for maintenance. What it took before must be answered, what comes after
// must be told to go elsewhere at once.
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
