//! Steps that wait although inactive workers could run them, and workers that stay active for no
//! use.

use std::collections::BTreeSet;
use std::rc::Rc;

use oriolefork::cell::dependencies::{RosterUpdate, WorkerInfo};
use oriolefork::cell::job::Step;
use oriolefork::cell::machine::Message;
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};
use oriolefork::cell::timings::{POLL_TIMEOUT, POLL_WAIT};

use super::answering_workers::{LISTED, MAX_ACTIVE, Site, claimed, name};
use super::model::{self, cores};

const POLICY_TIMING: PolicyTiming =
    PolicyTiming { decide_ms: 5.0, per_worker_ms: 0.1, valid_ms: 1_500 };

/// Ample time for a step that only waits for an activation.
const LONG_MS: u64 = 60_000;

fn play_long(site: &mut Site, holds: impl Fn(&Site) -> bool) -> bool {
    let end = site.now + LONG_MS;
    while !holds(site) && site.now < end {
        site.step();
    }
    holds(site)
}

fn change(site: &mut Site, number: usize, alter: impl Fn(&mut WorkerInfo)) {
    let mut info = model::listed(number, cores(8));
    alter(&mut info);
    site.deliver(Message::WorkersChanged(RosterUpdate {
        changed: vec![(name(number).into(), Rc::new(info))],
        ..RosterUpdate::default()
    }));
}

fn with_policy(site: &mut Site) {
    site.deliver(Message::ConfigChanged(model::policy_config(POLICY_TIMING)));
}

/// A step that allows one task on each worker, whose last tasks need workers that are inactive.
#[test]
fn spread_step_starts_completely() {
    let mut waiting = Vec::new();
    for count in (MAX_ACTIVE as u32..LISTED as u32).step_by(2) {
        let mut site = Site::empty();
        site.play(1_000);
        let step = Step { max_per_worker: 1, estimate_ms: 600_000, ..model::step(count, cores(1)) };
        site.submit(1, model::job(1, step));
        if !play_long(&mut site, |site| site.started.len() == count as usize) {
            waiting.push((count, site.started.len()));
        }
    }
    assert!(waiting.is_empty(), "(tasks, started): {waiting:?}");
}

/// The policy service allows a job on one worker only, wherever it is in the order of activation.
#[test]
fn job_eligible_on_any_single_worker_starts() {
    let mut waiting = Vec::new();
    for only in 0..LISTED {
        let mut site = Site::empty();
        with_policy(&mut site);
        site.play(1_000);
        site.eligible = Some(BTreeSet::from([name(only)]));
        site.submit(1, model::job(1, model::step(1, cores(1))));
        if !play_long(&mut site, |site| !site.started.is_empty()) {
            waiting.push(only);
        }
    }
    assert!(waiting.is_empty(), "waits with {} of {LISTED}: {waiting:?}", waiting.len());
}

/// A gang that needs more workers at once than twice the limit.
#[test]
fn gang_wider_than_twice_the_limit_starts() {
    let mut site = Site::empty();
    site.play(1_000);
    let step = Step { gang: true, ..model::step(3 * MAX_ACTIVE as u32, cores(8)) };
    site.submit(1, model::job(1, step));
    let all = |site: &Site| site.started.len() == 3 * MAX_ACTIVE;
    assert!(play_long(&mut site, all), "{} started", site.started.len());
}

/// Eight steps of better rank fit nowhere.
#[test]
fn steps_that_fit_nowhere_do_not_hide_another() {
    let mut site = Site::new(claimed(), |number| cores(if number == 40 { 16 } else { 2 }));
    site.play(1_000);
    assert!(!site.polled.contains(&name(40)), "w40 is inactive");
    for number in 1..=8 {
        let step = Step { estimate_ms: 400_000, ..model::step(1, cores(99)) };
        site.submit(number, model::job(number, step));
    }
    site.play(200);
    let step = Step { estimate_ms: 600_000, ..model::step(1, cores(16)) };
    site.submit(9, model::job(9, step));
    assert!(play_long(&mut site, |site| !site.started.is_empty()), "not started");
}

