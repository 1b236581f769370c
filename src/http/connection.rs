//! One accepted connection: requests in, answers out, one after another.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use http::header::{CONNECTION, EXPECT, HOST};
use http::{HeaderValue, Method, StatusCode, Version};
use monoio::io::sink::Sink;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf, Splitable};
use monoio::net::TcpStream;
use monoio::time::Instant;
use monoio_http::common::body::HttpBody;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::{GenericHeadDecoder, RequestHeadDecoder};
use monoio_http::h1::codec::encoder::GenericEncoder;

use super::limited::Reader;
use super::message::{self, Fault, Source};
use super::server::explain;
use super::{Handler, Limits, Request, Response};
use crate::shutdown::Shutdown;

/// Time after the trigger in which a resting connection still takes a request that was under way.
const STOP_LINGER: Duration = Duration::from_millis(250);

/// Time and bytes for which the rest of a refused request is read and thrown away.
const CLOSE_LINGER: Duration = Duration::from_millis(500);
const CLOSE_DISCARD_BYTES: usize = 256 * 1024;

/// Bytes thrown away at a time.
const DISCARD_CHUNK: usize = 16 * 1024;

/// Answer to a peer that holds its body back until it is asked for.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What to do after a request was dealt with.
#[derive(PartialEq, Eq)]
enum Next {
    Continue,
    Close,
}

pub(super) struct Connection {
    source: Source<RequestHeadDecoder>,
    sink: OwnedWriteHalf<TcpStream>,
    peer: SocketAddr,
    limits: Limits,
    stop: Shutdown,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, peer: SocketAddr, limits: Limits, stop: Shutdown) -> Self {
        let (read, write) = stream.into_split();
        let reader = Reader::new(read);
        Self {
            source: Source::new(reader, GenericHeadDecoder::new(RequestHeadDecoder)),
            sink: write,
            peer,
            limits,
            stop,
        }
    }

    /// Serves requests until either side ends the connection.
    pub(super) async fn serve(mut self, handler: &dyn Handler) {
        // A connection that never carried a request gets less time, so that a peer cannot hold
        // many for nothing.
        let mut patience = self.limits.read_timeout;
        while self.wait_for_request(patience, handler.close_idle_signal()).await {
            if self.step(handler).await == Next::Close {
                break;
            }
            patience = self.limits.idle_timeout;
        }
        self.close().await;
    }

    /// Answers `response` to whatever the peer sends and closes.
    pub(super) async fn refuse(mut self, response: Response) {
        let _ = self.write(response).await;
        self.close().await;
    }

    /// Waits for the first byte of a request; `false` when the connection should close instead.
    async fn wait_for_request(&mut self, patience: Duration, close_idle: Option<Shutdown>) -> bool {
        self.source.get_mut().allow(self.limits.head_bytes());
        let mut arrived = Box::pin(self.source.peek_data().fuse());
        let mut idle = Box::pin(rest(&self.stop, patience).fuse());
        let mut closed_idle = Box::pin(closed_idle(close_idle).fuse());
        futures_util::select_biased! {
            data = arrived => data.is_ok_and(|data| !data.is_empty()),
            () = idle => false,
            () = closed_idle => false,
        }
    }

    async fn step(&mut self, handler: &dyn Handler) -> Next {
        let request = match self.read().await {
            Ok(request) => request,
            Err(fault) => return self.complain(&fault).await,
        };
        let is_head = request.method() == Method::HEAD;
        let keeps_alive = message::keeps_alive(request.version(), request.headers());
        let mut response = handler.handle(self.peer, request).await;
        if is_head {
            response.body_mut().clear();
        }
        if !keeps_alive || self.stop.is_triggered() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        self.answer(response).await
    }

    async fn answer(&mut self, response: Response) -> Next {
        let keeps_alive = message::keeps_alive(Version::HTTP_11, response.headers());
        match self.write(response).await {
            Ok(()) if keeps_alive => Next::Continue,
            Ok(()) => Next::Close,
            Err(fault) => {
                log::debug!("event=http.answer_lost peer={} cause={fault:?}", self.peer);
                Next::Close
            }
        }
    }

    async fn read(&mut self) -> Result<Request, Fault> {
        let deadline = Instant::now() + self.limits.read_timeout;
        monoio::time::timeout_at(deadline, self.message()).await.unwrap_or(Err(Fault::TimedOut))
    }

    async fn message(&mut self) -> Result<Request, Fault> {
        let (head, framing) = message::head(&mut self.source, self.limits.head_bytes()).await?;
        check_head(&head, &self.limits)?;
        if expects_continue(&head) {
            self.sink.write_all(CONTINUE).await.0.map_err(Fault::Io)?;
        }
        let body = message::body(&mut self.source, framing, self.limits.body_bytes).await?;
        Ok(Request::from_parts(head, body))
    }

    async fn write(&mut self, mut response: Response) -> Result<(), Fault> {
        *response.version_mut() = Version::HTTP_11;
        let response = response.map(|body| HttpBody::Ready(Some(body)));
        let mut encoder = GenericEncoder::new(&mut self.sink);
        let written = async {
            encoder.send(response).await?;
            Sink::<http::Response<HttpBody>>::flush(&mut encoder).await
        };
        let written: Result<Result<(), HttpError>, _> =
            monoio::time::timeout(self.limits.read_timeout, written).await;
        match written {
            Ok(result) => result.map_err(|error| Fault::Io(io::Error::other(error.to_string()))),
            Err(_) => Err(Fault::TimedOut),
        }
    }

    /// Tells the peer what is wrong with its request, where it can still be told.
    async fn complain(&mut self, fault: &Fault) -> Next {
        let Some(status) = complaint(fault) else { return Next::Close };
        log::debug!(
            "event=http.request_refused peer={} status={status} cause={fault:?}",
            self.peer
        );
        let _ = self.write(explain(status, &fault.to_string())).await;
        Next::Close
    }

    /// Ends the connection so that the last answer arrives.
    ///
    /// Closing a socket with unread bytes resets it, and the reset can overtake the answer that
    /// explains a refusal. So the outgoing side is ended first and the rest of the request read.
    async fn close(mut self) {
        let _ = self.sink.shutdown().await;
        let reader = self.source.get_mut();
        let _ = monoio::time::timeout(CLOSE_LINGER, discard(reader)).await;
    }
}

