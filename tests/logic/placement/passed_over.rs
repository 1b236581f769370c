//! Jobs that could run and are passed over because of others.

use oriolefork::clock::Unix;
use oriolefork::job::Kind;
use oriolefork::placement::{Objective, Policy, Preset, Request};

use super::{cores, decide, engine, engine_with, job_of, request, started, with_run_time};

/// Time within which a job starts where it could run, in seconds.
const BOUND: u64 = 3;

/// Deadline beyond the slack window of all presets, in milliseconds.
const DISTANT_MS: u64 = 100 * 60 * 60 * 1_000;

/// Returns those of the jobs `keys` that start within the bound from second `begin` on.
fn started_within<'a>(
    engine: &mut oriolefork::placement::Engine,
    begin: u64,
    keys: &[&'a str],
) -> Vec<&'a str> {
    let decisions = (begin..=begin + BOUND).flat_map(|at| decide(engine, at));
    started(&decisions.collect::<Vec<_>>(), keys)
}

// The preset holds jobs without a deadline back. One with a deadline, which it does not hold back,
// waited with them because they have the same demand and the same team.
#[test]
fn decide_peak_runs_a_deadline_job_behind_one_that_is_held_back() {
    let mut engine = engine_with(Policy::for_preset(Preset::Peak, Objective::Packing), 2);
    engine.enqueue(request("web", Kind::LongRunning, 7, cores(1)));
    decide(&mut engine, 1);
    engine.enqueue(with_run_time(10, request("held", Kind::Batch, 1, cores(1))));
    let timed = with_run_time(60, request("timed", Kind::Batch, 1, cores(1)));
    engine.enqueue(Request { deadline: Some(Unix::from_millis(DISTANT_MS)), ..timed });
    assert_eq!(started_within(&mut engine, 2, &["held", "timed"]), ["timed"]);
}

// Jobs without a deadline leave headroom. One with a deadline, which may use it, waited behind them.
#[test]
fn decide_peak_gives_headroom_to_a_deadline_job_behind_one_without() {
    let mut engine = engine_with(Policy::for_preset(Preset::Peak, Objective::Packing), 1);
    engine.enqueue(request("web", Kind::LongRunning, 3, cores(1)));
    decide(&mut engine, 1);
    engine.enqueue(with_run_time(10, request("plain", Kind::Batch, 1, cores(1))));
    let timed = with_run_time(60, request("timed", Kind::Batch, 1, cores(1)));
    engine.enqueue(Request { deadline: Some(Unix::from_millis(DISTANT_MS)), ..timed });
    assert_eq!(started_within(&mut engine, 2, &["plain", "timed"]), ["timed"]);
}

// A gang needs three whole workers, and a long-running task that is never preempted holds one. The
// reservation of the two others is hard after five minutes and does not end: nothing may use them.
#[test]
fn decide_runs_a_task_on_workers_reserved_for_a_gang_that_never_fits() {
    let mut engine = engine(3);
    engine.enqueue(request("web", Kind::LongRunning, 1, cores(1)));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 3, cores(4)));
    assert!((1..=610).all(|at| decide(&mut engine, at).is_empty()), "the gang does not fit");
    engine.enqueue(with_run_time(1, request("small", Kind::Batch, 1, cores(4))));
    assert_eq!(started_within(&mut engine, 611, &["gang", "small"]), ["small"]);
}

// A team above its quota waits for another team's job, which is withdrawn. Its class had been denied
// five times by then, and the delay before the next attempt had doubled to four seconds.
#[test]
fn decide_runs_a_job_above_quota_once_no_other_waits() {
    let mut engine = engine(1);
    engine.set_quota("shop", Some(cores(1)));
    engine.set_quota("mail", Some(cores(4)));
    engine.enqueue(request("web", Kind::LongRunning, 1, cores(1)));
    decide(&mut engine, 0);
    engine.enqueue(Request { team: "mail".into(), ..request("big", Kind::Batch, 1, cores(4)) });
    engine.enqueue(request("small", Kind::Batch, 1, cores(1)));
    assert!((1..=6).all(|at| decide(&mut engine, at).is_empty()), "big has to go first");
    engine.withdraw(job_of("big"));
    assert_eq!(started_within(&mut engine, 6, &["small"]), ["small"]);
}

// A gang has a reservation until second 100. Twenty jobs of one class are waiting, and only the last
// ends before that.
#[test]
fn decide_backfills_the_last_job_of_a_long_class() {
    let mut engine = engine(2);
    engine.enqueue(with_run_time(100, request("busy", Kind::Batch, 1, cores(4))));
    decide(&mut engine, 0);
    engine.enqueue(request("gang", Kind::Gang, 2, cores(4)));
    assert!(decide(&mut engine, 1).is_empty());
    for number in 0..20 {
        let long = with_run_time(500, request(&format!("long-{number}"), Kind::Batch, 1, cores(1)));
        engine.enqueue(long);
    }
    let queued = oriolefork::clock::Instant::from_millis(1_500);
    engine.enqueue(Request {
        queued,
        ..with_run_time(50, request("short", Kind::Batch, 1, cores(1)))
    });
    assert_eq!(started_within(&mut engine, 2, &["short"]), ["short"]);
}
