//! Order among waiting jobs: deadlines, shares and quotas.

use oriolefork::clock::Unix;
use oriolefork::job::Kind;
use oriolefork::placement::{Objective, PendingReason, Policy, Preset, Request};
use oriolefork::resource::Amount;

use super::{at, cores, decide, engine, engine_with, job_of, lasting, request, started, task_of};

fn of(team: &str, request: Request) -> Request {
    Request { team: team.into(), ..request }
}

fn due(seconds: u64, request: Request) -> Request {
    Request { deadline: Some(Unix::from_millis(seconds * 1_000)), ..request }
}

#[test]
fn decide_pressing_deadline_first() {
    let mut engine = engine(1);
    engine.enqueue(request("plain", Kind::Batch, 1, cores(4)));
    engine.enqueue(due(1_200, lasting(600, request("rebuild", Kind::Batch, 1, cores(4)))));
    assert_eq!(started(&decide(&mut engine, 1), &["plain", "rebuild"]), ["rebuild"]);
}

#[test]
fn decide_least_slack_first() {
    let mut engine = engine(1);
    engine.enqueue(due(700, lasting(100, request("early", Kind::Batch, 1, cores(4)))));
    engine.enqueue(due(1_000, lasting(900, request("tight", Kind::Batch, 1, cores(4)))));
    assert_eq!(started(&decide(&mut engine, 1), &["early", "tight"]), ["tight"]);
}

// One rebuild can no longer meet its deadline. Were it to go first, it would drag others past
// theirs one after the other; it goes after those that can still make it.
#[test]
fn decide_late_after_those_in_time() {
    let mut engine = engine(1);
    engine.enqueue(due(50, lasting(100, request("late", Kind::Batch, 1, cores(4)))));
    engine.enqueue(due(500, lasting(100, request("intime", Kind::Batch, 1, cores(4)))));
    assert_eq!(started(&decide(&mut engine, 1), &["late", "intime"]), ["intime"]);
}

#[test]
fn decide_teams_share() {
    let mut engine = engine(2);
    engine.enqueue(of("shop", request("a", Kind::Batch, 8, cores(1))));
    engine.enqueue(of("mail", request("b", Kind::Batch, 8, cores(1))));
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
    engine.enqueue(of("mail", request("big", Kind::Batch, 3, cores(4))));
    decide(&mut engine, 1);
    engine.release(task_of("big", 0));
    engine.enqueue(of("mail", request("huge", Kind::Batch, 2, cores(3))));
    engine.enqueue(of("shop", request("small", Kind::Batch, 4, cores(1))));
    decide(&mut engine, 2);
    engine.enqueue(of("shop", request("more", Kind::Batch, 4, cores(1))));
    decide(&mut engine, 3);
    let reason = engine.explain(job_of("more"));
    assert!(
        matches!(reason, Some(PendingReason::Quota { .. } | PendingReason::NoRoom { .. })),
        "{reason:?}"
    );
}

// The team is at its quota and nobody else waits: idle room would help no one, so it is used.
#[test]
fn decide_above_quota_alone_runs() {
    let mut engine = engine(2);
    engine.set_quota("shop", Some(cores(2)));
    engine.enqueue(of("shop", request("a", Kind::Batch, 8, cores(1))));
    assert_eq!(started(&decide(&mut engine, 1), &["a"]).len(), 8);
}

// The mail team waits for an accelerator. Workers without one could never serve it, so they stay
// open to the shop team, although that is above its quota; only the one task within its quota may
// use the worker that has one.
#[test]
fn decide_above_quota_uses_what_waiters_cannot() {
    let mut engine = engine(1);
    let with = Amount { accelerators: 1, ..cores(4) };
    let gpu = oriolefork::worker::Name::from("gpu");
    engine.upsert_worker(&gpu, "g", with, oriolefork::placement::SchedulingState::Open);
    engine.enqueue(of(
        "mail",
        request("train", Kind::Batch, 2, Amount { accelerators: 1, ..cores(1) }),
    ));
    engine.set_quota("shop", Some(cores(1)));
    engine.enqueue(of("shop", request("a", Kind::Batch, 8, cores(1))));
    let decisions = decide(&mut engine, 1);
    assert_eq!(started(&decisions, &["train", "a"]).len(), 1 + 1 + 4);
    let names = super::workers(&decisions);
    assert_eq!(names.iter().filter(|name| **name == "w0").count(), 4);
}

#[test]
fn decide_shortest_first_where_waiting_weighs_more() {
    for (objective, first) in [(Objective::Waiting, "short"), (Objective::Packing, "long")] {
        let mut engine = engine_with(Policy::for_preset(Preset::Ordinary, objective), 1);
        engine.enqueue(lasting(500, request("long", Kind::Batch, 1, cores(4))));
        let short = lasting(5, request("short", Kind::Batch, 1, cores(4)));
        engine.enqueue(Request { queued: at(1), ..short });
        assert_eq!(started(&decide(&mut engine, 2), &["long", "short"]), [first]);
    }
}

// Short work arrives without end where the shortest goes first: the long job would never run,
// were it not put first once it has waited for the bound.
#[test]
fn decide_aged_goes_first() {
    let mut engine = engine_with(Policy::for_preset(Preset::Ordinary, Objective::Waiting), 1);
    engine.enqueue(lasting(500, request("long", Kind::Batch, 1, cores(4))));
    let bound = engine_bound();
    let short = lasting(5, request("short", Kind::Batch, 1, cores(4)));
    engine.enqueue(Request { queued: at(bound), ..short });
    assert_eq!(started(&decide(&mut engine, bound + 1), &["long", "short"]), ["long"]);
}

fn engine_bound() -> u64 {
    Policy::for_preset(Preset::Ordinary, Objective::Waiting).aging_threshold.as_secs()
}
