//! One accepted connection, whose requests are served one after another.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::FutureExt;
use http::header::{CONNECTION, EXPECT, HOST};
use http::{HeaderValue, Method, StatusCode, Version};
use monoio::io::sink::Sink;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::Instant;
use monoio_http::common::body::HttpBody;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{GenericHeadDecoder, RequestHeadDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;

use super::limited::Reader;
use super::message::{self, MessageError, MessageReader};
use super::server::error_response;
use super::{Handler, Limits, Request, Response};
use crate::memory::Budget;
use crate::permit::Semaphore;
use crate::shutdown::Shutdown;
use crate::waiting::{Entry, Registry};

/// Time for which an idle connection still accepts requests after a stop or close signal, for those
/// that were already under way.
const STOP_DELAY: Duration = Duration::from_millis(250);

/// Limits of time and bytes for reading and discarding what the peer still sends before a
/// connection closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
const CLOSE_DISCARD_BYTES: usize = 256 * 1024;

/// Work of handling a request, as that of so many received bytes.
const REQUEST_WORK: usize = 4 * 1024;

/// Maximum number of connections of a server that are closed with a delay at the same time.
pub(super) const MAX_LINGERING: usize = 64;

/// Buffer size for discarded bytes.
const DISCARD_CHUNK: usize = 4 * 1024;

/// Interim response to a peer that sends `expect: 100-continue`.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What to do after a request has been handled.
#[derive(PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

/// What the connections of a server share.
#[derive(Clone)]
pub(super) struct Shared {
    pub(super) limits: Limits,
    /// Memory of the requests that do not arrive at once.
    pub(super) memory: Rc<Budget>,
    /// Connections that wait for their peer, which may be closed for others.
    pub(super) waiting: Rc<Registry>,
    pub(super) stop: Shutdown,
    /// Limits the connections that are closed with a delay.
    pub(super) lingering: Rc<Semaphore>,
}

pub(super) struct Connection {
    source: MessageReader<RequestHeadDecoder>,
    sink: OwnedWriteHalf<TcpStream>,
    peer: SocketAddr,
    shared: Shared,
    /// Triggered when the connection has to close for others.
    evicted: Shutdown,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, shared: Shared) -> Self {
        let (read, write) = stream.into_split();
        let codec = GenericHeadDecoder::new(RequestHeadDecoder);
        Self {
            // The buffer is allocated when a request arrives.
            source: MessageReader::with_capacity(Reader::of_client(read), codec, 0),
            sink: write,
            peer,
            shared,
            evicted: Shutdown::new(),
        }
    }

    /// Serves requests until either side ends the connection.
    pub(super) async fn serve(mut self, handler: &dyn Handler) {
        // The first request has a shorter timeout, so that a peer cannot hold many unused
        // connections for long.
        let mut timeout = self.shared.limits.read_timeout;
        loop {
            let entry = self.shared.waiting.enter(&self.evicted);
            if !self.wait_for_request(timeout, handler.close_idle_signal()).await
                || self.serve_request(handler, entry).await == Next::Close
            {
                break;
            }
            timeout = self.shared.limits.idle_timeout;
        }
        self.close().await;
    }

    /// Sends `response` without reading a request, and closes the connection.
    pub(super) async fn refuse(mut self, response: Response) {
        let _ = self.write(response).await;
        self.close().await;
    }

    /// Waits for the first byte of a request; returns `false` if the connection should close
    /// instead.
    async fn wait_for_request(&mut self, timeout: Duration, close_idle: Option<Shutdown>) -> bool {
        self.source.get_mut().reserve(None);
        self.source.get_mut().allow(self.shared.limits.head_bytes());
        if !self.source.read_buffer().is_empty() {
            self.source.get_mut().pause_if_over().await;
            return true;
        }
        let evicted = self.evicted.clone();
        let mut arrived = Box::pin(self.source.peek_data().fuse());
        let mut idle = Box::pin(idle_expired(&self.shared.stop, timeout).fuse());
        let mut closing = Box::pin(idle_close_requested(close_idle).fuse());
        let mut evicted = Box::pin(evicted.wait().fuse());
        futures_util::select_biased! {
            data = arrived => data.is_ok_and(|data| !data.is_empty()),
            () = idle => false,
            () = closing => false,
            () = evicted => false,
        }
    }

    /// Serves one request. `entry` lists the connection as waiting until the request has arrived.
    async fn serve_request(&mut self, handler: &dyn Handler, entry: Entry) -> Next {
        let request = match self.read().await {
            Ok(request) => request,
            Err(error) => return self.send_error(&error).await,
        };
        drop(entry);
        self.source.get_mut().add_work(REQUEST_WORK);
        let is_head = request.method() == Method::HEAD;
        let keeps_alive = message::keeps_alive(request.version(), request.headers());
        let mut response = handler.handle(self.peer, request).await;
        if is_head {
            response.body_mut().clear();
        }
        if !keeps_alive || self.shared.stop.is_triggered() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        // A peer that does not read its response is waited for as well.
        let _entry = self.shared.waiting.enter(&self.evicted);
        self.respond(response).await
    }

    async fn respond(&mut self, response: Response) -> Next {
        let keeps_alive = message::keeps_alive(Version::HTTP_11, response.headers());
        match self.write(response).await {
            Ok(()) if keeps_alive => Next::Continue,
            Ok(()) => Next::Close,
            Err(error) => {
                log::debug!("event=http.answer_lost peer={} cause={error:?}", self.peer);
                Next::Close
            }
        }
    }

    /// Reads a request. Its memory is held until the next one is waited for.
    async fn read(&mut self) -> Result<Request, MessageError> {
        let evicted = self.evicted.clone();
        let reservation = self.shared.memory.reservation(evicted.clone());
        self.source.get_mut().reserve(Some(reservation));
        let deadline = Instant::now() + self.shared.limits.read_timeout;
        let request = {
            let mut reading = pin!(monoio::time::timeout_at(deadline, self.read_message()).fuse());
            let mut evicted = pin!(evicted.wait().fuse());
            futures_util::select_biased! {
                request = reading => request.unwrap_or(Err(MessageError::TimedOut)),
                () = evicted => Err(MessageError::Evicted),
            }
        };
        let reader = self.source.get_mut();
        if request.is_ok() {
            reader.complete();
        } else {
            reader.reserve(None);
        }
        request
    }

    async fn read_message(&mut self) -> Result<Request, MessageError> {
        let limits = self.shared.limits;
        let (head, framing) = message::head(&mut self.source, limits.head_bytes()).await?;
        check_head(&head, &limits)?;
        if expects_continue(&head) {
            self.sink.write_all(CONTINUE).await.0.map_err(MessageError::Io)?;
        }
        let body =
            message::body(&mut self.source, &framing, &head.headers, limits.body_bytes).await?;
        Ok(Request::from_parts(head, body))
    }

    async fn write(&mut self, mut response: Response) -> Result<(), MessageError> {
        *response.version_mut() = Version::HTTP_11;
        let response = response.map(|body| HttpBody::Ready(Some(body)));
        let mut encoder = GenericEncoder::new(&mut self.sink);
        let written = async {
            encoder.send(response).await?;
            Sink::<http::Response<HttpBody>>::flush(&mut encoder).await
        };
        let written = monoio::time::timeout(self.shared.limits.read_timeout, written);
        let mut written = pin!(written.fuse());
        let mut evicted = pin!(self.evicted.wait().fuse());
        let written: Result<Result<(), HttpError>, _> = futures_util::select_biased! {
            written = written => written,
            () = evicted => return Err(MessageError::Evicted),
        };
        match written {
            Ok(result) => {
                result.map_err(|error| MessageError::Io(io::Error::other(error.to_string())))
            }
            Err(_) => Err(MessageError::TimedOut),
        }
    }

    /// Sends an error response for a request that could not be read, unless the connection has
    /// failed.
    async fn send_error(&mut self, error: &MessageError) -> Next {
        let Some(status) = error_status(error) else { return Next::Close };
        log::debug!(
            "event=http.request_refused peer={} status={status} cause={error:?}",
            self.peer
        );
        let _ = self.write(error_response(status, &error.to_string())).await;
        Next::Close
    }

    /// Closes the connection without losing the last response.
    ///
    /// Closing a socket with unread bytes resets it, and the reset can overtake the response that
    /// explains a refusal. The outgoing side is therefore shut down first, and the rest of the
    /// request is read and discarded. A connection that gives way to others, and one beyond
    /// [`MAX_LINGERING`], is closed at once.
    async fn close(mut self) {
        *self.source.read_buffer_mut() = BytesMut::new();
        self.source.get_mut().reserve(None);
        let _ = self.sink.shutdown().await;
        if self.evicted.is_triggered() {
            return;
        }
        let Some(_lingering) = self.shared.lingering.try_acquire() else { return };
        let reader = self.source.get_mut();
        let _ = monoio::time::timeout(CLOSE_TIMEOUT, discard(reader)).await;
    }
}

