//! Which worker a task gets.

use std::collections::BTreeSet;

use oriolefork::job::Kind;
use oriolefork::placement::{Engine, PendingReason, Policy, SchedulingState};
use oriolefork::resource::Amount;
use oriolefork::worker;

use super::{cores, decide, engine, request, set_worker, workers};

#[test]
fn decide_long_running_one_to_a_rack() {
    let mut engine = engine(6);
    engine.enqueue(request("web", Kind::LongRunning, 3, cores(1)));
    let decisions = decide(&mut engine, 1);
    let racks: BTreeSet<_> =
        workers(&decisions).iter().map(|name| name[1..].parse::<u64>().unwrap() / 2).collect();
    assert_eq!(racks.len(), 3);
}

#[test]
fn decide_batch_fills_one_worker() {
    let mut engine = engine(6);
    engine.enqueue(request("resize", Kind::Batch, 4, cores(1)));
    let decisions = decide(&mut engine, 1);
    let names: BTreeSet<_> = workers(&decisions).into_iter().collect();
    assert_eq!(names.len(), 1);
}

// Memory is scarcer than processors. The task goes where it leaves the least memory over, not
// where it leaves the least processor time.
#[test]
fn decide_scarcest_dimension() {
    let amount = |cores: u64, gib: u64| Amount {
        cpu_millis: cores * 1_000,
        memory_mib: gib * 1_024,
        accelerators: 0,
    };
    let mut engine = Engine::new(Policy::default());
    for (index, (name, cores, gib)) in [("a", 6, 4), ("b", 2, 12), ("c", 1, 16)].iter().enumerate()
    {
        let worker = worker::Name::from(*name);
        engine.upsert_worker(&worker, "r", amount(8, 16), SchedulingState::Open);
        let task = super::task_of("held", u32::try_from(index).unwrap());
        engine.adopt(task, &worker, &super::running_task(amount(*cores, *gib)));
    }
    engine.enqueue(request("next", Kind::Batch, 1, amount(1, 3)));
    assert_eq!(workers(&decide(&mut engine, 1)), ["b"]);
}

#[test]
fn decide_leaves_accelerators_to_those_who_need_them() {
    let mut engine = Engine::new(Policy::default());
    let with = Amount { accelerators: 1, ..cores(4) };
    engine.upsert_worker(&worker::Name::from("a"), "r", with, SchedulingState::Open);
    engine.upsert_worker(&worker::Name::from("b"), "r", cores(8), SchedulingState::Open);
    engine.enqueue(request("plain", Kind::Batch, 1, cores(1)));
    assert_eq!(workers(&decide(&mut engine, 1)), ["b"]);
}

#[test]
fn decide_gang_in_one_rack() {
    let mut engine = engine(6);
    engine.enqueue(request("busy", Kind::Batch, 3, cores(1)));
    decide(&mut engine, 1);
    engine.enqueue(request("train", Kind::Gang, 2, cores(4)));
    let decisions = decide(&mut engine, 2);
    let racks: BTreeSet<_> =
        workers(&decisions).iter().map(|name| name[1..].parse::<u64>().unwrap() / 2).collect();
    assert_eq!(racks.len(), 1);
}

#[test]
fn impossible_larger_than_every_worker() {
    let engine = engine(2);
    let reason = engine.infeasible_reason(&cores(5), Kind::Batch, 1);
    assert_eq!(reason, Some(PendingReason::TooLarge { demand: cores(5), largest: cores(4) }));
}

#[test]
fn impossible_gang_larger_than_all_workers() {
    let engine = engine(2);
    let reason = engine.infeasible_reason(&cores(4), Kind::Gang, 3);
    assert_eq!(reason, Some(PendingReason::TooManyTasks { tasks: 3, slots: 2 }));
}

#[test]
fn impossible_unknown_without_workers() {
    let mut engine = Engine::new(Policy::default());
    assert_eq!(engine.infeasible_reason(&cores(4), Kind::Gang, 3), None);
    engine.enqueue(request("a", Kind::Batch, 1, cores(1)));
    decide(&mut engine, 1);
    assert_eq!(engine.explain(super::job_of("a")), Some(PendingReason::NoWorkers));
}

#[test]
fn decide_draining_takes_nothing() {
    let mut engine = engine(1);
    set_worker(&mut engine, 0, SchedulingState::Draining);
    engine.enqueue(request("a", Kind::Batch, 1, cores(1)));
    assert!(decide(&mut engine, 1).is_empty());
    assert_eq!(engine.explain(super::job_of("a")), Some(PendingReason::Unavailable));
    set_worker(&mut engine, 0, SchedulingState::Open);
    assert_eq!(workers(&decide(&mut engine, 2)), ["w0"]);
}
