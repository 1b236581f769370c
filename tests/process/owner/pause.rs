//! An owner that is paused and wakes.

use std::thread;
use std::time::{Duration, Instant};

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;

use super::site::{HALL, Runs, callers, owner, short_lease, started_on};
use super::work::{Work, await_state, submit_until_accepted};
use crate::harness::eventually;

/// Lease and margin of [`short_lease`].
const LEASE: Duration = Duration::from_secs(5);

// The machine of the owner stands still for longer than a lease, with tasks running and a start
// on its way. Another instance takes over and goes on. Then the old owner wakes, believes that it
// still owns the domain, and must be refused by the workers and step down: nothing runs twice.
#[test]
fn owner_paused_past_lease() {
    let cluster = short_lease(3, 3).start();
    let everyone = callers(&cluster, HALL, &[]);
    let keys = |wave: &str| -> Vec<String> {
        ["batch", "once", "gang"].iter().map(|kind| format!("{wave}-{kind}")).collect()
    };
    let works = |run_ms| [Work::batch(run_ms), Work::once(run_ms), Work::gang(run_ms, 2)];
    let (paused, epoch) = owner(&cluster, HALL, &[]);
    let (running, later) = (keys("running"), keys("later"));
    for (key, work) in running.iter().zip(works(8_000)) {
        submit_until_accepted(&everyone, key, &work);
        started_on(&cluster, key);
    }
    // What the owner sends from here on arrives after it has been replaced.
    let old = cluster.entries[paused].place.name.clone();
    cluster.entries[paused].process.freeze();
    let frozen = Instant::now();
    let rest = callers(&cluster, HALL, &[paused]);
    for (key, work) in later.iter().zip(works(500)) {
        submit_until_accepted(&rest, key, &work);
    }
    let (_, later_epoch) = owner(&cluster, HALL, &[paused]);
    assert_ne!(later_epoch, epoch);
    await_state(&rest, &later, State::Succeeded);
    thread::sleep(LEASE.saturating_sub(frozen.elapsed()));
    cluster.entries[paused].process.thaw();
    eventually("the old owner steps down", || {
        let output = cluster.entries[paused].process.output();
        output.contains("event=owner.stepped_down").then_some(())
    });
    submit_until_accepted(&[cluster.entries[paused].place.api], "through-the-old", &Work::batch(0));
    await_state(&everyone, &running, State::Succeeded);
    await_state(&everyone, [&"through-the-old".to_owned()], State::Succeeded);
    assert_ne!(cluster.entries[owner(&cluster, HALL, &[]).0].place.name, old);
    let runs = Runs::of(&cluster);
    for wave in [&running, &later] {
        runs.assert_done_once(&wave[0], 1);
        runs.assert_started_once(&wave[1]);
        runs.assert_done_once(&wave[2], 2);
    }
}

// Exchanges that the paused owner had sent are held up in the network and reach the workers only
// after another instance has taken over. They carry an earlier epoch and must have no effect.
#[test]
fn owner_paused_with_exchanges_held_up() {
    let cluster = short_lease(2, 1).start();
    let everyone = callers(&cluster, HALL, &[]);
    let (paused, _) = owner(&cluster, HALL, &[]);
    let keys: Vec<String> = (0..6).map(|number| format!("held-{number}")).collect();
    cluster.switch(Mode::CutToServer, |route| route.contains("/worker/"));
    for key in &keys {
        submit_until_accepted(&everyone, key, &Work::once(200));
    }
    cluster.entries[paused].process.freeze();
    let rest = callers(&cluster, HALL, &[paused]);
    eventually("another instance owns the domain", || {
        let output = cluster.entries[1 - paused].process.output();
        output.contains("event=owner.claimed").then_some(())
    });
    cluster.switch(Mode::Pass, |route| route.contains("/worker/"));
    owner(&cluster, HALL, &[paused]);
    cluster.entries[paused].process.thaw();
    await_state(&rest, &keys, State::Succeeded);
    let runs = Runs::of(&cluster);
    keys.iter().for_each(|key| runs.assert_started_once(key));
}
