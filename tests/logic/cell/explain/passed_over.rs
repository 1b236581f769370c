//! The log, the metrics and the report of a job name the rule that passes over its step.

use std::collections::BTreeSet;

use oriolefork::cell::job::Step;
use oriolefork::cell::queue::PolicyTiming;

use super::super::harness::OwnerHarness;
use super::super::model::{self, cores, job, step};
use super::super::policy_site::PolicySite;
use super::{caller, job_report, owner_with_customer, submit};

/// Queue whose policy service takes half a second for a query about 24 workers.
const LIMITED: (&str, PolicyTiming) =
    ("limited", PolicyTiming { decide_ms: 410.0, per_worker_ms: 6.0, valid_ms: 1_500 });

/// Longest time until the step is passed over, in milliseconds.
const LIMIT_MS: u64 = 5_000;

/// A site with a step of 20 tasks that two of 24 workers may run, at the moment at which it is
/// passed over because they hold too few of its tasks for a query.
fn not_worthwhile() -> PolicySite {
    let mut site = PolicySite::new(24, 9, &[LIMITED], 1_000);
    site.allowed = Some(BTreeSet::from([0, 1]));
    site.run_ms = Some(800);
    site.submit(7, LIMITED.0, step(20, cores(8)));
    site.run(100);
    let is_reported = |site: &PolicySite| {
        let waits = job_report(&site.harness, 7).waits;
        waits.iter().any(|wait| wait.reason == "query_not_worthwhile")
    };
    while !is_reported(&site) {
        site.run(10);
        assert!(site.harness.now < LIMIT_MS, "{:?}", job_report(&site.harness, 7));
    }
    site
}

/// The report said that the tickets of the step had expired, and no line or metric told that they
/// were not renewed, and why.
#[test]
fn query_not_worthwhile_is_reported() {
    let site = not_worthwhile();
    let report = job_report(&site.harness, 7);
    let wait = &report.waits[0];
    assert!(wait.cause.contains("room for 2, 4.5 wanted"), "{report:?}");
    assert!(wait.cause.contains("0 of them with a valid ticket"), "{report:?}");
    assert!(report.summary.contains("query_not_worthwhile"), "{report:?}");
    let [deferral] = &wait.passed_over[..] else { panic!("{report:?}") };
    assert_eq!((&*deferral.rule, deferral.overdue), ("query_not_worthwhile", false));
    assert_eq!((deferral.room, deferral.wanted), (Some(2.0), 4.5));
    assert!(deferral.since_ms < 1_000, "{report:?}");
}

/// A step that was passed over wrote no line for as long as its owner lived.
#[test]
fn log_lines_name_rule() {
    let lines = not_worthwhile().harness.machine.passed_over_lines();
    let step = format!("{}.0.0", model::id(7));
    let expected = [
        "event=steps.passed_over steps=1 longest_ms=0 query_not_worthwhile=1 expected_room=0 \
         no_instance=0 gang_budget=0 reservation=0 locality=0 isolation=0 cap_not_worthwhile=0 cap_claim=0 cap_turn=0"
            .to_owned(),
        format!(
            "event=step.passed_over step={step} rule=query_not_worthwhile waited_ms=0 room=2 \
             wanted=4.5 eligible=2 tickets=0 tasks=18 class=on_time"
        ),
    ];
    assert_eq!(lines, expected);
}

/// Guards against steps that no alert can find, and against series that grow with their number.
#[test]
fn metrics_count_by_rule() {
    let metrics = not_worthwhile().harness.machine.metrics();
    let prefix = "oriolefork_cell_passed_over_";
    let series: Vec<&str> = metrics.lines().filter(|line| line.starts_with(prefix)).collect();
    assert_eq!(series.len(), 11, "one for each rule, and the longest time: {series:?}");
    assert_eq!(series[0], format!("{prefix}steps{{rule=\"query_not_worthwhile\"}} 1"));
    assert!(series[1..].iter().all(|line| line.ends_with(" 0")), "{series:?}");
}

/// Lines that grow with the number of steps would fill the log when it is needed most.
#[test]
fn log_lines_are_bounded() {
    let mut harness = owner_with_claim();
    assert_eq!(harness.machine.passed_over_lines(), [""; 0]);
    for number in 10..22 {
        submit(&mut harness, number, job(number, step(1, cores(1))), caller());
    }
    let lines = harness.machine.passed_over_lines();
    assert!(lines[0].starts_with("event=steps.passed_over steps=12 "), "{lines:?}");
    assert_eq!(lines.len(), 9, "{lines:?}");
    assert!(lines[1].contains(&format!("step={}.0.0 ", model::id(10))), "the oldest: {lines:?}");
}

/// An owner whose customer uses three of the four cores of its cap, and has a step that waits for a
/// label that no worker has.
fn owner_with_claim() -> OwnerHarness {
    let mut harness = owner_with_customer(2);
    submit(&mut harness, 1, job(1, step(3, cores(1))), caller());
    let labelled = Step { required_label: Some("tape".to_owned()), ..step(1, cores(1)) };
    submit(&mut harness, 2, job(2, labelled), caller());
    harness
}

/// A step ranks behind one that claims what the cap leaves and waits for something else: the report
/// must not only say that the customer's cap is reached.
#[test]
fn cap_claim_is_reported() {
    let mut harness = owner_with_claim();
    submit(&mut harness, 7, job(7, step(1, cores(1))), caller());
    let report = job_report(&harness, 7);
    let wait = &report.waits[0];
    assert_eq!((&*wait.reason, &*wait.passed_over[0].rule), ("cap_claim", "cap_claim"));
    assert_eq!((wait.passed_over[0].room, wait.passed_over[0].wanted), (Some(1.0), 1.0));
    assert!(wait.cause.contains("claim what the customer's cap leaves"), "{report:?}");
}
