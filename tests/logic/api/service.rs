//! Tests of the HTTP handler with a backend in memory: status codes, headers, pages, tokens and
//! time limits.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, pending, ready};
use http::{Method, StatusCode};
use oriolefork::api::{Options, Service, TokenCheck, wire};
use oriolefork::clock::{Clock, Instant, Unix};
use oriolefork::http::{Handler, Request, Response};
use serde_json::{Value, json};
use test_case::test_case;

use super::backend::Memory;

const SPEC: &str =
    r#"{"name":"n","team":"t","kind":"batch","demand":{"cpu-millis":1,"memory-mib":1}}"#;

/// Clock that stays at one second; its timers elapse at once or never.
struct StubClock {
    timers_elapse: bool,
}

impl Clock for StubClock {
    fn now(&self) -> Instant {
        Instant::from_millis(1_000)
    }

    fn unix(&self) -> Unix {
        Unix::from_millis(1_000)
    }

    fn sleep(&self, _: Duration) -> LocalBoxFuture<'static, ()> {
        if self.timers_elapse { ready(()).boxed_local() } else { pending().boxed_local() }
    }
}

struct Fixture {
    backend: Rc<Memory>,
    service: Service,
}

impl Fixture {
    fn new(token: Option<&str>, timers_elapse: bool) -> Self {
        let backend = Rc::new(Memory::new("kurow-hall", "kurow-1"));
        let options = Options {
            operator_token: token.map(token_equals),
            metrics: Box::new(|| "up 1\n".to_owned()),
            requests: None,
        };
        let service = Service::new(backend.clone(), Rc::new(StubClock { timers_elapse }), options);
        Self { backend, service }
    }

    fn send(&self, method: &Method, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
        let mut request = Request::new(body.as_bytes().to_vec().into());
        *request.method_mut() = method.clone();
        *request.uri_mut() = path.parse().unwrap();
        for (name, value) in headers {
            let name: http::HeaderName = name.parse().unwrap();
            request.headers_mut().append(name, value.parse().unwrap());
        }
        let peer = "127.0.0.1:1".parse().unwrap();
        self.service.handle(peer, request).now_or_never().expect("a response without waiting")
    }

    fn submit(&self, key: &str, body: &str) -> Response {
        self.send(&Method::POST, "/v1/jobs", &[("idempotency-key", key)], body)
    }
}

fn token_equals(token: &str) -> TokenCheck {
    let token = token.to_owned();
    Box::new(move |offered| offered == token)
}

fn body(response: &Response) -> Value {
    serde_json::from_slice(response.body()).unwrap()
}

fn refusal(response: &Response) -> wire::Refusal {
    serde_json::from_slice(response.body()).unwrap()
}

#[test]
fn submit_repeated() {
    let fixture = Fixture::new(None, false);
    let first = fixture.submit("k1", SPEC);
    let second = fixture.submit("k1", SPEC);
    assert_eq!((first.status(), second.status()), (StatusCode::CREATED, StatusCode::OK));
    assert_eq!(body(&first)["job"], body(&second)["job"]);
    assert_eq!(body(&second)["duplicate"], json!(true));
    assert_eq!(first.headers()["oriolefork-instance"], "kurow-1");
}

#[test_case(&[], "idempotency-key" ; "no_key")]
#[test_case(&[("idempotency-key", "a b")], "idempotency-key" ; "space_in_key")]
#[test_case(&[("idempotency-key", "a"), ("idempotency-key", "b")], "idempotency-key" ; "two_keys")]
#[test_case(&[("idempotency-key", "a"), ("request-timeout-ms", "-1")], "request-timeout-ms" ; "negative_timeout")]
#[test_case(&[("idempotency-key", "a"), ("request-timeout-ms", "0")], "request-timeout-ms" ; "no_timeout")]
fn submit_bad_header(headers: &[(&str, &str)], field: &str) {
    let fixture = Fixture::new(None, false);
    let response = fixture.send(&Method::POST, "/v1/jobs", headers, SPEC);
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    assert_eq!(refusal(&response).field.as_deref(), Some(field));
    assert_eq!(fixture.backend.submissions.get(), 0);
}

// The response to a submission with a deadline is lost, and the caller retries after the deadline.
// A refusal as "not run" would be wrong, because the first call was accepted.
#[test]
fn submit_repeated_past_deadline() {
    let fixture = Fixture::new(None, false);
    let accepted = fixture.submit("k1", SPEC);
    let late = SPEC.replace("\"kind\"", "\"deadline-unix-ms\":999,\"kind\"");
    let repeated = fixture.submit("k1", &late);
    assert_eq!(repeated.status(), StatusCode::OK);
    assert_eq!(body(&repeated)["job"], body(&accepted)["job"]);
    let unknown = fixture.submit("k2", &late);
    assert_eq!(unknown.status(), StatusCode::BAD_REQUEST);
    assert_eq!(refusal(&unknown).field.as_deref(), Some("deadline-unix-ms"));
}

// The backend never responds. The caller must get a response within its time limit, and for a
// change that response must not claim that the work did not run.
#[test_case(&Method::POST, "/v1/jobs", "unknown" ; "change")]
#[test_case(&Method::GET, "/v1/jobs", "not-run" ; "read")]
fn hanging_backend(method: &Method, path: &str, ran: &str) {
    let fixture = Fixture::new(None, true);
    fixture.backend.hangs.set(true);
    let response = fixture.send(method, path, &[("idempotency-key", "k")], SPEC);
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(body(&response)["ran"], json!(ran));
}

