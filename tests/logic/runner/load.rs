//! Queueing, refusal, hedges and retries.

use std::time::Duration;

use oriolefork::job::Effect as Rerun;
use oriolefork::membership::Role;
use oriolefork::runner::attempt::Outcome;
use oriolefork::runner::request::Refusal;
use oriolefork::runner::{Effect, Policy, RequestOutcome};
use test_case::test_case;

use super::setup::{COMPLETE, SERVICE, Setup, entry, runner};

#[test_case(Rerun::Idempotent, 2 ; "idempotent_is_hedged")]
#[test_case(Rerun::AtMostOnce, 1 ; "at_most_once_is_not")]
fn tick_slow_answer(effect: Rerun, attempts: usize) {
    let mut setup = Setup::new(4, 8);
    setup.warm(10);
    let id = setup.submit(effect, 1000);
    let first = setup.sent();
    setup.pass(100);
    let hedges = setup.sent();
    assert_eq!(first.len() + hedges.len(), attempts);
    if let Some((hedge, port)) = hedges.first().copied() {
        assert_ne!(port, first[0].1);
        setup.finish(hedge, COMPLETE);
        setup.finish(first[0].0, COMPLETE);
        assert_eq!(setup.outcome(id), Some(RequestOutcome::Complete(hedge)));
    }
}

// A burst fills the queue. A caller whose deadline cannot be met waits for nothing, and only then
// learns that it has to come back.
#[test]
fn submit_late_is_refused_at_once() {
    let mut setup = Setup::new(1, 1);
    setup.warm(50);
    setup.submit(Rerun::AtMostOnce, 10_000);
    let queued = setup.submit(Rerun::AtMostOnce, 10_000);
    let late = setup.submit(Rerun::AtMostOnce, 60);
    let refused = match setup.outcome(late) {
        Some(RequestOutcome::NotRun { refusal: Refusal::Deadline, retry_after }) => retry_after,
        other => panic!("{other:?}"),
    };
    assert!(refused > Duration::ZERO);
    assert_eq!(setup.outcome(queued), None);
}

#[test]
fn submit_burst_waits_a_quarter_second() {
    let mut setup = Setup::new(1, 2);
    setup.warm(50);
    let ids: Vec<_> = (0..1000).map(|_| setup.submit(Rerun::AtMostOnce, 60_000)).collect();
    let refused = ids.iter().filter(|id| setup.outcome(**id).is_some()).count();
    // 10 turns of 50 ms at 2 slots wait, and two run.
    assert!((984..=990).contains(&refused), "{refused}");
}

// Load stays above what the runners can do. A queue that only ever stands full would add its whole
// length to the waiting time of every caller, and answer no more of them.
#[test]
fn submit_standing_queue_is_kept_short() {
    let mut setup = Setup::new(1, 2);
    setup.warm(50);
    for _ in 0..8 {
        setup.submit(Rerun::AtMostOnce, 60_000);
    }
    assert!(setup.effects.iter().all(|effect| matches!(effect, Effect::Send { .. })));
    let span = Policy::default().burst_window.as_millis() as u64;
    setup.pass(span + 100);
    let refused = setup.submit(Rerun::AtMostOnce, 60_000);
    let overloaded = matches!(
        setup.outcome(refused),
        Some(RequestOutcome::NotRun { refusal: Refusal::Overloaded, .. })
    );
    assert!(overloaded, "{:?}", setup.outcome(refused));
}

#[test]
fn dispatch_short_deadline_first() {
    let mut setup = Setup::new(1, 1);
    setup.submit(Rerun::AtMostOnce, 1000);
    let (running, _) = setup.sent()[0];
    let late = setup.submit(Rerun::AtMostOnce, 900);
    let soon = setup.submit(Rerun::AtMostOnce, 200);
    setup.finish(running, COMPLETE);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, COMPLETE);
    assert_eq!(setup.outcome(soon), Some(RequestOutcome::Complete(attempt)));
    assert_eq!(setup.outcome(late), None);
}

