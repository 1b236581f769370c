//! Further waits beside free workers, found in a review of the rules that pass over steps.

use oriolefork::cell::features::Features;
use oriolefork::cell::job::Step;
use oriolefork::cell::queue::PolicyTiming;
use oriolefork::cell::timings::Timings;
use oriolefork::resource::Limit;
use test_case::test_case;

use super::model::{self, QUEUE, cores};
use super::policy_site::PolicySite;

/// Queue of gangs, whose policy service takes half a second for a query about 24 workers.
const GANGS: (&str, PolicyTiming) =
    ("gangs", PolicyTiming { decide_ms: 410.0, per_worker_ms: 6.0, valid_ms: 1_500 });

/// Queue of less urgent steps.
const SMALL: (&str, PolicyTiming) =
    ("small", PolicyTiming { decide_ms: 100.0, per_worker_ms: 1.0, valid_ms: 1_500 });

/// Number of the job of which one task runs on every worker.
const OCCUPANT: u64 = 9_999;

/// Number of the job that could run.
const NARROW: u64 = 9_000;

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// A site on each of whose workers `used` of eight cores are occupied.
fn occupied_site(workers: usize, instances: u16, used: u64) -> PolicySite {
    let mut site = PolicySite::new(workers, instances, &[GANGS, SMALL], 1_000);
    let step = Step { max_per_worker: 1, ..model::step(workers as u32, cores(used)) };
    site.submit(OCCUPANT, QUEUE, step);
    site.elapse(100);
    assert_eq!(site.started(OCCUPANT), workers);
    site
}

/// A gang that can be on time for as long as it waits, whose members need a whole worker each.
fn gang(width: u32) -> Step {
    Step { gang: true, long_running: true, ..model::step(width, cores(8)) }
}

/// A step that can no longer earn anything, so that it ranks last.
fn worthless() -> Step {
    Step { estimate_ms: 1, ..model::step(1, cores(1)) }
}

/// Overdue steps that fit nowhere are examined first in each round, keep their place and are never
/// queried about, so that those behind them are not examined.
#[test_case(0, 2, 1; "none_mostly_free")]
#[test_case(800, 2, 1; "eight_hundred_mostly_free")]
#[test_case(0, 2, 5; "none")]
#[test_case(800, 2, 5; "eight_hundred")]
#[test_case(0, 6, 5; "none_six_instances")]
#[test_case(800, 6, 5; "eight_hundred_six_instances")]
fn step_is_queried_behind_overdue_ones_that_fit_nowhere(others: u64, instances: u16, used: u64) {
    let mut site = occupied_site(100, instances, used);
    site.allowed = Some((0..100).step_by(4).collect());
    for number in 1..=60 {
        site.submit(number, GANGS.0, gang(2));
    }
    for number in 0..others {
        let wide = Step { long_running: true, ..model::step(1, cores(8)) };
        site.submit(1_000 + number, GANGS.0, wide);
    }
    site.elapse(BOUND_MS);
    site.submit(NARROW, GANGS.0, worthless());
    let begun = site.harness.now;
    while site.started(NARROW) == 0 && site.harness.now < begun + 30_000 {
        site.elapse(100);
    }
    assert_eq!(site.waiting(1..61), 60, "no gang fits");
    let took = site.harness.now - begun;
    assert!(took <= BOUND_MS, "started after {took} ms, queries: {}", site.queries);
}

/// An answer that allows no worker starts the time of the rules again, so that a step of which few
/// workers are allowed waits for a second before each of its queries.
#[test_case(2, 1; "two_instances_mostly_free")]
#[test_case(2, 5; "two_instances")]
#[test_case(6, 5; "six_instances")]
fn step_is_queried_again_at_once_after_an_answer_that_allows_nothing(instances: u16, used: u64) {
    let mut site = occupied_site(100, instances, used);
    site.allowed = Some((0..100).step_by(4).collect());
    for number in 1..=60 {
        site.submit(number, GANGS.0, gang(2));
    }
    site.elapse(BOUND_MS);
    site.allowed = Some([37, 71].into());
    site.submit(NARROW, SMALL.0, worthless());
    site.elapse(BOUND_MS);
    assert_eq!(site.waiting(1..61), 60, "no gang fits");
    assert_eq!(site.started(NARROW), 1, "not started, queries: {}", site.queries);
}

