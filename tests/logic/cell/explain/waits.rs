//! One test for each reason for which a job may wait.

use std::rc::Rc;

use oriolefork::cell::caller::Caller;
use oriolefork::cell::dependencies::{Eligibility, RosterUpdate, WorkerError, WorkerInfo};
use oriolefork::cell::explain::Wait;
use oriolefork::cell::job::{Job, RunOutcome, Schedule, Step};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::{PolicyTiming, QueueConfig};
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use oriolefork::resource::Limit;

use super::super::harness::{OwnerHarness, UNIX_START_MS};
use super::super::model::{self, cores, job, step};
use super::{MUSEUM, caller, customer, job_report, owner_with_customer, submit, with_customers};

const POLICY_TIMING: PolicyTiming =
    PolicyTiming { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 1_500 };

/// Job that is explained.
const JOB: u64 = 7;

/// Returns the wait of the explained job and checks its reason.
fn wait(harness: &OwnerHarness, reason: &str) -> Wait {
    let report = job_report(harness, JOB);
    let wait = report.waits.first().unwrap_or_else(|| panic!("{report:?}")).clone();
    assert_eq!(wait.reason, reason, "{report:?}");
    assert!(report.summary.contains(&wait.cause), "{report:?}");
    wait
}

fn submit_step(harness: &mut OwnerHarness, number: u64, step: Step) {
    submit(harness, number, job(number, step), Caller::default());
}

/// Runs a job that takes all of the only worker.
fn fill(harness: &mut OwnerHarness, number: u64) {
    let starts = harness.start_job(number, Step { estimate_ms: 5_000, ..step(1, cores(8)) });
    assert_eq!(starts.len(), 1);
}

fn policy_owner(workers: usize) -> OwnerHarness {
    let mut harness = OwnerHarness::new(workers);
    harness.deliver(Message::ConfigChanged(model::policy_config(POLICY_TIMING)));
    harness
}

/// Changes the list's entry of the only worker.
fn relist(harness: &mut OwnerHarness, change: impl FnOnce(&mut WorkerInfo)) {
    let mut info = model::listed(0, cores(8));
    change(&mut info);
    let changed = vec![("w0".into(), Rc::new(info))];
    harness.deliver(Message::WorkersChanged(RosterUpdate { changed, ..RosterUpdate::default() }));
    harness.advance(60);
}

#[test]
fn wait_for_capacity() {
    let mut harness = OwnerHarness::new(1);
    fill(&mut harness, 1);
    submit_step(&mut harness, JOB, step(2, cores(2)));
    let wait = wait(&harness, "capacity");
    let capacity = wait.capacity.expect("figures");
    assert_eq!((wait.tasks, capacity.open, capacity.fits, capacity.needed), (2, 1, 0, 1));
    let start = wait.earliest_start_ms.expect("the running task has an estimate");
    assert!((4_000..=5_000).contains(&start), "{start}");
}

#[test]
fn wait_for_cap() {
    let mut harness = owner_with_customer(2);
    submit(&mut harness, 1, job(1, step(2, cores(2))), caller());
    submit(&mut harness, JOB, job(JOB, step(1, cores(1))), caller());
    let wait = wait(&harness, "cap");
    let cap = wait.cap.expect("figures");
    assert_eq!((cap.cap.cpu_millis, cap.used, cap.startable), (Some(4_000), cores(4), 0));
    assert!(wait.cause.contains(MUSEUM) && wait.cause.contains("4000m cpu"), "{}", wait.cause);
}

/// Operators take a customer away whose job waits: its cap is not known any more.
#[test]
fn wait_for_unknown_customer() {
    let mut harness = owner_with_customer(0);
    submit(&mut harness, JOB, job(JOB, step(1, cores(1))), caller());
    let mut config = (*with_customers(vec![customer("orchard", Limit::UNLIMITED)])).clone();
    config.version = 3;
    harness.deliver(Message::ConfigChanged(Rc::new(config)));
    harness.advance(60);
    wait(&harness, "customer_unknown");
}

/// A customer submits more than its rate, and its later jobs yield.
#[test]
fn wait_for_share() {
    let config = with_customers(vec![customer(MUSEUM, Limit::UNLIMITED)]);
    let mut harness = OwnerHarness::new(1);
    harness.deliver(Message::ConfigChanged(config));
    for number in (100..105).chain([JOB]) {
        submit(&mut harness, number, job(number, step(1, cores(8))), caller());
    }
    let wait = wait(&harness, "share");
    assert_eq!(wait.class.as_deref(), Some("excess"));
    assert!(wait.order.is_some_and(|order| order.place == 5), "{wait:?}");
}

#[test]
fn wait_of_worthless_job() {
    let mut harness = OwnerHarness::new(1);
    fill(&mut harness, 1);
    submit_step(&mut harness, JOB, step(1, cores(2)));
    // The worker answers its polls, so that its lease holds.
    for _ in 0..14 {
        harness.advance(500);
        harness.report(0, &[model::run(1, 0, 1)], &[]);
    }
    harness.advance(10);
    wait(&harness, "worthless");
}

