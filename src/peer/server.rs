//! Server of calls from other instances.

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

use super::body::{self, Fault};
use super::stream::{CONNECTION_WINDOW, HEADER_BYTES, REASON_BYTES, STREAM_WINDOW};
use super::{Code, Handler, Limits, Refusal};
use crate::listener::Listener;
use crate::permit::{Semaphore, SemaphorePermit};
use crate::shutdown::Shutdown;

/// Calls whose peers gave them up and whose streams are remembered, to tell late frames apart.
const RESET_STREAMS: usize = 64;

/// A bound listener that is not serving yet.
pub struct Server {
    listener: Listener,
    limits: Limits,
}

impl Server {
    /// Binds `addr`; port 0 takes a free one.
    ///
    /// Needs a running runtime on this thread.
    ///
    /// # Errors
    /// When the address cannot be bound, also because another process has it.
    pub fn bind(addr: SocketAddr, limits: Limits) -> io::Result<Self> {
        Ok(Self { listener: Listener::bind(addr)?, limits })
    }

    /// The address that is bound.
    ///
    /// # Errors
    /// When the system does not tell.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is triggered, then finishes the calls in flight and returns.
    ///
    /// After the trigger peers are told to open no more streams. What has not ended `grace` after
    /// the trigger is cut.
    pub async fn serve(self, handler: Rc<dyn Handler>, stop: Shutdown, grace: Duration) {
        let abort = Shutdown::new();
        let acceptor = Acceptor {
            connections: Semaphore::new(self.limits.connections),
            stop: stop.clone(),
            calls: Rc::new(Calls {
                handler,
                limits: self.limits,
                permits: Semaphore::new(self.limits.calls),
                abort: abort.clone(),
            }),
        };
        self.listener.accept_until(&stop, |stream, peer| acceptor.admit(stream, peer)).await;
        let ended = monoio::time::timeout(grace, acceptor.connections.wait_until_unused()).await;
        if ended.is_err() {
            log::warn!("event=peer.stop_cut grace_ms={}", grace.as_millis());
        }
        abort.trigger();
    }
}

struct Acceptor {
    connections: Semaphore,
    stop: Shutdown,
    calls: Rc<Calls>,
}

impl Acceptor {
    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let Some(permit) = self.connections.try_acquire() else {
            log::warn!("event=peer.refused peer={peer} cause=connections");
            return;
        };
        let _ = stream.set_nodelay(true);
        let calls = self.calls.clone();
        let stop = self.stop.clone();
        monoio::spawn(async move {
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

/// Takes calls until the peer closes, the connection rests too long, or `stop` is triggered; the
/// calls then in flight end first.
async fn accept_calls(
    calls: &Rc<Calls>,
    mut connection: Connection<TcpStream, Bytes>,
    peer: SocketAddr,
    stop: &Shutdown,
) -> Result<(), h2::Error> {
    let mut stopped = Box::pin(stop.wait().fuse());
    let mut open = Rc::new(());
    loop {
        let mut idle = Box::pin(monoio::time::sleep(calls.limits.idle_timeout).fuse());
        let mut accept = Box::pin(connection.accept().fuse());
        let accepted = futures_util::select_biased! {
            accepted = accept => accepted,
            () = stopped => break,
            () = idle => {
                if Rc::get_mut(&mut open).is_none() {
                    continue;
                }
                break;
            }
        };
        match accepted {
            Some(call) => calls.start(call?, peer, open.clone()),
            None => return Ok(()),
        }
    }
    connection.graceful_shutdown();
    let closing = async {
        while let Some(call) = connection.accept().await {
            calls.start(call?, peer, open.clone());
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
    /// Runs one call in a task of its own; `open` lives as long.
    ///
    /// A peer that resets streams at once may open new ones while their handlers still run. The
    /// permits bound the handlers, where the protocol bounds only the open streams.
    fn start(self: &Rc<Self>, (request, mut respond): Call, peer: SocketAddr, open: Rc<()>) {
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
            drop(open);
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
        let result = match before(self.deadline(), read).await {
            Ok(body) => {
                let method = head.uri.path().trim_start_matches('/');
                self.handler.handle(peer, method, body).await
            }
            Err(Fault::TooLarge { limit }) => {
                Err(malformed(format!("body larger than {limit} bytes")))
            }
            Err(fault) => {
                log::debug!("event=peer.call_cut peer={peer} cause={:?}", fault.to_string());
                return respond.send_reset(Reason::CANCEL);
            }
        };
        if let Err(fault) = before(self.deadline(), answer(&mut respond, result)).await {
            log::debug!("event=peer.answer_lost peer={peer} cause={:?}", fault.to_string());
            return respond.send_reset(Reason::CANCEL);
        }
        // Letting go of a body that is still arriving resets the stream, and the reset would
        // overtake the answer that explains the refusal.
        let _ = before(self.deadline(), body::discard(&mut stream)).await;
    }

    fn deadline(&self) -> Instant {
        Instant::now() + self.limits.read_timeout
    }
}

fn malformed(reason: String) -> Refusal {
    Refusal { code: Code::Malformed, reason }
}

async fn answer(
    respond: &mut SendResponse<Bytes>,
    result: Result<Bytes, Refusal>,
) -> Result<(), Fault> {
    let (status, body) = match result {
        Ok(body) => (StatusCode::OK, body),
        Err(refusal) => (refusal.code.status(), reason(refusal.reason)),
    };
    let mut head = http::Response::new(());
    *head.status_mut() = status;
    let mut stream = respond.send_response(head, body.is_empty())?;
    body::write(&mut stream, body).await
}

fn reason(mut reason: String) -> Bytes {
    reason.truncate(reason.floor_char_boundary(REASON_BYTES));
    Bytes::from(reason)
}

async fn before<T>(
    deadline: Instant,
    future: impl Future<Output = Result<T, Fault>>,
) -> Result<T, Fault> {
    monoio::time::timeout_at(deadline, future).await.unwrap_or(Err(Fault::TimedOut))
}
