//! Guards against an owner that polls every listed worker: it ran out of descriptors, and accepted
//! jobs never ran.

use std::collections::BTreeSet;

use oriolefork::cell::Epoch;
use oriolefork::cell::job::Run;
use oriolefork::cell::machine::Message;
use oriolefork::cell::queue::PolicyTiming;
use oriolefork::cell::record::{Batch, Record};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::{POLL_TIMEOUT, POLL_WAIT, UNLISTED_AFTER};

use super::answering_workers::{LISTED, MAX_ACTIVE, Site, claimed, name, unix};
use super::model::{self, cores};

/// Observed time of most tests, in milliseconds.
const OBSERVED_MS: u64 = 10_000;

const POLICY_TIMING: PolicyTiming =
    PolicyTiming { decide_ms: 5.0, per_worker_ms: 0.1, valid_ms: 1_500 };

/// The state of a cell in which each of the last `busy` workers runs one task of eight cores.
fn claimed_with_runs(busy: usize) -> (State, Vec<(String, Run)>) {
    let runs: Vec<(String, Run)> =
        (0..busy).map(|task| (name(LISTED - 1 - task), model::run(1, task as u32, 1))).collect();
    let job = model::job(1, model::step(busy as u32, cores(8)));
    let placed = |(worker, run): &(String, Run)| Record::Placed {
        worker: worker.as_str().into(),
        runs: vec![*run],
    };
    let mut records = vec![Record::Accepted { at: unix(0), job }];
    records.extend(runs.iter().map(placed));
    let mut state = claimed();
    state.apply_batch(Batch { epoch: Epoch(1), at: unix(0), records });
    state.apply_batch(model::claim(Epoch(2), unix(0)));
    (state, runs)
}

/// Nothing runs: the owner polls as many workers at a time as the site allows, and not the others
/// in turn, since the connections to these would stay open for seconds.
#[test]
fn idle_owner_polls_as_many_workers_as_the_site_allows() {
    let mut site = Site::empty();
    site.play(OBSERVED_MS);
    site.check_bound();
    assert!(site.polled.len() <= MAX_ACTIVE, "polled in turn: {}", site.polled.len());
    assert!(!site.polled.is_empty(), "nothing could be placed at once");
}

/// More workers run something than may be polled at a time. All of them are polled, or their leases
/// would expire, and none besides.
#[test]
fn workers_with_runs_are_polled_beyond_the_limit() {
    let (state, runs) = claimed_with_runs(3 * MAX_ACTIVE);
    let mut site = Site::new(state, |_| cores(8));
    for (worker, run) in &runs {
        site.workers.get_mut(worker).expect("a worker").running.insert(*run);
    }
    site.play(OBSERVED_MS);
    let busy: BTreeSet<String> = runs.iter().map(|(worker, _)| worker.clone()).collect();
    assert!(site.polled.is_superset(&busy), "polled: {:?}", site.polled);
    assert!(site.started.is_empty(), "nothing was lost: {:?}", site.started);
    assert_eq!(site.machine.runs.len(), runs.len());
    site.check_bound();
}

/// Guards against leases that expire because a new owner, which polled its workers by name, had no
/// descriptors left for those that ran something.
#[test]
fn new_owner_polls_workers_with_runs_first() {
    let (state, runs) = claimed_with_runs(2 * MAX_ACTIVE);
    let mut site = Site::new(state, |_| cores(8));
    for (worker, run) in &runs {
        site.workers.get_mut(worker).expect("a worker").running.insert(*run);
    }
    site.step();
    let busy: BTreeSet<String> = runs.iter().map(|(worker, _)| worker.clone()).collect();
    let first: BTreeSet<String> = site.polls_sent.iter().take(busy.len()).cloned().collect();
    assert_eq!(first, busy);
    site.check_bound();
}

