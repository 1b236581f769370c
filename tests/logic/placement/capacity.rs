//! Never more than a worker has, by declared and by measured use.

use oriolefork::job::Kind;
use oriolefork::resource::Amount;
use oriolefork::worker;

use super::{cores, decide, engine, job_of, request, started, task_of};

#[test]
fn decide_stops_at_capacity() {
    let mut engine = engine(2);
    engine.enqueue(request("a", Kind::Batch, 10, cores(1)));
    assert_eq!(started(&decide(&mut engine, 1), &["a"]).len(), 8);
    assert!(decide(&mut engine, 2).is_empty());
}

#[test]
fn observe_task_above_declared_takes_room() {
    let mut engine = engine(1);
    engine.enqueue(request("greedy", Kind::Batch, 1, cores(1)));
    decide(&mut engine, 0);
    engine.observe_task_usage(task_of("greedy", 0), cores(3));
    engine.enqueue(request("a", Kind::Batch, 3, cores(1)));
    assert_eq!(started(&decide(&mut engine, 1), &["a"]).len(), 1);
    engine.observe_task_usage(task_of("greedy", 0), cores(1));
    assert_eq!(started(&decide(&mut engine, 2), &["a"]).len(), 2);
}

#[test]
fn observe_usage_below_declared_gives_no_room() {
    let mut engine = engine(1);
    engine.enqueue(request("idle", Kind::Batch, 1, cores(4)));
    decide(&mut engine, 0);
    engine.observe_worker_usage(&worker::Name::from("w0"), Amount::ZERO);
    engine.enqueue(request("a", Kind::Batch, 1, cores(1)));
    assert!(decide(&mut engine, 1).is_empty());
}

#[test]
fn enqueue_running_task_is_not_placed_twice() {
    let mut engine = engine(2);
    engine.enqueue(request("a", Kind::Batch, 2, cores(1)));
    assert_eq!(started(&decide(&mut engine, 1), &["a"]).len(), 2);
    engine.enqueue(request("a", Kind::Batch, 2, cores(1)));
    assert!(decide(&mut engine, 2).is_empty());
    assert_eq!(engine.explain(job_of("a")), None);
}
