//! Failing workers and failing jobs.

use std::time::Duration;

use oriolefork::job::Kind;
use oriolefork::placement::{Engine, HealthEvent, SchedulingState};
use oriolefork::task::{self, End};
use oriolefork::worker;

use super::{at, cores, decide, engine, request, set_worker, task_of, workers};

/// Runs a job on the engine's only open worker, to the end given.
fn run(engine: &mut Engine, key: &str, second: u64, end: End) -> bool {
    engine.enqueue(request(key, Kind::Batch, 1, cores(1)));
    let placed = !workers(&decide(engine, second)).is_empty();
    engine.finish(task_of(key, 0), end, at(second));
    engine.withdraw(super::job_of(key));
    placed
}

#[test]
fn finish_distinct_jobs_fail_quarantines_worker() {
    let mut engine = engine(1);
    for key in ["a", "b", "c"] {
        assert!(run(&mut engine, key, 1, End::Failed));
    }
    let span = Duration::from_secs(60);
    let worker = worker::Name::from("w0");
    assert_eq!(engine.take_events(), [HealthEvent::Quarantined { worker, span }]);
    assert!(!run(&mut engine, "d", 30, End::Succeeded));
}

#[test]
fn finish_one_job_fails_again_leaves_worker() {
    let mut engine = engine(1);
    for attempt in 0..10 {
        let tasks = vec![task::Id { attempt, ..task_of("a", 0) }];
        let again = request("a", Kind::Batch, 1, cores(1));
        engine.enqueue(oriolefork::placement::Request { tasks, ..again });
        assert_eq!(workers(&decide(&mut engine, 1)), ["w0"]);
        engine.finish(task::Id { attempt, ..task_of("a", 0) }, End::Failed, at(1));
    }
    assert_eq!(engine.take_events(), []);
}

// A job fails wherever it runs. Each try goes to another worker, so that after three distinct
// ones the job is known to be at fault, and none of the workers is.
#[test]
fn finish_job_fails_everywhere() {
    let mut engine = engine(5);
    let mut tried = Vec::new();
    for attempt in 0..5 {
        let id = task::Id { attempt, ..task_of("a", 0) };
        let again = request("a", Kind::Batch, 1, cores(1));
        engine.enqueue(oriolefork::placement::Request { tasks: vec![id], ..again });
        tried.extend(workers(&decide(&mut engine, 1)).into_iter().map(str::to_owned));
        engine.finish(id, End::Failed, at(1));
    }
    assert!(tried[0] != tried[1] && tried[1] != tried[2] && tried[0] != tried[2]);
    let events = engine.take_events();
    assert!(matches!(&events[..], [HealthEvent::FailsEverywhere { .. }]), "{events:?}");
}

#[test]
fn decide_probation_one_task_at_a_time() {
    let mut engine = engine(1);
    for key in ["a", "b", "c"] {
        run(&mut engine, key, 1, End::Failed);
    }
    engine.enqueue(request("web", Kind::LongRunning, 1, cores(1)));
    engine.enqueue(request("d", Kind::Batch, 3, cores(1)));
    assert_eq!(workers(&decide(&mut engine, 70)).len(), 1);
    for index in 0..3 {
        engine.finish(task_of("d", index), End::Succeeded, at(71));
        decide(&mut engine, 71);
    }
    let trusted = HealthEvent::Restored { worker: worker::Name::from("w0") };
    assert_eq!(engine.take_events().last(), Some(&trusted));
    assert_eq!(engine.explain(super::job_of("web")), None);
}

#[test]
fn finish_failure_on_probation_backs_off() {
    let mut engine = engine(1);
    for key in ["a", "b", "c"] {
        run(&mut engine, key, 1, End::Failed);
    }
    assert!(run(&mut engine, "d", 70, End::Failed));
    let span = Duration::from_secs(120);
    let worker = worker::Name::from("w0");
    assert_eq!(engine.take_events().last(), Some(&HealthEvent::Quarantined { worker, span }));
}

// A rack of bad workers: one job name fails on three of them before they are found out. Once
// they are quarantined, their failures no longer speak against the job.
#[test]
fn finish_quarantine_exculpates_jobs() {
    let mut engine = engine(4);
    for bad in 0..2 {
        for other in 0..4 {
            let open = if other == bad { SchedulingState::Open } else { SchedulingState::Closed };
            set_worker(&mut engine, other, open);
        }
        for key in ["nightly", "b", "c"] {
            run(&mut engine, key, 1, End::Failed);
        }
    }
    for good in [2, 3] {
        (0..4).for_each(|other| set_worker(&mut engine, other, SchedulingState::Closed));
        set_worker(&mut engine, good, SchedulingState::Open);
        run(&mut engine, "nightly", 2, End::Failed);
    }
    let blamed = |event: &HealthEvent| matches!(event, HealthEvent::FailsEverywhere { .. });
    assert!(!engine.take_events().iter().any(blamed));
}
