//! Metrics as a collector reads them.

use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use metrics_exporter_prometheus::PrometheusBuilder;
use oriolefork::store::{self, AppendOutcome, Offset, Page, Store};
use oriolefork::telemetry::measured;
use oriolefork::telemetry::{self, names};
use test_case::test_case;

#[test]
fn render_names_and_process() {
    let recorder = telemetry::start().expect("first start");
    names::LOG_APPENDS.add(3, &[("outcome", "written")]);
    names::OWNER.set(1.0, &[]);
    names::API_REQUEST.record(Duration::from_micros(700), &[]);
    recorder.upkeep();
    let text = recorder.render();
    let expected = [
        "# HELP oriolefork_log_appends_total Appends to the platform's log, by outcome.",
        "oriolefork_log_appends_total{outcome=\"written\"} 3",
        "oriolefork_owner 1",
        "oriolefork_api_request_seconds_bucket{le=\"0.0003\"} 0",
        "oriolefork_api_request_seconds_bucket{le=\"0.001\"} 1",
        "process_cpu_seconds_total ",
        "process_resident_memory_bytes ",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
    assert!(telemetry::start().is_err(), "a second start");
}

/// A log that answers every append in the same way.
struct Fixed(Result<Offset, store::Error>);

impl Store for Fixed {
    fn append<'a>(
        &'a self,
        _: &'a str,
        _: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, store::Error>> {
        ready(self.0.clone()).boxed_local()
    }

    fn read<'a>(
        &'a self,
        _: &'a str,
        _: Offset,
        _: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, store::Error>> {
        ready(Ok(Page { records: Vec::new(), oldest: 0, end: 0 })).boxed_local()
    }
}

fn failed(outcome: AppendOutcome) -> Result<Offset, store::Error> {
    let peer = ([127, 0, 0, 1], 7_300).into();
    Err(store::Error {
        operation: store::Operation::Append,
        peer,
        outcome,
        cause: "cut".to_owned(),
    })
}

#[test_case(Ok(7), "written"; "written")]
#[test_case(failed(AppendOutcome::NotWritten), "not_written"; "not_written")]
#[test_case(failed(AppendOutcome::Unknown), "unknown"; "unknown")]
fn append_measured(answer: Result<Offset, store::Error>, outcome: &str) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let store = measured::Store(Rc::new(Fixed(answer.clone())));
    let append = || store.append("s", Bytes::from_static(b"four")).now_or_never();
    let result = metrics::with_local_recorder(&recorder, append);
    assert_eq!(result, Some(answer), "the answer passes unchanged");
    let text = recorder.handle().render();
    let count = format!("oriolefork_log_appends_total{{outcome=\"{outcome}\"}} 1");
    assert!(text.contains(&count), "{text}");
    assert!(text.contains("oriolefork_log_append_bytes_total 4"), "{text}");
    assert!(text.contains("oriolefork_log_append_seconds_count 1"), "{text}");
}
