//! The connection to one peer: opened on demand, probed while calls are in flight, and replaced
//! when it fails.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use monoio::net::TcpStream;
use monoio::time::Instant;
use monoio_http::h2::client::{self, SendRequest};
use monoio_http::h2::{Ping, PingPong};

use super::Limits;
use super::stream::{CONNECTION_WINDOW, HEADER_BYTES, STREAM_WINDOW};
use crate::descriptors::{Budget, Class, Guard};
use crate::permit::Semaphore;
use crate::shutdown::Shutdown;

/// The connection to one peer, with the limit of calls in flight.
pub(super) struct PeerConnection {
    limits: Limits,
    budget: Rc<Budget>,
    calls: Semaphore,
    // Held by the caller that opens the connection; the others wait for it.
    opening: Semaphore,
    current: RefCell<Option<OpenConnection>>,
    last_used: Cell<Instant>,
    /// Interval between two probes.
    keepalive: Rc<Cell<Duration>>,
}

/// An open connection.
#[derive(Clone)]
struct OpenConnection {
    sender: SendRequest<Bytes>,
    activity: Rc<Activity>,
    closed: Shutdown,
}

/// Activity of the calls on a connection, which decides whether it is probed.
#[derive(Default)]
struct Activity {
    /// Number of calls in flight.
    in_flight: Cell<usize>,
    /// Whether a call has begun since the last check.
    started: Cell<bool>,
    /// Whether a response has arrived since the last check.
    responded: Cell<bool>,
}

/// A call in flight; the connection is probed while one exists.
pub(super) struct InFlightCall {
    activity: Rc<Activity>,
}

impl InFlightCall {
    fn start(activity: &Rc<Activity>) -> Self {
        activity.in_flight.set(activity.in_flight.get() + 1);
        activity.started.set(true);
        Self { activity: activity.clone() }
    }

    /// Records that the call was answered, which proves the peer alive like an answered probe.
    pub(super) fn note_response(&self) {
        self.activity.responded.set(true);
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.activity.in_flight.set(self.activity.in_flight.get() - 1);
    }
}

impl PeerConnection {
    pub(super) fn new(limits: Limits, budget: Rc<Budget>) -> Self {
        Self {
            limits,
            budget,
            calls: Semaphore::new(limits.calls),
            opening: Semaphore::new(1),
            current: RefCell::new(None),
            last_used: Cell::new(Instant::now()),
            keepalive: Rc::new(Cell::new(limits.keepalive)),
        }
    }

    /// Sets the interval between two probes, at least that of the limits.
    pub(super) fn set_keepalive(&self, interval: Duration) {
        self.keepalive.set(interval.max(self.limits.keepalive));
    }

    /// Semaphore that limits the calls in flight to this peer.
    pub(super) fn calls(&self) -> &Semaphore {
        &self.calls
    }

    /// Time since the last call began.
    pub(super) fn idle(&self) -> Duration {
        self.last_used.get().elapsed()
    }

    /// Returns a sender that is ready for one call, opening a connection if there is none.
    pub(super) async fn sender(
        &self,
        peer: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, InFlightCall), String> {
        self.last_used.set(Instant::now());
        let (current, is_new) = self.current(peer).await?;
        let in_flight = InFlightCall::start(&current.activity);
        match current.sender.clone().ready().await {
            Ok(sender) => return Ok((sender, in_flight)),
            Err(error) if is_new => return Err(error.to_string()),
            // The peer closed the idle connection; nothing of this call has been sent.
            Err(_) => self.discard(&current),
        }
        let (current, _) = self.current(peer).await?;
        let in_flight = InFlightCall::start(&current.activity);
        let sender = current.sender.clone().ready().await.map_err(|error| error.to_string())?;
        Ok((sender, in_flight))
    }

    /// Returns the open connection, and whether it was opened for this call.
    async fn current(&self, peer: SocketAddr) -> Result<(OpenConnection, bool), String> {
        if let Some(current) = self.current_if_open() {
            return Ok((current, false));
        }
        let _opening = self.opening.acquire().await;
        if let Some(current) = self.current_if_open() {
            return Ok((current, false));
        }
        let descriptor =
            self.budget.acquire(Class::Control).map_err(|exhausted| exhausted.to_string())?;
        let current = open(peer, &self.limits, self.keepalive.clone(), descriptor).await?;
        *self.current.borrow_mut() = Some(current.clone());
        Ok((current, true))
    }

    fn current_if_open(&self) -> Option<OpenConnection> {
        self.current.borrow().as_ref().filter(|current| !current.closed.is_triggered()).cloned()
    }

    fn discard(&self, dead: &OpenConnection) {
        let mut current = self.current.borrow_mut();
        if current.as_ref().is_some_and(|current| Rc::ptr_eq(&current.activity, &dead.activity)) {
            *current = None;
        }
    }
}

async fn open(
    peer: SocketAddr,
    limits: &Limits,
    keepalive: Rc<Cell<Duration>>,
    descriptor: Guard,
) -> Result<OpenConnection, String> {
    let stream = TcpStream::connect_addr(peer).await.map_err(|error| error.to_string())?;
    let _ = stream.set_nodelay(true);
    let (sender, mut connection) = client::Builder::new()
        .enable_push(false)
        .initial_max_send_streams(limits.calls)
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(HEADER_BYTES)
        .handshake(stream)
        .await
        .map_err(|error| error.to_string())?;
    let current = OpenConnection { sender, activity: Rc::default(), closed: Shutdown::new() };
    let pings = connection.ping_pong();
    let activity = current.activity.clone();
    let closed = current.closed.clone();
    monoio::spawn(async move {
        // Dropped after the connection.
        let _descriptor = descriptor;
        let mut probe = Box::pin(probe(pings, activity, keepalive).fuse());
        let mut connection = connection.fuse();
        futures_util::select_biased! {
            result = connection => {
                log::debug!("event=peer.closed peer={peer} clean={}", result.is_ok());
            }
            () = probe => log::warn!("event=peer.dead peer={peer}"),
        }
        closed.trigger();
    });
    Ok(current)
}

/// Completes once the peer leaves a probe unanswered.
///
/// A peer that is frozen, partitioned or lost without closing its sockets would otherwise let each
/// call run into its own timeout. Probes are HTTP/2 pings: the peer's process answers them, not its
/// kernel, and a slow handler does not delay the answer. No probe is sent if a call was answered
/// since the last check: an owner that hundreds of instances follow would otherwise spend most of
/// its time on answering probes.
async fn probe(pings: Option<PingPong>, activity: Rc<Activity>, keepalive: Rc<Cell<Duration>>) {
    let Some(mut pings) = pings else { return std::future::pending().await };
    loop {
        monoio::time::sleep(keepalive.get()).await;
        let started = activity.started.replace(false);
        let responded = activity.responded.replace(false);
        if responded || !started && activity.in_flight.get() == 0 {
            continue;
        }
        let answer = monoio::time::timeout(keepalive.get() * 2, pings.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}