/// The query about a step failed, and no round has sent the next one yet.
#[test]
fn wait_for_policy_query() {
    let mut harness = policy_owner(1);
    harness.see_instance(1);
    submit_step(&mut harness, JOB, step(1, cores(1)));
    let query = harness.drain_queries().pop().expect("a query").number;
    harness.deliver(Message::PolicyAnswered { query, eligibility: None });
    let policy = wait(&harness, "policy_query").policy.expect("figures");
    assert_eq!((policy.answered, policy.instances), (0, 1));
}

#[test]
fn wait_for_instance() {
    let mut harness = policy_owner(1);
    submit_step(&mut harness, JOB, step(1, cores(1)));
    let wait = wait(&harness, "no_instance");
    let policy = wait.policy.expect("figures");
    assert_eq!((policy.answered, policy.instances), (0, 0));
    assert!(wait.cause.contains("the policy service has not been asked"), "{}", wait.cause);
}

#[test]
fn wait_for_policy_answer() {
    let mut harness = policy_owner(1);
    harness.see_instance(1);
    submit_step(&mut harness, JOB, step(1, cores(1)));
    let wait = wait(&harness, "policy_answer");
    let query = wait.policy.expect("figures").queries.pop().expect("a query in flight");
    assert_eq!((&*query.instance, query.workers), ("127.0.0.1:1", 1));
}

#[test]
fn wait_for_eligible_workers() {
    let mut harness = policy_owner(1);
    harness.see_instance(1);
    submit_step(&mut harness, JOB, step(1, cores(1)));
    let query = harness.drain_queries().pop().expect("a query");
    let eligibility =
        Some(Eligibility { workers: Vec::new().into_iter().collect(), valid_ms: None });
    harness.deliver(Message::PolicyAnswered { query: query.number, eligibility });
    harness.advance(20);
    let policy = wait(&harness, "eligible_workers").policy.expect("figures");
    assert_eq!((policy.answered, policy.eligible), (1, 0));
}

/// The tickets of a step expire while its worker gets no tasks, and no instance can ask again until
/// one is seen. The step then waits for the answer, although it was passed over a moment ago.
#[test]
fn wait_for_tickets() {
    let mut harness = policy_owner(1);
    harness.see_instance(1);
    submit_step(&mut harness, JOB, step(1, cores(1)));
    let query = harness.drain_queries().pop().expect("a query");
    relist(&mut harness, |info| info.draining = true);
    harness.allow_all(&query);
    harness.advance(2_000);
    relist(&mut harness, |_| {});
    let no_instance = wait(&harness, "no_instance");
    let policy = no_instance.policy.expect("figures");
    assert_eq!((policy.eligible, policy.tickets), (1, 0));
    assert!(no_instance.cause.contains("0 of them with a valid ticket"), "{}", no_instance.cause);
    harness.see_instance(1);
    harness.advance(60);
    let policy = wait(&harness, "tickets").policy.expect("figures");
    assert_eq!((policy.eligible, policy.tickets, policy.queries.len()), (1, 0, 1));
}

#[test]
fn wait_for_leaving_workers() {
    let mut harness = OwnerHarness::new(1);
    relist(&mut harness, |info| info.draining = true);
    submit_step(&mut harness, JOB, step(2, cores(2)));
    let capacity = wait(&harness, "leaving_workers").capacity.expect("figures");
    assert_eq!((capacity.open, capacity.leaving, capacity.fits_leaving), (0, 1, 2));
}

#[test]
fn wait_for_unavailable_workers() {
    let mut harness = OwnerHarness::new(1);
    let sent = Instant::from_millis(harness.now);
    let outcome = Err(WorkerError::Unknown("timeout".to_owned()));
    harness.deliver(Message::Polled { worker: "w0".into(), sent, outcome });
    submit_step(&mut harness, JOB, step(1, cores(2)));
    let capacity = wait(&harness, "unavailable_workers").capacity.expect("figures");
    assert_eq!((capacity.open, capacity.unavailable), (0, 1));
}

/// The owner polls fewer workers than are listed, and the polled ones are full.
#[test]
fn wait_for_activation() {
    let timings = Timings { max_active_workers: Some(1), ..Timings::default() };
    let mut harness = OwnerHarness::with_timings(timings, 2);
    harness.call(1, Call::Submit(job(1, Step { estimate_ms: 5_000, ..step(1, cores(8)) })));
    harness.complete_appends();
    harness.call(JOB, Call::Submit(job(JOB, step(1, cores(8)))));
    wait(&harness, "activation");
}

#[test]
fn wait_for_suitable_worker() {
    let mut harness = OwnerHarness::new(1);
    let labelled = Step { required_label: Some("tape".to_owned()), ..step(1, cores(1)) };
    submit_step(&mut harness, JOB, labelled);
    let wait = wait(&harness, "no_worker");
    assert_eq!(wait.earliest_start_ms, None);
}

