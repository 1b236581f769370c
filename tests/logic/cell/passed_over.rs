//! Steps that could run and have nothing running, because a rule that saves work passes over them.

use std::collections::BTreeSet;

use oriolefork::cell::queue::PolicyTiming;
use test_case::test_case;

use super::model::{self, cores};
use super::policy_site::PolicySite;

/// Queue whose policy service takes half a second for a query about 24 workers.
const LIMITED: (&str, PolicyTiming) =
    ("limited", PolicyTiming { decide_ms: 410.0, per_worker_ms: 6.0, valid_ms: 1_500 });

/// Number of workers with eight cores each, and of instances that can send queries.
const WORKERS: usize = 24;
const INSTANCES: u16 = 9;

/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 800;

/// Longest time for which a step with eligible free workers may have nothing running, in
/// milliseconds.
const BOUND_MS: u64 = 3_000;

/// A wide step whose eligible workers hold only a few of its tasks at a time runs a few tasks, and
/// then stands still beside these workers for as long as its owner lives.
#[test_case(20, 2; "two_of_twenty")]
#[test_case(40, 4; "four_of_forty")]
#[test_case(100, 7; "seven_of_hundred")]
fn wide_step_runs_on_few_eligible_workers(tasks: u32, eligible: usize) {
    let mut site = PolicySite::new(WORKERS, INSTANCES, &[LIMITED], 1_000);
    site.allowed = Some((0..eligible).collect::<BTreeSet<usize>>());
    site.run_ms = Some(RUN_MS);
    site.submit(1, LIMITED.0, model::step(tasks, cores(8)));
    let rounds = u64::from(tasks).div_ceil(eligible as u64);
    let mut last = (0, 0);
    while !site.is_done(1) && site.harness.now < rounds * BOUND_MS {
        site.run(100);
        let started = site.started(1);
        if started > last.0 {
            last = (started, site.harness.now);
        }
        let idle_ms = site.harness.now - last.1;
        assert!(
            idle_ms <= BOUND_MS + RUN_MS,
            "{started} of {tasks} started, none for {idle_ms} ms"
        );
    }
    assert!(site.is_done(1), "{} of {tasks} started", site.started(1));
}
