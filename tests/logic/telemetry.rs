//! Metrics as a collector reads them.

use std::time::Duration;

use oriolefork::telemetry::{self, names};

#[test]
fn render_names_and_process() {
    let recorder = telemetry::start().expect("first start");
    names::LOG_APPENDS.add(3, &[("outcome", "written")]);
    names::OWNER.set(1.0, &[]);
    names::DECISION.record(Duration::from_micros(700), &[]);
    recorder.upkeep();
    let text = recorder.render();
    let expected = [
        "# HELP oriolefork_log_appends_total Appends to the platform's log, by outcome.",
        "oriolefork_log_appends_total{outcome=\"written\"} 3",
        "oriolefork_owner 1",
        "oriolefork_decision_seconds_bucket{le=\"0.0003\"} 0",
        "oriolefork_decision_seconds_bucket{le=\"0.001\"} 1",
        "process_cpu_seconds_total ",
        "process_resident_memory_bytes ",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
    assert!(telemetry::start().is_err(), "a second start");
}
