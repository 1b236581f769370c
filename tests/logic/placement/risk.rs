//! Run times and the deadlines they put at risk.

use std::time::Duration;

use oriolefork::clock::Unix;
use oriolefork::job::Kind;
use oriolefork::placement::{Request, RunTimeEstimator};
use oriolefork::task::End;

use super::{at, cores, decide, engine, job_of, lasting, request, task_of};

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn guess_declared_until_measured() {
    let mut estimator = RunTimeEstimator::default();
    let declared = Some(secs(10));
    assert_eq!(estimator.estimate("t", "n", declared).unwrap().typical, secs(10));
    (0..3).for_each(|_| estimator.record_run("t", "n", secs(100)));
    assert_eq!(estimator.estimate("t", "n", declared).unwrap().typical, secs(100));
    assert_eq!(estimator.estimate("other", "n", None), None);
}

#[test]
fn guess_withstands_outlier() {
    let mut estimator = RunTimeEstimator::default();
    for seconds in [100, 100, 101, 99, 100_000] {
        estimator.record_run("t", "n", secs(seconds));
    }
    let estimate = estimator.estimate("t", "n", None).unwrap();
    assert_eq!(estimate.typical, secs(100));
    assert!(estimate.upper_bound > secs(100_000));
}

#[test]
fn guess_follows_change() {
    let mut estimator = RunTimeEstimator::default();
    (0..20).for_each(|_| estimator.record_run("t", "n", secs(10)));
    (0..8).for_each(|_| estimator.record_run("t", "n", secs(50)));
    assert_eq!(estimator.estimate("t", "n", None).unwrap().typical, secs(50));
}

// The rebuild must end at second 1,000 and takes 600; no worker has room. It is reported a while
// before second 400, when it must start, not when the deadline has passed.
#[test]
fn at_risk_waiting_before_missed() {
    let mut engine = engine(1);
    engine.enqueue(request("web", Kind::LongRunning, 1, cores(4)));
    decide(&mut engine, 0);
    let rebuild = lasting(600, request("rebuild", Kind::Batch, 1, cores(1)));
    engine.enqueue(Request { deadline: Some(Unix::from_millis(1_000_000)), ..rebuild });
    assert!(engine.at_risk(at(300), Unix::from_millis(300_000)).is_empty());
    let risks = engine.at_risk(at(350), Unix::from_millis(350_000));
    assert_eq!(risks.iter().map(|risk| risk.job).collect::<Vec<_>>(), [job_of("rebuild")]);
}

#[test]
fn at_risk_running_longer_than_expected() {
    let mut engine = engine(1);
    let rebuild = lasting(100, request("rebuild", Kind::Batch, 1, cores(1)));
    engine.enqueue(Request { deadline: Some(Unix::from_millis(1_000_000)), ..rebuild });
    decide(&mut engine, 0);
    assert!(engine.at_risk(at(90), Unix::from_millis(90_000)).is_empty());
    let risks = engine.at_risk(at(700), Unix::from_millis(700_000));
    assert_eq!(
        risks.iter().map(|risk| risk.task).collect::<Vec<_>>(),
        [Some(task_of("rebuild", 0))]
    );
}

#[test]
fn finish_teaches_run_time() {
    let mut engine = engine(1);
    for index in 0..3 {
        let each = lasting(10, request("rebuild", Kind::Batch, 1, cores(1)));
        let tasks = vec![task_of("rebuild", index)];
        engine.enqueue(Request { tasks, ..each });
        decide(&mut engine, 1_000 * u64::from(index));
        engine.finish(
            task_of("rebuild", index),
            End::Succeeded,
            at(1_000 * u64::from(index) + 500),
        );
    }
    let next = lasting(10, request("rebuild", Kind::Batch, 1, cores(1)));
    let deadline = Some(Unix::from_millis(4_100_000));
    engine.enqueue(Request { deadline, tasks: vec![task_of("rebuild", 9)], ..next });
    assert_eq!(engine.at_risk(at(3_700), Unix::from_millis(3_700_000)).len(), 1);
}
