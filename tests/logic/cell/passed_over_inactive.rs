//! Steps that only inactive workers could run, on a site that limits the number of active ones.

use std::collections::BTreeSet;

use oriolefork::cell::job::Step;
use oriolefork::cell::machine::Message;
use oriolefork::cell::queue::PolicyTiming;

use super::answering_workers::{LISTED, MAX_ACTIVE, Site, claimed, name};
use super::model::{self, cores};

/// Number of the job that could run.
const JOB: u64 = 1;

/// Number of workers in a rack, whose name is one of their labels.
const RACK: usize = 4;

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// An owner whose workers are all free. The policy service allows its jobs on one of them only.
fn site(only: usize) -> Site {
    let timing = PolicyTiming { decide_ms: 5.0, per_worker_ms: 0.1, valid_ms: 1_500 };
    let mut site = Site::empty();
    site.deliver(Message::ConfigChanged(model::policy_config(timing)));
    site.play(1_000);
    site.eligible = Some(BTreeSet::from([name(only)]));
    site
}

/// A step of one task that needs the label of a rack, if one is given.
fn step(rack: Option<usize>) -> Step {
    let label = rack.map(|rack| format!("r{rack}"));
    Step { long_running: true, required_label: label, ..model::step(1, cores(1)) }
}

fn starts_in_time(site: &mut Site) -> bool {
    site.play(BOUND_MS);
    !site.started.is_empty()
}

/// Workers are activated by turns, and those that may not run the step keep their places for
/// seconds, so that a step reaches its only worker the later, the more workers are listed.
#[test]
fn step_starts_on_the_only_worker_that_may_run_it() {
    let is_late = |only: &usize| {
        let mut site = site(*only);
        site.submit(JOB, model::job(JOB, step(None)));
        !starts_in_time(&mut site)
    };
    let late: Vec<usize> = (0..LISTED).filter(is_late).collect();
    assert!(late.is_empty(), "not started on {} of {LISTED}: {late:?}", late.len());
}

/// Steps that may run nowhere have as many workers activated as the site allows, and a step whose
/// workers are all inactive waits until they are retired.
#[test]
fn step_starts_on_inactive_workers_beside_steps_that_may_run_nowhere() {
    let is_late = |rack: &usize| {
        let mut site = site(rack * RACK);
        for number in 0..MAX_ACTIVE as u64 {
            let other = (rack + 1 + number as usize) % (LISTED / RACK);
            site.submit(100 + number, model::job(100 + number, step(Some(other))));
        }
        site.play(500);
        assert!(site.started.is_empty(), "none of the others may run");
        site.submit(JOB, model::job(JOB, step(Some(*rack))));
        !starts_in_time(&mut site)
    };
    let late: Vec<usize> = (0..LISTED / RACK).filter(is_late).collect();
    assert!(late.is_empty(), "not started in the racks {late:?}");
}

/// Steps have their turns to have workers activated for them, six in a tenth of a second. One behind
/// hundreds that fit nowhere waits for as many turns.
#[test]
fn step_starts_on_an_inactive_worker_beside_hundreds_that_fit_nowhere() {
    let mut site = Site::new(claimed(), |number| cores(if number == 40 { 16 } else { 2 }));
    site.play(1_000);
    assert!(!site.polled.contains(&name(40)), "w40 is inactive");
    for number in 0..400 {
        let step = Step { long_running: true, ..model::step(1, cores(99)) };
        site.submit(100 + number, model::job(100 + number, step));
    }
    site.play(500);
    let step = Step { long_running: true, ..model::step(1, cores(16)) };
    site.submit(JOB, model::job(JOB, step));
    assert!(starts_in_time(&mut site), "not started on w40");
}
