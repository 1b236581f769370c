//! Pool of the connections to one peer.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::{HeaderMap, Method, StatusCode, Version};
use monoio::io::sink::Sink;
use monoio::io::{OwnedReadHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::Instant;
use monoio_http::common::body::HttpBody;
use monoio_http::common::error::HttpError;
use monoio_http::common::request::{RequestHeadRef, RequestRef};
use monoio_http::h1::codec::decoder::{GenericHeadDecoder, ResponseHeadDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;

use super::limited::{Reader, Writer};
use super::message::{self, MessageError, MessageReader};
use super::quota::{KeptGuard, OpenGuard};
use super::{Limits, Request, Response};
use crate::descriptors::{Guard, IdleHolder, Offer, OfferId};
use crate::permit;

/// Maximum number of heads read for one response, interim (1xx) ones included.
const MAX_RESPONSE_HEADS: usize = 4;

/// Open connections to one peer are logged each time their number has grown by this many.
const LOGGED_CONNECTIONS_STEP: usize = 16;

/// Minimum interval between two log lines about lost connections to one peer.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// One connection to a peer, used by one request at a time.
pub(super) struct Connection {
    source: MessageReader<ResponseHeadDecoder>,
    sink: GenericEncoder<Writer>,
    written: Rc<Cell<usize>>,
    idle_since: Instant,
    /// Whether no response has been read on it yet.
    fresh: bool,
    /// Verified identity of the peer, if it was checked.
    identity: Option<Rc<str>>,
    /// Offer to close the connection while it is idle.
    offer: Option<Offer>,
    /// Counts it while it is kept open, if its peer limits its connections.
    kept: Option<KeptGuard>,
    /// Counts it while it is open, if its peer limits its connections.
    established: Option<OpenGuard>,
    // Declared last, so that the socket is closed before its descriptor counts as free.
    descriptor: Guard,
}

/// A response, and whether the connection may be reused.
pub(super) struct ReceivedResponse {
    pub(super) response: Response,
    pub(super) reusable: bool,
}

impl Connection {
    pub(super) async fn open(peer: SocketAddr, descriptor: Guard) -> io::Result<Self> {
        let stream = TcpStream::connect_addr(peer).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Self::from_halves(read, write, descriptor))
    }

    fn from_halves(
        read: OwnedReadHalf<TcpStream>,
        write: monoio::io::OwnedWriteHalf<TcpStream>,
        descriptor: Guard,
    ) -> Self {
        let written = Rc::new(Cell::new(0));
        let reader = Reader::new(read);
        Self {
            source: MessageReader::new(reader, GenericHeadDecoder::new(ResponseHeadDecoder)),
            sink: GenericEncoder::new(Writer::new(write, written.clone())),
            written,
            idle_since: Instant::now(),
            fresh: true,
            identity: None,
            offer: None,
            kept: None,
            established: None,
            descriptor,
        }
    }

    /// Whether the operating system has accepted any byte of the current request.
    pub(super) fn is_sent(&self) -> bool {
        self.written.get() > 0
    }

    /// Whether no response has been read on it yet.
    pub(super) fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Counts it among the connections to a peer that limits them.
    pub(super) fn set_established(&mut self, established: OpenGuard) {
        self.established = Some(established);
    }

    pub(super) const fn established(&self) -> Option<&OpenGuard> {
        self.established.as_ref()
    }

    /// Ends the count of a connection that the peer has refused.
    pub(super) const fn take_established(&mut self) -> Option<OpenGuard> {
        self.established.take()
    }

    /// Whether its peer has passed the check for this identity; `None` if no check is asked for.
    pub(super) fn has_identity(&self, identity: Option<&str>) -> bool {
        self.identity.as_deref() == identity
    }

    /// Whether it is kept open while it is not needed, at a peer that limits its connections.
    pub(super) const fn is_kept(&self) -> bool {
        self.kept.is_some()
    }

    /// Whether it is counted as kept open, to be changed before a request.
    pub(super) const fn kept(&mut self) -> &mut Option<KeptGuard> {
        &mut self.kept
    }

    /// Records the verified identity of the peer.
    pub(super) fn set_identity(&mut self, identity: &str) {
        self.identity = Some(identity.into());
    }

    /// Resets the count of written bytes before a request.
    pub(super) fn reset_written(&mut self) {
        self.written.set(0);
    }

    /// Writes the whole request.
    pub(super) async fn write(&mut self, request: &Request) -> Result<(), HttpError> {
        let item =
            RequestRef { parts: RequestHeadRef::from_http(request), body: request_body(request) };
        self.sink.send(item).await?;
        Sink::<RequestRef<'_, HttpBody>>::flush(&mut self.sink).await
    }

    /// Reads the whole response to a request with `method`.
    pub(super) async fn read(
        &mut self,
        method: &Method,
        limits: &Limits,
    ) -> Result<ReceivedResponse, MessageError> {
        let (head, framing) = self.final_head(limits).await?;
        let bodiless = is_bodiless(method, head.status);
        if !bodiless {
            check_delimited(head.version, &head.headers, limits.body_bytes)?;
        }
        let body = if bodiless {
            Bytes::new()
        } else {
            message::body(&mut self.source, &framing, &head.headers, limits.body_bytes).await?
        };
        // Bytes after the response belong to no request of this connection: the peer mixes up or
        // repeats responses. The next caller must not receive them.
        let reusable = message::keeps_alive(head.version, &head.headers)
            && self.source.read_buffer().is_empty()
            && !(bodiless && message::has_body(&head.headers));
        Ok(ReceivedResponse { response: Response::from_parts(head, body), reusable })
    }

    async fn final_head(
        &mut self,
        limits: &Limits,
    ) -> Result<(http::response::Parts, message::Framing), MessageError> {
        for _ in 0..MAX_RESPONSE_HEADS {
            let (head, framing) = message::head(&mut self.source, limits.head_bytes()).await?;
            if !head.status.is_informational() {
                return Ok((head, framing));
            }
        }
        Err(MessageError::Malformed("too many interim responses".to_owned()))
    }

    /// Whether the peer has neither closed the connection nor sent anything on it.
    ///
    /// A byte that arrives while no request is in flight belongs to a late or misdirected response.
    /// It must not reach the next caller, so that the connection is closed.
    fn is_quiet(&mut self) -> bool {
        self.source.get_mut().allow(1);
        self.source.read_buffer().is_empty() && self.source.peek_data().now_or_never().is_none()
    }
}

/// Returns the body to send; an empty body is omitted for methods that usually have none.
fn request_body(request: &Request) -> HttpBody {
    let omit_body = matches!(*request.method(), Method::GET | Method::HEAD | Method::DELETE);
    if omit_body && request.body().is_empty() {
        return HttpBody::Ready(None);
    }
    HttpBody::Ready(Some(request.body().clone()))
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Rejects a response whose end cannot be distinguished from a lost connection.
fn check_delimited(
    version: Version,
    headers: &HeaderMap,
    limit: usize,
) -> Result<(), MessageError> {
    if !message::is_delimited(headers) {
        let reason = "the response has neither content-length nor chunked encoding";
        return Err(MessageError::Malformed(reason.to_owned()));
    }
    message::check_framing(version, headers, limit)
}

/// The connections to one peer.
pub(super) struct Pool {
    permits: permit::Semaphore,
    extra: permit::Semaphore,
    idle: RefCell<Vec<Connection>>,
    /// Largest number of open connections that has been logged.
    logged: Cell<usize>,
    next_log: Cell<Instant>,
}

impl Pool {
    /// Creates a pool of `reused` connections, with at most `extra` others at once.
    pub(super) fn new(reused: usize, extra: usize) -> Self {
        Self {
            permits: permit::Semaphore::new(reused),
            extra: permit::Semaphore::new(extra),
            idle: RefCell::new(Vec::new()),
            logged: Cell::new(0),
            next_log: Cell::new(Instant::now()),
        }
    }

    /// Semaphore that limits the reused connections in use.
    pub(super) const fn permits(&self) -> &permit::Semaphore {
        &self.permits
    }

    /// Semaphore that limits the other connections in use, which are closed once nobody waits for
    /// one of them.
    pub(super) const fn extra(&self) -> &permit::Semaphore {
        &self.extra
    }

    /// Takes the most recently used idle connection that `is_usable`. Connections that have been
    /// idle for `max_idle`, were closed or received unexpected data are dropped.
    pub(super) fn take(
        &self,
        max_idle: Duration,
        is_usable: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(index) = idle.iter().rposition(&is_usable) {
            let mut connection = idle.remove(index);
            connection.offer = None;
            if connection.idle_since.elapsed() < max_idle && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Number of connections in use or idle.
    fn open(&self) -> usize {
        self.permits.in_use() + self.extra.in_use() + self.idle.borrow().len()
    }

    /// Logs when this process has many connections to the peer, which may limit their number.
    pub(super) fn log_opened(&self, peer: SocketAddr) {
        let open = self.open();
        if open >= self.logged.get() + LOGGED_CONNECTIONS_STEP {
            self.logged.set(open);
            log::info!("event=http.connections_many peer={peer} open={open}");
        }
    }

    /// Logs a connection that failed before a complete response. Whether it had carried a response
    /// before, and how many others are open, help to distinguish a peer that accepts no more
    /// connections from a broken network path.
    pub(super) fn log_lost(&self, peer: SocketAddr, fresh: bool, cause: &str) {
        let now = Instant::now();
        if now < self.next_log.get() {
            return;
        }
        self.next_log.set(now + LOG_INTERVAL);
        let used = self.permits.in_use() + self.extra.in_use();
        let resting = self.idle.borrow().len();
        log::info!(
            "event=http.connection_lost peer={peer} fresh={fresh} used={used} resting={resting} \
             cause={cause:?}"
        );
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn put(self: &Rc<Self>, mut connection: Connection) {
        connection.fresh = false;
        connection.idle_since = Instant::now();
        let holder: Weak<Self> = Rc::downgrade(self);
        connection.offer = connection.descriptor.offer(holder);
        self.idle.borrow_mut().push(connection);
    }

    /// Closes connections that were idle too long; returns whether any connection is left or in
    /// use.
    pub(super) fn sweep(&self, max_idle: Duration) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| connection.idle_since.elapsed() < max_idle);
        !idle.is_empty() || self.permits.is_in_use()
    }
}

impl IdleHolder for Pool {
    fn close_idle(&self, offer: OfferId) {
        let mut idle = self.idle.borrow_mut();
        let has_offer =
            |connection: &Connection| connection.offer.as_ref().map(Offer::id) == Some(offer);
        if let Some(index) = idle.iter().position(has_offer) {
            drop(idle.remove(index));
        }
    }
}