/// Steps that could all run become overdue at the same time and wait for each other's turns.
#[test_case(30, 2, 1; "thirty_mostly_free")]
#[test_case(30, 6, 5; "thirty")]
#[test_case(100, 30, 5; "hundred")]
fn overdue_steps_do_not_wait_for_each_other(steps: u64, instances: u16, used: u64) {
    let mut site = occupied_site(100, instances, used);
    site.allowed = Some((0..100).step_by(4).collect());
    for number in 1..=200 {
        site.submit(number, GANGS.0, gang(2));
    }
    site.elapse(BOUND_MS);
    (0..steps).for_each(|number| site.submit(NARROW + number, SMALL.0, worthless()));
    site.elapse(BOUND_MS);
    let waiting = site.waiting(NARROW..NARROW + steps);
    assert_eq!(waiting, 0, "not started, queries: {}", site.queries);
}

/// A worker counts for as many members of a gang as fit there, although the gang limits them: a
/// few workers seem enough, and the gang is never queried about others, on a free site.
#[test_case(true; "gang")]
#[test_case(false; "single_tasks")]
fn spread_step_is_queried_about_enough_workers(gang: bool) {
    let mut site = PolicySite::new(48, 9, &[GANGS, SMALL], 1_000);
    site.allowed = Some((0..48).filter(|at| at % 8 == 1).collect());
    let spread = Step { gang, max_per_worker: 1, ..model::step(6, cores(1)) };
    site.submit(NARROW, GANGS.0, spread);
    site.elapse(2 * BOUND_MS);
    assert_eq!(site.started(NARROW), 6, "queries: {}", site.queries);
}

/// A gang on time collects room on workers that are reserved for it while short tasks wait behind
/// it on a full site. Once these are overdue they ignore the reservation and take the room.
#[test_case(1, 3_000, QUEUE, 2; "single_tasks")]
#[test_case(100, 30, QUEUE, 2; "wide_steps")]
#[test_case(1, 3_000, GANGS.0, 2; "single_tasks_policy")]
#[test_case(100, 30, GANGS.0, 2; "wide_steps_policy")]
#[test_case(1, 3_000, QUEUE, 4; "single_tasks_four")]
#[test_case(100, 30, QUEUE, 4; "wide_steps_four")]
fn gang_starts_beside_overdue_steps_that_wait_for_its_workers(
    tasks: u32,
    jobs: u64,
    queue: &str,
    width: u32,
) {
    let mut site = PolicySite::new(24, 9, &[GANGS, SMALL], 1_000);
    site.allowed = Some((0..24).step_by(2).collect());
    // Times of the tasks are spread, so that one ends on each worker every 250 ms.
    let elapse = |site: &mut PolicySite| {
        site.run_ms = Some(1_000 + site.harness.now / 20 * 7_919 % 2_000);
        site.elapse(20);
    };
    for number in 1..=jobs {
        site.submit(number, QUEUE, Step { estimate_ms: 1, ..model::step(tasks, cores(1)) });
        if number % (jobs / 30) == 0 {
            elapse(&mut site);
        }
    }
    while site.harness.now < 6_000 {
        elapse(&mut site);
    }
    site.submit(NARROW, queue, Step { long_running: true, ..gang(width) });
    let begun = site.harness.now;
    while site.started(NARROW) == 0 && site.harness.now < begun + 2 * BOUND_MS {
        elapse(&mut site);
    }
    let took = site.harness.now - begun;
    let waiting: usize = (1..=jobs).map(|number| tasks as usize - site.started(number)).sum();
    assert!(waiting > 0, "no other task waits");
    assert!(took <= BOUND_MS, "not started for {took} ms, {waiting} other tasks wait");
}

