//! Connections to one peer that rest between two requests.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
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
use super::message::{self, Fault, Source};
use super::{Limits, Request, Response};
use crate::permit;

/// Interim answers that are passed over before the final one.
const INTERIM_LIMIT: usize = 4;

/// Connections to one peer of which each further such number is told in the log.
const NOTED_CONNECTIONS: usize = 16;

/// Rest between two log lines on lost connections to one peer.
const NOTE_REST: Duration = Duration::from_secs(1);

/// One connection to a peer, used by one request at a time.
pub(super) struct Connection {
    source: Source<ResponseHeadDecoder>,
    sink: GenericEncoder<Writer>,
    written: Rc<Cell<usize>>,
    rested: Instant,
    /// Whether it has not carried an answer yet.
    fresh: bool,
    /// Who has been found at its other end, where that was asked.
    identity: Option<Rc<str>>,
}

/// An answer, and whether the connection may carry another request.
pub(super) struct Answer {
    pub(super) response: Response,
    pub(super) reusable: bool,
}

impl Connection {
    pub(super) async fn open(peer: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_addr(peer).await?;
        stream.set_nodelay(true)?;
        let (read, write) = stream.into_split();
        Ok(Self::over(read, write))
    }

    fn over(read: OwnedReadHalf<TcpStream>, write: monoio::io::OwnedWriteHalf<TcpStream>) -> Self {
        let written = Rc::new(Cell::new(0));
        let reader = Reader::new(read);
        Self {
            source: Source::new(reader, GenericHeadDecoder::new(ResponseHeadDecoder)),
            sink: GenericEncoder::new(Writer::new(write, written.clone())),
            written,
            rested: Instant::now(),
            fresh: true,
            identity: None,
        }
    }

    /// Whether any byte of the present request has been taken by the system.
    pub(super) fn is_sent(&self) -> bool {
        self.written.get() > 0
    }

    /// Whether it has not carried an answer yet.
    pub(super) fn is_fresh(&self) -> bool {
        self.fresh
    }

    /// Notes who has been found at its other end.
    pub(super) fn identify(&mut self, identity: &str) {
        self.identity = Some(identity.into());
    }

    /// Forgets the bytes of the request before.
    pub(super) fn begin(&mut self) {
        self.written.set(0);
    }

    /// Writes `request` whole.
    pub(super) async fn write(&mut self, request: &Request) -> Result<(), HttpError> {
        let item =
            RequestRef { parts: RequestHeadRef::from_http(request), body: outgoing(request) };
        self.sink.send(item).await?;
        Sink::<RequestRef<'_, HttpBody>>::flush(&mut self.sink).await
    }

    /// Reads the whole answer to a request of `method`.
    pub(super) async fn read(&mut self, method: &Method, limits: &Limits) -> Result<Answer, Fault> {
        let (head, framing) = self.final_head(limits).await?;
        let bodiless = is_bodiless(method, head.status);
        if !bodiless {
            check_end(head.version, &head.headers, limits.body_bytes)?;
        }
        let body = if bodiless {
            Bytes::new()
        } else {
            message::body(&mut self.source, framing, limits.body_bytes).await?
        };
        // Bytes after the answer belong to no request of this connection: a peer that crosses or
        // repeats answers shows itself so, and the next caller must not meet them.
        let reusable = message::keeps_alive(head.version, &head.headers)
            && self.source.read_buffer().is_empty()
            && !(bodiless && message::announces_body(&head.headers));
        Ok(Answer { response: Response::from_parts(head, body), reusable })
    }

    async fn final_head(
        &mut self,
        limits: &Limits,
    ) -> Result<(http::response::Parts, message::Framing), Fault> {
        for _ in 0..INTERIM_LIMIT {
            let (head, framing) = message::head(&mut self.source, limits.head_bytes()).await?;
            if !head.status.is_informational() {
                return Ok((head, framing));
            }
        }
        Err(Fault::Malformed("too many interim answers".to_owned()))
    }