/// The policy service refuses the only rack whose workers are all active.
#[test]
fn gang_in_one_rack_starts_in_an_inactive_rack() {
    let mut waiting = Vec::new();
    for rack in 0..LISTED / 4 {
        let mut site = Site::empty();
        with_policy(&mut site);
        site.play(1_000);
        site.eligible = Some((rack * 4..rack * 4 + 4).map(name).collect());
        let gang =
            Step { gang: true, same_rack: true, estimate_ms: 600_000, ..model::step(4, cores(8)) };
        site.submit(1, model::job(1, gang));
        if !play_long(&mut site, |site| site.started.len() == 4) {
            waiting.push(rack);
        }
    }
    assert!(waiting.is_empty(), "waits if only one of these racks is allowed: {waiting:?}");
}

/// Policy queries for a gang that is eligible on four workers only.
#[test]
fn gang_eligible_on_few_workers_starts() {
    let mut waiting = Vec::new();
    for first in (0..LISTED).step_by(4) {
        let mut site = Site::empty();
        with_policy(&mut site);
        site.play(1_000);
        site.eligible = Some((first..first + 4).map(name).collect());
        let gang = Step { gang: true, estimate_ms: 600_000, ..model::step(2, cores(8)) };
        site.submit(1, model::job(1, gang));
        if !play_long(&mut site, |site| site.started.len() == 2) {
            waiting.push(first);
        }
    }
    assert!(waiting.is_empty(), "waits if eligible from: {waiting:?}");
}

/// A job with a more urgent queue finds all active workers busy and inactive ones free.
#[test]
fn inactive_workers_go_before_preemption() {
    let mut site = Site::empty();
    let config = model::queue_config();
    let base = Queue::clone(&config.queues()[0]);
    let low = Queue { priority: 5, stretch: 50.0, target_ms: 600_000, ..base.clone() };
    let urgent = Queue {
        name: "urgent".to_owned(),
        path_prefix: "/urgent/".to_owned(),
        priority: 0,
        ..base
    };
    let queues = vec![low.into(), urgent.into()];
    let config = QueueConfig::new(2, queues, config.services.clone());
    site.deliver(Message::ConfigChanged(Rc::new(config)));
    site.play(1_000);
    let step =
        Step { checkpoints: true, estimate_ms: 60_000, ..model::step(MAX_ACTIVE as u32, cores(8)) };
    site.submit(1, model::job(1, step));
    assert!(play_long(&mut site, |site| site.started.len() == MAX_ACTIVE));
    site.play(3_000);
    let active = site.machine.workers.len();
    let mut job = model::job(2, Step { estimate_ms: 60_000, ..model::step(4, cores(8)) });
    job.queue = "urgent".to_owned();
    site.submit(2, job);
    site.play(300);
    let stopped = site.machine.runs.iter().filter(|(_, run)| run.stop_requested).count();
    assert_eq!(stopped, 0, "tasks stopped; {active} of {LISTED} active");
}

