//! Placement decisions.

use oriolefork::clock::{Instant, Unix};
use oriolefork::job::{self, Kind, Urgency};
use oriolefork::placement::{Availability, Decision, Engine, Policy, Reason, Request};
use oriolefork::resource::Amount;
use oriolefork::{task, worker};

fn cores(count: u64) -> Amount {
    Amount { cpu_millis: count * 1_000, memory_mib: count * 1_024, accelerators: 0 }
}

fn request(key: &str, kind: Kind, tasks: u32, demand: Amount) -> Request {
    let job = job::Id::derive("shop", key);
    Request {
        job,
        team: "shop".into(),
        name: "rebuild".into(),
        kind,
        urgency: Urgency::Normal,
        deadline: None,
        run_time: None,
        demand,
        tasks: (0..tasks).map(|index| task::Id { job, index, attempt: 0 }).collect(),
        queued: Instant::from_millis(0),
    }
}

fn engine(workers: u64) -> Engine {
    let mut engine = Engine::new(Policy::default());
    for index in 0..workers {
        let name = worker::Name::from(format!("w{index}"));
        let rack = format!("r{}", index / 2);
        engine.upsert_worker(&name, &rack, cores(4), Availability::Open);
    }
    engine
}

fn decide(engine: &mut Engine) -> Vec<Decision> {
    engine.decide(Instant::from_millis(1), Unix::from_millis(1), 1_000)
}

fn started(decisions: &[Decision]) -> usize {
    let tasks = |decision: &Decision| match decision {
        Decision::Start { tasks, .. } => tasks.len(),
        Decision::Preempt { .. } => 0,
    };
    decisions.iter().map(tasks).sum()
}

#[test]
fn decide_stops_at_capacity() {
    let mut engine = engine(2);
    engine.enqueue(request("a", Kind::Batch, 10, cores(1)));
    assert_eq!(started(&decide(&mut engine)), 8);
    assert_eq!(started(&decide(&mut engine)), 0);
}

#[test]
fn decide_gang_all_or_nothing() {
    let mut engine = engine(2);
    engine.enqueue(request("a", Kind::Batch, 1, cores(1)));
    decide(&mut engine);
    engine.enqueue(request("b", Kind::Gang, 8, cores(1)));
    assert_eq!(started(&decide(&mut engine)), 0);
    engine.release(task::Id { job: job::Id::derive("shop", "a"), index: 0, attempt: 0 });
    assert_eq!(started(&decide(&mut engine)), 8);
}

#[test]
fn impossible_larger_than_every_worker() {
    let engine = engine(2);
    let reason = engine.impossible(&cores(5), Kind::Batch, 1);
    assert!(matches!(reason, Some(Reason::TooLarge { .. })));
}

#[test]
fn impossible_gang_larger_than_all_workers() {
    let engine = engine(2);
    let reason = engine.impossible(&cores(4), Kind::Gang, 3);
    assert_eq!(reason, Some(Reason::TooMany { tasks: 3, slots: 2 }));
}
