//! Client with pooled connections that tells surely-not-sent from maybe-sent.

use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header::HOST;
use http::{HeaderValue, Version};
use monoio::time::Instant;

use super::message::Fault;
use super::pool::{Answer, Connection, Pool};
use super::pools::Pools;
use super::{CallPhase, Error, Limits, Request, Response};

/// Sends requests to peers named by address.
///
/// Each request has a connection of its own until its whole answer is read. A connection that saw a
/// timeout, an error, a cut answer or an unasked byte, or whose caller went away, is closed, so
/// that a late answer can never reach another caller.
///
/// Nothing is retried, with one exception: a pooled connection that fails before it took one byte
/// of the request is replaced by a fresh one.
///
/// Connections rest for half of the idle timeout, and at most once more as long until they are closed,
/// also when nothing is sent any more. So a peer that bounds its connections is not held up by a
/// process that calls it no longer.
pub struct Client {
    limits: Limits,
    pools: Rc<Pools>,
}

impl Client {
    /// Builds a client without connections.
    pub fn new(limits: Limits) -> Self {
        Self { limits, pools: Rc::new(Pools::new(limits.connections, limits.idle_timeout / 2)) }
    }

    /// Sends `request` to `peer` and reads the whole answer, both within `timeout`.
    ///
    /// The request's path and query are used, its authority is not; `host` is added when it is
    /// missing. Dropping the future abandons the request and closes its connection.
    ///
    /// # Errors
    /// When no whole answer was read. [`Error::sent`] tells whether the peer may have acted.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.deliver(peer, None, request, timeout).await
    }

    /// Sends `request` as [`Client::send`] does, on a connection whose other end has been made sure of.
    ///
    /// # Errors
    /// Likewise; [`CallPhase::IdentityCheck`] where the peer was not found to be the one that is wanted.
    pub async fn send_verified(
        &self,
        peer: SocketAddr,
        check: IdentityCheck<'_>,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.deliver(peer, Some(check), request, timeout).await
    }

    async fn deliver(
        &self,
        peer: SocketAddr,
        check: Option<IdentityCheck<'_>>,
        mut request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + timeout;
        prepare(&mut request, peer);
        let identity = check.as_ref().map(|check| check.expected);
        let pool = self.pools.of(peer);
        let Some(_permit) = before(deadline, pool.permits().acquire()).await else {
            return Err(unsent(CallPhase::Timeout, peer, "no free connection in time"));
        };
        if let Some(connection) = pool.take(self.pools.max_rest(), identity) {
            let result = self.exchange(&pool, connection, peer, &request, deadline).await;
            match result {
                // The peer closed the resting connection and the system took nothing for it.
                Err(Error { phase: CallPhase::Send, sent: false, .. }) => {}
                result => return result,
            }
        }
        let mut connection = open(peer, deadline).await?;
        pool.note_opened(peer);
        if let Some(check) = check {
            let answers_request = check.answers_request;
            let response = self.verify_peer(&mut connection, peer, check, deadline).await?;
            if answers_request {
                self.keep(&pool, connection);
                return Ok(response);
            }
        }
        self.exchange(&pool, connection, peer, &request, deadline).await
    }

    /// Makes sure of the peer on a new connection, before the request.
    async fn verify_peer(
        &self,
        connection: &mut Connection,
        peer: SocketAddr,
        check: IdentityCheck<'_>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let IdentityCheck { expected, mut request, verify, .. } = check;
        prepare(&mut request, peer);
        connection.begin();
        let answer = match before(deadline, converse(connection, &request, &self.limits)).await {
            Some(Ok(answer)) => answer,
            Some(Err(failure)) => {
                return Err(unsent(CallPhase::IdentityCheck, peer, failure.cause));
            }
            None => {
                return Err(unsent(CallPhase::Timeout, peer, "no answer to the greeting in time"));
            }
        };
        verify(&answer.response).map_err(|cause| unsent(CallPhase::IdentityCheck, peer, cause))?;
        if !answer.reusable {
            return Err(unsent(
                CallPhase::IdentityCheck,
                peer,
                "the peer closes after the greeting",
            ));
        }
        connection.identify(expected);
        Ok(answer.response)
    }

    /// Keeps a connection whose answer was read whole for the next request.
    fn keep(&self, pool: &Pool, connection: Connection) {
        pool.put(connection);
        self.pools.keep_swept();
    }

    async fn exchange(
        &self,
        pool: &Pool,
        mut connection: Connection,
        peer: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Response, Error> {
        connection.begin();
        let outcome = before(deadline, converse(&mut connection, request, &self.limits)).await;
        let sent = connection.is_sent();
        match outcome {
            Some(Ok(answer)) => {
                if answer.reusable {
                    self.keep(pool, connection);
                }
                Ok(answer.response)
            }
            Some(Err(Failure { phase, cause })) => {
                pool.note_lost(peer, connection.is_fresh(), &cause);
                Err(Error { phase, peer, sent, cause })
            }
            None => Err(Error { phase: CallPhase::Timeout, peer, sent, cause: late(sent) }),
        }
    }
}