/// A gang of which few workers are allowed needs several queries, and waits for the limit of a rule
/// before each of them.
#[test_case(9, 1; "mostly_free")]
#[test_case(9, 5; "occupied")]
fn narrow_gang_is_queried_again_after_an_answer_that_allows_too_little(instances: u16, used: u64) {
    let mut site = occupied_site(48, instances, used);
    for number in 1..=20 {
        site.submit(number, GANGS.0, gang(24));
        site.elapse(100);
    }
    site.elapse(BOUND_MS);
    site.allowed = Some((0..48).filter(|at| at % 16 == 15).collect());
    let narrow = Step { gang: true, ..model::step(2, cores(2)) };
    site.submit(NARROW, GANGS.0, narrow);
    site.elapse(BOUND_MS);
    assert_eq!(site.waiting(1..21), 20, "no wide gang fits");
    assert_eq!(site.started(NARROW), 2, "not started, queries: {}", site.queries);
}

/// Rules of the cap and of queries pass over a step one after the other, each for its whole limit.
#[test]
fn rules_that_follow_each_other_do_not_add_up() {
    let features = Features { fair_shares: true, ..Features::default() };
    let timings = Timings { features, ..Timings::default() };
    let mut site = PolicySite::with_timings(timings, 48, 2, &[GANGS, SMALL], 1_000);
    site.add_customer("museum", Limit { cpu_millis: Some(12_000), ..Limit::UNLIMITED });
    let occupant = Step { max_per_worker: 1, ..model::step(48, cores(1)) };
    site.submit(OCCUPANT, QUEUE, occupant);
    let lasting = Step { long_running: true, ..model::step(10, cores(1)) };
    site.submit_as("museum", 1_000, QUEUE, lasting);
    site.elapse(500);
    for number in 1..=60 {
        site.submit(number, GANGS.0, gang(2));
    }
    let nowhere = Some("nowhere".to_owned());
    let first = Step { required_label: nowhere, long_running: true, ..model::step(2, cores(1)) };
    site.submit_as("museum", 1_001, QUEUE, first);
    site.elapse(BOUND_MS);
    site.submit_as("museum", NARROW, GANGS.0, model::step(40, cores(1)));
    let begun = site.harness.now;
    while site.started(NARROW) == 0 && site.harness.now < begun + 20_000 {
        site.elapse(100);
    }
    let took = site.harness.now - begun;
    assert!(took <= BOUND_MS, "started after {took} ms");
}

/// A step that needs a query meets the limits of two rules one after the other: no instance is left
/// for it, and then only workers away from its data, or those reserved for gangs, have room.
#[test_case(true, 2; "data_two_instances")]
#[test_case(true, 6; "data_six_instances")]
#[test_case(false, 2; "reserved_two_instances")]
#[test_case(false, 6; "reserved_six_instances")]
fn rules_about_queries_and_workers_do_not_add_up(near_data: bool, instances: u16) {
    let mut site = occupied_site(100, instances, 5);
    site.allowed = Some((0..100).step_by(2).collect());
    let rack = Some("r1".to_owned());
    let fill = Step { required_label: rack.clone(), ..model::step(4, cores(3)) };
    site.submit(2_000, QUEUE, fill);
    for number in 1..=60 {
        site.submit(number, GANGS.0, gang(2));
    }
    site.elapse(BOUND_MS);
    let step = Step { long_running: true, ..model::step(1, cores(1)) };
    let step = if near_data {
        Step { data_rack: rack, ..step }
    } else {
        Step { required_label: Some("r0".to_owned()), ..step }
    };
    site.submit(NARROW, SMALL.0, step);
    let begun = site.harness.now;
    while site.started(NARROW) == 0 && site.harness.now < begun + 20_000 {
        site.elapse(100);
    }
    let took = site.harness.now - begun;
    assert!(took <= BOUND_MS, "started after {took} ms, queries: {}", site.queries);
}

/// Steps without value beyond those that every round checks are looked at in full scans only. Others
/// that are overdue take every turn in the rounds between.
#[test]
fn step_without_value_is_queried_behind_others_without_value() {
    let mut site = occupied_site(100, 6, 5);
    for number in 1..=60 {
        site.submit(number, GANGS.0, gang(2));
    }
    let label = Some("r24".to_owned());
    for number in 0..300 {
        let full =
            Step { required_label: label.clone(), estimate_ms: 1, ..model::step(1, cores(8)) };
        site.submit(1_000 + number, SMALL.0, full);
    }
    site.elapse(BOUND_MS);
    site.submit(NARROW, SMALL.0, worthless());
    site.elapse(BOUND_MS);
    assert_eq!(site.started(NARROW), 1, "not started, queries: {}", site.queries);
}