/// Completes once a resting connection should close.
async fn rest(stop: &Shutdown, patience: Duration) {
    let stopped = monoio::time::timeout(patience, stop.wait()).await;
    if stopped.is_ok() {
        monoio::time::sleep(STOP_LINGER).await;
    }
}

/// Completes once the handler has asked for resting connections to close.
async fn closed_idle(close_idle: Option<Shutdown>) {
    match close_idle {
        Some(close_idle) => {
            close_idle.wait().await;
            monoio::time::sleep(STOP_LINGER).await;
        }
        None => std::future::pending().await,
    }
}

fn check_head(head: &http::request::Parts, limits: &Limits) -> Result<(), Fault> {
    if head.version == Version::HTTP_11 && head.headers.get_all(HOST).iter().count() != 1 {
        return Err(Fault::Malformed("exactly one host header is needed".to_owned()));
    }
    message::check_framing(head.version, &head.headers, limits.body_bytes)
}

/// Whether the peer holds its body back until it is asked for.
fn expects_continue(head: &http::request::Parts) -> bool {
    let expected = head.headers.get(EXPECT).map(HeaderValue::as_bytes);
    head.version == Version::HTTP_11
        && expected.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
}

fn complaint(fault: &Fault) -> Option<StatusCode> {
    match fault {
        Fault::Malformed(_) | Fault::Truncated => Some(StatusCode::BAD_REQUEST),
        Fault::HeadTooLarge => Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        Fault::BodyTooLarge { .. } => Some(StatusCode::PAYLOAD_TOO_LARGE),
        Fault::TimedOut => Some(StatusCode::REQUEST_TIMEOUT),
        Fault::Closed | Fault::Io(_) => None,
    }
}

async fn discard(reader: &mut Reader) {
    reader.allow(CLOSE_DISCARD_BYTES);
    let mut buffer = vec![0; DISCARD_CHUNK];
    loop {
        let (read, returned) = reader.read(buffer).await;
        buffer = returned;
        if !matches!(read, Ok(bytes) if bytes > 0) {
            return;
        }
    }
}