/// What is asked on each new connection before it carries a request.
///
/// Guards against a request that reaches the successor of the process that it is meant for, at the same
/// address: a connection leads to one process as long as it lives, so that asking once is enough.
pub struct IdentityCheck<'a> {
    /// Who is wanted. Connections on which somebody else was found are not used.
    pub expected: &'a str,
    /// What to ask.
    pub request: Request,
    /// Says from the answer why the peer is not the one that is wanted.
    pub verify: &'a dyn Fn(&Response) -> Result<(), String>,
    /// Whether the request asks nothing else, so that on a new connection this answer will do.
    pub answers_request: bool,
}

/// What went wrong on one connection, before peer and progress are known.
struct Failure {
    phase: CallPhase,
    cause: String,
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Self {
        let phase = match fault {
            Fault::Closed | Fault::Truncated | Fault::TimedOut | Fault::Io(_) => CallPhase::Receive,
            Fault::HeadTooLarge | Fault::BodyTooLarge { .. } | Fault::Malformed(_) => {
                CallPhase::Decode
            }
        };
        Self { phase, cause: fault.to_string() }
    }
}

fn prepare(request: &mut Request, peer: SocketAddr) {
    *request.version_mut() = Version::HTTP_11;
    if let Ok(host) = HeaderValue::try_from(peer.to_string()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
}

async fn open(peer: SocketAddr, deadline: Instant) -> Result<Connection, Error> {
    match before(deadline, Connection::open(peer)).await {
        Some(Ok(connection)) => Ok(connection),
        Some(Err(cause)) => Err(unsent(CallPhase::Connect, peer, cause)),
        None => Err(unsent(CallPhase::Timeout, peer, "no connection in time")),
    }
}

async fn converse(
    connection: &mut Connection,
    request: &Request,
    limits: &Limits,
) -> Result<Answer, Failure> {
    if let Err(cause) = connection.write(request).await {
        let failure = Failure { phase: CallPhase::Send, cause: cause.to_string() };
        return early_answer(connection, request, limits, failure).await;
    }
    connection.read(request.method(), limits).await.map_err(Failure::from)
}

/// Reads the answer of a peer that refused the request before taking it whole.
async fn early_answer(
    connection: &mut Connection,
    request: &Request,
    limits: &Limits,
    failure: Failure,
) -> Result<Answer, Failure> {
    if !connection.is_sent() {
        return Err(failure);
    }
    match connection.read(request.method(), limits).await {
        Ok(answer) => Ok(Answer { reusable: false, ..answer }),
        Err(_) => Err(failure),
    }
}

fn late(sent: bool) -> String {
    if sent { "no whole answer in time".to_owned() } else { "request not taken in time".to_owned() }
}

fn unsent(phase: CallPhase, peer: SocketAddr, cause: impl Display) -> Error {
    Error { phase, peer, sent: false, cause: cause.to_string() }
}

async fn before<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    monoio::time::timeout_at(deadline, future).await.ok()
}
