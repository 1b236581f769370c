//! More work than there is room, and less work than was asked for.

use std::thread;

use oriolefork::api::view::job::State;
use oriolefork::resource::Amount;
use oriolefork::task::{End, Phase};

use super::site::{HALL, Runs, callers, owner};
use super::work::{Work, await_state, cancel_until_accepted, submit_until_accepted};
use crate::harness::{Plan, eventually};

const CALLERS: usize = 16;

fn capacity() -> Amount {
    Amount { cpu_millis: 4_000, memory_mib: 4_096, accelerators: 0 }
}

/// Calls `act` with each key, from many callers at once.
fn by_many(keys: &[String], act: impl Fn(&String) + Sync) {
    thread::scope(|scope| {
        for part in keys.chunks(keys.len().div_ceil(CALLERS)) {
            let act = &act;
            scope.spawn(move || part.iter().for_each(act));
        }
    });
}

// On the busiest morning far more tasks are asked for than there is room, and the owner is killed
// in the middle of it. Workers fill up, and none is ever given more than it has.
#[test]
fn peak_never_overcommits() {
    let plan =
        Plan { entries: 2, workers: 3, capacity: capacity(), proxied: true, ..Plan::default() };
    let mut cluster = plan.start();
    let everyone = callers(&cluster, HALL, &[]);
    let (killed, _) = owner(&cluster, HALL, &[]);
    let keys: Vec<String> = (0..90).map(|number| format!("peak-{number}")).collect();
    let work = |key: &String| {
        let number: u64 = key.trim_start_matches("peak-").parse().expect("a number");
        let cpu = [300, 700, 1_100, 1_900][usize::try_from(number % 4).expect("a remainder")];
        Work::batch(50 + number % 7 * 20).cpu(cpu).tasks(4)
    };
    by_many(&keys, |key| submit_until_accepted(&everyone, key, &work(key)));
    eventually("a worker is full", || {
        let room = |held: Amount| 4_000 - held.cpu_millis;
        cluster.worker_states().iter().any(|state| room(state.held) < 300).then_some(())
    });
    cluster.entries[killed].process.kill();
    let rest = callers(&cluster, HALL, &[killed]);
    await_state(&rest, &keys, State::Succeeded);
    let runs = Runs::of(&cluster);
    keys.iter().for_each(|key| runs.assert_done_once(key, 4));
}

// A firm withdraws a thousand jobs at once, of which some run and most wait. Every cancellation is
// answered, what runs is stopped, and what waited never starts.
#[test]
fn cancel_wave() {
    let plan = Plan { entries: 2, workers: 2, proxied: true, ..Plan::default() };
    let cluster = plan.start();
    let everyone = callers(&cluster, HALL, &[]);
    owner(&cluster, HALL, &[]);
    let keys: Vec<String> = (0..1_000).map(|number| format!("wave-{number}")).collect();
    by_many(&keys, |key| submit_until_accepted(&everyone, key, &Work::batch(600_000)));
    eventually("tasks run", || {
        let running: usize = cluster.worker_states().iter().map(|state| state.running).sum();
        (running == 16).then_some(())
    });
    by_many(&keys, |key| cancel_until_accepted(&everyone, key));
    await_state(&everyone, &keys, State::Cancelled);
    let runs = Runs::of(&cluster);
    let stopped = Phase::Ended(End::Stopped);
    for key in &keys {
        let phases = runs.phases(key, 0);
        assert!(phases.is_empty() || phases == [stopped], "{key}: {phases:?}");
    }
    let started = keys.iter().filter(|key| !runs.phases(key, 0).is_empty()).count();
    assert!(started >= 16, "tasks ran before they were cancelled");
    submit_until_accepted(&everyone, "after", &Work::batch(0));
    await_state(&everyone, [&"after".to_owned()], State::Succeeded);
}
