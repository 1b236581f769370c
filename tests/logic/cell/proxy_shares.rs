//! How the instances that query the policy service are shared among queues.

use std::rc::Rc;

use oriolefork::cell::job::{Job, Run, RunOutcome, Step};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};

use super::harness::OwnerHarness;
use super::model::{self, QUEUE, cores, id};

const POLICY_TIMING: PolicyTiming =
    PolicyTiming { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 1_500 };

/// Name of the queue with the next lower priority.
const LOWER: &str = "thumbnails";

/// Number of instances that can send queries; two thirds are the upper queue's share.
const PROXIES: u16 = 12;

const WORKERS: u32 = 60;

/// Creates a cell with most of its capacity allocated and two queues of different priority, both
/// subject to the policy service. Jobs of the lower queue have a target of `lower_target_ms` beyond
/// their work.
fn harness_with_two_queues(lower_target_ms: u64) -> OwnerHarness {
    let mut harness = OwnerHarness::new(WORKERS as usize);
    harness.start_job(999, Step { max_per_worker: 1, ..model::step(WORKERS, cores(5)) });
    let config = model::queue_config();
    let upper = Queue { policy: Some(POLICY_TIMING), ..Queue::clone(&config.queues()[0]) };
    let lower = Queue {
        name: LOWER.to_owned(),
        path_prefix: "/thumbnails/".to_owned(),
        priority: upper.priority + 1,
        stretch: 1.0,
        target_ms: lower_target_ms,
        ..upper.clone()
    };
    let queues = vec![upper.into(), lower.into()];
    harness.deliver(Message::ConfigChanged(Rc::new(QueueConfig::new(
        2,
        queues,
        config.services.clone(),
    ))));
    harness
}

fn submit(harness: &mut OwnerHarness, queue: &str, numbers: std::ops::Range<u64>, step: &Step) {
    for number in numbers {
        let job = Job { queue: queue.to_owned(), ..model::job(number, step.clone()) };
        harness.call(number, Call::Submit(job));
        harness.complete_appends();
    }
}

/// Makes all instances available at once and returns the number of queries for jobs numbered below
/// 100, and for the others.
fn queries_by_queue(harness: &mut OwnerHarness) -> (usize, usize) {
    for number in 1..=PROXIES {
        harness.see_instance(number);
    }
    harness.advance(100);
    let queries = harness.drain_queries();
    let upper = queries.iter().filter(|query| query.step.job < id(100)).count();
    (upper, queries.len() - upper)
}

/// The site is nearly full. The queries of one queue take a second each, are many, and are repeated
/// whenever their tickets expire, so they keep all instances busy. Without a share, no query was
/// sent for the jobs of the lower queue for half a minute, although a third of the workers'
/// capacity was free, and the jobs were late.
#[test]
fn proxies_lower_priority_queue_has_a_share() {
    let mut harness = harness_with_two_queues(5_000);
    submit(&mut harness, QUEUE, 1..21, &model::step(1, cores(1)));
    submit(&mut harness, LOWER, 101..121, &model::step(1, cores(1)));
    assert_eq!(queries_by_queue(&mut harness), (8, 4));
}

/// Most capacity is free, as at the end of a busy day, so steps wait only for a query. Queues have
/// equal shares, and late jobs of the lower queue count as well.
#[test]
fn proxies_shared_equally_while_capacity_is_free() {
    let mut harness = harness_with_two_queues(0);
    let done = |number: u32, run: &Run| (u64::from(number + 1), *run, RunOutcome::Succeeded);
    let runs: Vec<Run> = harness.machine.runs.keys().copied().collect();
    for (worker, run) in runs.iter().enumerate() {
        let name = harness.machine.runs[run].worker[1..].parse().expect("a number");
        harness.report(name, &[], &[done(worker as u32, run)]);
    }
    submit(&mut harness, LOWER, 101..121, &model::step(1, cores(1)));
    submit(&mut harness, QUEUE, 1..21, &model::step(1, cores(1)));
    assert_eq!(queries_by_queue(&mut harness), (6, 6));
}

/// The lower queue has only one job. Instances of its unused share serve the upper queue at once.
#[test]
fn proxies_of_an_unused_share_serve_other_queues() {
    let mut harness = harness_with_two_queues(5_000);
    submit(&mut harness, QUEUE, 1..21, &model::step(1, cores(1)));
    submit(&mut harness, LOWER, 101..102, &model::step(1, cores(1)));
    assert_eq!(queries_by_queue(&mut harness), (11, 1));
}

/// The jobs of the lower queue fit on no worker, so there is nothing to query for them and no
/// instance is kept for them.
#[test]
fn proxies_not_kept_for_steps_that_fit_nowhere() {
    let mut harness = harness_with_two_queues(5_000);
    submit(&mut harness, QUEUE, 1..21, &model::step(1, cores(1)));
    submit(&mut harness, LOWER, 101..121, &model::step(1, cores(9)));
    assert_eq!(queries_by_queue(&mut harness), (12, 0));
}

/// The jobs of the lower queue can no longer be on time. They have no share while jobs that can be
/// on time have queries.
#[test]
fn proxies_late_jobs_have_no_share() {
    let mut harness = harness_with_two_queues(0);
    submit(&mut harness, LOWER, 101..121, &model::step(1, cores(1)));
    submit(&mut harness, QUEUE, 1..21, &model::step(1, cores(1)));
    assert_eq!(queries_by_queue(&mut harness), (12, 0));
}

/// Guards against an owner of many instances that spends its time on queries: it sent as many at a
/// time as there were instances.
#[test]
fn queries_in_flight_are_limited() {
    let mut harness = harness_with_two_queues(60_000);
    submit(&mut harness, QUEUE, 100..450, &model::step(1, cores(1)));
    for number in 1..=400 {
        harness.see_instance(number);
    }
    harness.advance(100);
    let queries = harness.drain_queries();
    assert_eq!(queries.len(), 300);
    harness.allow_all(&queries[0]);
    harness.advance(100);
    assert!(!harness.drain_queries().is_empty(), "an answer makes room for another query");
}
