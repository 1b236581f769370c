//! Which instance queries the policy service, about which workers, and how its answers are used.

use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::job::Step;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::PolicyTiming;
use oriolefork::resource::Amount;

use super::harness::OwnerHarness;
use super::model::{self, cores};

const POLICY_TIMING: PolicyTiming =
    PolicyTiming { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 1_500 };

/// Creates a cell whose only queue is subject to the policy service.
fn harness_with_policy(workers: usize) -> OwnerHarness {
    let mut harness = OwnerHarness::new(workers);
    harness.deliver(Message::ConfigChanged(model::policy_config(POLICY_TIMING)));
    harness
}

fn submit(harness: &mut OwnerHarness, number: u64) {
    harness.call(number, Call::Submit(model::job(number, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(20);
}

/// An instance has just stopped, so every query sent to it fails at once. Without a backoff it
/// would always be the first free proxy, and job after job would wait for its answer although other
/// instances could send the query.
#[test]
fn proxy_backs_off_after_a_failure() {
    let mut harness = harness_with_policy(2);
    harness.see_instance(1);
    harness.see_instance(2);
    submit(&mut harness, 1);
    let first = harness.drain_queries().pop().expect("a query");
    harness.deliver(Message::PolicyAnswered { query: first.number, eligibility: None });
    harness.advance(20);
    let second = harness.drain_queries().pop().expect("another query");
    assert_ne!(second.proxy, first.proxy);
    harness.allow_all(&second);
    submit(&mut harness, 2);
    let third = harness.drain_queries().pop().expect("a third query");
    assert_eq!(third.proxy, second.proxy, "the proxy that failed is still in backoff");
}

/// An instance that could not reach the policy service for a while has recovered. It must not stay
/// idle while jobs wait.
#[test]
fn proxy_is_used_again_after_its_backoff() {
    let mut harness = harness_with_policy(2);
    harness.see_instance(1);
    submit(&mut harness, 1);
    let first = harness.drain_queries().pop().expect("a query");
    harness.deliver(Message::PolicyAnswered { query: first.number, eligibility: None });
    harness.advance(20);
    assert!(harness.drain_queries().is_empty());
    harness.see_instance(1);
    harness.advance(1_000);
    harness.see_instance(1);
    harness.advance(20);
    let second = harness.drain_queries().pop().expect("a query to the same proxy");
    assert_eq!(second.proxy, first.proxy);
    harness.allow_all(&second);
    harness.complete_appends();
    assert_eq!(harness.drain_starts().len(), 1);
}

/// On a full site, steps that fit on no worker kept requesting new tickets as the old ones expired.
/// All instances were busy with these queries, and a new job waited for its first answer beside
/// capacity that had just become free. A step is therefore queried only if an answer may let it
/// start.
#[test]
fn full_site_sends_no_queries() {
    let mut harness = harness_with_policy(2);
    harness.see_instance(1);
    for number in 1..=2 {
        harness.call(number, Call::Submit(model::job(number, model::step(1, cores(8)))));
        harness.complete_appends();
        harness.advance(20);
        let query = harness.drain_queries().pop().expect("capacity is left");
        harness.allow_all(&query);
        harness.complete_appends();
    }
    assert_eq!(harness.drain_starts().len(), 2);
    harness.call(3, Call::Submit(model::job(3, model::step(4, cores(8)))));
    harness.complete_appends();
    for _ in 0..40 {
        harness.see_instance(1);
        harness.advance(50);
        harness.complete_appends();
    }
    assert!(harness.drain_queries().is_empty());
}

/// The workers with the most free capacity are named first, and no more than needed: each name
/// costs the policy service time, and so delays the caller.
#[test]
fn query_names_as_many_workers_as_needed() {
    let mut harness = harness_with_policy(60);
    harness.see_instance(1);
    submit(&mut harness, 1);
    let query = harness.drain_queries().pop().expect("a query");
    assert_eq!(query.workers.len(), 10);
}

/// On an idle site, the first answer allowed one worker, with capacity for three of a gang's four
/// tasks. Since that is nearly enough, the gang renewed this ticket and waited for capacity for the
/// last task, and no query about the other workers was sent until the caller gave up the job.
#[test]
fn gang_queries_more_workers_while_too_few_are_eligible() {
    let mut harness = harness_with_policy(40);
    harness.see_instance(1);
    let demand = Amount { cpu_millis: 2_500, ..cores(1) };
    let gang = Step { gang: true, ..model::step(4, demand) };
    harness.call(1, Call::Submit(model::job(1, gang)));
    harness.complete_appends();
    harness.advance(20);
    let first = harness.drain_queries().pop().expect("a query");
    assert!(first.workers.len() < 40);
    let allowed =
        Eligibility { workers: vec![(first.workers[0].clone(), "t".into())], valid_ms: None };
    harness.deliver(Message::PolicyAnswered { query: first.number, eligibility: Some(allowed) });
    harness.advance(20);
    let second = harness.drain_queries().pop().expect("a query about others");
    assert!(second.workers.iter().all(|worker| !first.workers.contains(worker)));
    harness.allow_all(&second);
    harness.complete_appends();
    assert_eq!(harness.drain_starts().len(), 4);
}
