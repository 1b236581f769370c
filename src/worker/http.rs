//! Client that sends exchanges to workers as JSON over HTTP/1.1.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::{Method, StatusCode, header};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{Error, Exchange, Fault, Report, WorkerTransport, wire};
use crate::http;

/// Sends exchanges to workers, each at its own address.
pub struct Client {
    http: Rc<http::Client>,
}

impl Client {
    /// Creates a client that uses the connections of `http`.
    pub fn new(http: Rc<http::Client>) -> Self {
        Self { http }
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        exchange: &Exchange,
        timeout: Duration,
    ) -> Result<Report, Fault> {
        let body = serde_json::to_vec(&wire::Exchange::from(exchange))
            .map_err(|error| Fault::NotSent(error.to_string()))?;
        let request = ::http::Request::builder()
            .method(Method::POST)
            .uri("/v1/exchange")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Bytes::from(body))
            .map_err(|error| Fault::NotSent(error.to_string()))?;
        let sent = self.http.send(peer, request, timeout + exchange.wait).await;
        parse_response(&sent.map_err(|error| call_fault(&error))?)
    }
}

impl WorkerTransport for Client {
    fn exchange<'a>(
        &'a self,
        peer: SocketAddr,
        exchange: &'a Exchange,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Report, Error>> {
        let call = self.exchange(peer, exchange, timeout);
        call.map(move |result| result.map_err(|fault| Error { peer, fault })).boxed_local()
    }
}

fn call_fault(error: &http::Error) -> Fault {
    if error.sent { Fault::Unknown(error.to_string()) } else { Fault::NotSent(error.to_string()) }
}

fn parse_response(response: &http::Response) -> Result<Report, Fault> {
    let unreadable = |error: serde_json::Error| Fault::Unknown(error.to_string());
    match response.status() {
        StatusCode::OK => {
            let report: wire::Report =
                serde_json::from_slice(response.body()).map_err(unreadable)?;
            report.try_into().map_err(|error: wire::Error| Fault::Unknown(error.to_string()))
        }
        StatusCode::CONFLICT => {
            let fenced: wire::Fenced =
                serde_json::from_slice(response.body()).map_err(unreadable)?;
            Err(Fault::Fenced(fenced.fenced_by))
        }
        status => Err(Fault::Unknown(status.to_string())),
    }
}
