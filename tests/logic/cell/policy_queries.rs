//! Which instance asks the policy service, about which workers, and what its answers allow.

use std::rc::Rc;

use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::job::Step;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};
use oriolefork::resource::Amount;

use super::harness::OwnerHarness;
use super::model::{self, cores};

const POLICY_TIMING: PolicyTiming =
    PolicyTiming { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 1_500 };

/// A cell whose one queue is subject to the policy service.
fn begin(workers: usize) -> OwnerHarness {
    let mut harness = OwnerHarness::new(workers);
    let config = model::queue_config();
    let queues = config.queues.iter();
    let queues = queues
        .map(|queue| Queue { policy: Some(POLICY_TIMING), ..Queue::clone(queue) }.into())
        .collect();
    let config = QueueConfig { version: 2, queues, services: config.services.clone() };
    harness.deliver(Message::ConfigChanged(Rc::new(config)));
    harness
}

fn submit(harness: &mut OwnerHarness, number: u64) {
    harness.call(number, Call::Submit(model::job(number, model::step(1, cores(1)))));
    harness.complete_appends();
    harness.advance(20);
}

/// An instance has just gone. Every question given to it fails at once, so that it is always the
/// first that is free to ask: job after job waits for its advice although others could ask.
#[test]
fn proxy_backs_off_after_a_failure() {
    let mut harness = begin(2);
    harness.see_instance(1);
    harness.see_instance(2);
    submit(&mut harness, 1);
    let first = harness.drain_queries().pop().expect("a query");
    harness.deliver(Message::PolicyAnswered { query: first.number, allowed: None });
    harness.advance(20);
    let second = harness.drain_queries().pop().expect("another query");
    assert_ne!(second.proxy, first.proxy);
    harness.allow_all(&second);
    submit(&mut harness, 2);
    let third = harness.drain_queries().pop().expect("a third query");
    assert_eq!(third.proxy, second.proxy, "the one that failed still rests");
}

/// An instance could not reach the policy service for a while and is well again: it must not stay
/// idle for ever while jobs wait.
#[test]
fn proxy_is_used_again_after_its_backoff() {
    let mut harness = begin(2);
    harness.see_instance(1);
    submit(&mut harness, 1);
    let first = harness.drain_queries().pop().expect("a query");
    harness.deliver(Message::PolicyAnswered { query: first.number, allowed: None });
    harness.advance(20);
    assert!(harness.drain_queries().is_empty());
    harness.see_instance(1);
    harness.advance(1_000);
    harness.see_instance(1);
    harness.advance(20);
    let second = harness.drain_queries().pop().expect("the same asker again");
    assert_eq!(second.proxy, first.proxy);
    harness.allow_all(&second);
    harness.complete_appends();
    assert_eq!(harness.drain_starts().len(), 1);
}

/// A site is full. Steps that find no room anywhere keep asking for new tickets as the old ones
/// expire, all instances are busy with that, and a new job waits for its first answer beside room
/// that has just come free. So a step asks only where an answer may let it begin.
#[test]
fn full_site_sends_no_queries() {
    let mut harness = begin(2);
    harness.see_instance(1);
    for number in 1..=2 {
        harness.call(number, Call::Submit(model::job(number, model::step(1, cores(8)))));
        harness.complete_appends();
        harness.advance(20);
        let query = harness.drain_queries().pop().expect("room is left");
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

/// The workers with the most room are named first, and no more than are needed: each name costs the
/// policy service time, and so the caller.
#[test]
fn query_names_as_many_workers_as_needed() {
    let mut harness = begin(60);
    harness.see_instance(1);
    submit(&mut harness, 1);
    let query = harness.drain_queries().pop().expect("a query");
    assert_eq!(query.workers.len(), 10);
}

/// The site is idle. The first answer allows one worker, with room for three of a gang's four tasks.
/// That is nearly all, so the gang kept this ticket fresh and waited for the last task's room, while
/// nobody asked about the other workers, until its caller gave the job up for lost.
#[test]
fn gang_queries_more_workers_while_too_few_are_eligible() {
    let mut harness = begin(40);
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
    harness.deliver(Message::PolicyAnswered { query: first.number, allowed: Some(allowed) });
    harness.advance(20);
    let second = harness.drain_queries().pop().expect("a query about others");
    assert!(second.workers.iter().all(|worker| !first.workers.contains(worker)));
    harness.allow_all(&second);
    harness.complete_appends();
    assert_eq!(harness.drain_starts().len(), 4);
}
