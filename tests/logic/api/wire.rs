//! Tests of the JSON form: refused values with the reported field, and round trips.

use oriolefork::api::wire::{self, check};
use oriolefork::api::{ExecutionStatus, Reason, Refusal};
use oriolefork::{clock, job};
use proptest::prelude::*;
use serde_json::{Value, json};
use test_case::test_case;

fn valid_spec() -> Value {
    json!({
        "name": "nightly-backup",
        "team": "council",
        "kind": "batch",
        "tasks": 3,
        "demand": {"cpu-millis": 500, "memory-mib": 256},
        "run-time-ms": 60_000,
        "payload": "x"
    })
}

fn read(value: &Value) -> Result<job::Spec, Refusal> {
    wire::parse::<wire::job::Spec>(value.to_string().as_bytes())?.try_into()
}

#[test]
fn spec_defaults() {
    let mut value = valid_spec();
    value.as_object_mut().unwrap().remove("tasks");
    let spec = read(&value).unwrap();
    assert_eq!((spec.tasks, spec.effect), (1, job::Effect::Idempotent));
    assert_eq!(spec.urgency, job::Urgency::Normal);
}

#[test_case("/name", &json!(""), "name" ; "empty_name")]
#[test_case("/name", &json!("a\nevent=forged"), "name" ; "line_break")]
#[test_case("/name", &json!("\u{1b}[2J"), "name" ; "escape")]
#[test_case("/name", &json!("-rf"), "name" ; "leading_dash")]
#[test_case("/team", &json!("a".repeat(65)), "team" ; "long_team")]
#[test_case("/team", &json!("caf\u{e9}"), "team" ; "not_ascii")]
#[test_case("/kind", &json!("daemon"), "kind" ; "unknown_kind")]
#[test_case("/tasks", &json!(0), "tasks" ; "no_tasks")]
#[test_case("/tasks", &json!(-1), "tasks" ; "negative_tasks")]
#[test_case("/tasks", &json!(10_001), "tasks" ; "many_tasks")]
#[test_case("/tasks", &json!(1.5), "tasks" ; "half_task")]
#[test_case("/demand/cpu-millis", &json!(-500), "demand.cpu-millis" ; "negative_cpu")]
#[test_case("/demand/cpu-millis", &json!(0), "demand.cpu-millis" ; "no_cpu")]
#[test_case("/demand/cpu-millis", &json!(1e300), "demand.cpu-millis" ; "absurd_cpu")]
#[test_case("/demand/memory-mib", &json!(u64::MAX), "demand.memory-mib" ; "absurd_memory")]
#[test_case("/demand/memory-mib", &json!("256"), "demand.memory-mib" ; "memory_as_text")]
#[test_case("/demand", &json!({"cpu-millis": 1}), "demand.memory-mib" ; "missing_memory")]
#[test_case("/demand", &json!({"cpu-millis": 1, "memory-mib": 1, "gpus": 1}), "demand.gpus" ; "unknown_inner")]
#[test_case("/run-time-ms", &json!(0), "run-time-ms" ; "no_run_time")]
#[test_case("/run-time-ms", &json!(u64::MAX), "run-time-ms" ; "absurd_run_time")]
#[test_case("/payload", &json!("x".repeat(16 * 1024 + 1)), "payload" ; "large_payload")]
fn spec_refused(pointer: &str, value: &Value, field: &str) {
    let mut spec = valid_spec();
    *spec.pointer_mut(pointer).unwrap() = value.clone();
    let refusal = read(&spec).unwrap_err();
    assert_eq!(refusal.field.as_deref(), Some(field), "{refusal}");
    assert_eq!((refusal.ran, refusal.reason), (ExecutionStatus::NotRun, Reason::Invalid));
}

#[test_case(br#"{"name":"a","name":"b"}"#, "name" ; "repeated")]
#[test_case(br#"{"nmae":"a"}"#, "nmae" ; "unknown")]
#[test_case(br#"{}"#, "name" ; "missing")]
#[test_case(br#"[1]"#, "body" ; "array")]
#[test_case(br#"{"payload":"\"[","demand":[1,1,0]}"#, "body" ; "inner_array")]
#[test_case(br#"{"payload":"\"[","name":1}"#, "name" ; "bracket_in_text")]
#[test_case(b"7", "body" ; "number")]
#[test_case(b"", "body" ; "empty")]
#[test_case(b"\xff\xfe", "body" ; "not_text")]
fn parse_refused(body: &[u8], field: &str) {
    let refusal = wire::parse::<wire::job::Spec>(body).unwrap_err();
    assert_eq!(refusal.field.as_deref(), Some(field), "{refusal}");
}

