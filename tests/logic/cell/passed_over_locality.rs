//! Steps that could run away from their data, or in several racks, and wait for a place near it.

use oriolefork::cell::job::Step;
use test_case::test_case;

use super::model::{self, QUEUE, cores};
use super::policy_site::PolicySite;

/// Number of workers with eight cores each, four in a rack.
const WORKERS: usize = 12;

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// A rack in which nothing ends keeps a step with its data there from starting, for as long as the
/// step can be on time: without end if it is long-running.
#[test_case(Step { long_running: true, ..model::step(1, cores(1)) }; "long_running")]
#[test_case(Step { estimate_ms: 60_000, ..model::step(1, cores(1)) }; "distant_deadline")]
fn step_starts_away_from_the_full_rack_of_its_data(step: Step) {
    let mut site = PolicySite::new(WORKERS, 0, &[], 1_000);
    let label = Some("r1".to_owned());
    site.submit(1, QUEUE, Step { required_label: label, ..model::step(4, cores(8)) });
    site.elapse(100);
    assert_eq!(site.started(1), 4, "the rack is full");
    site.submit(2, QUEUE, Step { data_rack: Some("r1".to_owned()), ..step });
    site.elapse(BOUND_MS);
    assert_eq!(site.started(2), 1, "not started beside eight free workers");
}

/// No rack is large enough for a gang that runs best in one: it does not start as long as it can be
/// on time, without end if it is long-running.
#[test_case(Step { long_running: true, ..model::step(6, cores(8)) }; "long_running")]
#[test_case(Step { estimate_ms: 60_000, ..model::step(6, cores(8)) }; "distant_deadline")]
fn gang_wider_than_a_rack_starts_in_several(step: Step) {
    let mut site = PolicySite::new(WORKERS, 0, &[], 1_000);
    site.submit(1, QUEUE, Step { gang: true, same_rack: true, ..step });
    site.elapse(BOUND_MS);
    assert_eq!(site.started(1), 6, "not started beside twelve free workers");
}
