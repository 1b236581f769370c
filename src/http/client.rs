//! Client with pooled connections, whose errors state whether the request may have been sent.

use std::fmt::Display;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header::HOST;
use http::{HeaderValue, Version};
use monoio::time::Instant;

use super::message::MessageError;
use super::pool::{Connection, Pool, ReceivedResponse};
use super::pool_map::PoolMap;
use super::{CallPhase, Error, Limits, Request, Response};
use crate::descriptors::{Budget, Class};

/// Sends requests to peers named by address.
///
/// Each request uses a connection exclusively until its whole response is read. A connection is
/// closed after a timeout, an error, a truncated response or unexpected data, or if the caller
/// drops the request, so that a late response cannot reach another caller.
///
/// Requests are not retried, with one exception: if a pooled connection fails without any byte of
/// the request being sent, a new connection replaces it.
///
/// Connections are reused within half of the idle timeout, and closed within the whole of it even
/// if no further requests are sent. A process that no longer calls a peer therefore does not use up
/// the peer's limit of connections.
pub struct Client {
    limits: Limits,
    pools: Rc<PoolMap>,
    budget: Rc<Budget>,
    class: Class,
}

impl Client {
    /// Builds a client without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            pools: Rc::new(PoolMap::new(limits.connections, limits.idle_timeout / 2)),
            budget: Rc::new(Budget::unlimited()),
            class: Class::Control,
        }
    }

    /// Counts the connections in `budget` as ones of `class`. A request that needs a new connection
    /// when no descriptor is left fails at once with [`CallPhase::Descriptor`], surely not sent.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use oriolefork::descriptors::{Budget, Class, Shares};
    /// use oriolefork::http::{Client, Limits};
    /// let budget = Rc::new(Budget::new(100, Shares::default()));
    /// let client = Client::new(Limits::default()).with_budget(budget, Class::Poll);
    /// ```
    #[must_use]
    pub fn with_budget(self, budget: Rc<Budget>, class: Class) -> Self {
        Self { budget, class, ..self }
    }

    /// Sends `request` to `peer` and reads the whole response, both within `timeout`.
    ///
    /// The request's path and query are used, its authority is not; `host` is added if it is
    /// missing. Dropping the future abandons the request and closes its connection.
    ///
    /// # Errors
    /// Fails if no complete response was read. [`Error::sent`] states whether the peer may have
    /// acted on the request.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.send_inner(peer, None, request, timeout).await
    }

    /// Sends `request` like [`Client::send`], on a connection whose peer has passed `check`.
    ///
    /// # Errors
    /// Fails like [`Client::send`], and with [`CallPhase::IdentityCheck`] if the check failed.
    pub async fn send_verified(
        &self,
        peer: SocketAddr,
        check: IdentityCheck<'_>,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.send_inner(peer, Some(check), request, timeout).await
    }

    async fn send_inner(
        &self,
        peer: SocketAddr,
        check: Option<IdentityCheck<'_>>,
        mut request: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let deadline = Instant::now() + timeout;
        set_version_and_host(&mut request, peer);
        let identity = check.as_ref().map(|check| check.expected);
        let pool = self.pools.of(peer);
        let Some(_permit) = with_deadline(deadline, pool.permits().acquire()).await else {
            return Err(unsent(CallPhase::Timeout, peer, "no free connection in time"));
        };
        if let Some(connection) = pool.take(self.pools.max_idle(), identity) {
            let result = self.exchange(&pool, connection, peer, &request, deadline).await;
            match result {
                // The peer closed the idle connection, and no byte of the request was sent.
                Err(Error { phase: CallPhase::Send, sent: false, .. }) => {}
                result => return result,
            }
        }
        let mut connection = self.open(peer, deadline).await?;
        pool.log_opened(peer);
        if let Some(check) = check {
            let answers_request = check.answers_request;
            let response = self.verify_peer(&mut connection, peer, check, deadline).await?;
            if answers_request {
                self.return_to_pool(&pool, connection);
                return Ok(response);
            }
        }
        self.exchange(&pool, connection, peer, &request, deadline).await
    }

    async fn open(&self, peer: SocketAddr, deadline: Instant) -> Result<Connection, Error> {
        let descriptor = self
            .budget
            .acquire(self.class)
            .map_err(|cause| unsent(CallPhase::Descriptor, peer, cause))?;
        match with_deadline(deadline, Connection::open(peer, descriptor)).await {
            Some(Ok(connection)) => Ok(connection),
            Some(Err(cause)) => Err(unsent(CallPhase::Connect, peer, cause)),
            None => Err(unsent(CallPhase::Timeout, peer, "connection not established in time")),
        }
    }

    /// Verifies the peer's identity on a new connection, ahead of the request.
    async fn verify_peer(
        &self,
        connection: &mut Connection,
        peer: SocketAddr,
        check: IdentityCheck<'_>,
        deadline: Instant,
    ) -> Result<Response, Error> {
        let IdentityCheck { expected, mut request, verify, .. } = check;
        set_version_and_host(&mut request, peer);
        connection.reset_written();
        let received =
            match with_deadline(deadline, round_trip(connection, &request, &self.limits)).await {
                Some(Ok(received)) => received,
                Some(Err(failure)) => {
                    return Err(unsent(CallPhase::IdentityCheck, peer, failure.cause));
                }
                None => {
                    return Err(unsent(
                        CallPhase::Timeout,
                        peer,
                        "no response to the identity check in time",
                    ));
                }
            };
        verify(&received.response)
            .map_err(|cause| unsent(CallPhase::IdentityCheck, peer, cause))?;
        if !received.reusable {
            return Err(unsent(
                CallPhase::IdentityCheck,
                peer,
                "the peer closes the connection after the identity check",
            ));
        }
        connection.set_identity(expected);
        Ok(received.response)
    }

    /// Returns a connection to the pool after a complete response.
    fn return_to_pool(&self, pool: &Rc<Pool>, connection: Connection) {
        pool.put(connection);
        self.pools.start_sweeping();
    }

    async fn exchange(
        &self,
        pool: &Rc<Pool>,
        mut connection: Connection,
        peer: SocketAddr,
        request: &Request,
        deadline: Instant,
    ) -> Result<Response, Error> {
        connection.reset_written();
        let outcome =
            with_deadline(deadline, round_trip(&mut connection, request, &self.limits)).await;
        let sent = connection.is_sent();
        match outcome {
            Some(Ok(received)) => {
                if received.reusable {
                    self.return_to_pool(pool, connection);
                }
                Ok(received.response)
            }
            Some(Err(ExchangeFailure { phase, cause })) => {
                pool.log_lost(peer, connection.is_fresh(), &cause);
                Err(Error { phase, peer, sent, cause })
            }
            None => {
                Err(Error { phase: CallPhase::Timeout, peer, sent, cause: timeout_cause(sent) })
            }
        }
    }
}

