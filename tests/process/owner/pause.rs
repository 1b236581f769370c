//! An owner whose process is paused and resumes.

use std::thread;
use std::time::{Duration, Instant};

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;

use super::site::{DOMAIN, Runs, api_addrs, await_owner, await_start, short_lease};
use super::work::{Work, await_state, submit_until_accepted};
use crate::harness::eventually;

/// Lease and lease margin of [`short_lease`] together.
const LEASE: Duration = Duration::from_secs(5);

// The owner is paused for longer than a lease while tasks run and a start command is in flight, and
// another instance takes over. When the old owner resumes, it still acts as the owner. The workers
// must refuse its commands and it must step down, so that no task runs twice.
#[test]
fn owner_paused_past_lease() {
    let cluster = short_lease(3, 3).start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    let keys = |wave: &str| -> Vec<String> {
        ["batch", "once", "gang"].iter().map(|kind| format!("{wave}-{kind}")).collect()
    };
    let works = |run_ms| [Work::batch(run_ms), Work::once(run_ms), Work::gang(run_ms, 2)];
    let (paused, epoch) = await_owner(&cluster, DOMAIN, &[]);
    let (running, later) = (keys("running"), keys("later"));
    for (key, work) in running.iter().zip(works(8_000)) {
        submit_until_accepted(&addrs, key, &work);
        await_start(&cluster, key);
    }
    // Whatever the owner sends after this point arrives after it has been replaced.
    let old = cluster.entries[paused].place.name.clone();
    cluster.entries[paused].process.freeze();
    let frozen = Instant::now();
    let remaining = api_addrs(&cluster, DOMAIN, &[paused]);
    for (key, work) in later.iter().zip(works(500)) {
        submit_until_accepted(&remaining, key, &work);
    }
    let (_, later_epoch) = await_owner(&cluster, DOMAIN, &[paused]);
    assert_ne!(later_epoch, epoch);
    await_state(&remaining, &later, State::Succeeded);
    thread::sleep(LEASE.saturating_sub(frozen.elapsed()));
    cluster.entries[paused].process.thaw();
    eventually("the old owner steps down", || {
        let output = cluster.entries[paused].process.output();
        output.contains("event=owner.stepped_down").then_some(())
    });
    submit_until_accepted(&[cluster.entries[paused].place.api], "through-the-old", &Work::batch(0));
    await_state(&addrs, &running, State::Succeeded);
    await_state(&addrs, [&"through-the-old".to_owned()], State::Succeeded);
    assert_ne!(cluster.entries[await_owner(&cluster, DOMAIN, &[]).0].place.name, old);
    let runs = Runs::of(&cluster);
    for wave in [&running, &later] {
        runs.assert_done_once(&wave[0], 1);
        runs.assert_started_once(&wave[1]);
        runs.assert_done_once(&wave[2], 2);
    }
}

// Exchanges that the paused owner sent are delayed in the network and reach the workers only after
// another instance has taken over. They carry an earlier epoch and must have no effect.
#[test]
fn owner_paused_with_exchanges_held_up() {
    let cluster = short_lease(2, 1).start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    let (paused, _) = await_owner(&cluster, DOMAIN, &[]);
    let keys: Vec<String> = (0..6).map(|number| format!("held-{number}")).collect();
    cluster.switch(Mode::CutToServer, |route| route.contains("/worker/"));
    for key in &keys {
        submit_until_accepted(&addrs, key, &Work::once(200));
    }
    cluster.entries[paused].process.freeze();
    let remaining = api_addrs(&cluster, DOMAIN, &[paused]);
    eventually("another instance owns the domain", || {
        let output = cluster.entries[1 - paused].process.output();
        output.contains("event=owner.claimed").then_some(())
    });
    cluster.switch(Mode::Pass, |route| route.contains("/worker/"));
    await_owner(&cluster, DOMAIN, &[paused]);
    cluster.entries[paused].process.thaw();
    await_state(&remaining, &keys, State::Succeeded);
    let runs = Runs::of(&cluster);
    keys.iter().for_each(|key| runs.assert_started_once(key));
}
