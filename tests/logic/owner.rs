//! Tests of the owner of a failure domain under crashes, pauses, partitions and log outages.

use std::time::Duration;

use oriolefork::alert;
use oriolefork::clock::{Instant, Unix};
use oriolefork::domain::Epoch;
use oriolefork::job::{self, Effect, Kind, Spec, Urgency};
use oriolefork::owner::journal::{BatchPosition, Journal};
use oriolefork::owner::machine::{Answer, Call, Refusal};
use oriolefork::owner::record::{Acceptance, Conclusion, Entry, Placement, ReplayPoint};
use oriolefork::owner::table::Table;
use oriolefork::resource::Amount;
use oriolefork::task::End;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use crate::world::{Faults, World};

const CAPACITY: Amount = Amount { cpu_millis: 4_000, memory_mib: 8_192, accelerators: 0 };
const DEMAND: Amount = Amount { cpu_millis: 1_000, memory_mib: 1_024, accelerators: 0 };

fn spec(kind: Kind, tasks: u32, effect: Effect, run_ms: u64) -> Spec {
    Spec {
        name: "backup".to_owned(),
        team: "shop".to_owned(),
        kind,
        tasks,
        demand: DEMAND,
        effect,
        urgency: Urgency::Normal,
        run_time: None,
        deadline: None,
        payload: format!(r#"{{"run_ms":{run_ms},"end":"succeeded"}}"#),
    }
}

fn submit(key: &str, spec: Spec) -> Call {
    Call::Submit { job: job::Id::derive("shop", key), key: key.to_owned(), spec }
}

fn accepted(world: &World, ticket: u64) -> bool {
    matches!(world.answers.get(&ticket), Some(Answer::Accepted { .. }))
}

fn is_over(world: &World, key: &str) -> bool {
    let Some(owner) = world.owner() else { return false };
    let job = world.machine(owner).replica.table.get(job::Id::derive("shop", key));
    job.is_some_and(|job| job.is_over())
}

fn world_with_owner(seed: u64) -> World {
    let mut world = World::new(seed, 3, 4, CAPACITY);
    world.run_until(20_000, |world| world.owner().is_some()).expect("an owner");
    world.run(200);
    world
}

#[test]
fn submit_runs_once() {
    let mut world = world_with_owner(1);
    let owner = world.owner().unwrap();
    let ticket = world.call(owner, submit("k", spec(Kind::Batch, 3, Effect::Idempotent, 500)));
    world.run_until(5_000, |world| is_over(world, "k")).expect("the job ends");
    assert!(accepted(&world, ticket));
    assert_eq!(world.runs_of(job::Id::derive("shop", "k")), 3);
    world.check_end();
}

// The owner crashes while the tasks of an accepted job run. Another instance claims the domain
// within 3 s, keeps the tasks where they run and places new ones.
#[test]
fn claim_owner_killed() {
    let mut world = world_with_owner(2);
    let first = world.owner().unwrap();
    world.call(first, submit("k", spec(Kind::Batch, 3, Effect::AtMostOnce, 6_000)));
    world.run(1_000);
    world.kill(first);
    let taken = world
        .run_until(10_000, |world| world.owner().is_some_and(|owner| owner != first))
        .expect("another owner");
    assert!(taken < Duration::from_secs(3), "took {taken:?}");
    let second = world.owner().unwrap();
    world.run(200);
    let ticket = world.call(second, submit("l", spec(Kind::Batch, 1, Effect::Idempotent, 100)));
    world.run_until(1_000, |world| is_over(world, "l")).expect("placement goes on");
    assert!(accepted(&world, ticket));
    world.run_until(20_000, |world| is_over(world, "k")).expect("the first job ends");
    assert_eq!(world.runs_of(job::Id::derive("shop", "k")), 3);
    world.check_end();
}

// The owner's process is paused for longer than its lease and another instance takes over. When the
// old owner resumes with unsent placements, its appends come after the other's claim and its
// commands are refused.
#[test]
fn claim_owner_paused() {
    let mut world = world_with_owner(3);
    let first = world.owner().unwrap();
    for index in 0..8 {
        let key = format!("k{index}");
        world.call(first, submit(&key, spec(Kind::Batch, 2, Effect::Idempotent, 3_000)));
    }
    world.run(10);
    world.pause(first, 15_000);
    world.run(40_000);
    assert!(world.owner().is_some());
    world.check_end();
}

// The instances are partitioned from each other, but each reaches the log and the workers. The
// owner of an idle domain stays, because the others read its records in the log. Otherwise each
// instance would consider the others dead and the domain would be claimed again and again.
#[test]
fn claim_instances_deaf() {
    let mut world = world_with_owner(6);
    let first = world.owner().unwrap();
    let epoch = world.machine(first).known_epoch();
    world.faults = Faults { partitioned: true, ..Faults::NONE };
    world.run(60_000);
    assert_eq!(world.owner(), Some(first));
    assert_eq!(world.machine(first).known_epoch(), epoch);
    world.kill(first);
    world.run_until(10_000, |world| world.owner().is_some()).expect("another owner");
}

// Two workers are unreachable from every instance. Once their leases have lapsed, idempotent tasks
// run again elsewhere; a task that may run only once becomes unresolved instead.
#[test]
fn expire_worker_cut() {
    let mut world = world_with_owner(4);
    let owner = world.owner().unwrap();
    world.call(owner, submit("again", spec(Kind::Batch, 4, Effect::Idempotent, 20_000)));
    world.call(owner, submit("once", spec(Kind::Batch, 4, Effect::AtMostOnce, 20_000)));
    world.run(1_000);
    world.set_worker_disconnected("w0", true);
    world.set_worker_disconnected("w1", true);
    world.run_until(80_000, |world| is_over(world, "again")).expect("runs again elsewhere");
    world.check_end();
}

// The response to an append is late, so the batch is appended twice. The second response arrives
// while the next batch is in flight. If it were attributed to that batch, which was never written,
// an accepted job would be lost.
#[test]
fn payload_answer_of_earlier_batch() {
    let epoch = Epoch::FIRST;
    let mut journal = Journal::new(epoch, Duration::ZERO);
    let now = Instant::from_millis(0);
    let at = |sequence| BatchPosition { sequence, replay_point: ReplayPoint::default() };
    let first = journal.send_batch(now, at(0), Vec::new()).expect("the first batch").tag;
    journal.on_append_failed(first, now);
    journal.retry(Instant::from_millis(60_000)).expect("the second copy");
    journal.committed(0);
    journal.push(Entry::Pruned(job::Id::from_raw(1)), None);
    let second = journal.send_batch(now, at(1), Vec::new()).expect("the next batch").tag;
    assert_eq!(journal.payload(first), None);
    assert!(journal.payload(second).is_some());
}

// A worker process restarts at any point of a task's start: while the placement is being written to
// the log, while the start command is in flight, or while its response is. A task that the old
// process may have run must not be sent to the new one, and a report of the new process that a task
// never ran is no evidence about the old one.
#[test]
fn start_worker_restarted() {
    for moment in (0..600).step_by(12) {
        let mut world = world_with_owner(moment);
        world.faults = Faults { loss: 0.3, delay: 120, ..Faults::NONE };
        let owner = world.owner().unwrap();
        world.call(owner, submit("once", spec(Kind::Batch, 3, Effect::AtMostOnce, 900)));
        world.call(owner, submit("again", spec(Kind::Batch, 6, Effect::Idempotent, 900)));
        world.run(moment);
        for index in 0..4 {
            world.restart_worker(&format!("w{index}"));
        }
        world.run(3_000);
        world.faults = Faults::NONE;
        world.run(60_000);
        world.check_end();
        assert!(is_over(&world, "again"), "moment {moment}");
    }
}

// The owner crashes while the log is unreachable. Running tasks must not stop when their leases
// lapse: another instance takes over at the workers, renews the leases, places nothing, and writes
// its claim once the log is back.
#[test]
fn take_over_log_away() {
    let mut world = world_with_owner(8);
    let first = world.owner().unwrap();
    world.call(first, submit("service", spec(Kind::Batch, 4, Effect::Idempotent, 90_000)));
    world.run(1_000);
    world.faults.log_down = true;
    world.run(3_000);
    world.kill(first);
    world.run_until(8_000, |world| world.owner().is_some()).expect("another instance takes over");
    let second = world.owner().unwrap();
    let refused = world.call(second, submit("new", spec(Kind::Batch, 1, Effect::Idempotent, 100)));
    world.run(60_000);
    assert_eq!(world.runs_of(job::Id::derive("shop", "service")), 4, "no task was restarted");
    assert_eq!(world.answers.get(&refused), Some(&Answer::Refused(Refusal::LogUnavailable)));
    world.faults.log_down = false;
    world.run(5_000);
    let owner = world.owner().expect("an owner once the log is back");
    let later = world.call(owner, submit("new", spec(Kind::Batch, 1, Effect::Idempotent, 100)));
    world.run_until(60_000, |world| is_over(world, "service")).expect("the tasks end");
    assert!(accepted(&world, later));
    assert_eq!(world.runs_of(job::Id::derive("shop", "service")), 4);
    world.check_end();
}

// The log is unreachable for a minute after jobs were accepted. Idempotent tasks are still placed,
// because the other instances store the owner's batches; a task that may run only once waits for
// the log. Once the log is back it contains all records.
#[test]
fn commit_by_peers_log_away() {
    let mut world = world_with_owner(9);
    let owner = world.owner().unwrap();
    world.run(2_000);
    world.call(owner, submit("first", spec(Kind::Batch, 16, Effect::Idempotent, 5_000)));
    world.call(owner, submit("next", spec(Kind::Batch, 8, Effect::Idempotent, 1_000)));
    world.call(owner, submit("once", spec(Kind::Batch, 2, Effect::AtMostOnce, 1_000)));
    world.run(1_000);
    world.faults.log_down = true;
    world.run(60_000);
    assert_eq!(world.runs_of(job::Id::derive("shop", "next")), 8, "it ran during the outage");
    assert_eq!(world.runs_of(job::Id::derive("shop", "once")), 0, "it waits for the log");
    world.faults.log_down = false;
    world.run_until(20_000, |world| is_over(world, "once")).expect("it runs once the log is back");
    for follower in (0..3).filter(|node| *node != owner) {
        let table = &world.machine(follower).replica.table;
        let job = table.get(job::Id::derive("shop", "next")).expect("every instance has read it");
        assert!(job.is_over());
    }
    world.check_end();
}

// As above, but the owner crashes during the outage. The instance that claims the domain once the
// log is back must learn which tasks the old owner started, so that none runs twice at the same
// time.
#[test_case(Effect::Idempotent ; "idempotent")]
#[test_case(Effect::AtMostOnce ; "at_most_once")]
fn commit_by_peers_owner_killed(effect: Effect) {
    for moment in (0..4_000).step_by(250) {
        let mut world = world_with_owner(10 + moment);
        let owner = world.owner().unwrap();
        world.run(2_000);
        world.call(owner, submit("fill", spec(Kind::Batch, 16, Effect::Idempotent, 4_000)));
        world.call(owner, submit("k", spec(Kind::Batch, 6, effect, 12_000)));
        world.run(1_000);
        world.faults.log_down = true;
        world.run(3_000 + moment);
        world.kill(owner);
        world.run(2_000);
        world.faults.log_down = false;
        world.run_until(60_000, |world| is_over(world, "k")).expect("the job ends");
        world.check_end();
    }
}

// A task that may run only once ends during a log outage, and all instances crash, so that no
// stored batch with its end is left. The worker must report the end until the log contains it.
#[test]
fn forget_waits_for_log() {
    let mut world = world_with_owner(11);
    let owner = world.owner().unwrap();
    world.run(2_000);
    world.call(owner, submit("once", spec(Kind::Batch, 3, Effect::AtMostOnce, 4_000)));
    world.run(1_000);
    world.faults.log_down = true;
    world.run(12_000);
    for node in 0..3 {
        world.kill(node);
    }
    world.faults.log_down = false;
    for node in 0..3 {
        world.start(node);
    }
    world.run_until(60_000, |world| is_over(world, "once")).expect("its end is recorded");
    assert_eq!(world.runs_of(job::Id::derive("shop", "once")), 3);
    world.check_end();
}

// The placement of a task that may run only once is stored by peers but not yet in the log, and its
// worker is unreachable for a while. When the worker is back and does not report the task, the
// owner must not start it before the log is back.
#[test]
fn start_deferred_worker_back() {
    let mut world = world_with_owner(13);
    let owner = world.owner().unwrap();
    world.run(2_000);
    world.call(owner, submit("fill", spec(Kind::Batch, 16, Effect::Idempotent, 6_000)));
    world.call(owner, submit("once", spec(Kind::Batch, 4, Effect::AtMostOnce, 1_000)));
    world.run(1_000);
    world.faults.log_down = true;
    world.run(12_000);
    for index in 0..4 {
        world.set_worker_disconnected(&format!("w{index}"), true);
    }
    world.run(11_000);
    for index in 0..4 {
        world.set_worker_disconnected(&format!("w{index}"), false);
    }
    world.run(10_000);
    assert_eq!(world.runs_of(job::Id::derive("shop", "once")), 0, "it waits for the log");
    world.faults.log_down = false;
    world.run_until(60_000, |world| is_over(world, "once")).expect("it runs once the log is back");
    world.check_end();
}

// A job is cancelled, and the owner crashes before the stop command has reached the worker. The
// next owner finds the task still running there and must stop it.
#[test]
fn cancel_owner_killed() {
    let mut world = world_with_owner(14);
    let owner = world.owner().unwrap();
    world.call(owner, submit("k", spec(Kind::Batch, 2, Effect::Idempotent, 90_000)));
    world.run(1_000);
    for index in 0..4 {
        world.set_worker_disconnected(&format!("w{index}"), true);
    }
    world.call(owner, Call::Cancel(job::Id::derive("shop", "k")));
    world.run(300);
    world.kill(owner);
    for index in 0..4 {
        world.set_worker_disconnected(&format!("w{index}"), false);
    }
    world.run_until(20_000, |world| is_over(world, "k")).expect("it is stopped");
}

// A task that may run only once became unresolved when its worker process ended. A delayed start
// command then reaches the new process, which rejects it. The old process may have run the task, so
// the rejection must not make it pending again.
#[test]
fn apply_rejected_after_unresolved() {
    let id = job::Id::derive("shop", "once");
    let task = oriolefork::task::Id { job: id, index: 0, attempt: 0 };
    let at = Unix::from_millis(1);
    let placement = Placement { task, worker: "w0".into(), run: 1 };
    let spec = spec(Kind::Batch, 1, Effect::AtMostOnce, 100);
    let acceptance = Acceptance { job: id, key: "once".to_owned(), spec, at };
    let ended = |end| Entry::Ended(Conclusion { task, end, at });
    let mut table = Table::default();
    table.apply(&Entry::Accepted(acceptance), 0, at);
    table.apply(&Entry::Placed(vec![placement]), 1, at);
    table.apply(&ended(End::Lapsed), 2, at);
    table.apply(&ended(End::Rejected), 3, at);
    let job = table.get(id).expect("the job");
    assert!(
        job.is_over() && job.ended_without_success(),
        "the task must not be placed again: {job:?}"
    );
}

// An instance restarts after an outage during which batches took effect before they were in the
// log. It must replay to the same state as the others. If it started with a sequence number that
// the log reached only later, it would skip those batches and lose the jobs in them.
#[test]
fn replay_point_after_outage() {
    let mut world = world_with_owner(12);
    world.timings.snapshot_records = 2;
    for node in 0..3 {
        world.kill(node);
        world.start(node);
    }
    world.run_until(20_000, |world| world.owner().is_some()).expect("an owner");
    world.run(2_000);
    let owner = world.owner().unwrap();
    for round in 0..6 {
        world.faults.log_down = true;
        world.run(10);
        let job = spec(Kind::Batch, 2, Effect::Idempotent, 500 + round * 100);
        world.call(owner, submit(&format!("k{round}"), job));
        world.run(8_000);
        world.faults.log_down = false;
        world.run(4_000);
        let restarted = (owner + 1) % 3;
        world.kill(restarted);
        world.start(restarted);
        world.run(2_000);
        assert_eq!(world.owner(), Some(owner), "round {round}");
        let jobs = |node| world.machine(node).replica.table.len();
        assert_eq!(jobs(restarted), jobs(owner), "round {round}");
    }
}

// The log is unreachable, the two remaining instances cannot reach each other, and each takes over.
// Their epochs must differ, so that a worker accepts commands from one of them only.
#[test_case(0, 1 ; "first_rank")]
#[test_case(1, 2 ; "second_rank")]
fn next_sub_ranks_differ(one: u8, other: u8) {
    let known = Epoch { term: 4, sub: 256 };
    assert_ne!(known.next_sub(one), known.next_sub(other));
    assert!(known.next_sub(one).follows(known));
    assert!(known.next_term().follows(known.next_sub(one)));
    assert!(!known.next_sub(one).follows(known.next_term()));
}

fn open_alerts(world: &World, kind: alert::Kind) -> usize {
    let owner = world.owner().expect("an owner");
    let board = world.machine(owner).board();
    board.open().iter().filter(|alert| alert.key.kind == kind).count()
}

// A task that may run only once is on a worker that becomes unreachable. It does not run again but
// raises an alert, which survives a crash of the owner and stays open until it is acknowledged.
#[test]
fn alerts_survive_owner() {
    let mut world = world_with_owner(5);
    let first = world.owner().unwrap();
    world.call(first, submit("once", spec(Kind::Batch, 1, Effect::AtMostOnce, 60_000)));
    world.run(1_000);
    for index in 0..4 {
        world.set_worker_disconnected(&format!("w{index}"), true);
    }
    world.run(40_000);
    assert_eq!(open_alerts(&world, alert::Kind::Uncertain), 1);
    assert_eq!(open_alerts(&world, alert::Kind::Unfenced), 4);
    world.kill(first);
    world.run_until(10_000, |world| world.owner().is_some()).expect("another owner");
    let second = world.owner().unwrap();
    assert_eq!(open_alerts(&world, alert::Kind::Uncertain), 1);
    let id = world.machine(second).board().open()[0].id;
    let ticket = world.call(second, Call::Acknowledge { alert: id, by: "kim".to_owned() });
    world.run(1_000);
    assert_eq!(world.answers.get(&ticket), Some(&Answer::Acknowledged));
    assert_eq!(open_alerts(&world, alert::Kind::Uncertain), 0);
    assert_eq!(world.runs_of(job::Id::derive("shop", "once")), 1);
}

// A deadline passes while the job waits because all workers are full: an alert is raised.
#[test]
fn alerts_late_job() {
    let mut world = world_with_owner(6);
    let owner = world.owner().unwrap();
    world.call(owner, submit("fill", spec(Kind::Batch, 16, Effect::Idempotent, 30_000)));
    world.run(1_000);
    let deadline = Some(Unix::from_millis(world.now + 5_000));
    let late = Spec { deadline, ..spec(Kind::Batch, 1, Effect::Idempotent, 100) };
    world.call(owner, submit("late", late));
    world.run(12_000);
    assert_eq!(open_alerts(&world, alert::Kind::Late), 1);
    world.run_until(60_000, |world| is_over(world, "late")).expect("it still runs");
    assert_eq!(open_alerts(&world, alert::Kind::Late), 1, "it stays until acknowledged");
}

// An operator declares an unreachable worker lost: the tasks that it ran end at once.
#[test]
fn give_up_worker() {
    let mut world = world_with_owner(7);
    let owner = world.owner().unwrap();
    world.call(owner, submit("k", spec(Kind::Batch, 16, Effect::Idempotent, 4_000)));
    world.run(1_000);
    let refused = world.call(owner, Call::GiveUp("w0".into()));
    world.set_worker_disconnected("w0", true);
    world.run(5_000);
    let taken = world.call(owner, Call::GiveUp("w0".into()));
    world.run(500);
    assert_eq!(
        world.answers.get(&refused),
        Some(&Answer::Refused(Refusal::WorkerReachable)),
        "a reachable worker cannot be declared lost"
    );
    assert_eq!(world.answers.get(&taken), Some(&Answer::GivenUp));
    world.run_until(10_000, |world| is_over(world, "k")).expect("it runs elsewhere");
}

fn random_spec(rng: &mut SmallRng) -> Spec {
    let kind = match rng.random_range(0..4) {
        0 => Kind::Gang,
        1 => Kind::LongRunning,
        _ => Kind::Batch,
    };
    let effect = if rng.random_bool(0.3) { Effect::AtMostOnce } else { Effect::Idempotent };
    let end = if rng.random_bool(0.1) { "failed" } else { "succeeded" };
    let run_ms = rng.random_range(50..8_000);
    Spec {
        payload: format!(r#"{{"run_ms":{run_ms},"end":"{end}"}}"#),
        ..spec(kind, rng.random_range(1..4), effect, run_ms)
    }
}

/// Runs one random history: jobs arrive while processes crash, pause and lose their connections.
fn history(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(seed, 3, 4, CAPACITY);
    let mut keys = Vec::new();
    for round in 0..60 {
        world.faults = Faults {
            loss: if rng.random_bool(0.5) { 0.1 } else { 0.0 },
            delay: if rng.random_bool(0.2) { 300 } else { 5 },
            late: if rng.random_bool(0.3) { 0.1 } else { 0.0 },
            log_down: rng.random_bool(0.1),
            partitioned: rng.random_bool(0.1),
        };
        let node = rng.random_range(0..3);
        let worker = format!("w{}", rng.random_range(0..4));
        match rng.random_range(0..10) {
            0 => world.kill(node),
            1 => world.pause(node, rng.random_range(100..20_000)),
            2 => world.set_disconnected(node, true),
            3 => world.restart_worker(&worker),
            4 => world.set_worker_disconnected(&worker, true),
            5 => world.pause_worker(&worker, rng.random_range(100..20_000)),
            6 if world.is_up(node) => world.shutdown(node),
            _ => {}
        }
        let target = world.owner().unwrap_or(node);
        for index in 0..rng.random_range(0..4) {
            let key = format!("{round}-{index}");
            let ticket = world.call(target, submit(&key, random_spec(&mut rng)));
            keys.push((key, ticket));
        }
        if let Some((key, _)) = keys.get(rng.random_range(0..keys.len().max(1)))
            && rng.random_bool(0.3)
        {
            world.call(target, Call::Cancel(job::Id::derive("shop", key)));
        }
        world.run(rng.random_range(10..3_000));
        if let Some((_, ticket)) = keys.last()
            && !world.answers.contains_key(ticket)
        {
            world.expire(target, *ticket);
        }
        for node in 0..3 {
            if !world.is_up(node) && rng.random_bool(0.5) {
                world.start(node);
            }
            if rng.random_bool(0.3) {
                world.set_disconnected(node, false);
            }
        }
        for index in 0..4 {
            if rng.random_bool(0.3) {
                world.set_worker_disconnected(&format!("w{index}"), false);
            }
        }
    }
    settle(&mut world, &keys);
}

/// Checks that each accepted job ends or is unresolved once there are no more faults.
fn settle(world: &mut World, keys: &[(String, u64)]) {
    world.faults = Faults::NONE;
    for node in 0..3 {
        world.set_disconnected(node, false);
        if !world.is_up(node) {
            world.start(node);
        }
    }
    for index in 0..4 {
        world.set_worker_disconnected(&format!("w{index}"), false);
    }
    world.run(60_000);
    let owner = world.owner().expect("one owner once there are no more faults");
    // Long-running jobs never end by themselves and would keep the workers full.
    for (key, _) in keys {
        let id = job::Id::derive("shop", key);
        let table = &world.machine(owner).replica.table;
        if table.get(id).is_some_and(|job| job.spec.kind == Kind::LongRunning) {
            world.call(owner, Call::Cancel(id));
        }
    }
    world.run(240_000);
    world.check_end();
    assert_eq!(world.owner(), Some(owner), "the owner stays while nothing fails");
    let table = &world.machine(owner).replica.table;
    for (key, ticket) in keys {
        if !accepted(world, *ticket) {
            continue;
        }
        let job = table.get(job::Id::derive("shop", key)).unwrap_or_else(|| {
            panic!("accepted job {key} ({ticket}) {} is unknown", job::Id::derive("shop", key))
        });
        let stuck = !job.is_over();
        let unresolved = job.tasks.iter().any(|task| {
            matches!(task.state, oriolefork::owner::record::AttemptState::Unresolved { .. })
        });
        let reason = match &world.machine(owner).role {
            oriolefork::owner::Role::Owner(active) => active.engine.explain(job.id),
            oriolefork::owner::Role::Follower => None,
        };
        assert!(!stuck || unresolved, "job {key} does not end: {job:?} because {reason:?}");
    }
}

#[test]
fn invariants_random_histories() {
    let first: u64 =
        std::env::var("ORIOLEFORK_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(0);
    let count: u64 =
        std::env::var("ORIOLEFORK_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    for seed in first..first + count {
        let outcome = std::panic::catch_unwind(|| history(seed));
        assert!(outcome.is_ok(), "failing seed: {seed}");
    }
}
