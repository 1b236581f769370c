//! Gangs start all tasks or none, and gangs and large tasks do not starve.

use oriolefork::clock::Unix;
use oriolefork::job::Kind;
use oriolefork::placement::{Decision, PendingReason, Policy, Request};
use oriolefork::task::End;

use super::{
    at, cores, decide, engine, engine_with, job_of, preempted, request, started, task_of,
    with_run_time,
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

// A gang needs both workers, and one is busy until second 100. Tasks that end before may backfill
// the idle worker. Tasks that would still run at second 100, or have no known run time, would delay
// the gang.
#[test]
fn decide_backfill_leaves_reservation() {
    let mut engine = engine(2);
    engine.enqueue(with_run_time(100, request("busy", Kind::Batch, 1, cores(4))));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    assert!(decide(&mut engine, 1).is_empty());
    engine.enqueue(with_run_time(500, request("long", Kind::Batch, 1, cores(1))));
    engine.enqueue(request("unknown", Kind::Batch, 1, cores(1)));
    engine.enqueue(with_run_time(50, request("short", Kind::Batch, 1, cores(1))));
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

// Tasks declare one second and run for 400, so that backfilling delays a soft reservation again and
// again. Once the reservation is hard, no task may backfill, and the gang starts when the running
// tasks have ended.
#[test]
fn decide_wrong_estimates_do_not_starve() {
    let policy = Policy { gang_preemption_after: None, ..Policy::default() };
    let mut engine = engine_with(policy, 2);
    engine.enqueue(with_run_time(10, request("busy", Kind::Batch, 1, cores(4))));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    decide(&mut engine, 1);
    let mut gang_started = None;
    let mut running = vec![(task_of("busy", 0), 300)];
    for second in 2..3_000 {
        let key = format!("underestimated{second}");
        engine.enqueue(with_run_time(1, request(&key, Kind::Batch, 1, cores(1))));
        let ended: Vec<_> = running.iter().filter(|(_, end)| *end <= second).copied().collect();
        running.retain(|(_, end)| *end > second);
        ended.iter().for_each(|(task, _)| engine.finish(*task, End::Succeeded, at(second)));
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
    engine.enqueue(with_run_time(100, request("busy", Kind::Batch, 1, cores(4))));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    assert!(decide(&mut engine, 1).is_empty());
    engine.enqueue(request("long", Kind::LongRunning, 1, cores(1)));
    assert!(decide(&mut engine, 2).is_empty());
    engine.withdraw(job_of("gang"));
    assert_eq!(started(&decide(&mut engine, 3), &["long"]), ["long"]);
}

// Tasks that declare ten seconds never end, so that a gang would wait forever. After the time limit
// they are preempted for it, except the task with a deadline.
#[test]
fn decide_gang_preempts_after_bound() {
    let mut engine = engine(3);
    engine.enqueue(with_run_time(10, request("endless", Kind::Batch, 2, cores(4))));
    let dated = with_run_time(10, request("dated", Kind::Batch, 1, cores(4)));
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

// Small tasks end one by one and are replaced at once, so that a task that needs the whole worker
// never finds room. Once it has waited for the aging threshold, room is reserved for it.
#[test]
fn decide_large_task_is_not_starved() {
    let mut engine = engine(1);
    let mut running = vec![(task_of("first", 0), 30)];
    engine.enqueue(request("first", Kind::Batch, 1, cores(1)));
    decide(&mut engine, 0);
    engine.enqueue(request("large", Kind::Batch, 1, cores(4)));
    let threshold = Policy::default().aging_threshold.as_secs();
    let mut large_started = None;
    for round in 0..400 {
        let second = round * 20;
        engine.enqueue(with_run_time(
            80,
            request(&format!("small{round}"), Kind::Batch, 1, cores(1)),
        ));
        let ended: Vec<_> = running.iter().filter(|(_, end)| *end <= second).copied().collect();
        running.retain(|(_, end)| *end > second);
        ended.iter().for_each(|(task, _)| engine.finish(*task, End::Succeeded, at(second)));
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
    assert!(large_started.is_some_and(|second| second < threshold + 600), "{large_started:?}");
}
