//! Steps that are never queried about a new worker, because answers about departed ones are counted.

use std::collections::BTreeSet;
use std::rc::Rc;

use oriolefork::cell::dependencies::{RosterUpdate, WorkerError};
use oriolefork::cell::job::Step;
use oriolefork::cell::machine::Message;
use oriolefork::cell::queue::PolicyTiming;
use oriolefork::clock::Instant;

use super::answering_workers::{LISTED, Site, Worker, name};
use super::model::{self, cores};
use super::policy_site::PolicySite;

/// Queue whose policy service takes 0.4 s for a query.
const LIMITED: (&str, PolicyTiming) =
    ("limited", PolicyTiming { decide_ms: 400.0, per_worker_ms: 1.0, valid_ms: 1_500 });

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// A worker is replaced by its next incarnation while a query about it is in flight. All workers then
/// counted as queried, and the step never started on the new one.
#[test]
fn step_is_queried_about_the_successor_of_a_worker_in_a_query() {
    let mut site = PolicySite::new(4, 3, &[LIMITED], 1_000);
    site.allowed = Some(BTreeSet::from([4]));
    site.submit(1, LIMITED.0, model::step(1, cores(1)));
    site.elapse(200);
    assert_eq!(site.queries, 1, "a query about all workers is in flight");
    let sent = Instant::from_millis(site.harness.now);
    let outcome = Err(WorkerError::OtherIncarnation);
    site.harness.deliver(Message::Polled { worker: "w3".into(), sent, outcome });
    site.harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: vec![("w4".into(), Rc::new(model::listed(4, cores(8))))],
        removed: vec!["w3".into()],
        ..RosterUpdate::default()
    }));
    site.elapse(BOUND_MS);
    assert_eq!(site.started(1), 1, "not started on w4, queries: {}", site.queries);
}

/// A worker that has answered for a step leaves the list while it is inactive, and another joins. All
/// workers then counted as queried, and the step never started on the new one.
#[test]
fn step_is_queried_about_a_worker_listed_after_an_inactive_one_left() {
    let timing = PolicyTiming { decide_ms: 5.0, per_worker_ms: 0.1, valid_ms: 1_500 };
    let mut site = Site::empty();
    site.deliver(Message::ConfigChanged(model::policy_config(timing)));
    site.eligible = Some(BTreeSet::from([name(LISTED)]));
    site.submit(1, model::job(1, Step { long_running: true, ..model::step(1, cores(1)) }));
    site.play(60_000);
    assert_eq!(site.polled.len(), LISTED, "all workers have been active");
    let left =
        (0..LISTED).find(|number| !site.machine.workers.contains_key(name(*number).as_str()));
    let left = left.expect("an inactive worker");
    site.workers.insert(name(LISTED), Worker::default());
    let numbers = (0..=LISTED).filter(|number| *number != left).collect();
    site.list(&numbers, |_| cores(8));
    site.play(BOUND_MS);
    let active = site.machine.workers.contains_key(name(LISTED).as_str());
    assert!(!site.started.is_empty(), "not started; new worker active: {active}");
}
