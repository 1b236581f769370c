//! Steps that could start within their customer's cap, and are passed over because of it.

use oriolefork::cell::features::Features;
use oriolefork::cell::job::Step;
use oriolefork::cell::queue::PolicyTiming;
use oriolefork::cell::timings::Timings;
use oriolefork::resource::Limit;

use super::model::{self, QUEUE, cores};
use super::policy_site::PolicySite;

/// Queue whose policy service takes 0.1 s for a query.
const LIMITED: (&str, PolicyTiming) =
    ("limited", PolicyTiming { decide_ms: 100.0, per_worker_ms: 1.0, valid_ms: 1_500 });

/// Number of workers with eight cores each, and of instances that can send queries.
const WORKERS: usize = 12;
const INSTANCES: u16 = 4;

/// The customer, and the cores that its cap admits.
const CUSTOMER: &str = "museum";
const CAP: u64 = 12;

/// Age of a gang's job from which it gets a turn at the cap, and a margin, in milliseconds.
const TURN_BEGUN_MS: u64 = 5_200;

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// A site whose customer uses `used` cores of its cap in tasks that do not end.
fn site(used: u32) -> PolicySite {
    let features = Features { fair_shares: true, ..Features::default() };
    let timings = Timings { features, ..Timings::default() };
    let mut site = PolicySite::with_timings(timings, WORKERS, INSTANCES, &[LIMITED], 1_000);
    site.add_customer(CUSTOMER, Limit { cpu_millis: Some(CAP * 1_000), ..Limit::UNLIMITED });
    let lasting = Step { long_running: true, ..model::step(used, cores(1)) };
    site.submit_as(CUSTOMER, 1, QUEUE, lasting);
    site.elapse(500);
    assert_eq!(site.started(1), used as usize);
    site
}

/// The cap admits two of a wide step's tasks, less than is worth a query, for as long as the
/// customer's other tasks run.
#[test]
fn wide_step_of_which_the_cap_admits_few_tasks_starts() {
    let mut site = site(10);
    site.submit_as(CUSTOMER, 2, LIMITED.0, model::step(40, cores(1)));
    site.elapse(BOUND_MS);
    assert!(site.started(2) > 0, "not started, queries: {}", site.queries);
}

/// The first step in rank claims the rest of the cap and waits for a worker that does not exist. The
/// steps behind it never start.
#[test]
fn step_starts_behind_one_that_claims_the_cap_and_waits_for_a_worker() {
    let mut site = site(10);
    let nowhere = Some("nowhere".to_owned());
    let first = Step { required_label: nowhere, long_running: true, ..model::step(2, cores(1)) };
    site.submit_as(CUSTOMER, 2, QUEUE, first);
    site.elapse(100);
    site.submit_as(CUSTOMER, 3, QUEUE, model::step(1, cores(1)));
    site.elapse(BOUND_MS);
    assert_eq!((site.started(2), site.started(3)), (0, 1));
}

/// A gang has the turn at the cap, which never has room for it because the attempts in the cap do
/// not end. The customer's other steps, for which there is room, wait as long as the gang.
#[test]
fn step_starts_beside_the_turn_of_a_gang_that_never_fits_into_the_cap() {
    let mut site = site(10);
    let gang = Step { gang: true, long_running: true, ..model::step(6, cores(1)) };
    site.submit_as(CUSTOMER, 2, QUEUE, gang);
    site.elapse(TURN_BEGUN_MS);
    site.submit_as(CUSTOMER, 3, QUEUE, model::step(1, cores(1)));
    site.elapse(BOUND_MS);
    assert_eq!((site.started(2), site.started(3)), (0, 1));
}
