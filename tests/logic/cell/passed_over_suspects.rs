//! Tasks of a job of which one is suspected of crashing its workers, beside workers with room.

use std::rc::Rc;

use oriolefork::cell::caller::Caller;
use oriolefork::cell::customer::{Customer, Customers, KeyDigest};
use oriolefork::cell::dependencies::{RosterUpdate, WorkerError};
use oriolefork::cell::job::Step;
use oriolefork::cell::machine::{Call, Message};
use oriolefork::cell::queue::QueueConfig;
use oriolefork::clock::Instant;
use oriolefork::resource::{Amount, Limit};

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores, id};

/// Number of the job whose first task has crashed worker `w0` at its start.
const JOB: u64 = 1;

/// Worker that is listed in place of it.
const NEXT: usize = 1;

/// Interval between the starts of other tasks: shorter than the time for which a task counts as
/// starting.
const INTERVAL_MS: u64 = 200;

/// Time within which a task starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Customers of the job and of the other jobs.
const OWN: &str = "own";
const OTHERS: &str = "others";

/// A configuration in which the job's customer may use `cap`.
fn config(cap: Limit) -> Rc<QueueConfig> {
    let customer = |name: &str, cap| Customer {
        name: name.into(),
        keys: vec![KeyDigest::of(name)],
        jobs_per_second: 1_000.0,
        cap,
    };
    let customers = vec![customer(OWN, cap), customer(OTHERS, Limit::UNLIMITED)];
    let mut config = QueueConfig::clone(&model::queue_config());
    config.version = 2;
    Rc::new(config.with_customers(Customers::new(customers).expect("valid customers")))
}

fn caller(name: &str) -> Caller {
    let (customer, key) = (Some(name.into()), Some(KeyDigest::of(name)));
    Caller { config_version: 2, customer, key, ..Caller::default() }
}

/// Returns the indexes of the job's tasks that start on the next worker within the bound, while
/// tasks of other jobs, which rank first, start there one after the other. The job's customer may
/// use `cap`.
fn started_beside_others(tasks: u32, cap: Limit) -> Vec<u32> {
    let mut harness = OwnerHarness::new(1);
    harness.deliver(Message::ConfigChanged(config(cap)));
    let step = Step { estimate_ms: 60_000, ..model::step(tasks, cores(5)) };
    harness.call_as(JOB, Call::Submit(model::job(JOB, step)), caller(OWN));
    harness.complete_appends();
    let starts = harness.drain_starts();
    assert_eq!(starts.len(), 1, "one task on the only worker");
    harness.answer_start(&starts[0], Ok(WORKER_CLOCK_MS + harness.now));
    for fault in [WorkerError::Unknown("closed".to_owned()), WorkerError::OtherIncarnation] {
        let sent = Instant::from_millis(harness.now);
        harness.deliver(Message::Polled { worker: "w0".into(), sent, outcome: Err(fault) });
    }
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: vec![(format!("w{NEXT}").into(), Rc::new(model::listed(NEXT, cores(8))))],
        removed: vec!["w0".into()],
        ..RosterUpdate::default()
    }));
    let mut started = Vec::new();
    for other in 0..=BOUND_MS / INTERVAL_MS {
        let demand = Amount { cpu_millis: 100, memory_mib: 10, accelerators: 0 };
        let step = Step { estimate_ms: 1, ..model::step(1, demand) };
        let call = Call::Submit(model::job(100 + other, step));
        harness.deliver(Message::Call { id: 100 + other, call, caller: caller(OTHERS) });
        let running: Vec<_> = harness.machine.runs.keys().copied().collect();
        harness.report(NEXT, &running, &[]);
        for _ in 0..INTERVAL_MS / 10 {
            harness.advance(9);
            harness.complete_appends();
            for start in harness.drain_starts() {
                harness.answer_start(&start, Ok(WORKER_CLOCK_MS + harness.now));
                started.push(start.1.run.task);
            }
        }
    }
    let others = started.iter().filter(|task| task.step.job != id(JOB)).count() as u64;
    assert!(others >= BOUND_MS / INTERVAL_MS, "{others} other tasks started");
    let of_job = started.into_iter().filter(|task| task.step.job == id(JOB));
    of_job.map(|task| task.index).collect()
}

/// A suspected task waits for a worker on which nothing else starts. The other tasks of its step,
/// which may start anywhere, waited with it.
#[test]
fn task_starts_beside_a_suspected_one_of_its_step() {
    assert_eq!(started_beside_others(2, Limit::UNLIMITED), [1]);
}

/// On a busy worker some task is always starting, so that a suspected one is never placed.
#[test]
fn suspected_task_starts_where_others_start_all_the_time() {
    assert_eq!(started_beside_others(1, Limit::UNLIMITED), [0]);
}

/// The cap of the job's customer admits one task at a time. That one is chosen before its worker is,
/// and it was the suspected one in each round.
#[test]
fn task_that_a_cap_admits_starts_beside_a_suspected_one() {
    let cap = Limit { cpu_millis: Some(5_000), ..Limit::UNLIMITED };
    assert_eq!(started_beside_others(2, cap), [1]);
}
