//! Placement of tasks on workers.

use std::collections::BTreeSet;

use oriolefork::cell::job::{RunOutcome, Step};
use oriolefork::cell::machine::{Call, Message};

use super::harness::OwnerHarness;
use super::model::{self, cores};

/// One member of a gang fails. The others would hold their resources while they wait for it.
#[test]
fn gang_stops_when_a_member_fails() {
    let mut harness = OwnerHarness::new(3);
    let gang = Step { gang: true, ..model::step(3, cores(6)) };
    let starts = harness.start_job(1, gang);
    assert_eq!(starts.len(), 3);
    let numbers: BTreeSet<u32> = starts.iter().map(|(_, start)| start.run.number).collect();
    assert_eq!(numbers.len(), 1, "members share a run number");
    harness.report(starts[0].0, &[], &[(1, starts[0].1.run, RunOutcome::Failed)]);
    harness.advance(5);
    assert_eq!(harness.drain_stops().len(), 2);
}

#[test]
fn gang_waits_until_all_members_fit() {
    let mut harness = OwnerHarness::new(2);
    let gang = Step { gang: true, ..model::step(3, cores(6)) };
    assert!(harness.start_job(1, gang).is_empty());
}

#[test]
fn capacity_is_never_exceeded() {
    let mut harness = OwnerHarness::new(1);
    let starts = harness.start_job(1, model::step(5, cores(3)));
    assert_eq!(starts.len(), 2, "8 cores hold two tasks of 3");
}

#[test]
fn draining_worker_gets_no_tasks() {
    let mut harness = OwnerHarness::new(1);
    let mut roster = model::roster(1, cores(8));
    let mut listed = (*roster.changed[0].1).clone();
    listed.draining = true;
    roster.changed[0].1 = listed.into();
    harness.deliver(Message::WorkersChanged(roster));
    assert!(harness.start_job(1, model::step(1, cores(1))).is_empty());
}

/// An opportunistic task of a nightly job uses the idle CPU of a worker that serves a mailbox, and
/// the mailbox's users wait. The two kinds of tasks never share a worker, whichever starts first.
#[test]
fn opportunistic_task_never_shares_a_worker_with_a_latency_sensitive_one() {
    let mut harness = OwnerHarness::new(2);
    let serving =
        Step { long_running: true, latency_target_ms: Some(50), ..model::step(1, cores(1)) };
    let opportunistic = Step { opportunistic: true, ..model::step(1, cores(4)) };
    let first = harness.start_job(1, serving.clone());
    let second = harness.start_job(2, opportunistic);
    assert_ne!(first[0].0, second[0].0);
    let third = harness.start_job(3, serving);
    assert_eq!(third[0].0, first[0].0, "not with the opportunistic task");
}

/// After an outage most open jobs are so late that they are worth nothing, and placement prefers
/// jobs that still are. Their callers still wait for the work to be done.
#[test]
fn late_job_without_worth_is_still_placed() {
    let mut harness = OwnerHarness::new(1);
    let long = harness.start_job(1, model::step(1, cores(8)));
    harness.call(2, Call::Submit(model::job(2, model::step(1, cores(8)))));
    harness.complete_appends();
    for _ in 0..60 {
        harness.advance(1_000);
        harness.report(0, &[long[0].1.run], &[]);
    }
    assert!(harness.drain_starts().is_empty(), "the first job still runs");
    harness.report(0, &[], &[(1, long[0].1.run, RunOutcome::Succeeded)]);
    for _ in 0..20 {
        harness.advance(20);
        harness.complete_appends();
    }
    assert_eq!(harness.drain_starts().len(), 1);
}