/// A job needs more workers than may be polled at a time while nothing runs on them.
#[test]
fn job_wider_than_the_limit_starts() {
    let mut site = Site::empty();
    site.play(1_000);
    let tasks = LISTED as u32;
    site.submit(1, model::job(1, model::step(tasks, cores(8))));
    let all = |site: &Site| site.started.len() == LISTED;
    assert!(site.play_until(all), "{} of {tasks} tasks started", site.started.len());
    assert_eq!(site.workers_with_runs().len(), LISTED, "each worker has room for one");
    site.check_bound_with_exchange();
}

/// Once the wide job has ended, the owner polls as few workers as before.
#[test]
fn owner_returns_to_the_limit_after_a_wide_job() {
    let mut site = Site::empty();
    site.play(1_000);
    site.submit(1, model::job(1, model::step(LISTED as u32, cores(8))));
    assert!(site.play_until(|site| site.started.len() == LISTED));
    site.end_all();
    site.play(OBSERVED_MS);
    site.polled.clear();
    site.most_idle_polled = 0;
    site.play(OBSERVED_MS);
    assert!(site.machine.runs.is_empty(), "all ends are known");
    assert!(site.polled.len() <= MAX_ACTIVE, "polled: {}", site.polled.len());
    site.check_bound();
}

/// The first workers by name are too small for a job, which only some of the others can run.
#[test]
fn job_that_fits_only_on_a_reserve_worker_starts() {
    let big = LISTED - 3;
    let mut site = Site::new(claimed(), |number| cores(if number >= big { 16 } else { 2 }));
    site.play(1_000);
    site.submit(1, model::job(1, model::step(3, cores(16))));
    assert!(site.play_until(|site| site.started.len() == 3), "{:?}", site.started);
    site.check_bound_with_exchange();
}

/// A job that fits on no worker waits; the owner does not poll all workers for it.
#[test]
fn job_that_fits_nowhere_does_not_wake_the_reserve() {
    let mut site = Site::empty();
    site.submit(1, model::job(1, model::step(1, cores(16))));
    site.play(OBSERVED_MS);
    assert!(site.started.is_empty());
    site.check_bound_with_exchange();
}

/// The policy service allows a job only on a few of the workers that were not polled.
#[test]
fn job_that_is_eligible_only_on_a_reserve_worker_starts() {
    let mut site = Site::empty();
    site.deliver(Message::ConfigChanged(model::policy_config(POLICY_TIMING)));
    site.play(1_000);
    let reserve = (0..LISTED).map(name).filter(|worker| !site.polled.contains(worker));
    site.eligible = Some(reserve.take(2).chain([name(LISTED - 1)]).collect());
    site.submit(1, model::job(1, model::step(1, cores(1))));
    assert!(site.play_until(|site| !site.started.is_empty()), "the job is not started");
    site.check_bound_with_exchange();
}

/// All workers that are polled stop answering. Others take their place once this is noticed.
#[test]
fn reserve_workers_replace_silent_ones() {
    let mut site = Site::empty();
    site.play(1_000);
    let active: Vec<String> = site.polled.iter().cloned().collect();
    for worker in active.iter().take(MAX_ACTIVE) {
        site.workers.get_mut(worker).expect("a worker").is_silent = true;
    }
    site.play((POLL_WAIT + POLL_TIMEOUT * 2).as_millis() as u64);
    site.submit(1, model::job(1, model::step(4, cores(8))));
    assert!(site.play_until(|site| site.started.len() == 4), "{:?}", site.started);
}

/// The same for workers that are no longer listed either.
#[test]
fn reserve_workers_replace_departed_ones() {
    let mut site = Site::empty();
    site.play(1_000);
    let active: BTreeSet<String> = site.polled.iter().take(MAX_ACTIVE).cloned().collect();
    for worker in &active {
        site.workers.get_mut(worker).expect("a worker").is_silent = true;
    }
    let listed = (0..LISTED).filter(|number| !active.contains(&name(*number))).collect();
    site.list(&listed, |_| cores(8));
    site.play(UNLISTED_AFTER.as_millis() as u64);
    site.submit(1, model::job(1, model::step(4, cores(8))));
    assert!(site.play_until(|site| site.started.len() == 4), "{:?}", site.started);
}
