//! Builds HTTP responses: bodies, status codes and headers.

use ::http::header::{ALLOW, CONTENT_TYPE, HeaderName, LOCATION, RETRY_AFTER, WWW_AUTHENTICATE};
use ::http::{HeaderValue, StatusCode};
use bytes::Bytes;
use serde::Serialize;

use crate::api::refusal::{Reason, Refusal};
use crate::api::view::Identity;
use crate::api::{header, wire};
use crate::http::Response;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");

/// Builds a response with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => build(status, JSON, bytes.into()),
        Err(cause) => build(StatusCode::INTERNAL_SERVER_ERROR, TEXT, cause.to_string().into()),
    }
}

/// Builds a response with a plain-text body.
pub fn text(body: String) -> Response {
    build(StatusCode::OK, TEXT, body.into())
}

/// Builds the response to a refused call.
pub fn refusal(refusal: Refusal) -> Response {
    let retry_after = refusal.retry_after;
    let reason = refusal.reason;
    let mut response = json(status(reason), &wire::Refusal::from(refusal));
    if let Some(span) = retry_after {
        set_header(&mut response, RETRY_AFTER, &span.as_millis().div_ceil(1_000).to_string());
    }
    if reason == Reason::Unauthorized {
        set_header(&mut response, WWW_AUTHENTICATE, "Bearer");
    }
    response
}

/// Sets the `allow` header to the methods that the path supports.
pub fn set_allow(response: &mut Response, methods: &str) {
    set_header(response, ALLOW, methods);
}

/// Sets the `location` header to the path of a created object.
pub fn set_location(response: &mut Response, path: &str) {
    set_header(response, LOCATION, path);
}

/// Sets the headers that identify the responding instance and its failure domain.
pub fn set_identity(response: &mut Response, identity: &Identity) {
    set_header(response, HeaderName::from_static(header::INSTANCE), &identity.instance);
    set_header(response, HeaderName::from_static(header::DOMAIN), identity.domain.as_str());
}

/// Returns the HTTP status code for a refusal.
pub const fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Invalid => StatusCode::BAD_REQUEST,
        Reason::Unauthorized => StatusCode::UNAUTHORIZED,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
        Reason::StaleVersion | Reason::KeyReused | Reason::AlreadyEnded => StatusCode::CONFLICT,
        Reason::KeyExpired => StatusCode::GONE,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::Impossible | Reason::Quota => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        Reason::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        Reason::AnswerLost => StatusCode::BAD_GATEWAY,
        Reason::NoOwner | Reason::NoRunner | Reason::LogUnavailable | Reason::ShuttingDown => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn build(status: StatusCode, content: HeaderValue, body: Bytes) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}

/// Sets a header; omits it if `text` is not a valid header value.
fn set_header(response: &mut Response, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::try_from(text) {
        response.headers_mut().insert(name, value);
    }
}