/// Completes once an idle connection should close because of its timeout or a server stop.
async fn idle_expired(stop: &Shutdown, timeout: Duration) {
    let stopped = monoio::time::timeout(timeout, stop.wait()).await;
    if stopped.is_ok() {
        monoio::time::sleep(STOP_DELAY).await;
    }
}

/// Completes once an idle connection should close because the handler has requested it.
async fn idle_close_requested(close_idle: Option<Shutdown>) {
    match close_idle {
        Some(close_idle) => {
            close_idle.wait().await;
            monoio::time::sleep(STOP_DELAY).await;
        }
        None => std::future::pending().await,
    }
}

fn check_head(head: &http::request::Parts, limits: &Limits) -> Result<(), MessageError> {
    if head.version == Version::HTTP_11 && head.headers.get_all(HOST).iter().count() != 1 {
        return Err(MessageError::Malformed("exactly one host header is needed".to_owned()));
    }
    message::check_framing(head.version, &head.headers, limits.body_bytes)
}

/// Whether the peer waits for `100 Continue` before it sends the body.
fn expects_continue(head: &http::request::Parts) -> bool {
    let expected = head.headers.get(EXPECT).map(HeaderValue::as_bytes);
    head.version == Version::HTTP_11
        && expected.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}

fn error_status(error: &MessageError) -> Option<StatusCode> {
    match error {
        MessageError::Malformed(_) | MessageError::Truncated => Some(StatusCode::BAD_REQUEST),
        MessageError::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        MessageError::BodyTooLarge { .. } => Some(StatusCode::PAYLOAD_TOO_LARGE),
        MessageError::TimedOut => Some(StatusCode::REQUEST_TIMEOUT),
        MessageError::Evicted => Some(StatusCode::SERVICE_UNAVAILABLE),
        MessageError::Closed | MessageError::Io(_) => None,
    }
}

async fn discard(reader: &mut Reader) {
    reader.allow(CLOSE_DISCARD_BYTES);
    let mut buffer = vec![0; DISCARD_CHUNK];
    loop {
        let (read, returned) = reader.read_body(buffer).await;
        buffer = returned;
        if !matches!(read, Ok(bytes) if bytes > 0) {
            return;
        }
    }
}