/// Twice as many workers as the limit are listed but silent.
#[test]
fn twice_the_limit_of_silent_workers_does_not_stop_activation() {
    let mut site = Site::empty();
    site.play(1_000);
    for _ in 0..3 {
        let active: Vec<String> = site.machine.workers.keys().map(|id| id.to_string()).collect();
        if active.len() >= 2 * MAX_ACTIVE {
            break;
        }
        for worker in active {
            site.workers.get_mut(&worker).expect("a worker").is_silent = true;
        }
        site.play((POLL_WAIT + POLL_TIMEOUT * 2).as_millis() as u64);
        site.submit(site.now, model::job(site.now, model::step(1, cores(8))));
        site.step();
        let active: Vec<String> = site.machine.workers.keys().map(|id| id.to_string()).collect();
        for worker in active {
            site.workers.get_mut(&worker).expect("a worker").is_silent = true;
        }
        site.play(500);
        let active: Vec<String> = site.machine.workers.keys().map(|id| id.to_string()).collect();
        for worker in active {
            site.workers.get_mut(&worker).expect("a worker").is_silent = true;
        }
        site.play(3_000);
    }
    site.started.clear();
    let silent = site.workers.values().filter(|worker| worker.is_silent).count();
    site.submit(9, model::job(9, model::step(1, cores(8))));
    let started = play_long(&mut site, |site| !site.started.is_empty());
    assert!(started, "{silent} of {LISTED} silent; active {}", site.machine.workers.len());
}

/// As many workers as twice the limit drain, beside others that are ready.
#[test]
fn draining_workers_do_not_stop_activation() {
    let mut site = Site::empty();
    site.play(1_000);
    let mut drained = BTreeSet::new();
    for job in 1..6 {
        let active: Vec<String> = site.machine.workers.keys().map(|id| id.to_string()).collect();
        for worker in active {
            let number = worker[1..].parse().expect("a number");
            drained.insert(number);
            change(&mut site, number, |info| info.draining = true);
        }
        site.play(200);
        site.submit(job, model::job(job, model::step(1, cores(8))));
        site.play(20);
    }
    let active: Vec<String> = site.machine.workers.keys().map(|id| id.to_string()).collect();
    for worker in active {
        let number: usize = worker[1..].parse().expect("a number");
        drained.insert(number);
        change(&mut site, number, |info| info.draining = true);
    }
    site.started.clear();
    site.submit(9, model::job(9, model::step(1, cores(8))));
    let started = play_long(&mut site, |site| !site.started.is_empty());
    let (active, drained) = (site.machine.workers.len(), drained.len());
    assert!(started, "{drained} of {LISTED} drain; active {active}");
}

/// A worker leaves the list while its last poll before retirement is open.
#[test]
fn retiring_worker_that_leaves_the_list_stays_away() {
    let mut site = Site::empty();
    site.play(1_000);
    site.submit(1, model::job(1, model::step(LISTED as u32, cores(8))));
    assert!(play_long(&mut site, |site| site.started.len() == LISTED));
    site.end_all();
    let retiring = |site: &Site| {
        let one = site.machine.workers.values().find(|one| one.retiring);
        one.map(|one| one.id.to_string())
    };
    assert!(play_long(&mut site, |site| retiring(site).is_some()));
    let left = retiring(&site).expect("a retiring worker");
    site.workers.get_mut(&left).expect("a worker").is_silent = true;
    let entry: Rc<str> = left.as_str().into();
    site.deliver(Message::WorkersChanged(RosterUpdate {
        removed: vec![entry],
        ..RosterUpdate::default()
    }));
    site.play(10_000);
    site.polls_sent.clear();
    site.submit(2, model::job(2, model::step(LISTED as u32 - 1, cores(8))));
    site.play(30_000);
    let polls = site.polls_sent.iter().filter(|worker| **worker == left).count();
    assert!(
        polls == 0,
        "{polls} polls to {left}, which is not listed; known: {}",
        site.machine.workers.contains_key(left.as_str())
    );
}

/// The rack of a step's data has no free worker, and the label is only on inactive ones elsewhere.
#[test]
fn step_near_data_starts_elsewhere() {
    let mut site = Site::new(claimed(), |number| cores(if number == 40 { 16 } else { 2 }));
    site.play(1_000);
    let step = Step {
        data_rack: Some("absent".to_owned()),
        estimate_ms: 600_000,
        ..model::step(1, cores(16))
    };
    site.submit(1, model::job(1, step));
    assert!(play_long(&mut site, |site| !site.started.is_empty()), "not started in {LONG_MS} ms");
}
