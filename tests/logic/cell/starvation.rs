//! Steps that wait beside free workers because no query to the policy service is sent for them.

use oriolefork::cell::job::Step;
use oriolefork::cell::queue::PolicyTiming;
use test_case::test_case;

use super::model::{self, cores};
use super::policy_site::PolicySite;

/// Queue of gangs: each query about 100 workers takes a second.
const WIDE: (&str, PolicyTiming) =
    ("wide", PolicyTiming { decide_ms: 400.0, per_worker_ms: 6.0, valid_ms: 2_500 });

/// Queue of small tasks, which has a lower priority than the gangs.
const SMALL: (&str, PolicyTiming) =
    ("small", PolicyTiming { decide_ms: 100.0, per_worker_ms: 1.0, valid_ms: 2_500 });

/// Number of workers, each with eight cores.
const WORKERS: usize = 100;

/// Number of instances that can send queries.
const PROXIES: u16 = 10;

/// Number of gangs that fit nowhere, and of jobs with one small task each.
const GANGS: u64 = 60;
const JOBS: u64 = 40;

/// Number of the job that runs on every worker.
const OCCUPANT: u64 = 999_999;

/// Time within which a small task must be placed while most capacity is free, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Creates a site whose queues have the target `target_ms`, with one core of every worker allocated
/// until the test ends.
fn occupied_site(target_ms: u64) -> PolicySite {
    let mut site = PolicySite::new(WORKERS, PROXIES, &[WIDE, SMALL], target_ms);
    let step = Step { max_per_worker: 1, ..model::step(WORKERS as u32, cores(1)) };
    site.submit(OCCUPANT, model::QUEUE, step);
    site.run(100);
    assert_eq!(site.started(OCCUPANT), WORKERS);
    site
}

/// Gangs fit nowhere, since a small task runs on every worker. Their queries cover all workers,
/// take long and rank first, and kept all instances busy: small tasks waited half a minute beside
/// nearly free workers without a single query.
#[test_case(60_000; "on_time")]
#[test_case(0; "late_without_worth")]
fn small_tasks_are_placed_beside_waiting_gangs(target_ms: u64) {
    let mut site = occupied_site(target_ms);
    let gang = Step { gang: true, estimate_ms: 60_000, ..model::step(10, cores(8)) };
    for number in 0..GANGS {
        site.submit(1_000 + number, WIDE.0, gang.clone());
    }
    site.run(100);
    for number in 0..JOBS {
        let step = Step { estimate_ms: 1, ..model::step(1, cores(1)) };
        site.submit(5_000 + number, SMALL.0, step);
    }
    site.run(BOUND_MS);
    assert_eq!(site.waiting(1_000..1_000 + GANGS), GANGS as usize, "no gang fits");
    assert_eq!(site.waiting(5_000..5_000 + JOBS), 0, "small tasks not placed");
}

/// A gang never fits, since a small task runs on every worker. It stayed at the head of its queue
/// and repeated queries about all workers, and the narrow gangs behind it, for which there was
/// capacity, waited as long.
#[test_case(60_000; "on_time")]
#[test_case(0; "late_without_worth")]
fn narrow_gangs_are_placed_beside_one_that_never_fits(target_ms: u64) {
    let mut site = occupied_site(target_ms);
    for number in 0..3 {
        let gang = Step { gang: true, estimate_ms: 1, ..model::step(WORKERS as u32, cores(8)) };
        site.submit(1_000 + number, WIDE.0, gang);
    }
    site.run(100);
    for number in 0..5 {
        let gang = Step { gang: true, estimate_ms: 1, ..model::step(3, cores(2)) };
        site.submit(5_000 + number, WIDE.0, gang);
    }
    site.run(2 * BOUND_MS);
    assert_eq!(site.waiting(1_000..1_003), 3, "no wide gang fits");
    assert_eq!(site.waiting(5_000..5_005), 0, "narrow gangs not placed");
}
