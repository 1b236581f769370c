//! HTTP interface of request routing for callers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ::http::header::{CONTENT_TYPE, HeaderName};
use ::http::{HeaderMap, HeaderValue, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::proxy::{Proxy, Reply};
use super::request::{self, Refusal, UnknownCause};
use super::transport::{Answer, Call};
use crate::api::{self, Reason, header, reply};
use crate::http::{Handler, Request, Response};
use crate::intent::{self, Admission, ExecutionOutcome, KeyState, Permit, Progress, RecordedBody};
use crate::job::Effect;
use crate::settings::{self, Secret};

/// Request header that states whether the request is `idempotent` or must run `at-most-once`.
pub const EFFECT: &str = "x-effect";
/// Response header with the outcome of the request: `whole`, `not-run` or `unknown`.
pub const RESULT: &str = "x-result";
/// Response header with the identity of a request whose outcome is unknown.
pub const REQUEST_ID: &str = "x-request-id";

/// Retry delay when at-most-once work could not be recorded.
const UNRECORDED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Divisor of the caller's timeout that gives the time for recording at-most-once work.
const RECORD_TIME_DIVISOR: u32 = 2;

/// Services whose requests are accepted, each with the token that its callers must present, if any.
pub struct Access {
    services: Option<BTreeMap<String, Option<Secret>>>,
    timeout: Duration,
}

impl Access {
    /// Accepts requests to every service without a token, for tests.
    pub const fn open() -> Self {
        Self { services: None, timeout: header::DEFAULT_TIMEOUT }
    }

    /// Accepts requests to these services only; `timeout` applies to requests that set none.
    pub fn of(services: &[settings::Service], timeout: Duration) -> Self {
        let named = services.iter().map(|service| (service.name.clone(), service.token.clone()));
        Self { services: Some(named.collect()), timeout }
    }

    fn check(&self, service: &str, headers: &HeaderMap) -> Result<(), api::Refusal> {
        let Some(services) = &self.services else { return Ok(()) };
        let Some(token) = services.get(service) else {
            let message = "this service is not configured";
            return Err(api::Refusal::not_run(Reason::NotFound, message));
        };
        let is_token = |token: &Secret| header::bearer(headers).is_some_and(|it| token.matches(it));
        if token.as_ref().is_none_or(is_token) {
            return Ok(());
        }
        let message = "the service's token is missing or wrong: `authorization: Bearer ...`";
        Err(api::Refusal::not_run(Reason::Unauthorized, message))
    }
}

/// Options read from a request's headers.
struct RequestOptions {
    effect: Effect,
    key: Option<String>,
    timeout: Duration,
}

impl Proxy {
    /// Answers `POST /v1/services/{service}/requests`.
    ///
    /// A runner's complete response keeps its status, media type and body. Every other outcome is
    /// an [`api::Refusal`], with status 503 when the request did not run and 502 or 504 when that
    /// is unknown. The header `x-result` holds the outcome.
    pub async fn handle(&self, request: Request) -> Response {
        match self.answer(request).await {
            Ok(reply) => respond(reply),
            Err(refusal) => refuse(refusal),
        }
    }

    async fn answer(&self, request: Request) -> Result<Reply, api::Refusal> {
        let service = service(request.uri().path())?;
        self.access().check(&service, request.headers())?;
        let options = RequestOptions::read(request.headers(), self.access().timeout)?;
        let content_type = request.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let id = request::Id::from_raw(0);
        let body = request.into_body();
        let call = Call { id, service, content_type, body, budget: options.timeout };
        match &options.key {
            Some(key) if options.effect == Effect::AtMostOnce => self.run_once(call, key).await,
            _ => Ok(self.run(call, options.effect, None).await),
        }
    }

    /// Runs at most one of all requests that carry the same key.
    async fn run_once(&self, call: Call, key: &str) -> Result<Reply, api::Refusal> {
        let Some(deduplicator) = self.deduplicator() else { return Ok(unrecorded()) };
        let started = self.clock().now();
        let request = intent_of(&call, key)?;
        match deduplicator.begin(request, call.budget / RECORD_TIME_DIVISOR).await {
            Admission::Granted(permit) => {
                let spent = self.clock().now().since(started);
                let budget = call.budget.saturating_sub(spent);
                Ok(self.run_with_permit(Call { budget, ..call }, permit).await)
            }
            Admission::Duplicate(state) => duplicate_reply(&state),
            Admission::NotRun(refusal) => {
                Err(api::Refusal::from(refusal).after(UNRECORDED_RETRY_AFTER))
            }
        }
    }

    async fn run_with_permit(&self, call: Call, permit: Permit) -> Reply {
        self.run(call, Effect::AtMostOnce, Some(permit)).await
    }
}

impl Handler for Proxy {
    fn handle(&self, _peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response> {
        self.handle(request).boxed_local()
    }
}

impl RequestOptions {
    /// Reads the headers. A request without the effect header is at-most-once; duplicates are
    /// detected only when the request carries an idempotency key. `timeout` applies when the
    /// headers set none.
    fn read(headers: &HeaderMap, timeout: Duration) -> Result<Self, api::Refusal> {
        let effect = match headers.get(EFFECT).map(HeaderValue::as_bytes) {
            None => Effect::AtMostOnce,
            Some(b"idempotent") => Effect::Idempotent,
            Some(b"at-most-once") => {
                header::idempotency_key(headers)?;
                Effect::AtMostOnce
            }
            Some(_) => {
                let message = "must be idempotent or at-most-once";
                return Err(api::Refusal::invalid(EFFECT, message));
            }
        };
        let has_key = headers.contains_key(header::IDEMPOTENCY_KEY);
        let key = if has_key { Some(header::idempotency_key(headers)?) } else { None };
        Ok(Self { effect, key, timeout: header::timeout_or(headers, timeout)? })
    }
}

fn service(path: &str) -> Result<String, api::Refusal> {
    let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    match segments[..] {
        ["v1", "services", service, "requests"] if !service.is_empty() => Ok(service.to_owned()),
        _ => Err(api::Refusal::not_run(Reason::NotFound, "no resource has this path")),
    }
}

fn intent_of(call: &Call, key: &str) -> Result<intent::Request, api::Refusal> {
    let invalid = |message: String| api::Refusal::invalid(header::IDEMPOTENCY_KEY, message);
    let created = intent::creation_time(key).ok_or_else(|| {
        invalid("must be a version 7 UUID, whose time shows how old the request is".to_owned())
    })?;
    let key = intent::Key::new(intent::Kind::Request, &call.service, key);
    let key = key.map_err(|error| invalid(error.to_string()))?;
    let fingerprint = intent::fingerprint(&call.body);
    Ok(intent::Request { key, created, fingerprint, domain: None })
}

/// Reply to a request whose key was used before: the recorded outcome of the first request.
fn duplicate_reply(state: &KeyState) -> Result<Reply, api::Refusal> {
    let unknown = |message: &str| Err(api::Refusal::unknown(Reason::AnswerLost, message));
    match &state.progress {
        Progress::Done(ExecutionOutcome::Responded(answer)) => match &answer.body {
            RecordedBody::Complete(body) => Ok(Reply::Complete(Answer {
                status: answer.status,
                content_type: Some(answer.content_type.clone()).filter(|text| !text.is_empty()),
                body: body.clone(),
            })),
            RecordedBody::Digest { length, .. } => unknown(&format!(
                "the request ran once with status {}; its answer of {length} bytes was too long to record",
                answer.status
            )),
        },
        Progress::Done(_) => {
            unknown("the request was sent once and its answer was lost; it is not run again")
        }
        Progress::Unknown => {
            unknown("the request is in progress or its answer was lost; it is not run again")
        }
    }
}

fn unrecorded() -> Reply {
    Reply::NotRun { refusal: Refusal::Unrecorded, retry_after: UNRECORDED_RETRY_AFTER }
}

fn respond(reply: Reply) -> Response {
    match reply {
        Reply::Complete(answer) => complete(answer),
        Reply::NotRun { refusal, retry_after } => {
            let message = refusal.to_string();
            refuse(api::Refusal::not_run(reason(refusal), message).after(retry_after))
        }
        Reply::Unknown { id, cause, retry_after } => {
            let reason = match cause {
                UnknownCause::Deadline => Reason::Deadline,
                UnknownCause::Broken => Reason::AnswerLost,
            };
            let refusal = api::Refusal::unknown(reason, cause.to_string()).after(retry_after);
            let mut response = refuse(refusal);
            set_header(&mut response, REQUEST_ID, &id.to_string());
            response
        }
    }
}

fn complete(answer: Answer) -> Response {
    let mut response = Response::new(answer.body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(content_type) = &answer.content_type {
        set_header(&mut response, CONTENT_TYPE.as_str(), content_type);
    }
    set_header(&mut response, RESULT, "whole");
    response
}

fn refuse(refusal: api::Refusal) -> Response {
    let ran = refusal.ran;
    let for_load = matches!(refusal.reason, Reason::Deadline | Reason::Overloaded);
    let mut response: ::http::Response<Bytes> = reply::refusal(refusal);
    // A request refused for load may be retried, whichever limit it met, so it gets status 503. A
    // caller that reads only the status would take 504 for an unknown outcome.
    if for_load && ran == api::Ran::NotRun {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    set_header(&mut response, RESULT, &ran.to_string());
    response
}

const fn reason(refusal: Refusal) -> Reason {
    match refusal {
        Refusal::NoRunner | Refusal::Unreachable => Reason::NoRunner,
        Refusal::Overloaded => Reason::Overloaded,
        Refusal::Deadline => Reason::Deadline,
        Refusal::ShuttingDown => Reason::ShuttingDown,
        Refusal::Unrecorded => Reason::LogUnavailable,
    }
}

fn set_header(response: &mut Response, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::try_from(text) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
