//! Requests read and answers built the same way by every stand-in.

use ::http::{StatusCode, header};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::{Request, Response};

/// An answer in JSON.
pub fn json<T: Serialize>(value: &T) -> Response {
    json_with(StatusCode::OK, value)
}

/// An answer in JSON with a status of its own.
pub fn json_with<T: Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => build(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// An answer in plain text.
pub fn text(status: StatusCode, message: &str) -> Response {
    build(status, "text/plain", Bytes::copy_from_slice(message.as_bytes()))
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// The answer to a path or method that does not exist.
pub fn unknown() -> Response {
    text(StatusCode::NOT_FOUND, "no such path")
}

/// The answer while the stand-in plays an outage.
pub fn unavailable() -> Response {
    text(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

/// Reads a JSON body, or gives the answer that names the fault.
pub fn parse<T: DeserializeOwned>(request: &Request) -> Result<T, Box<Response>> {
    serde_json::from_slice(request.body())
        .map_err(|error| Box::new(text(StatusCode::BAD_REQUEST, &error.to_string())))
}

/// Lets `apply` carry out a control, and repeats it in the answer.
pub fn control<T: Serialize + DeserializeOwned>(
    request: &Request,
    apply: impl FnOnce(&T),
) -> Response {
    match parse(request) {
        Ok(control) => {
            apply(&control);
            json(&control)
        }
        Err(response) => *response,
    }
}

/// Reads a number from the query.
pub fn number(request: &Request, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}

fn build(status: StatusCode, kind: &'static str, body: Bytes) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let kind = ::http::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
