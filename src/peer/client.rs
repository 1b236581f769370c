//! Client that keeps one connection to each peer.

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

use super::body::{self, Fault};
use super::link::Link;
use super::stream::REASON_BYTES;
use super::{CallPhase, Code, Error, Limits};
use crate::codec;

/// Calls methods of peers named by address.
///
/// Nothing is retried, save that a call of which nothing has left finds its connection closed and
/// opens another. Answers belong to their streams, so that a late answer reaches no other caller.
pub struct Client {
    limits: Limits,
    links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    swept: Cell<Instant>,
}

impl Client {
    /// Builds a client without connections.
    pub fn new(limits: Limits) -> Self {
        Self { limits, links: RefCell::default(), swept: Cell::new(Instant::now()) }
    }

    /// Calls `method` of `peer` with `ask` and decodes the whole answer, all within `timeout`.
    ///
    /// `method` is a name without slashes. Dropping the future abandons the call.
    ///
    /// # Errors
    /// When no whole answer was read or the peer refused. [`Error::sent`] tells whether the peer
    /// may have acted.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        method: &str,
        ask: &Q,
        timeout: Duration,
    ) -> Result<A, Error> {
        let deadline = Instant::now() + timeout;
        let ask = codec::encode(ask).map_err(|cause| unsent(CallPhase::Encode, peer, cause))?;
        let answer = self.call_bytes(peer, method, ask, deadline).await?;
        codec::decode(&answer).map_err(|cause| Error {
            phase: CallPhase::Decode,
            peer,
            sent: true,
            cause: cause.to_string(),
        })
    }

    async fn call_bytes(
        &self,
        peer: SocketAddr,
        method: &str,
        ask: Bytes,
        deadline: Instant,
    ) -> Result<Bytes, Error> {
        let request =
            request(peer, method).map_err(|cause| unsent(CallPhase::Encode, peer, cause))?;
        self.sweep();
        let link = self.link(peer);
        let Some(_permit) = before(deadline, link.calls().acquire()).await else {
            return Err(unsent(CallPhase::Timeout, peer, "too many calls are out"));
        };
        let Some(ready) = before(deadline, link.sender(peer)).await else {
            return Err(unsent(CallPhase::Timeout, peer, "no connection in time"));
        };
        let (sender, running) = ready.map_err(|cause| unsent(CallPhase::Connect, peer, cause))?;
        let exchange = exchange(sender, request, ask, self.limits.body_bytes);
        match before(deadline, exchange).await {
            Some(Ok(answer)) => {
                running.note_answer();
                Ok(answer)
            }
            Some(Err(Failure { phase, sent, cause })) => Err(Error { phase, peer, sent, cause }),
            None => {
                let cause = "no whole answer in time".to_owned();
                Err(Error { phase: CallPhase::Timeout, peer, sent: true, cause })
            }
        }
    }

    fn link(&self, peer: SocketAddr) -> Rc<Link> {
        let mut links = self.links.borrow_mut();
        links.entry(peer).or_insert_with(|| Rc::new(Link::new(self.limits))).clone()
    }

    /// Closes connections that rested too long, so that departed peers are forgotten.
    fn sweep(&self) {
        let rest = self.limits.idle_timeout / 2;
        if self.swept.get().elapsed() < rest {
            return;
        }
        self.swept.set(Instant::now());
        self.links.borrow_mut().retain(|_, link| Rc::strong_count(link) > 1 || link.idle() < rest);
    }
}

/// What went wrong on one stream, before the peer is named.
struct Failure {
    phase: CallPhase,
    sent: bool,
    cause: String,
}

impl Failure {
    fn new(phase: CallPhase, fault: &Fault) -> Self {
        let phase = if matches!(fault, Fault::TooLarge { .. }) { CallPhase::Decode } else { phase };
        let sent = !matches!(fault, Fault::H2(error) if is_refused(error));
        Self { phase, sent, cause: fault.to_string() }
    }
}

/// Whether the peer turned the stream away unread.
///
/// It says so by refusing the stream, or by ending the connection below the stream's number; the
/// protocol allows either only where the peer took no action.
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
    ask: Bytes,
    limit: usize,
) -> Result<Bytes, Failure> {
    let (response, mut stream) = sender.send_request(request, ask.is_empty()).map_err(|error| {
        Failure { phase: CallPhase::Connect, sent: false, cause: error.to_string() }
    })?;
    let written = body::write(&mut stream, ask).await;
    // A peer that refuses early resets the rest of the body; its answer tells more than the reset.
    let response = match (response.await, written) {
        (Ok(response), _) => response,
        (Err(_), Err(fault)) => return Err(Failure::new(CallPhase::Send, &fault)),
        (Err(error), Ok(())) => return Err(Failure::new(CallPhase::Receive, &Fault::H2(error))),
    };
    let status = response.status();
    let limit = if status == StatusCode::OK { limit } else { REASON_BYTES };
    let answer = body::read(&mut response.into_body(), limit)
        .await
        .map_err(|fault| Failure::new(CallPhase::Receive, &fault))?;
    if status == StatusCode::OK { Ok(answer) } else { Err(refusal(status, &answer)) }
}

fn refusal(status: StatusCode, reason: &[u8]) -> Failure {
    let cause = String::from_utf8_lossy(reason).into_owned();
    match Code::of_status(status) {
        Some(code) => Failure { phase: CallPhase::Refused(code), sent: true, cause },
        None => Failure { phase: CallPhase::Decode, sent: true, cause: format!("status {status}") },
    }
}

fn unsent(phase: CallPhase, peer: SocketAddr, cause: impl Display) -> Error {
    Error { phase, peer, sent: false, cause: cause.to_string() }
}

async fn before<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    monoio::time::timeout_at(deadline, future).await.ok()
}
