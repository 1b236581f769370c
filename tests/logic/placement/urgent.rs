//! Urgent work and the batch tasks that make room for it.

use oriolefork::job::Kind;
use oriolefork::placement::{Decision, Objective, PendingReason, Policy, Preset};
use oriolefork::task::End;

use super::{
    at, cores, decide, engine, engine_with, job_of, preempted, request, started, task_of, urgent,
};

#[test]
fn decide_urgent_first() {
    let mut engine = engine(1);
    engine.enqueue(request("plain", Kind::Batch, 1, cores(4)));
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(4))));
    assert_eq!(started(&decide(&mut engine, 1), &["plain", "renewal"]), ["renewal"]);
}

#[test]
fn decide_preempts_least_work() {
    let mut engine = engine(2);
    engine.enqueue(request("old", Kind::Batch, 1, cores(4)));
    decide(&mut engine, 0);
    engine.enqueue(request("young", Kind::Batch, 1, cores(4)));
    decide(&mut engine, 90);
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(1))));
    let decisions = decide(&mut engine, 100);
    assert_eq!(preempted(&decisions), [task_of("young", 0)]);
    assert_eq!(engine.explain(job_of("renewal")), Some(PendingReason::Preempting { tasks: 1 }));
}

// The victim has stopped, and work that waited longer would take its room before the urgent job
// it was stopped for: the room is pledged, so only the urgent job gets it.
#[test]
fn decide_pledged_room_goes_to_urgent() {
    let mut engine = engine(1);
    engine.enqueue(request("batch", Kind::Batch, 1, cores(4)));
    decide(&mut engine, 0);
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(4))));
    assert_eq!(preempted(&decide(&mut engine, 10)), [task_of("batch", 0)]);
    assert_eq!(preempted(&decide(&mut engine, 11)), []);
    engine.enqueue(request("other", Kind::Batch, 1, cores(1)));
    engine.finish(task_of("batch", 0), End::Checkpointed, at(12));
    assert_eq!(started(&decide(&mut engine, 12), &["renewal", "other"]), ["renewal"]);
}

#[test]
fn decide_spares_long_running_and_gangs() {
    let mut engine = engine(2);
    engine.enqueue(request("web", Kind::LongRunning, 1, cores(4)));
    engine.enqueue(request("gang", Kind::Gang, 1, cores(4)));
    decide(&mut engine, 0);
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(1))));
    assert!(decide(&mut engine, 1).is_empty());
}

#[test]
fn decide_urgent_gang_preempts_all_or_none() {
    let mut engine = engine(3);
    engine.enqueue(request("web", Kind::LongRunning, 1, cores(4)));
    engine.enqueue(request("batch", Kind::Batch, 2, cores(4)));
    decide(&mut engine, 0);
    engine.enqueue(urgent(request("three", Kind::Gang, 3, cores(4))));
    assert!(decide(&mut engine, 1).is_empty());
    engine.withdraw(job_of("three"));
    engine.enqueue(urgent(request("two", Kind::Gang, 2, cores(4))));
    assert_eq!(preempted(&decide(&mut engine, 2)).len(), 2);
    engine.finish(task_of("batch", 0), End::Checkpointed, at(3));
    assert!(decide(&mut engine, 3).is_empty());
    engine.finish(task_of("batch", 1), End::Checkpointed, at(4));
    assert_eq!(started(&decide(&mut engine, 4), &["two"]).len(), 2);
}

#[test]
fn decide_maintenance_preempts_nothing() {
    let policy = Policy::for_preset(Preset::Maintenance, Objective::Packing);
    let mut engine = engine_with(policy, 1);
    engine.enqueue(request("batch", Kind::Batch, 1, cores(4)));
    decide(&mut engine, 0);
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(1))));
    assert!(decide(&mut engine, 1).is_empty());
}

// The victim's worker never answers: the pledge lapses, and the urgent job makes room elsewhere.
#[test]
fn decide_pledge_lapses() {
    let mut engine = engine(2);
    engine.enqueue(request("batch", Kind::Batch, 2, cores(4)));
    decide(&mut engine, 0);
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(1))));
    let first = preempted(&decide(&mut engine, 1));
    assert!(decide(&mut engine, 20).is_empty());
    let second = preempted(&decide(&mut engine, 60));
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
}

#[test]
fn withdraw_urgent_gives_room_back() {
    let mut engine = engine(1);
    engine.enqueue(request("batch", Kind::Batch, 1, cores(4)));
    decide(&mut engine, 0);
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(4))));
    let decisions = decide(&mut engine, 1);
    assert!(matches!(decisions[..], [Decision::Preempt { .. }]));
    engine.withdraw(job_of("renewal"));
    engine.finish(task_of("batch", 0), End::Checkpointed, at(2));
    engine.enqueue(request("other", Kind::Batch, 1, cores(4)));
    assert_eq!(started(&decide(&mut engine, 2), &["other"]), ["other"]);
}