#[test]
fn parse_trailing_bytes() {
    let body = format!("{}{}", valid_spec(), valid_spec());
    assert!(wire::parse::<wire::job::Spec>(body.as_bytes()).is_err());
}

#[test]
fn parse_deep_nesting() {
    let body = "[".repeat(1_000_000);
    assert!(wire::parse::<wire::job::Spec>(body.as_bytes()).is_err());
}

#[test_case("deadline-unix-ms", &json!(5) ; "deadline")]
#[test_case("effect", &json!("at-most-once") ; "effect")]
fn long_running_contradiction(field: &str, value: &Value) {
    let mut spec = valid_spec();
    spec["kind"] = json!("long-running");
    spec[field] = value.clone();
    assert_eq!(read(&spec).unwrap_err().field.as_deref(), Some(field));
}

#[test_case(999, false ; "past")]
#[test_case(1_000, false ; "now")]
#[test_case(1_001, true ; "ahead")]
#[test_case(u64::MAX, false ; "absurd")]
fn deadline_checked(deadline: u64, expected: bool) {
    let at = clock::Unix::from_millis;
    assert_eq!(check::deadline("d", at(deadline), at(1_000)).is_ok(), expected);
}

#[test]
fn quota_limit_required() {
    let refusal = wire::parse::<wire::quota::Change>(br#"{"based-on":1,"by":"ana"}"#).unwrap_err();
    assert_eq!(refusal.field.as_deref(), Some("limit"));
}

prop_compose! {
    fn specs()(
        name in "[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}",
        team in "[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}",
        kind in prop_oneof![Just(job::Kind::Batch), Just(job::Kind::Gang)],
        tasks in 1..=check::MAX_TASKS,
        cpu_millis in 1..=check::MAX_CPU_MILLIS,
        memory_mib in 1..=check::MAX_MEMORY_MIB,
        accelerators in 0..=check::MAX_ACCELERATORS,
        effect in prop_oneof![Just(job::Effect::Idempotent), Just(job::Effect::AtMostOnce)],
        urgency in prop_oneof![Just(job::Urgency::Normal), Just(job::Urgency::Urgent)],
        run_time_ms in proptest::option::of(1..1_000_000_u64),
        deadline_unix_ms in proptest::option::of(any::<u64>()),
        payload in ".{0,64}",
    ) -> wire::job::Spec {
        let demand = wire::Amount { cpu_millis, memory_mib, accelerators };
        wire::job::Spec {
            name, team, kind, tasks, demand, effect, urgency, run_time_ms, deadline_unix_ms, payload,
        }
    }
}

proptest! {
    #[test]
    fn parse_any_bytes(body in proptest::collection::vec(any::<u8>(), 0..256)) {
        if let Err(refusal) = wire::parse::<wire::job::Spec>(&body) {
            prop_assert!(refusal.field.is_some());
        }
    }

    #[test]
    fn spec_round_trip(wire in specs()) {
        let body = serde_json::to_vec(&wire).unwrap();
        let spec = job::Spec::try_from(wire::parse::<wire::job::Spec>(&body)?)?;
        prop_assert_eq!(wire::job::Spec::from(spec), wire);
    }

    #[test]
    fn refusal_round_trip(
        message in ".*",
        field in proptest::option::of(".*"),
        wait in proptest::option::of(0..1_000_000_u64),
    ) {
        let retry_after = wait.map(std::time::Duration::from_millis);
        let refusal = Refusal { field, retry_after, ..Refusal::unknown(Reason::Deadline, message) };
        let body = serde_json::to_vec(&wire::Refusal::from(refusal.clone())).unwrap();
        let read: wire::Refusal = wire::parse(&body)?;
        prop_assert_eq!(Refusal::from(read), refusal);
    }
}
