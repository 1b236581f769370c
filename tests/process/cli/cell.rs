//! The command against an instance of a cell.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, ready};
use http::StatusCode;
use oriolefork::cell::explain::{
    Customer, CustomersReport, Deferral, JobReport, Wait, Worker, WorkersReport,
};
use oriolefork::http::{Handler, Request, Response};
use test_case::test_case;

use super::entry::Entry;
use super::{code, json, killed, run, stderr, stdout};

const WAITING: &str = "5c0e7a21d94b36F8";
const UNKNOWN: &str = "00000000000000ff";
const NO_OWNER: &str = "00000000000000aa";

/// An instance with canned answers; one of its names holds a control character.
struct Instance;

impl Handler for Instance {
    fn handle(&self, _: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        let (status, body) = match request.uri().path() {
            "/explain/5c0e7a21d94b36F8" => (StatusCode::OK, serde_json::to_vec(&job()).unwrap()),
            "/customers" => (StatusCode::OK, serde_json::to_vec(&customers()).unwrap()),
            "/workers" => (StatusCode::OK, serde_json::to_vec(&workers()).unwrap()),
            "/explain/00000000000000aa" => {
                (StatusCode::SERVICE_UNAVAILABLE, b"{\"error\":\"no owner is known\"}".to_vec())
            }
            _ => (StatusCode::NOT_FOUND, b"{\"error\":\"not known\"}".to_vec()),
        };
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = status;
        ready(response).boxed_local()
    }
}

fn job() -> JobReport {
    let wait = Wait {
        step: "0.1".to_owned(),
        tasks: 3,
        reason: "cap".to_owned(),
        earliest_start_ms: Some(1_200),
        passed_over: vec![Deferral {
            rule: "reservation".to_owned(),
            since_ms: 840,
            room: Some(2.0),
            wanted: 1.0,
            overdue: true,
        }],
        ..Wait::default()
    };
    JobReport {
        job: WAITING.to_owned(),
        state: "pending".to_owned(),
        summary: "step 0.1 waits (cap)".to_owned(),
        customer: Some("mu\u{1b}seum".to_owned()),
        waits: vec![wait],
        ..JobReport::default()
    }
}

fn customers() -> CustomersReport {
    let museum = Customer { name: "museum".to_owned(), cap_used: Some(0.5), ..Customer::default() };
    CustomersReport { customers: vec![museum], configured: true, ..CustomersReport::default() }
}

fn workers() -> WorkersReport {
    let conditions = vec!["quarantined".to_owned()];
    let worker = Worker { name: "i-7f3a".to_owned(), conditions, ..Worker::default() };
    WorkersReport { active: 1, workers: vec![worker], ..WorkersReport::default() }
}

/// Runs the command without any entry instance.
fn ask(at: SocketAddr, arguments: &[&str]) -> std::process::Output {
    run(&[], &[arguments, &["--at", &at.to_string()]].concat())
}

#[test_case(&["explain", WAITING], 0, "why:  step 0.1 waits (cap)"; "explain")]
#[test_case(&["explain", WAITING], 0, "3 tasks wait for cap"; "explain_wait")]
#[test_case(&["explain", WAITING], 0, "passed over by reservation for 840ms: room for 2, 1 wanted; its limit is reached"; "explain_passed_over")]
#[test_case(&["customers"], 0, "50 %"; "customers")]
#[test_case(&["workers"], 0, "quarantined"; "workers")]
#[test_case(&["explain", UNKNOWN], 6, "not known"; "unknown")]
#[test_case(&["explain", NO_OWNER], 5, "no owner is known"; "no_owner")]
#[test_case(&["explain", "backup"], 2, "16 hexadecimal digits"; "malformed_id")]
fn at_instance(arguments: &[&str], expected: i32, text: &str) {
    let entry = Entry::serve(|| Rc::new(Instance));
    let output = ask(entry.address, arguments);
    assert_eq!(code(&output), expected, "{output:?}");
    let said = stdout(&output) + &stderr(&output);
    assert!(said.contains(text) && !said.contains('\u{1b}'), "{said}");
}

#[test]
fn at_instance_json() {
    let entry = Entry::serve(|| Rc::new(Instance));
    let report = json(&ask(entry.address, &["--json", "explain", WAITING]));
    assert_eq!(report["waits"][0]["earliest_start_ms"], 1_200);
}

#[test]
fn at_killed_instance() {
    let output = ask(killed(), &["workers"]);
    assert_eq!(code(&output), 5, "{output:?}");
    assert!(stderr(&output).contains("check --at"), "{output:?}");
}

#[test]
fn customers_without_address() {
    assert_eq!(code(&run(&[], &["customers"])), 2);
}
