//! Server for calls from other instances.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::StatusCode;
use monoio::net::TcpStream;
use monoio::time::Instant;
use monoio_http::h2::server::{self, Connection, SendResponse};
use monoio_http::h2::{self, Reason, RecvStream};

use super::body::{self, BodyError};
use super::stream::{CONNECTION_WINDOW, HEADER_BYTES, REASON_BYTES, STREAM_WINDOW};
use super::{Code, Handler, Limits, Refusal};
use crate::descriptors::{Budget, Class};
use crate::listener::Listener;
use crate::permit::{Semaphore, SemaphorePermit};
use crate::shutdown::Shutdown;

/// Streams that are remembered after a reset, so that their late frames are not taken for errors.
const RESET_STREAMS: usize = 64;

/// A bound listener that does not serve yet.
pub struct Server {
    listener: Listener,
    limits: Limits,
    budget: Rc<Budget>,
}

impl Server {
    /// Binds `addr`; port 0 selects a free port.
    ///
    /// Requires a running runtime on this thread.
    ///
    /// # Errors
    /// Fails if the address cannot be bound, for instance because another process uses it.
    pub fn bind(addr: SocketAddr, limits: Limits) -> io::Result<Self> {
        Ok(Self { listener: Listener::bind(addr)?, limits, budget: Rc::new(Budget::unlimited()) })
    }

    /// Counts the accepted connections in `budget`, as ones of [`Class::Control`].
    #[must_use]
    pub fn with_budget(self, budget: Rc<Budget>) -> Self {
        Self { budget, ..self }
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Fails if the operating system does not return the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is triggered, then finishes the calls in flight and returns.
    ///
    /// After the trigger, peers receive `GOAWAY` and open no more streams. Calls that are still in
    /// flight `grace` after the trigger are aborted.
    pub async fn serve(self, handler: Rc<dyn Handler>, stop: Shutdown, grace: Duration) {
        let abort = Shutdown::new();
        let acceptor = Acceptor {
            connections: Semaphore::new(self.limits.connections),
            budget: self.budget,
            stop: stop.clone(),
            calls: Rc::new(Calls {
                handler,
                limits: self.limits,
                permits: Semaphore::new(self.limits.calls),
                abort: abort.clone(),
            }),
        };
        let admit = |stream, peer| acceptor.admit(stream, peer);
        self.listener.accept_until(&stop, &acceptor.budget, admit).await;
        let ended = monoio::time::timeout(grace, acceptor.connections.wait_until_unused()).await;
        if ended.is_err() {
            log::warn!("event=peer.stop_cut grace_ms={}", grace.as_millis());
        }
        abort.trigger();
    }
}

struct Acceptor {
    connections: Semaphore,
    budget: Rc<Budget>,
    stop: Shutdown,
    calls: Rc<Calls>,
}

impl Acceptor {
    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let Some(permit) = self.connections.try_acquire() else {
            log::warn!("event=peer.refused peer={peer} cause=connections");
            return;
        };
        let Ok(descriptor) = self.budget.acquire(Class::Control) else {
            log::warn!("event=peer.refused peer={peer} cause=descriptors");
            return;
        };
        let _ = stream.set_nodelay(true);
        let calls = self.calls.clone();
        let stop = self.stop.clone();
        monoio::spawn(async move {
            // Dropped after the connection.
            let _descriptor = descriptor;
            let abort = calls.abort.clone();
            let mut serving = Box::pin(serve(calls, stream, peer, stop).fuse());
            let mut aborted = Box::pin(abort.wait().fuse());
            futures_util::select_biased! {
                result = serving => log_end(peer, &result),
                () = aborted => {}
            }
            drop(permit);
        });
    }
}

fn log_end(peer: SocketAddr, result: &Result<(), h2::Error>) {
    if let Err(cause) = result {
        log::debug!("event=peer.connection_failed peer={peer} cause={:?}", cause.to_string());
    }
}

async fn serve(
    calls: Rc<Calls>,
    stream: TcpStream,
    peer: SocketAddr,
    stop: Shutdown,
) -> Result<(), h2::Error> {
    let limits = calls.limits;
    let streams = u32::try_from(limits.calls).unwrap_or(u32::MAX);
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(HEADER_BYTES)
        .max_concurrent_streams(streams)
        .max_concurrent_reset_streams(RESET_STREAMS)
        .handshake(stream);
    let Ok(connection) = monoio::time::timeout(limits.read_timeout, handshake).await else {
        return Ok(());
    };
    accept_calls(&calls, connection?, peer, &stop).await
}

