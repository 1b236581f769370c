//! Overload, and cancellation of many jobs.

use std::thread;

use oriolefork::api::view::job::State;
use oriolefork::resource::Amount;
use oriolefork::task::{End, Phase};

use super::site::{DOMAIN, Runs, api_addrs, await_owner};
use super::work::{Work, await_state, cancel_until_accepted, submit_until_accepted};
use crate::harness::{Plan, eventually};

const THREADS: usize = 16;

fn capacity() -> Amount {
    Amount { cpu_millis: 4_000, memory_mib: 4_096, accelerators: 0 }
}

/// Calls `action` with each key, on several threads.
fn in_parallel(keys: &[String], action: impl Fn(&String) + Sync) {
    thread::scope(|scope| {
        for part in keys.chunks(keys.len().div_ceil(THREADS)) {
            let action = &action;
            scope.spawn(move || part.iter().for_each(action));
        }
    });
}

// Far more tasks are submitted than the workers can run, and the owner is killed meanwhile. Workers
// fill up, but none is allocated more than its capacity.
#[test]
fn peak_never_overcommits() {
    let plan =
        Plan { entries: 2, workers: 3, capacity: capacity(), proxied: true, ..Plan::default() };
    let mut cluster = plan.start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    let (killed, _) = await_owner(&cluster, DOMAIN, &[]);
    let keys: Vec<String> = (0..90).map(|number| format!("peak-{number}")).collect();
    let work = |key: &String| {
        let number: u64 = key.trim_start_matches("peak-").parse().expect("a number");
        let cpu = [300, 700, 1_100, 1_900][usize::try_from(number % 4).expect("a remainder")];
        Work::batch(50 + number % 7 * 20).cpu(cpu).tasks(4)
    };
    in_parallel(&keys, |key| submit_until_accepted(&addrs, key, &work(key)));
    eventually("a worker is full", || {
        let free_cpu = |held: Amount| 4_000 - held.cpu_millis;
        cluster.worker_states().iter().any(|state| free_cpu(state.held) < 300).then_some(())
    });
    cluster.entries[killed].process.kill();
    let remaining = api_addrs(&cluster, DOMAIN, &[killed]);
    await_state(&remaining, &keys, State::Succeeded);
    let runs = Runs::of(&cluster);
    keys.iter().for_each(|key| runs.assert_done_once(key, 4));
}

// A thousand jobs are cancelled at once, while some run and most wait. Every cancellation is
// answered, running tasks are stopped, and waiting ones never start.
#[test]
fn cancel_wave() {
    let plan = Plan { entries: 2, workers: 2, proxied: true, ..Plan::default() };
    let cluster = plan.start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    await_owner(&cluster, DOMAIN, &[]);
    let keys: Vec<String> = (0..1_000).map(|number| format!("wave-{number}")).collect();
    in_parallel(&keys, |key| submit_until_accepted(&addrs, key, &Work::batch(600_000)));
    eventually("tasks run", || {
        let running: usize = cluster.worker_states().iter().map(|state| state.running).sum();
        (running == 16).then_some(())
    });
    in_parallel(&keys, |key| cancel_until_accepted(&addrs, key));
    await_state(&addrs, &keys, State::Cancelled);
    let runs = Runs::of(&cluster);
    let stopped = Phase::Ended(End::Stopped);
    for key in &keys {
        let phases = runs.phases(key, 0);
        assert!(phases.is_empty() || phases == [stopped], "{key}: {phases:?}");
    }
    let started = keys.iter().filter(|key| !runs.phases(key, 0).is_empty()).count();
    assert!(started >= 16, "tasks ran before they were cancelled");
    submit_until_accepted(&addrs, "after", &Work::batch(0));
    await_state(&addrs, [&"after".to_owned()], State::Succeeded);
}
