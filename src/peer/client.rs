//! Client with one connection to each peer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, Version};
use monoio::time::Instant;
use monoio_http::h2::client::SendRequest;
use monoio_http::h2::{self, Reason};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::body::{self, BodyError};
use super::connection::PeerConnection;
use super::stream::REASON_BYTES;
use super::{CallPhase, Code, Error, Limits};
use crate::codec;
use crate::descriptors::Budget;

/// Calls methods of peers named by address.
///
/// Calls are not retried, with one exception: a call that finds its connection closed, and of which
/// nothing has been sent, opens a new connection. Each call has its own stream, so that a late
/// response cannot reach another caller.
pub struct Client {
    limits: Limits,
    budget: Rc<Budget>,
    connections: RefCell<HashMap<SocketAddr, Rc<PeerConnection>>>,
    last_sweep: Cell<Instant>,
}

impl Client {
    /// Builds a client without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            budget: Rc::new(Budget::unlimited()),
            connections: RefCell::default(),
            last_sweep: Cell::new(Instant::now()),
        }
    }

    /// Counts the connections in `budget`, as ones of [`Class::Control`]. A call that needs a new
    /// connection when no descriptor is left fails at once with [`CallPhase::Connect`].
    ///
    /// [`Class::Control`]: crate::descriptors::Class::Control
    #[must_use]
    pub fn with_budget(self, budget: Rc<Budget>) -> Self {
        Self { budget, ..self }
    }

    /// Calls `method` of `peer` with `payload` and decodes the response, all within `timeout`.
    ///
    /// `method` is a name, which a query may follow. Dropping the future abandons the call.
    ///
    /// # Errors
    /// Fails if no complete response was read or the peer refused the call. [`Error::sent`] states
    /// whether the peer may have acted on the call.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        method: &str,
        payload: &Q,
        timeout: Duration,
    ) -> Result<A, Error> {
        let deadline = Instant::now() + timeout;
        let payload =
            codec::encode(payload).map_err(|cause| unsent(CallPhase::Encode, peer, cause))?;
        let response_body = self.call_bytes(peer, method, payload, deadline).await?;
        codec::decode(&response_body).map_err(|cause| Error {
            step: CallPhase::Decode,
            peer,
            sent: true,
            cause: cause.to_string(),
        })
    }

    /// Sets the interval between two probes of `peer`, now and on later connections, if it is longer
    /// than [`Limits::keepalive`]; otherwise that one applies.
    pub fn set_keepalive(&self, peer: SocketAddr, interval: Duration) {
        self.connection(peer).set_keepalive(interval);
    }

    async fn call_bytes(
        &self,
        peer: SocketAddr,
        method: &str,
        payload: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, Error> {
        let request =
            request(peer, method).map_err(|cause| unsent(CallPhase::Encode, peer, cause))?;
        self.sweep();
        let connection = self.connection(peer);
        let Some(_permit) = with_deadline(deadline, connection.calls().acquire()).await else {
            return Err(unsent(CallPhase::Timeout, peer, "too many calls are in flight"));
        };
        let Some(ready) = with_deadline(deadline, connection.sender(peer)).await else {
            return Err(unsent(CallPhase::Timeout, peer, "connection not established in time"));
        };
        let (sender, in_flight) = ready.map_err(|cause| unsent(CallPhase::Connect, peer, cause))?;
        let exchange = exchange(sender, request, payload, self.limits.body_bytes);
        match with_deadline(deadline, exchange).await {
            Some(Ok(response_body)) => {
                in_flight.note_response();
                Ok(response_body)
            }
            Some(Err(StreamFailure { step, sent, cause })) => {
                Err(Error { step, peer, sent, cause })
            }
            None => {
                let cause = "no complete response in time".to_owned();
                Err(Error { step: CallPhase::Timeout, peer, sent: true, cause })
            }
        }
    }

    fn connection(&self, peer: SocketAddr) -> Rc<PeerConnection> {
        let mut connections = self.connections.borrow_mut();
        let new = || Rc::new(PeerConnection::new(self.limits, self.budget.clone()));
        connections.entry(peer).or_insert_with(new).clone()
    }

    /// Closes connections that have been idle too long, so that entries of removed peers are
    /// dropped.
    fn sweep(&self) {
        let max_idle = self.limits.idle_timeout / 2;
        if self.last_sweep.get().elapsed() < max_idle {
            return;
        }
        self.last_sweep.set(Instant::now());
        self.connections.borrow_mut().retain(|_, connection| {
            Rc::strong_count(connection) > 1 || connection.idle() < max_idle
        });
    }
}

/// Failure of one stream; the caller adds the peer's address.
struct StreamFailure {
    step: CallPhase,
    sent: bool,
    cause: String,
}

impl StreamFailure {
    fn new(step: CallPhase, error: &BodyError) -> Self {
        let step =
            if matches!(error, BodyError::TooLarge { .. }) { CallPhase::Decode } else { step };
        let sent = !matches!(error, BodyError::H2(error) if is_refused(error));
        Self { step, sent, cause: error.to_string() }
    }
}

/// Whether the peer rejected the stream without processing it.
///
/// A peer does so by `REFUSED_STREAM`, or by a `GOAWAY` whose last stream identifier is below this
/// stream's. HTTP/2 allows either only if the peer took no action.
fn is_refused(error: &h2::Error) -> bool {
    let refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    error.is_remote() && (refused || error.is_go_away())
}

fn request(peer: SocketAddr, method: &str) -> Result<http::Request<()>, http::Error> {
    http::Request::builder()
        .method(Method::POST)
        .version(Version::HTTP_2)
        .uri(format!("http://{peer}/{method}"))
        .body(())
}

async fn exchange(
    mut sender: SendRequest<Bytes>,
    request: http::Request<()>,
    payload: Bytes,
    limit: usize,
) -> Result<Bytes, StreamFailure> {
    let (response, mut stream) =
        sender.send_request(request, payload.is_empty()).map_err(|error| StreamFailure {
            step: CallPhase::Connect,
            sent: false,
            cause: error.to_string(),
        })?;
    let written = body::write(&mut stream, payload).await;
    // A peer that refuses early resets the stream while the body is being written; its response
    // explains more than the reset.
    let response = match (response.await, written) {
        (Ok(response), _) => response,
        (Err(_), Err(error)) => return Err(StreamFailure::new(CallPhase::Send, &error)),
        (Err(error), Ok(())) => {
            return Err(StreamFailure::new(CallPhase::Receive, &BodyError::H2(error)));
        }
    };
    let status = response.status();
    let limit = if status == StatusCode::OK { limit } else { REASON_BYTES };
    let response_body = body::read(&mut response.into_body(), limit, None)
        .await
        .map_err(|error| StreamFailure::new(CallPhase::Receive, &error))?;
    if status == StatusCode::OK {
        Ok(response_body)
    } else {
        Err(refused_call(status, &response_body))
    }
}

fn refused_call(status: StatusCode, reason: &[u8]) -> StreamFailure {
    let cause = String::from_utf8_lossy(reason).into_owned();
    match Code::of_status(status) {
        Some(code) => StreamFailure { step: CallPhase::Refused(code), sent: true, cause },
        None => {
            StreamFailure { step: CallPhase::Decode, sent: true, cause: format!("status {status}") }
        }
    }
}

fn unsent(step: CallPhase, peer: SocketAddr, cause: impl Display) -> Error {
    Error { step, peer, sent: false, cause: cause.to_string() }
}

async fn with_deadline<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    monoio::time::timeout_at(deadline, future).await.ok()
}
