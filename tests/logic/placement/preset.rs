//! What presets change.

use oriolefork::clock::Unix;
use oriolefork::job::Kind;
use oriolefork::placement::{Objective, PendingReason, Policy, Preset, Request, SchedulingState};

use super::{
    cores, decide, engine_with, job_of, lasting, request, set_worker, started, urgent, workers,
};

fn preset(preset: Preset) -> Policy {
    Policy::for_preset(preset, Objective::Packing)
}

#[test]
fn decide_peak_holds_plain_batch() {
    let mut engine = engine_with(preset(Preset::Peak), 2);
    engine.enqueue(request("web", Kind::LongRunning, 7, cores(1)));
    decide(&mut engine, 1);
    engine.enqueue(request("resize", Kind::Batch, 1, cores(1)));
    assert!(decide(&mut engine, 2).is_empty());
    assert_eq!(
        engine.explain(job_of("resize")),
        Some(PendingReason::HeldByPreset { preset: Preset::Peak })
    );
    engine.set_policy(preset(Preset::Ordinary));
    assert_eq!(started(&decide(&mut engine, 3), &["resize"]), ["resize"]);
}

#[test]
fn decide_peak_lets_pressing_batch_run() {
    let mut engine = engine_with(preset(Preset::Peak), 2);
    engine.enqueue(request("web", Kind::LongRunning, 6, cores(1)));
    decide(&mut engine, 1);
    let rebuild = lasting(60, request("rebuild", Kind::Batch, 1, cores(1)));
    engine.enqueue(Request { deadline: Some(Unix::from_millis(300_000)), ..rebuild });
    assert_eq!(started(&decide(&mut engine, 2), &["rebuild"]), ["rebuild"]);
}

#[test]
fn decide_peak_keeps_headroom_for_urgent() {
    let mut engine = engine_with(preset(Preset::Peak), 1);
    engine.enqueue(request("resize", Kind::Batch, 8, cores(1)));
    assert_eq!(started(&decide(&mut engine, 1), &["resize"]).len(), 3);
    engine.enqueue(urgent(request("renewal", Kind::Batch, 1, cores(1))));
    assert_eq!(started(&decide(&mut engine, 2), &["renewal"]), ["renewal"]);
}

// One worker of rack r0 drains for service; the other is likely to be next. Work that would
// outlast the horizon goes to the other rack, short work may still use the worker.
#[test]
fn decide_maintenance_avoids_serviced_rack() {
    let mut engine = engine_with(preset(Preset::Maintenance), 4);
    set_worker(&mut engine, 0, SchedulingState::Draining);
    engine.enqueue(request("web", Kind::LongRunning, 2, cores(1)));
    let decisions = decide(&mut engine, 1);
    assert!(workers(&decisions).iter().all(|name| matches!(*name, "w2" | "w3")));
    engine.enqueue(lasting(60, request("short", Kind::Batch, 1, cores(4))));
    assert_eq!(workers(&decide(&mut engine, 2)), ["w1"]);
}

#[test]
fn decide_ordinary_uses_rest_of_draining_rack() {
    let mut engine = engine_with(preset(Preset::Ordinary), 4);
    set_worker(&mut engine, 0, SchedulingState::Draining);
    engine.enqueue(request("web", Kind::LongRunning, 2, cores(1)));
    let decisions = decide(&mut engine, 1);
    assert!(workers(&decisions).contains(&"w1"));
}
