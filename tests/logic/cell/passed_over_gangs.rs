//! Narrow steps that could run, and are passed over for the sake of gangs that never fit.

use oriolefork::cell::job::Step;
use oriolefork::cell::queue::PolicyTiming;
use test_case::test_case;

use super::model::{self, QUEUE, cores};
use super::policy_site::PolicySite;

/// Queue of gangs, whose policy service takes half a second for a query about 24 workers.
const GANGS: (&str, PolicyTiming) =
    ("gangs", PolicyTiming { decide_ms: 410.0, per_worker_ms: 6.0, valid_ms: 1_500 });

/// Queue of less urgent steps.
const SMALL: (&str, PolicyTiming) =
    ("small", PolicyTiming { decide_ms: 100.0, per_worker_ms: 1.0, valid_ms: 1_500 });

/// Number of the job of which one task runs on every worker, so that no gang fits.
const OCCUPANT: u64 = 999;

/// Number of the job that could run.
const NARROW: u64 = 900;

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// A site on each of whose workers seven of eight cores are free.
fn occupied_site(workers: usize, instances: u16) -> PolicySite {
    let mut site = PolicySite::new(workers, instances, &[GANGS, SMALL], 1_000);
    let step = Step { max_per_worker: 1, ..model::step(workers as u32, cores(1)) };
    site.submit(OCCUPANT, QUEUE, step);
    site.elapse(100);
    assert_eq!(site.started(OCCUPANT), workers);
    site
}

/// A gang that can be on time for as long as it waits, whose members need a whole worker each.
fn gang(width: u32) -> Step {
    Step { gang: true, long_running: true, ..model::step(width, cores(8)) }
}

/// The only workers that may run a step are reserved in each round for gangs that never fit. If it
/// needs a policy, it is not even queried about them, since reserved workers count as full.
#[test_case(QUEUE, 1, QUEUE; "one_gang_without_a_policy")]
#[test_case(QUEUE, 1, SMALL.0; "one_gang_beside_a_step_with_a_policy")]
#[test_case(GANGS.0, 4, QUEUE; "gangs_with_alternating_tickets")]
#[test_case(GANGS.0, 4, SMALL.0; "gangs_beside_a_step_with_a_policy")]
fn step_starts_on_workers_that_are_reserved_again_and_again(queue: &str, gangs: u64, own: &str) {
    let mut site = occupied_site(12, 9);
    for number in 1..=gangs {
        site.submit(number, queue, gang(2));
        site.elapse(500);
    }
    site.elapse(BOUND_MS);
    let label = Some("r0".to_owned());
    site.submit(NARROW, own, Step { required_label: label, ..model::step(1, cores(1)) });
    site.elapse(BOUND_MS);
    assert_eq!(site.waiting(1..1 + gangs), gangs as usize, "no gang fits");
    assert_eq!(site.started(NARROW), 1, "not started on the workers of rack r0");
}

/// Wide gangs that never fit use up the budget of queries about gangs in turn. A narrow gang that
/// fits is never queried about.
#[test_case(3; "three_wide_gangs")]
#[test_case(8; "eight_wide_gangs")]
fn narrow_gang_starts_beside_wide_ones_that_use_up_the_budget(wide: u64) {
    let mut site = occupied_site(24, 30);
    for number in 1..=wide {
        site.submit(number, GANGS.0, gang(24));
        site.elapse(250);
    }
    site.elapse(BOUND_MS);
    let narrow = Step { gang: true, ..model::step(2, cores(2)) };
    site.submit(NARROW, GANGS.0, narrow);
    site.elapse(BOUND_MS);
    assert_eq!(site.waiting(1..1 + wide), wide as usize, "no wide gang fits");
    assert_eq!(site.started(NARROW), 2, "not started");
}

/// Gangs that fit nowhere repeat their queries, and no instance is left for a step that ranks
/// behind them in the same queue, although most capacity is free.
#[test_case(2; "two_instances")]
#[test_case(9; "nine_instances")]
fn narrow_step_is_queried_beside_gangs_that_fit_nowhere(instances: u16) {
    let mut site = occupied_site(100, instances);
    site.allowed = Some((0..100).step_by(4).collect());
    for number in 1..=60 {
        site.submit(number, GANGS.0, gang(2));
    }
    site.elapse(BOUND_MS);
    let worthless = Step { estimate_ms: 1, ..model::step(1, cores(1)) };
    site.submit(NARROW, GANGS.0, worthless);
    site.elapse(BOUND_MS);
    assert_eq!(site.waiting(1..61), 60, "no gang fits");
    assert_eq!(site.started(NARROW), 1, "not started, queries: {}", site.queries);
}

/// A gang has been queried about as many eligible workers as seem enough, and all of them are full.
/// Each still counts for a member, so that the gang is never queried about workers that become free.
#[test]
fn gang_is_queried_about_free_workers_beside_full_ones_that_it_knows() {
    const OCCUPIED_MS: u64 = 3_000;
    let mut site = PolicySite::new(60, 9, &[GANGS, SMALL], 1_000);
    site.allowed = Some((0..8).chain(56..60).collect());
    let fill = |rack: u64| {
        let label = Some(format!("r{rack}"));
        Step { required_label: label, estimate_ms: 1, ..model::step(4, cores(8)) }
    };
    site.run_ms = Some(OCCUPIED_MS);
    (6..15).for_each(|rack| site.submit(rack, QUEUE, fill(rack)));
    site.elapse(100);
    site.run_ms = None;
    site.submit(NARROW, GANGS.0, gang(2));
    site.elapse(100);
    (0..6).for_each(|rack| site.submit(100 + rack, QUEUE, fill(rack)));
    site.elapse(OCCUPIED_MS);
    assert!((6..15).all(|number| site.is_done(number)), "workers w24 to w59 are free");
    assert!((100..106).all(|number| site.started(number) == 4), "the others are full");
    site.elapse(BOUND_MS);
    assert_eq!(site.started(NARROW), 2, "not started, queries: {}", site.queries);
}