#[test]
fn jobs_pages() {
    let fixture = Fixture::new(None, false);
    for key in 0..25 {
        fixture.submit(&format!("k{key}"), SPEC);
    }
    let mut seen = Vec::new();
    let mut path = "/v1/jobs?limit=10".to_owned();
    loop {
        let response = fixture.send(&Method::GET, &path, &[], "");
        let page: wire::Page<wire::job::Summary> = serde_json::from_slice(response.body()).unwrap();
        assert!(page.items.len() <= 10);
        seen.extend(page.items.into_iter().map(|job| job.id));
        let Some(next) = page.next else { break };
        path = format!("/v1/jobs?limit=10&after={next}");
    }
    assert_eq!(seen.len(), 25);
    assert!(seen.is_sorted());
}

#[test_case("/v1/jobs?limit=0", "limit" ; "no_limit")]
#[test_case("/v1/jobs?limit=501", "limit" ; "large_limit")]
#[test_case("/v1/jobs?limit=1&limit=2", "limit" ; "repeated")]
#[test_case("/v1/jobs?after=zz", "after" ; "bad_cursor")]
#[test_case("/v1/jobs?state=done", "state" ; "unknown_state")]
#[test_case("/v1/jobs?team=a%0Ab", "team" ; "hostile_team")]
#[test_case("/v1/jobs?colour=red", "colour" ; "unknown_parameter")]
#[test_case("/v1/alerts?all=1", "all" ; "bad_flag")]
#[test_case("/v1/jobs/xyz", "id" ; "bad_id")]
fn get_refused(path: &str, field: &str) {
    let response = Fixture::new(None, false).send(&Method::GET, path, &[], "");
    assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    assert_eq!(refusal(&response).field.as_deref(), Some(field));
}

#[test_case(&Method::GET, "/v1/jobs/00000000000000ff", StatusCode::NOT_FOUND ; "no_job")]
#[test_case(&Method::GET, "/v2/jobs", StatusCode::NOT_FOUND ; "other_version")]
#[test_case(&Method::GET, "/v1/jobs/", StatusCode::BAD_REQUEST ; "empty_id")]
#[test_case(&Method::GET, "/%ff", StatusCode::NOT_FOUND ; "not_text")]
#[test_case(&Method::DELETE, "/v1/jobs", StatusCode::METHOD_NOT_ALLOWED ; "method")]
#[test_case(&Method::POST, "/v1/workers/w1/destroy", StatusCode::NOT_FOUND ; "unknown_order")]
#[test_case(&Method::POST, "/v1/services/portal/requests", StatusCode::NOT_FOUND ; "no_services")]
#[test_case(&Method::GET, "/healthz", StatusCode::OK ; "health")]
#[test_case(&Method::GET, "/readyz", StatusCode::OK ; "readiness")]
#[test_case(&Method::GET, "/metrics", StatusCode::OK ; "metrics")]
#[test_case(&Method::GET, "/v1/status", StatusCode::OK ; "status")]
fn path_status(method: &Method, path: &str, expected: StatusCode) {
    assert_eq!(Fixture::new(None, false).send(method, path, &[], "").status(), expected);
}

#[test_case("Bearer right", StatusCode::OK ; "right")]
#[test_case("bearer right", StatusCode::OK ; "other_case")]
#[test_case("Bearer wrong", StatusCode::UNAUTHORIZED ; "wrong")]
#[test_case("Bearer righ", StatusCode::UNAUTHORIZED ; "prefix")]
#[test_case("Basic right", StatusCode::UNAUTHORIZED ; "scheme")]
#[test_case("", StatusCode::UNAUTHORIZED ; "empty")]
fn operator_token(header: &str, expected: StatusCode) {
    let fixture = Fixture::new(Some("right"), false);
    let headers = [("authorization", header)];
    let body = r#"{"preset":"peak","based-on":7,"by":"ana"}"#;
    assert_eq!(fixture.send(&Method::PUT, "/v1/preset", &headers, body).status(), expected);
    assert_eq!(fixture.send(&Method::GET, "/dump", &headers, "").status(), expected);
    assert_eq!(fixture.send(&Method::GET, "/v1/status", &[], "").status(), StatusCode::OK);
}

// Two operators change the preset based on the same version. The second change must be refused as a
// conflict that had no effect.
#[test]
fn set_preset_race() {
    let fixture = Fixture::new(None, false);
    let body = r#"{"preset":"peak","based-on":7,"by":"ana"}"#;
    let first = fixture.send(&Method::PUT, "/v1/preset", &[], body);
    let second = fixture.send(&Method::PUT, "/v1/preset", &[], body);
    assert_eq!((first.status(), second.status()), (StatusCode::OK, StatusCode::CONFLICT));
    assert_eq!(refusal(&second).ran.to_string(), "not-run");
}

#[test_case("/v1/alerts/a1/acknowledge", "{}", "by" ; "no_person")]
#[test_case("/v1/workers/w1/lost", r#"{"by":"a b"}"#, "by" ; "bad_person")]
fn operator_name_refused(path: &str, body: &str, field: &str) {
    let response = Fixture::new(None, false).send(&Method::POST, path, &[], body);
    assert_eq!(refusal(&response).field.as_deref(), Some(field));
}
