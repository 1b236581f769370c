//! Gangs: all or nothing, and never starved.

use oriolefork::clock::Unix;
use oriolefork::job::Kind;
use oriolefork::placement::{Decision, PendingReason, Policy, Request};
use oriolefork::task::End;

use super::{
    at, cores, decide, engine, engine_with, job_of, lasting, preempted, request, started, task_of,
};

#[test]
fn decide_gang_all_or_nothing() {
    let mut engine = engine(2);
    engine.enqueue(request("a", Kind::Batch, 1, cores(1)));
    decide(&mut engine, 1);
    engine.enqueue(request("b", Kind::Gang, 8, cores(1)));
    assert!(decide(&mut engine, 2).is_empty());
    assert_eq!(engine.explain(job_of("b")), Some(PendingReason::ReservingForGang { tasks: 8 }));
    engine.release(task_of("a", 0));
    assert_eq!(started(&decide(&mut engine, 3), &["b"]).len(), 8);
}

// A gang needs both workers; one is busy until second 100. Short work may use the idle worker
// meanwhile, work that would still run at second 100 may not, or the gang would start late.
#[test]
fn decide_backfill_leaves_reservation() {
    let mut engine = engine(2);
    engine.enqueue(lasting(100, request("busy", Kind::Batch, 1, cores(4))));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    assert!(decide(&mut engine, 1).is_empty());
    engine.enqueue(lasting(500, request("long", Kind::Batch, 1, cores(1))));
    engine.enqueue(request("unknown", Kind::Batch, 1, cores(1)));
    engine.enqueue(lasting(50, request("short", Kind::Batch, 1, cores(1))));
    let keys = ["long", "unknown", "short"];
    assert_eq!(started(&decide(&mut engine, 2), &keys), ["short"]);
    assert_eq!(
        engine.explain(job_of("long")),
        Some(PendingReason::ReservedForOther { job: job_of("gang") })
    );
    engine.finish(task_of("short", 0), End::Succeeded, at(52));
    engine.finish(task_of("busy", 0), End::Succeeded, at(100));
    assert_eq!(started(&decide(&mut engine, 100), &["gang"]).len(), 2);
}

// Declared run times are wrong: every short task claims ten seconds and runs for ever longer, so
// soft reservations are delayed again and again. After the bound nothing new may enter, and the
// gang starts as soon as the tasks that were there have ended.
#[test]
fn decide_wrong_estimates_do_not_starve() {
    let policy = Policy { gang_preemption_after: None, ..Policy::default() };
    let mut engine = engine_with(policy, 2);
    engine.enqueue(lasting(10, request("busy", Kind::Batch, 1, cores(4))));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    decide(&mut engine, 1);
    let mut gang_started = None;
    let mut running = vec![(task_of("busy", 0), 300)];
    for second in 2..3_000 {
        let key = format!("liar{second}");
        engine.enqueue(lasting(1, request(&key, Kind::Batch, 1, cores(1))));
        let over: Vec<_> = running.iter().filter(|(_, end)| *end <= second).copied().collect();
        running.retain(|(_, end)| *end > second);
        over.iter().for_each(|(task, _)| engine.finish(*task, End::Succeeded, at(second)));
        for decision in decide(&mut engine, second) {
            let Decision::Start { job: started, tasks } = decision else {
                continue;
            };
            if started == job_of("gang") {
                gang_started = Some(second);
            } else {
                running.extend(tasks.iter().map(|assignment| (assignment.task, second + 400)));
            }
        }
        if gang_started.is_some() {
            break;
        }
    }
    assert!(gang_started.is_some_and(|second| second < 800), "{gang_started:?}");
}

#[test]
fn withdraw_gang_frees_room() {
    let mut engine = engine(2);
    engine.enqueue(lasting(100, request("busy", Kind::Batch, 1, cores(4))));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    assert!(decide(&mut engine, 1).is_empty());
    engine.enqueue(request("long", Kind::LongRunning, 1, cores(1)));
    assert!(decide(&mut engine, 2).is_empty());
    engine.withdraw(job_of("gang"));
    assert_eq!(started(&decide(&mut engine, 3), &["long"]), ["long"]);
}

// A task that was to end after ten seconds runs for ever. The gang would wait as long; after the
// bound the task is checkpointed for it, but not one that has a deadline to meet.
#[test]
fn decide_gang_preempts_after_bound() {
    let mut engine = engine(3);
    engine.enqueue(lasting(10, request("endless", Kind::Batch, 2, cores(4))));
    let dated = lasting(10, request("dated", Kind::Batch, 1, cores(4)));
    let deadline = Some(Unix::from_millis(90_000_000));
    engine.enqueue(Request { deadline, ..dated });
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    (1..300).for_each(|second| assert!(decide(&mut engine, second).is_empty()));
    let victims: Vec<_> = (300..320).flat_map(|at| preempted(&decide(&mut engine, at))).collect();
    assert_eq!(victims, [task_of("endless", 0), task_of("endless", 1)]);
    engine.finish(task_of("endless", 0), End::Checkpointed, at(320));
    engine.finish(task_of("endless", 1), End::Checkpointed, at(321));
    assert_eq!(started(&decide(&mut engine, 321), &["gang"]).len(), 2);
}

// Small tasks end one by one, and others take their place at once: a task that needs the whole
// worker never finds room by itself. Once it has waited for the bound, room is kept for it.
#[test]
fn decide_large_task_is_not_starved() {
    let mut engine = engine(1);
    let mut running = vec![(task_of("first", 0), 30)];
    engine.enqueue(request("first", Kind::Batch, 1, cores(1)));
    decide(&mut engine, 0);
    engine.enqueue(request("large", Kind::Batch, 1, cores(4)));
    let bound = Policy::default().aging_threshold.as_secs();
    let mut large_started = None;
    for round in 0..400 {
        let second = round * 20;
        engine.enqueue(lasting(80, request(&format!("small{round}"), Kind::Batch, 1, cores(1))));
        let over: Vec<_> = running.iter().filter(|(_, end)| *end <= second).copied().collect();
        running.retain(|(_, end)| *end > second);
        over.iter().for_each(|(task, _)| engine.finish(*task, End::Succeeded, at(second)));
        for decision in decide(&mut engine, second) {
            let Decision::Start { job: started, tasks } = decision else { continue };
            if started == job_of("large") {
                large_started = Some(second);
            }
            running.extend(tasks.iter().map(|assignment| (assignment.task, second + 80)));
        }
        if large_started.is_some() {
            break;
        }
    }
    assert!(large_started.is_some_and(|second| second < bound + 600), "{large_started:?}");
}
