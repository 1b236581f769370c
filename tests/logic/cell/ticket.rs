//! Tickets of the policy service.

use std::time::Duration;

use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::record::WorkerId;
use oriolefork::cell::ticket::Tickets;
use oriolefork::clock::Instant;

const VALID: Duration = Duration::from_millis(1_500);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn answered() -> Tickets {
    let mut tickets = Tickets::default();
    let workers = ["w1".into(), "w2".into()];
    tickets.mark_queried(&workers);
    let allowed = Eligibility { workers: vec![("w1".into(), "t1".to_owned())], valid_ms: None };
    tickets.record_answer(&workers, Some(&allowed), VALID, at(100));
    tickets
}

#[test]
fn answer_splits_workers() {
    let tickets = answered();
    assert!(tickets.is_eligible("w1"));
    assert!(!tickets.is_eligible("w2"));
    assert!(!tickets.is_unqueried("w2"));
    assert!(tickets.is_unqueried("w3"));
    assert_eq!(tickets.counts(), (2, 1));
}

#[test]
fn valid_ends_before_the_ticket_does() {
    let tickets = answered();
    assert_eq!(tickets.valid_ticket("w1", at(200)), Some("t1"));
    assert_eq!(tickets.valid_ticket("w1", at(1_590)), None);
    let stale: Vec<&WorkerId> = tickets
        .eligible()
        .filter(|(_, until)| *until <= at(1_590))
        .map(|(worker, _)| worker)
        .collect();
    assert_eq!(stale, [&WorkerId::from("w1")]);
}

/// The instance that sent the query dies. The workers in the query must count as not queried again,
/// or the step would wait without end for an answer.
#[test]
fn answer_missing_can_be_asked_again() {
    let mut tickets = Tickets::default();
    let workers = ["w1".into()];
    tickets.mark_queried(&workers);
    assert!(tickets.has_pending_query());
    tickets.record_answer(&workers, None, VALID, at(100));
    assert!(!tickets.has_pending_query());
    assert!(tickets.is_unqueried("w1"));
}

#[test]
fn expire_keeps_eligibility() {
    let mut tickets = answered();
    tickets.expire("w1");
    assert_eq!(tickets.valid_ticket("w1", at(200)), None);
    assert!(tickets.is_eligible("w1"));
}

/// Workers leave while a query about them is in flight. The answer about them must not count as one
/// about a worker that is left.
#[test]
fn answer_about_a_forgotten_worker_is_not_kept() {
    let mut tickets = Tickets::default();
    let workers = ["w1".into(), "w2".into(), "w3".into()];
    tickets.mark_queried(&workers);
    tickets.forget("w1");
    tickets.forget("w2");
    let allowed = Eligibility { workers: vec![("w1".into(), "t1".to_owned())], valid_ms: None };
    tickets.record_answer(&workers, Some(&allowed), VALID, at(100));
    assert!(!tickets.is_eligible("w1"));
    assert!(!tickets.is_refused("w2"));
    assert_eq!(tickets.counts(), (1, 0));
    assert!(!tickets.has_pending_query());
}