/// A gang of higher rank cannot be placed yet and has the workers reserved.
#[test]
fn wait_for_reserved_worker() {
    let mut harness = OwnerHarness::new(20);
    harness.start_job(1, Step { estimate_ms: 5_000, ..step(18, cores(8)) });
    submit_step(&mut harness, 3, Step { gang: true, ..step(3, cores(8)) });
    submit_step(&mut harness, JOB, step(1, cores(4)));
    let wait = wait(&harness, "reservation");
    assert!(wait.order.is_some_and(|order| (order.place, order.tasks_before) == (2, 3)));
    assert_eq!((wait.passed_over[0].room, wait.passed_over[0].wanted), (Some(1.0), 1.0));
    assert!(wait.cause.contains("1 steps with 3 tasks on 24 cores rank before it"), "{wait:?}");
}

/// A worker becomes free, and a step of higher rank will take it in the next round.
#[test]
fn wait_for_rank() {
    let mut harness = OwnerHarness::new(1);
    let run = harness.start_job(1, Step { estimate_ms: 5_000, ..step(1, cores(8)) })[0].1.run;
    submit_step(&mut harness, 3, step(1, cores(8)));
    submit_step(&mut harness, JOB, step(1, cores(4)));
    harness.report(0, &[], &[(1, run, RunOutcome::Succeeded)]);
    let wait = wait(&harness, "rank");
    assert!(wait.order.is_some_and(|order| (order.place, order.tasks_before) == (2, 1)));
    assert!(wait.passed_over.is_empty(), "{wait:?}");
}

#[test]
fn wait_for_earlier_step() {
    let mut harness = OwnerHarness::new(1);
    let second = Step { depends_on: vec![0], ..step(1, cores(1)) };
    let job = Job { steps: vec![step(1, cores(1)), second], ..job(JOB, step(1, cores(1))) };
    submit(&mut harness, JOB, job, Caller::default());
    assert_eq!(wait(&harness, "earlier_step").step, "0.1");
}

/// One member of a gang has ended, and the others have to stop before the next attempt.
#[test]
fn wait_for_earlier_attempt() {
    let mut harness = OwnerHarness::new(1);
    let gang = Step { gang: true, ..step(2, cores(2)) };
    let starts = harness.start_job(JOB, gang);
    let failed = starts[0].1.run;
    harness.report(0, &[starts[1].1.run], &[(1, failed, RunOutcome::Failed)]);
    harness.advance(10);
    wait(&harness, "earlier_attempt");
}

#[test]
fn wait_for_due_time() {
    let mut harness = OwnerHarness::new(1);
    let first = Unix::from_millis(UNIX_START_MS + 60_000);
    let schedule = Some(Schedule { first, interval_ms: 1_000, count: 2 });
    let job = Job { schedule, ..job(JOB, step(1, cores(1))) };
    submit(&mut harness, JOB, job, Caller::default());
    let start = wait(&harness, "not_due").earliest_start_ms.expect("the due time");
    assert!((59_000..60_000).contains(&start), "{start}");
}

/// The job's queue was removed from the configuration.
#[test]
fn wait_for_unknown_queue() {
    let mut harness = OwnerHarness::new(0);
    submit_step(&mut harness, JOB, step(1, cores(1)));
    harness.deliver(Message::ConfigChanged(Rc::new(QueueConfig::new(2, vec![], vec![]))));
    harness.advance(60);
    wait(&harness, "queue_unknown");
}

/// Accepted a moment ago: no round has considered it.
#[test]
fn wait_for_next_round() {
    let mut harness = OwnerHarness::new(1);
    harness.deliver(Message::Call {
        id: 1,
        call: Call::Submit(job(JOB, step(1, cores(1)))),
        caller: Caller::default(),
    });
    wait(&harness, "next_round");
}

/// The placement is decided, and the store has not confirmed it.
#[test]
fn wait_for_store() {
    let mut harness = OwnerHarness::new(1);
    harness.call(1, Call::Submit(job(JOB, step(2, cores(1)))));
    let report = job_report(&harness, JOB);
    assert_eq!(report.summary, "2 placed tasks wait for the store");
    assert!(report.running.iter().all(|run| run.stage == "recording"), "{report:?}");
}

/// A start command got no answer.
#[test]
fn wait_for_start_command() {
    let mut harness = OwnerHarness::new(1);
    submit_step(&mut harness, JOB, step(1, cores(1)));
    harness.complete_appends();
    let starts = harness.drain_starts();
    harness.answer_start(&starts[0], Err(WorkerError::Unknown("timeout".to_owned())));
    let report = job_report(&harness, JOB);
    assert!(report.summary.contains("w0") && report.summary.contains("lossy"), "{report:?}");
    assert_eq!(report.running[0].stage, "starting");
}
