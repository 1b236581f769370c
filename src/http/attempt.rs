//! One call of the client: the choice of its connection, and the exchange on it.

use std::fmt::Display;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderValue;
use http::header::CONNECTION;
use monoio::time::Instant;

use super::client::{Client, IdentityCheck, set_version_and_host};
use super::message::MessageError;
use super::pool::{Connection, Pool, ReceivedResponse};
use super::quota::Quota;
use super::{CallPhase, Error, Limits, Request, Response};
use crate::descriptors::Class;
use crate::permit::SemaphorePermit;

/// Time for which a call waits for a kept connection before it uses another one, which is closed once
/// no call waits for it.
const REUSE_WAIT: Duration = Duration::from_millis(25);

/// One call of a client to a peer.
pub(super) struct Attempt<'a> {
    pub(super) client: &'a Client,
    pub(super) pool: Rc<Pool>,
    /// Quota of the peer, if it limits its connections.
    pub(super) quota: Option<Rc<Quota>>,
    pub(super) peer: SocketAddr,
    pub(super) deadline: Instant,
}

/// Permission to use one connection, until dropped.
struct Permit {
    _held: SemaphorePermit,
    /// Whether the connection is closed once no call waits for it.
    is_extra: bool,
}

impl Attempt<'_> {
    /// Sends the request and reads the whole response, after the `check` of a new connection.
    pub(super) async fn run(
        &self,
        mut request: Request,
        check: Option<IdentityCheck<'_>>,
    ) -> Result<Response, Error> {
        let permit = self.acquire_connection().await?;
        let is_extra = permit.is_extra;
        let mut turn = self.take_turn().await?;
        let identity = check.as_ref().map(|check| check.expected);
        if let Some(connection) = self.idle_connection(is_extra, identity) {
            match self.exchange(connection, is_extra, &mut request).await {
                // The peer closed the idle connection, and no byte of the request was sent.
                Err(Error { phase: CallPhase::Send, sent: false, .. }) => {}
                result => return result,
            }
        }
        let mut connection = match self.open().await {
            // The peer has accepted other connections: this one comes after them.
            Err(Error { phase: CallPhase::Refused, .. }) if turn.is_none() && self.has_others() => {
                turn = self.take_turn().await?;
                self.open().await?
            }
            result => result?,
        };
        self.pool.log_opened(self.peer);
        if let Some(check) = check {
            let answers_request = check.answers_request;
            let response = self.verify_peer(&mut connection, check).await?;
            if answers_request {
                if self.stays_open(&mut connection, is_extra) {
                    self.return_to_pool(connection, is_extra);
                }
                return Ok(response);
            }
        }
        let result = self.exchange(connection, is_extra, &mut request).await;
        drop(turn);
        result
    }

    /// Waits for a connection: for a short time for a kept one if others may be opened.
    async fn acquire_connection(&self) -> Result<Permit, Error> {
        let kept_by = match self.quota {
            Some(_) => (Instant::now() + REUSE_WAIT).min(self.deadline),
            None => self.deadline,
        };
        if let Some(held) = with_deadline(kept_by, self.pool.permits().acquire()).await {
            return Ok(Permit { _held: held, is_extra: false });
        }
        match with_deadline(self.deadline, self.pool.extra().acquire()).await {
            Some(held) => Ok(Permit { _held: held, is_extra: true }),
            None => Err(self.unsent(CallPhase::Timeout, "no free connection in time")),
        }
    }

    /// Waits for this call's turn, if it is a command to a peer that has refused a connection
    /// lately.
    async fn take_turn(&self) -> Result<Option<SemaphorePermit>, Error> {
        let limited = self.quota.as_ref().filter(|quota| quota.is_limited());
        let Some(quota) = limited.filter(|_| self.client.class == Class::Command) else {
            return Ok(None);
        };
        match with_deadline(self.deadline, quota.turns().acquire()).await {
            Some(turn) => Ok(Some(turn)),
            None => Err(self.unsent(CallPhase::Timeout, "no connection accepted in time")),
        }
    }

    fn idle_connection(&self, is_extra: bool, identity: Option<&str>) -> Option<Connection> {
        let is_limited = self.quota.is_some();
        self.pool.take(self.client.pools.max_idle(), |connection| {
            connection.has_identity(identity) && (!is_limited || connection.is_kept() != is_extra)
        })
    }

    /// Whether this process has connections to the peer.
    fn has_others(&self) -> bool {
        self.quota.as_ref().is_some_and(|quota| quota.is_in_use())
    }

    /// Whether a connection stays open after the request that is about to be sent on it.
    fn stays_open(&self, connection: &mut Connection, is_extra: bool) -> bool {
        let Some(quota) = &self.quota else { return true };
        if is_extra { self.pool.extra().has_waiting() } else { quota.keep(connection.kept()) }
    }

    async fn open(&self) -> Result<Connection, Error> {
        let slot = self.acquire_slot().await?;
        let descriptor = self
            .client
            .budget
            .acquire(self.client.class)
            .map_err(|cause| self.unsent(CallPhase::Descriptor, cause))?;
        match with_deadline(self.deadline, Connection::open(self.peer, descriptor)).await {
            Some(Ok(mut connection)) => {
                if let (Some(quota), Some(slot)) = (&self.quota, slot) {
                    connection.set_established(quota.note_established(slot));
                }
                Ok(connection)
            }
            Some(Err(cause)) => match &self.quota {
                Some(quota) if is_refusal(&cause) => {
                    quota.note_refused(None);
                    Err(self.unsent(CallPhase::Refused, cause))
                }
                _ => Err(self.unsent(CallPhase::Connect, cause)),
            },
            None => Err(self.unsent(CallPhase::Timeout, "connection not established in time")),
        }
    }

    /// Waits until this process may open another connection to a peer that limits them.
    async fn acquire_slot(&self) -> Result<Option<SemaphorePermit>, Error> {
        let Some(quota) = &self.quota else { return Ok(None) };
        match with_deadline(self.deadline, quota.slots().acquire()).await {
            Some(slot) => Ok(Some(slot)),
            None => Err(self.unsent(CallPhase::Timeout, "no other connection closed in time")),
        }
    }

    /// Verifies the peer's identity on a new connection, ahead of the request.
    async fn verify_peer(
        &self,
        connection: &mut Connection,
        check: IdentityCheck<'_>,
    ) -> Result<Response, Error> {
        let IdentityCheck { expected, mut request, verify, .. } = check;
        set_version_and_host(&mut request, self.peer);
        connection.reset_written();
        let round_trip = round_trip(connection, &request, &self.client.limits);
        let received = match with_deadline(self.deadline, round_trip).await {
            Some(Ok(received)) => received,
            Some(Err(failure)) => {
                let phase = match self.note_failure(connection, failure.phase) {
                    CallPhase::Refused => CallPhase::Refused,
                    _ => CallPhase::IdentityCheck,
                };
                return Err(self.unsent(phase, failure.cause));
            }
            None => {
                let cause = "no response to the identity check in time";
                return Err(self.unsent(CallPhase::Timeout, cause));
            }
        };
        self.note_answered(connection);
        verify(&received.response).map_err(|cause| self.unsent(CallPhase::IdentityCheck, cause))?;
        if !received.reusable {
            let cause = "the peer closes the connection after the identity check";
            return Err(self.unsent(CallPhase::IdentityCheck, cause));
        }
        connection.set_identity(expected);
        Ok(received.response)
    }

    /// Returns a connection to the pool after a complete response, unless it is needed no more.
    fn return_to_pool(&self, connection: Connection, is_extra: bool) {
        if is_extra && !self.pool.extra().has_waiting() {
            return;
        }
        self.pool.put(connection);
        self.client.pools.start_sweeping();
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        is_extra: bool,
        request: &mut Request,
    ) -> Result<Response, Error> {
        let stays_open = self.stays_open(&mut connection, is_extra);
        if self.quota.is_some() {
            set_connection_header(request, stays_open);
        }
        connection.reset_written();
        let round_trip = round_trip(&mut connection, request, &self.client.limits);
        let outcome = with_deadline(self.deadline, round_trip).await;
        let (peer, sent) = (self.peer, connection.is_sent());
        match outcome {
            Some(Ok(received)) => {
                self.note_answered(&connection);
                if received.reusable && stays_open {
                    self.return_to_pool(connection, is_extra);
                }
                Ok(received.response)
            }
            Some(Err(ExchangeFailure { phase, cause })) => {
                self.pool.log_lost(peer, connection.is_fresh(), &cause);
                let phase = self.note_failure(&mut connection, phase);
                Err(Error { phase, peer, sent, cause })
            }
            None => {
                Err(Error { phase: CallPhase::Timeout, peer, sent, cause: timeout_cause(sent) })
            }
        }
    }

    /// Records a response on a connection whose peer limits its connections.
    fn note_answered(&self, connection: &Connection) {
        if let (Some(quota), Some(established)) = (&self.quota, connection.established()) {
            quota.note_answered(established);
        }
    }

    /// Returns the phase of a failure, and records a refusal: a peer that limits its connections
    /// closes those beyond its limit before any response.
    fn note_failure(&self, connection: &mut Connection, phase: CallPhase) -> CallPhase {
        let is_closed = matches!(phase, CallPhase::Send | CallPhase::Receive);
        match &self.quota {
            Some(quota) if is_closed && connection.is_fresh() => {
                quota.note_refused(connection.take_established());
                CallPhase::Refused
            }
            _ => phase,
        }
    }

    fn unsent(&self, phase: CallPhase, cause: impl Display) -> Error {
        Error { phase, peer: self.peer, sent: false, cause: cause.to_string() }
    }
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
            | MessageError::Evicted
            | MessageError::Io(_) => CallPhase::Receive,
            MessageError::HeadTooLarge
            | MessageError::BodyTooLarge { .. }
            | MessageError::Malformed(_) => CallPhase::Decode,
        };
        Self { phase, cause: error.to_string() }
    }
}

/// Whether a connection failed because the peer's system refused it.
fn is_refusal(cause: &io::Error) -> bool {
    matches!(cause.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionRefused)
}

/// Asks the peer to close the connection after its response, unless it stays open.
fn set_connection_header(request: &mut Request, stays_open: bool) {
    if stays_open {
        request.headers_mut().remove(CONNECTION);
    } else {
        request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
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

async fn with_deadline<F: Future>(deadline: Instant, future: F) -> Option<F::Output> {
    monoio::time::timeout_at(deadline, future).await.ok()
}
