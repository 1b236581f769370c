//! Order of waiting jobs: deadlines, fair shares and quotas.

use oriolefork::clock::Unix;
use oriolefork::job::Kind;
use oriolefork::placement::{Objective, PendingReason, Policy, Preset, Request};
use oriolefork::resource::Amount;

use super::{
    at, cores, decide, engine, engine_with, job_of, request, started, task_of, with_run_time,
};

fn for_team(team: &str, request: Request) -> Request {
    Request { team: team.into(), ..request }
}

fn with_deadline(seconds: u64, request: Request) -> Request {
    Request { deadline: Some(Unix::from_millis(seconds * 1_000)), ..request }
}

#[test]
fn decide_near_deadline_first() {
    let mut engine = engine(1);
    engine.enqueue(request("plain", Kind::Batch, 1, cores(4)));
    engine.enqueue(with_deadline(
        1_200,
        with_run_time(600, request("rebuild", Kind::Batch, 1, cores(4))),
    ));
    assert_eq!(started(&decide(&mut engine, 1), &["plain", "rebuild"]), ["rebuild"]);
}

#[test]
fn decide_least_slack_first() {
    let mut engine = engine(1);
    engine.enqueue(with_deadline(
        700,
        with_run_time(100, request("early", Kind::Batch, 1, cores(4))),
    ));
    engine.enqueue(with_deadline(
        1_000,
        with_run_time(900, request("tight", Kind::Batch, 1, cores(4))),
    ));
    assert_eq!(started(&decide(&mut engine, 1), &["early", "tight"]), ["tight"]);
}

// A job that can no longer meet its deadline goes after jobs that still can. If it went first, it
// would delay those past their deadlines, one after the other.
#[test]
fn decide_late_after_those_in_time() {
    let mut engine = engine(1);
    engine
        .enqueue(with_deadline(50, with_run_time(100, request("late", Kind::Batch, 1, cores(4)))));
    engine.enqueue(with_deadline(
        500,
        with_run_time(100, request("intime", Kind::Batch, 1, cores(4))),
    ));
    assert_eq!(started(&decide(&mut engine, 1), &["late", "intime"]), ["intime"]);
}

#[test]
fn decide_teams_share() {
    let mut engine = engine(2);
    engine.enqueue(for_team("shop", request("a", Kind::Batch, 8, cores(1))));
    engine.enqueue(for_team("mail", request("b", Kind::Batch, 8, cores(1))));
    let decisions = engine.decide(at(1), Unix::from_millis(1_000), 1);
    assert_eq!(started(&decisions, &["a", "b"]).len(), 1);
    engine.set_quota("shop", Some(cores(4)));
    engine.set_quota("mail", Some(cores(4)));
    let decisions = decide(&mut engine, 2);
    let keys = started(&decisions, &["a", "b"]);
    assert_eq!(keys.iter().filter(|key| **key == "b").count(), 4);
}

#[test]
fn decide_above_quota_waits_for_others() {
    let mut engine = engine(2);
    engine.set_quota("shop", Some(cores(2)));
    engine.enqueue(for_team("mail", request("big", Kind::Batch, 3, cores(4))));
    decide(&mut engine, 1);
    engine.release(task_of("big", 0));
    engine.enqueue(for_team("mail", request("huge", Kind::Batch, 2, cores(3))));
    engine.enqueue(for_team("shop", request("small", Kind::Batch, 4, cores(1))));
    decide(&mut engine, 2);
    engine.enqueue(for_team("shop", request("more", Kind::Batch, 4, cores(1))));
    decide(&mut engine, 3);
    let reason = engine.explain(job_of("more"));
    assert!(
        matches!(reason, Some(PendingReason::Quota { .. } | PendingReason::NoFreeCapacity { .. })),
        "{reason:?}"
    );
}

// A team above its quota uses idle workers while no other team waits.
#[test]
fn decide_above_quota_alone_runs() {
    let mut engine = engine(2);
    engine.set_quota("shop", Some(cores(2)));
    engine.enqueue(for_team("shop", request("a", Kind::Batch, 8, cores(1))));
    assert_eq!(started(&decide(&mut engine, 1), &["a"]).len(), 8);
}

// The mail team waits for an accelerator. The shop team is above its quota, but may use the worker
// without an accelerator, on which the mail team's tasks can never run. On the worker with the
// accelerator it gets only the one task that is within its quota.
#[test]
fn decide_above_quota_uses_workers_unfit_for_waiting() {
    let mut engine = engine(1);
    let with = Amount { accelerators: 1, ..cores(4) };
    let gpu = oriolefork::worker::Name::from("gpu");
    engine.upsert_worker(&gpu, "g", with, oriolefork::placement::SchedulingState::Open);
    engine.enqueue(for_team(
        "mail",
        request("train", Kind::Batch, 2, Amount { accelerators: 1, ..cores(1) }),
    ));
    engine.set_quota("shop", Some(cores(1)));
    engine.enqueue(for_team("shop", request("a", Kind::Batch, 8, cores(1))));
    let decisions = decide(&mut engine, 1);
    assert_eq!(started(&decisions, &["train", "a"]).len(), 1 + 1 + 4);
    let names = super::workers(&decisions);
    assert_eq!(names.iter().filter(|name| **name == "w0").count(), 4);
}

#[test]
fn decide_shortest_first_for_waiting_objective() {
    for (objective, first) in [(Objective::Waiting, "short"), (Objective::Packing, "long")] {
        let mut engine = engine_with(Policy::for_preset(Preset::Ordinary, objective), 1);
        engine.enqueue(with_run_time(500, request("long", Kind::Batch, 1, cores(4))));
        let short = with_run_time(5, request("short", Kind::Batch, 1, cores(4)));
        engine.enqueue(Request { queued: at(1), ..short });
        assert_eq!(started(&decide(&mut engine, 2), &["long", "short"]), [first]);
    }
}

// Short jobs keep arriving while the shortest job goes first. A long job would starve, if it did
// not go first once it has waited for the aging threshold.
#[test]
fn decide_aged_goes_first() {
    let mut engine = engine_with(Policy::for_preset(Preset::Ordinary, Objective::Waiting), 1);
    engine.enqueue(with_run_time(500, request("long", Kind::Batch, 1, cores(4))));
    let threshold = aging_threshold_seconds();
    let short = with_run_time(5, request("short", Kind::Batch, 1, cores(4)));
    engine.enqueue(Request { queued: at(threshold), ..short });
    assert_eq!(started(&decide(&mut engine, threshold + 1), &["long", "short"]), ["long"]);
}

fn aging_threshold_seconds() -> u64 {
    Policy::for_preset(Preset::Ordinary, Objective::Waiting).aging_threshold.as_secs()
}