    /// Whether the peer has neither closed the connection nor sent anything on it.
    ///
    /// A byte that arrives while no request is out is a late or crossed answer; it must not reach
    /// the next caller, so that the connection is given up.
    fn is_quiet(&mut self) -> bool {
        self.source.get_mut().allow(1);
        self.source.read_buffer().is_empty() && self.source.peek_data().now_or_never().is_none()
    }
}

/// The body to send; none only where the method commonly has none.
fn outgoing(request: &Request) -> HttpBody {
    let none = matches!(*request.method(), Method::GET | Method::HEAD | Method::DELETE);
    if none && request.body().is_empty() {
        return HttpBody::Ready(None);
    }
    HttpBody::Ready(Some(request.body().clone()))
}

fn is_bodiless(method: &Method, status: StatusCode) -> bool {
    method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Refuses an answer whose end cannot be told from a cut connection.
fn check_end(version: Version, headers: &HeaderMap, limit: usize) -> Result<(), Fault> {
    if !message::is_delimited(headers) {
        let reason = "the answer has neither content-length nor chunked encoding";
        return Err(Fault::Malformed(reason.to_owned()));
    }
    message::check_framing(version, headers, limit)
}

/// The connections to one peer.
pub(super) struct Pool {
    permits: permit::Semaphore,
    resting: RefCell<Vec<Connection>>,
    /// Most connections that the log has told of.
    noted: Cell<usize>,
    next_note: Cell<Instant>,
}

impl Pool {
    pub(super) fn new(connections: usize) -> Self {
        Self {
            permits: permit::Semaphore::new(connections),
            resting: RefCell::new(Vec::new()),
            noted: Cell::new(0),
            next_note: Cell::new(Instant::now()),
        }
    }

    /// The right to use one connection; waits while all are in use.
    pub(super) fn permits(&self) -> &permit::Semaphore {
        &self.permits
    }

    /// Takes the connection to a peer of that identity that was used last, when it is young and quiet.
    pub(super) fn take(&self, max_rest: Duration, identity: Option<&str>) -> Option<Connection> {
        let mut resting = self.resting.borrow_mut();
        let suits = |connection: &Connection| connection.identity.as_deref() == identity;
        while let Some(at) = resting.iter().rposition(suits) {
            let mut connection = resting.remove(at);
            if connection.rested.elapsed() < max_rest && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Connections in use or at rest.
    fn open(&self) -> usize {
        self.permits.in_use() + self.resting.borrow().len()
    }

    /// Tells the log when the peer has many connections of this process: it may bound their number.
    pub(super) fn note_opened(&self, peer: SocketAddr) {
        let open = self.open();
        if open >= self.noted.get() + NOTED_CONNECTIONS {
            self.noted.set(open);
            log::info!("event=http.connections_many peer={peer} open={open}");
        }
    }

    /// Tells the log of a connection that ended without an answer: whether it ever carried one, and
    /// how many others there are, tell a peer that takes no more from a way that is dead.
    pub(super) fn note_lost(&self, peer: SocketAddr, fresh: bool, cause: &str) {
        let now = Instant::now();
        if now < self.next_note.get() {
            return;
        }
        self.next_note.set(now + NOTE_REST);
        let (used, resting) = (self.permits.in_use(), self.resting.borrow().len());
        log::info!(
            "event=http.connection_lost peer={peer} fresh={fresh} used={used} resting={resting} \
             cause={cause:?}"
        );
    }

    /// Keeps a connection whose answer was read whole.
    pub(super) fn put(&self, mut connection: Connection) {
        connection.fresh = false;
        connection.rested = Instant::now();
        self.resting.borrow_mut().push(connection);
    }

    /// Closes connections that rested too long; whether any connection is left or in use.
    pub(super) fn sweep(&self, max_rest: Duration) -> bool {
        let mut resting = self.resting.borrow_mut();
        resting.retain(|connection| connection.rested.elapsed() < max_rest);
        !resting.is_empty() || self.permits.is_in_use()
    }
}
