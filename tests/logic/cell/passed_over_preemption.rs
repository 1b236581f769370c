//! Steps that wait for room on workers where other tasks might be preempted and are not, beside free
//! workers.

use std::collections::BTreeSet;

use oriolefork::cell::job::Step;
use oriolefork::cell::queue::PolicyTiming;

use super::model::{self, QUEUE, cores};
use super::policy_site::PolicySite;

/// Queue of urgent steps, whose policy service takes half a second for a query.
const URGENT: (&str, PolicyTiming) =
    ("urgent", PolicyTiming { decide_ms: 410.0, per_worker_ms: 6.0, valid_ms: 1_500 });

/// Number of workers with eight cores each, four in a rack, and of instances that can send queries.
const WORKERS: usize = 12;
const INSTANCES: u16 = 9;

/// Run time of the tasks that occupy rack `r2` at first, in milliseconds.
const OCCUPIED_MS: u64 = 3_000;

/// Time within which a step starts where it could run, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// Number of the job that could run.
const JOB: u64 = 1;

/// Fills the workers of a rack with tasks of the less urgent queue.
fn fill(site: &mut PolicySite, number: u64, rack: &str, checkpoints: bool) {
    let required_label = Some(rack.to_owned());
    let step = Step { checkpoints, required_label, ..model::step(4, cores(8)) };
    site.submit(number, QUEUE, Step { estimate_ms: 600_000, ..step });
}

/// The only eligible worker that a step has been queried about runs tasks that may be preempted. They
/// are not, because more work would be lost than gained. Their room counts as room for the step, and
/// it is never queried about workers that become free.
#[test]
fn step_is_queried_about_free_workers_beside_tasks_that_are_not_preempted() {
    let mut site = PolicySite::new(WORKERS, INSTANCES, &[URGENT], 600_000);
    site.allowed = Some(BTreeSet::from([0, 11]));
    site.run_ms = Some(OCCUPIED_MS);
    fill(&mut site, 10, "r2", false);
    site.elapse(100);
    site.run_ms = None;
    site.submit(JOB, URGENT.0, model::step(1, cores(1)));
    site.elapse(100);
    fill(&mut site, 11, "r0", true);
    fill(&mut site, 12, "r1", true);
    site.elapse(OCCUPIED_MS);
    assert!(site.is_done(10), "rack r2 is free");
    site.elapse(BOUND_MS);
    assert_eq!(site.started(JOB), 1, "not started on w11, queries: {}", site.queries);
}
