//! Calls to runners over HTTP/1.1.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::header::CONTENT_TYPE;
use ::http::{HeaderName, Method};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::request;
use super::transport::{Answer, Call, Error, Fault, RunnerTransport};
use crate::clock;
use crate::http;

/// Identity of the request, which the runner echoes.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Service addressed, for runners that serve several.
const SERVICE: HeaderName = HeaderName::from_static("x-service");
/// Time until the caller's deadline, in milliseconds.
const BUDGET: HeaderName = HeaderName::from_static("request-timeout-ms");

/// [`RunnerTransport`] over HTTP/1.1.
///
/// Every call uses a connection of its own until its complete response is read, so there are never
/// more connections to a runner than slots in use there.
pub struct Client {
    http: Rc<http::Client>,
}

impl Client {
    /// Creates a transport over `http`, whose connections to runners must not be used by anything
    /// else.
    pub fn new(http: Rc<http::Client>) -> Self {
        Self { http }
    }

    async fn call(
        &self,
        peer: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> Result<Answer, Fault> {
        let request = build(call).map_err(|error| Fault::NotSent(error.to_string()))?;
        let sent = self.http.send(peer, request, timeout).await;
        read(call.id, sent.map_err(|error| fault(&error))?)
    }
}

impl RunnerTransport for Client {
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        call: &'a Call,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>> {
        let answer = self.call(peer, call, timeout);
        answer.map(move |result| result.map_err(|fault| Error { peer, fault })).boxed_local()
    }
}

fn build(call: &Call) -> Result<http::Request, ::http::Error> {
    let mut request = ::http::Request::builder()
        .method(Method::POST)
        .uri("/v1/run")
        .header(REQUEST_ID, call.id.to_string())
        .header(SERVICE, &call.service)
        .header(BUDGET, clock::millis(call.budget));
    if let Some(content_type) = &call.content_type {
        request = request.header(CONTENT_TYPE, content_type);
    }
    request.body(call.body.clone())
}

fn fault(error: &http::Error) -> Fault {
    if error.sent { Fault::Broken(error.to_string()) } else { Fault::NotSent(error.to_string()) }
}

/// Accepts an answer only with the identity of its request.
///
/// A runner that mixes up responses sends one caller the response of another; such a response is
/// well-formed and differs only in the identity. A server error that the runner's HTTP server
/// returns before it reads the request carries no identity and is accepted.
fn read(id: request::Id, response: http::Response) -> Result<Answer, Fault> {
    let status = response.status();
    let echoed = response.headers().get(REQUEST_ID);
    let is_ours = echoed.is_some_and(|echoed| echoed.as_bytes() == id.to_string().as_bytes());
    let is_bare_fault = echoed.is_none() && status.is_server_error();
    if !is_ours && !is_bare_fault {
        return Err(Fault::Mismatched);
    }
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok()).map(str::to_owned);
    Ok(Answer { status: status.as_u16(), content_type, body: response.into_body() })
}
