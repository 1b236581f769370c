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
use super::{Error, Limits, Request, Response, Step};

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
    /// Likewise; [`Step::Greet`] where the peer was not found to be the one that is wanted.
    pub async fn send_to(
        &self,
        peer: SocketAddr,
        greeting: Greeting<'_>,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.deliver(peer, Some(greeting), request, timeout).await
    }

    async fn deliver(
        &self,
        peer: SocketAddr,
        greeting: Option<Greeting<'_>>,
        mut request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + timeout;
        prepare(&mut request, peer);
        let identity = greeting.as_ref().map(|greeting| greeting.identity);
        let pool = self.pools.of(peer);
        let Some(_permit) = before(deadline, pool.permits().acquire()).await else {
            return Err(unsent(Step::Timeout, peer, "no free connection in time"));
        };
        if let Some(connection) = pool.take(self.pools.max_rest(), identity) {
            let result = self.exchange(&pool, connection, peer, &request, deadline).await;
            match result {
                // The peer closed the resting connection and the system took nothing for it.
                Err(Error { step: Step::Send, sent: false, .. }) => {}
                result => return result,
            }
        }
        let mut connection = open(peer, deadline).await?;
        pool.note_opened(peer);
        if let Some(greeting) = greeting {
            let suffices = greeting.suffices;
            let response = self.greet(&mut connection, peer, greeting, deadline).await?;
            if suffices {
                self.keep(&pool, connection);
                return Ok(response);
            }
        }
        self.exchange(&pool, connection, peer, &request, deadline).await
    }

    /// Makes sure of the peer on a new connection, before the request.
    async fn greet(
        &self,
        connection: &mut Connection,
        peer: SocketAddr,
        greeting: Greeting<'_>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let Greeting { identity, mut request, accept, .. } = greeting;
        prepare(&mut request, peer);
        connection.begin();
        let answer = match before(deadline, converse(connection, &request, &self.limits)).await {
            Some(Ok(answer)) => answer,
            Some(Err(failure)) => return Err(unsent(Step::Greet, peer, failure.cause)),
            None => return Err(unsent(Step::Timeout, peer, "no answer to the greeting in time")),
        };
        accept(&answer.response).map_err(|cause| unsent(Step::Greet, peer, cause))?;
        if !answer.reusable {
            return Err(unsent(Step::Greet, peer, "the peer closes after the greeting"));
        }
        connection.identify(identity);
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
            Some(Err(Failure { step, cause })) => {
                pool.note_lost(peer, connection.is_fresh(), &cause);
                Err(Error { step, peer, sent, cause })
            }
            None => Err(Error { step: Step::Timeout, peer, sent, cause: late(sent) }),
        }
    }
}

/// What is asked on each new connection before it carries a request.
///
/// Guards against a request that reaches the successor of the process that it is meant for, at the same
/// address: a connection leads to one process as long as it lives, so that asking once is enough.
pub struct Greeting<'a> {
    /// Who is wanted. Connections on which somebody else was found are not used.
    pub identity: &'a str,
    /// What to ask.
    pub request: Request,
    /// Says from the answer why the peer is not the one that is wanted.
    pub accept: &'a dyn Fn(&Response) -> Result<(), String>,
    /// Whether the request asks nothing else, so that on a new connection this answer will do.
    pub suffices: bool,
}

/// What went wrong on one connection, before peer and progress are known.
struct Failure {
    step: Step,
    cause: String,
}

impl From<Fault> for Failure {
    fn from(fault: Fault) -> Self {
        let step = match fault {
            Fault::Closed | Fault::Truncated | Fault::TimedOut | Fault::Io(_) => Step::Receive,
            Fault::HeadTooLarge | Fault::BodyTooLarge { .. } | Fault::Malformed(_) => Step::Decode,
        };
        Self { step, cause: fault.to_string() }
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
        Some(Err(cause)) => Err(unsent(Step::Connect, peer, cause)),
        None => Err(unsent(Step::Timeout, peer, "no connection in time")),
    }
}

async fn converse(
    connection: &mut Connection,
    request: &Request,
    limits: &Limits,
) -> Result<Answer, Failure> {
    if let Err(cause) = connection.write(request).await {
        let failure = Failure { step: Step::Send, cause: cause.to_string() };
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

fn unsent(step: Step, peer: SocketAddr, cause: impl Display) -> Error {
    Error { step, peer, sent: false, cause: cause.to_string() }
}

async fn before<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    monoio::time::timeout_at(deadline, future).await.ok()
}
