//! Client of the log over HTTP/1.1 and JSON.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::{AppendOutcome, Error, Offset, Operation, Page, Store, wire};
use crate::clock::millis;
use crate::http;

/// Maximum number of records in a page.
const PAGE_RECORDS: u32 = 1_000;

/// Client of the log at one address.
pub struct Client {
    peer: SocketAddr,
    http: Rc<http::Client>,
    timeout: Duration,
}

impl Client {
    /// Creates a client of the log at `peer`. A call may take `timeout` plus the time that it asks
    /// the log to wait.
    pub fn new(peer: SocketAddr, http: Rc<http::Client>, timeout: Duration) -> Self {
        Self { peer, http, timeout }
    }

    async fn append(&self, stream: &str, payload: Bytes) -> Result<Offset, Error> {
        let fail = |outcome, cause| self.error(Operation::Append, outcome, cause);
        let request = ::http::Request::builder()
            .method(Method::POST)
            .uri(format!("/v1/streams/{stream}"))
            .body(payload)
            .map_err(|error| fail(AppendOutcome::NotWritten, error.to_string()))?;
        let sent = self.http.send(self.peer, request, self.timeout).await;
        let response = sent.map_err(|error| fail(unanswered_outcome(&error), error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(fail(refused_outcome(response.status()), response.status().to_string()));
        }
        let appended: wire::Appended = serde_json::from_slice(response.body())
            .map_err(|error| fail(AppendOutcome::Unknown, error.to_string()))?;
        Ok(appended.offset)
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, Error> {
        let fail = |cause| self.error(Operation::Read, AppendOutcome::NotWritten, cause);
        let wait_ms = millis(wait);
        let query = format!("from={from}&wait_ms={wait_ms}&limit={PAGE_RECORDS}");
        let request = ::http::Request::builder()
            .uri(format!("/v1/streams/{stream}?{query}"))
            .body(Bytes::new())
            .map_err(|error| fail(error.to_string()))?;
        let sent = self.http.send(self.peer, request, self.timeout + wait).await;
        let response = sent.map_err(|error| fail(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(fail(response.status().to_string()));
        }
        let page: wire::Page =
            serde_json::from_slice(response.body()).map_err(|error| fail(error.to_string()))?;
        page.try_into().map_err(|error: wire::Error| fail(error.to_string()))
    }

    fn error(&self, operation: Operation, outcome: AppendOutcome, cause: String) -> Error {
        Error { operation, peer: self.peer, outcome, cause }
    }
}

impl Store for Client {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>> {
        self.append(stream, payload).boxed_local()
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, Error>> {
        self.read(stream, from, wait).boxed_local()
    }
}

/// Whether a record may have been written if its append got no response.
fn unanswered_outcome(error: &http::Error) -> AppendOutcome {
    if error.sent { AppendOutcome::Unknown } else { AppendOutcome::NotWritten }
}

/// Whether a record may have been written if the log answered its append with an error status.
///
/// The log refuses with 4xx or 503 before it writes. Any other status may report a failure after
/// the write.
fn refused_outcome(status: StatusCode) -> AppendOutcome {
    if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
        AppendOutcome::NotWritten
    } else {
        AppendOutcome::Unknown
    }
}