/// Accepts calls until the peer closes the connection, it has been idle too long, or `stop` is
/// triggered. In the last two cases the calls in flight are finished first.
async fn accept_calls(
    calls: &Rc<Calls>,
    mut connection: Connection<TcpStream, Bytes>,
    peer: SocketAddr,
    stop: &Shutdown,
) -> Result<(), h2::Error> {
    let mut stopped = Box::pin(stop.wait().fuse());
    let mut in_flight = Rc::new(());
    loop {
        let mut idle = Box::pin(monoio::time::sleep(calls.limits.idle_timeout).fuse());
        let mut accept = Box::pin(connection.accept().fuse());
        let accepted = futures_util::select_biased! {
            accepted = accept => accepted,
            () = stopped => break,
            () = idle => {
                if Rc::get_mut(&mut in_flight).is_none() {
                    continue;
                }
                break;
            }
        };
        match accepted {
            Some(call) => calls.start(call?, peer, in_flight.clone()),
            None => return Ok(()),
        }
    }
    connection.graceful_shutdown();
    let closing = async {
        while let Some(call) = connection.accept().await {
            calls.start(call?, peer, in_flight.clone());
        }
        Ok(())
    };
    if stop.is_triggered() {
        return closing.await;
    }
    monoio::time::timeout(calls.limits.read_timeout, closing).await.unwrap_or(Ok(()))
}

type Call = (http::Request<RecvStream>, SendResponse<Bytes>);

struct Calls {
    handler: Rc<dyn Handler>,
    limits: Limits,
    permits: Semaphore,
    abort: Shutdown,
}

impl Calls {
    /// Runs one call in a task of its own, which holds `in_flight` until it ends.
    ///
    /// A peer may reset streams and open new ones while the handlers of the former still run.
    /// HTTP/2 limits only the open streams; the permits limit the running handlers.
    fn start(self: &Rc<Self>, (request, mut respond): Call, peer: SocketAddr, in_flight: Rc<()>) {
        let Some(permit) = self.permits.try_acquire() else {
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        };
        let calls = self.clone();
        monoio::spawn(async move {
            let mut running = Box::pin(calls.run(request, respond, peer, permit).fuse());
            let mut aborted = Box::pin(calls.abort.wait().fuse());
            futures_util::select_biased! {
                () = running => {}
                () = aborted => {}
            }
            drop(in_flight);
        });
    }

    async fn run(
        &self,
        request: http::Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        peer: SocketAddr,
        _permit: SemaphorePermit,
    ) {
        let (head, mut stream) = request.into_parts();
        let read = body::read(&mut stream, self.limits.body_bytes);
        let result = match with_deadline(self.deadline(), read).await {
            Ok(body) => {
                let method = head.uri.path_and_query().map_or("", |path| path.as_str());
                self.handler.handle(peer, method.trim_start_matches('/'), body).await
            }
            Err(BodyError::TooLarge { limit }) => {
                Err(malformed(format!("body larger than {limit} bytes")))
            }
            Err(error) => {
                log::debug!("event=peer.call_cut peer={peer} cause={:?}", error.to_string());
                return respond.send_reset(Reason::CANCEL);
            }
        };
        if let Err(error) =
            with_deadline(self.deadline(), send_response(&mut respond, result)).await
        {
            log::debug!("event=peer.answer_lost peer={peer} cause={:?}", error.to_string());
            return respond.send_reset(Reason::CANCEL);
        }
        // Dropping a body that is still arriving resets the stream, and the reset could overtake
        // the response that explains the refusal.
        let _ = with_deadline(self.deadline(), body::discard(&mut stream)).await;
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.limits.read_timeout
    }
}

fn malformed(reason: String) -> Refusal {
    Refusal { code: Code::Malformed, reason }
}

async fn send_response(
    respond: &mut SendResponse<Bytes>,
    result: Result<Bytes, Refusal>,
) -> Result<(), BodyError> {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(refusal) => (refusal.code.status(), reason_body(refusal.reason)),
    };
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    let mut stream = respond.send_response(head, body.is_empty())?;
    body::write(&mut stream, body).await
}

fn reason_body(mut reason: String) -> Bytes {
    reason.truncate(reason.floor_char_boundary(REASON_BYTES));
    Bytes::from(reason)
}

async fn with_deadline<T>(
    deadline: Instant,
    future: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, BodyError> {
    monoio::time::timeout_at(deadline, future).await.unwrap_or(Err(BodyError::TimedOut))
}