/// Request that verifies the identity of the peer on each new connection.
///
/// Prevents a request from reaching the successor of the intended process at the same address. A
/// connection leads to the same process for its lifetime, so that one check per connection
/// suffices.
pub struct IdentityCheck<'a> {
    /// Identity of the intended peer. Only pooled connections verified for it are reused.
    pub expected: &'a str,
    /// Request whose response identifies the peer.
    pub request: Request,
    /// Checks the response; returns an error with the cause if it comes from another peer.
    pub verify: &'a dyn Fn(&Response) -> Result<(), String>,
    /// Whether the response to the check also answers the actual request, which is then not sent on
    /// a new connection.
    pub answers_request: bool,
}

/// Error of one exchange; the caller adds the peer's address and whether anything was sent.
struct ExchangeFailure {
    phase: CallPhase,
    cause: String,
}

impl From<MessageError> for ExchangeFailure {
    fn from(error: MessageError) -> Self {
        let phase = match error {
            MessageError::Closed
            | MessageError::Truncated
            | MessageError::TimedOut
            | MessageError::Io(_) => CallPhase::Receive,
            MessageError::HeadTooLarge
            | MessageError::BodyTooLarge { .. }
            | MessageError::Malformed(_) => CallPhase::Decode,
        };
        Self { phase, cause: error.to_string() }
    }
}

fn set_version_and_host(request: &mut Request, peer: SocketAddr) {
    *request.version_mut() = Version::HTTP_11;
    if let Ok(host) = HeaderValue::try_from(peer.to_string()) {
        request.headers_mut().entry(HOST).or_insert(host);
    }
}

async fn round_trip(
    connection: &mut Connection,
    request: &Request,
    limits: &Limits,
) -> Result<ReceivedResponse, ExchangeFailure> {
    if let Err(cause) = connection.write(request).await {
        let failure = ExchangeFailure { phase: CallPhase::Send, cause: cause.to_string() };
        return early_response(connection, request, limits, failure).await;
    }
    connection.read(request.method(), limits).await.map_err(ExchangeFailure::from)
}

/// Reads the response of a peer that refused the request without reading the whole of it.
async fn early_response(
    connection: &mut Connection,
    request: &Request,
    limits: &Limits,
    failure: ExchangeFailure,
) -> Result<ReceivedResponse, ExchangeFailure> {
    if !connection.is_sent() {
        return Err(failure);
    }
    match connection.read(request.method(), limits).await {
        Ok(received) => Ok(ReceivedResponse { reusable: false, ..received }),
        Err(_) => Err(failure),
    }
}

fn timeout_cause(sent: bool) -> String {
    if sent {
        "no complete response in time".to_owned()
    } else {
        "request not sent in time".to_owned()
    }
}

fn unsent(phase: CallPhase, peer: SocketAddr, cause: impl Display) -> Error {
    Error { phase, peer, sent: false, cause: cause.to_string() }
}

async fn with_deadline<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    monoio::time::timeout_at(deadline, future).await.ok()
}