// Callers with short deadlines keep coming. One with a long deadline was taken before them and
// would wait until its own deadline is near, for as long as they come.
#[test]
fn dispatch_short_deadlines_starve_no_other() {
    let mut setup = Setup::new(1, 1);
    setup.warm(10);
    setup.submit(Rerun::AtMostOnce, 10_000);
    let long_deadline = setup.submit(Rerun::AtMostOnce, 10_000);
    let (mut running, _) = setup.sent()[0];
    let mut waited = 0;
    while setup.outcome(long_deadline).is_none() {
        setup.submit(Rerun::AtMostOnce, 100);
        setup.pass(10);
        waited += 10;
        assert!(waited < 500, "starved");
        setup.finish(running, COMPLETE);
        running = setup.sent()[0].0;
    }
    assert!(matches!(setup.outcome(long_deadline), Some(RequestOutcome::Complete(_))));
}

/// A domain with all its slots taken and a free one beside it.
fn overloaded() -> Setup {
    let members = vec![runner("kurow", 1, 1), runner("oamaru", 9, 8), entry("oamaru", 1)];
    let mut setup = Setup::with(Policy::default(), members);
    setup.warm(100);
    for _ in 0..4 {
        setup.submit(Rerun::AtMostOnce, 10_000);
    }
    setup.sent();
    setup
}

// A morning rush meets one domain while the next one is quiet. Its callers are refused although
// there are free slots in reach.
#[test]
fn submit_overload_spills_to_another_domain() {
    let mut setup = overloaded();
    let spilled = setup.submit(Rerun::AtMostOnce, 10_000);
    let (attempt, port) = setup.sent()[0];
    assert_eq!(port, 2001);
    setup.finish(attempt, COMPLETE);
    assert_eq!(setup.outcome(spilled), Some(RequestOutcome::Complete(attempt)));
}

// Every domain is overloaded. Requests passed around would only add to the load, and their callers
// would wait longer to hear that they have to come back.
#[test]
fn submit_overload_everywhere_is_refused_at_once() {
    let mut setup = overloaded();
    let refused = setup.submit(Rerun::AtMostOnce, 10_000);
    let (attempt, _) = setup.sent()[0];
    setup.finish(attempt, Outcome::Refused { retry_after: Duration::from_secs(2) });
    let next = setup.submit(Rerun::AtMostOnce, 10_000);
    assert!(setup.sent().is_empty());
    for id in [refused, next] {
        assert!(matches!(setup.outcome(id), Some(RequestOutcome::NotRun { .. })));
    }
}

// Every runner answers with a fault. Retries that multiplied the load would keep them down.
#[test]
fn finish_retries_stay_in_budget() {
    let mut setup = Setup::new(4, 64);
    let mut attempts = 0;
    for _ in 0..1000 {
        setup.submit(Rerun::Idempotent, 1000);
        loop {
            let sent = setup.sent();
            if sent.is_empty() {
                break;
            }
            attempts += sent.len();
            sent.iter().for_each(|(id, _)| setup.finish(*id, Outcome::Complete { failed: true }));
        }
        setup.pass(10);
    }
    let Policy { retry_ratio, budget_burst, .. } = Policy::default();
    let allowed = 1000.0 * (1.0 + retry_ratio) + budget_burst;
    assert!((1000..=allowed as usize).contains(&attempts), "{attempts}");
}

#[test]
fn set_members_few_connections_limit_slots() {
    let mut member = runner("kurow", 1, 8);
    member.role = Role::Runner { service: SERVICE.to_owned(), slots: 8, connections: 3 };
    let mut setup = Setup::with(Policy::default(), vec![member]);
    for _ in 0..8 {
        setup.submit(Rerun::AtMostOnce, 1000);
    }
    assert_eq!(setup.sent().len(), 3);
}
