//! Server for calls from other instances.

use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use monoio::net::TcpStream;
use monoio_http::h2;
use monoio_http::h2::server::{self, Connection};

use super::calls::{Call, Calls};
use super::paced::Stream;
use super::presence::Presence;
use super::stream::{CONNECTION_WINDOW, HEADER_BYTES, STREAM_WINDOW};
use super::{Handler, Limits};
use crate::descriptors::{self, Class};
use crate::listener::Listener;
use crate::memory::{Budget, Cause, Eviction};
use crate::permit::Semaphore;
use crate::shutdown::Shutdown;
use crate::slots::{Slot, Slots};
use crate::turn::{self, Turn};
use crate::waiting::Registry;

/// Streams that are remembered after a reset, so that their late frames are not taken for errors.
const RESET_STREAMS: usize = 64;

/// Bytes that a connection reads before its calls take their data.
const TURN_BYTES: usize = 16 * 1024;

/// Maximum number of open calls of one connection.
const MAX_STREAMS: u32 = 1_024;

/// A bound listener that does not serve yet.
pub struct Server {
    listener: Listener,
    limits: Limits,
    descriptors: Rc<descriptors::Budget>,
}

impl Server {
    /// Binds `addr`; port 0 selects a free port.
    ///
    /// Requires a running runtime on this thread.
    ///
    /// # Errors
    /// Fails if the address cannot be bound, for instance because another process uses it.
    pub fn bind(addr: SocketAddr, limits: Limits) -> io::Result<Self> {
        let descriptors = Rc::new(descriptors::Budget::unlimited());
        Ok(Self { listener: Listener::bind(addr)?, limits, descriptors })
    }

    /// Counts the accepted connections in `descriptors`, as ones of [`Class::Control`].
    #[must_use]
    pub fn with_budget(self, descriptors: Rc<descriptors::Budget>) -> Self {
        Self { descriptors, ..self }
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
    ///
    /// If no connection is left for a new peer, or no call, the connection that has waited longest
    /// for its peer is closed: one without a call that is being handled.
    pub async fn serve(self, handler: Rc<dyn Handler>, stop: Shutdown, grace: Duration) {
        let abort = Shutdown::new();
        let waiting: Rc<Registry> = Rc::default();
        let slots = Rc::new(Slots::new(
            self.limits.connections,
            self.descriptors.clone(),
            Class::Control,
            waiting.clone(),
        ));
        let memory = Budget::new(self.limits.message_bytes, Eviction::of("peer"));
        let acceptor = Rc::new(Acceptor {
            slots,
            stop: stop.clone(),
            calls: Rc::new(Calls {
                handler,
                limits: self.limits,
                permits: Semaphore::new(self.limits.calls),
                memory: Rc::new(memory),
                waiting,
                abort: abort.clone(),
            }),
        });
        let admit = |stream, peer| acceptor.admit(stream, peer);
        self.listener.accept_until(&stop, &self.descriptors, admit).await;
        let ended = monoio::time::timeout(grace, acceptor.slots.wait_until_unused()).await;
        if ended.is_err() {
            log::warn!("event=peer.stop_cut grace_ms={}", grace.as_millis());
        }
        abort.trigger();
    }
}

struct Acceptor {
    slots: Rc<Slots>,
    stop: Shutdown,
    calls: Rc<Calls>,
}

impl Acceptor {
    fn admit(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        match self.slots.take() {
            Some(slot) => self.spawn(stream, peer, slot),
            None => self.enter(stream, peer),
        }
    }

    fn spawn(&self, stream: TcpStream, peer: SocketAddr, slot: Slot) {
        let calls = self.calls.clone();
        let stop = self.stop.clone();
        monoio::spawn(async move {
            // Dropped after the connection.
            let _slot = slot;
            let abort = calls.abort.clone();
            let presence = Presence::new(calls.waiting.clone());
            let evicted = presence.evicted();
            let mut serving = Box::pin(serve(calls, stream, peer, presence, stop).fuse());
            let mut aborted = Box::pin(abort.wait().fuse());
            let mut evicted = Box::pin(evicted.wait().fuse());
            futures_util::select_biased! {
                result = serving => log_end(peer, &result),
                () = aborted => {}
                () = evicted => {}
            }
        });
    }

    /// Admits a connection once another one is closed for it, or closes it.
    fn enter(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        self.calls.memory.note_evicted(Cause::Connections);
        let Some(entering) = self.slots.enter() else { return };
        let acceptor = self.clone();
        monoio::spawn(async move {
            if let Some(slot) = entering.slot().await {
                acceptor.spawn(stream, peer, slot);
            }
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
    presence: Rc<Presence>,
    stop: Shutdown,
) -> Result<(), h2::Error> {
    let limits = calls.limits;
    let streams = u32::try_from(limits.calls).unwrap_or(u32::MAX).min(MAX_STREAMS);
    let turn = Rc::new(RefCell::new(Turn::of(TURN_BYTES)));
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(HEADER_BYTES)
        .max_concurrent_streams(streams)
        .max_concurrent_reset_streams(RESET_STREAMS)
        .handshake(Stream::new(stream, turn.clone()));
    let Ok(connection) = monoio::time::timeout(limits.read_timeout, handshake).await else {
        return Ok(());
    };
    let incoming = Incoming { connection: connection?, turn };
    accept_calls(&calls, incoming, peer, &presence, &stop).await
}

/// Calls that arrive on a connection.
struct Incoming {
    connection: Connection<Stream, Bytes>,
    turn: Rc<RefCell<Turn>>,
}

impl Incoming {
    /// Returns the next call; `None` once the peer has closed the connection.
    async fn next(&mut self) -> Option<Result<Call, h2::Error>> {
        loop {
            let next = poll_fn(|context| {
                let next = self.connection.poll_accept(context);
                let mut turn = self.turn.borrow_mut();
                match next {
                    Poll::Ready(next) => Poll::Ready(Some(next)),
                    Poll::Pending if turn.is_over() => Poll::Ready(None),
                    Poll::Pending => {
                        turn.restart();
                        Poll::Pending
                    }
                }
            });
            if let Some(next) = next.await {
                return next;
            }
            // The calls that have arrived take their data meanwhile.
            monoio::time::sleep(turn::PAUSE).await;
            self.turn.borrow_mut().restart();
        }
    }
}

/// Accepts calls until the peer closes the connection, it has been idle too long, or `stop` is
/// triggered. In the last two cases the calls in flight are finished first.
async fn accept_calls(
    calls: &Rc<Calls>,
    mut incoming: Incoming,
    peer: SocketAddr,
    presence: &Rc<Presence>,
    stop: &Shutdown,
) -> Result<(), h2::Error> {
    let mut stopped = Box::pin(stop.wait().fuse());
    loop {
        let mut idle = Box::pin(monoio::time::sleep(calls.limits.idle_timeout).fuse());
        let mut accept = Box::pin(incoming.next().fuse());
        let accepted = futures_util::select_biased! {
            accepted = accept => accepted,
            () = stopped => break,
            () = idle => {
                if presence.has_calls() {
                    continue;
                }
                break;
            }
        };
        match accepted {
            Some(call) => calls.start(call?, peer, presence),
            None => return Ok(()),
        }
    }
    incoming.connection.graceful_shutdown();
    let closing = async {
        while let Some(call) = incoming.next().await {
            calls.start(call?, peer, presence);
        }
        Ok(())
    };
    if stop.is_triggered() {
        return closing.await;
    }
    monoio::time::timeout(calls.limits.read_timeout, closing).await.unwrap_or(Ok(()))
}
