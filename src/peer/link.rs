//! The connection to one peer: opened when needed, probed while calls are out, replaced when dead.

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
use crate::permit::Semaphore;
use crate::shutdown::Shutdown;

/// The connection to one peer.
pub(super) struct Link {
    limits: Limits,
    calls: Semaphore,
    // Held by the one caller that opens the connection while the others wait for it.
    opening: Semaphore,
    live: RefCell<Option<Live>>,
    used: Cell<Instant>,
}

/// An open connection.
#[derive(Clone)]
struct Live {
    sender: SendRequest<Bytes>,
    activity: Rc<Activity>,
    closed: Shutdown,
}

/// What the prober knows of the calls on a connection.
#[derive(Default)]
struct Activity {
    running: Cell<usize>,
    started: Cell<bool>,
    /// Whether an answer has come since the last look at it.
    heard: Cell<bool>,
}

/// A call that is out; the connection is probed while one exists.
pub(super) struct Running {
    activity: Rc<Activity>,
}

impl Running {
    fn start(activity: &Rc<Activity>) -> Self {
        activity.running.set(activity.running.get() + 1);
        activity.started.set(true);
        Self { activity: activity.clone() }
    }

    /// Notes that the call was answered, which tells as much as a probe.
    pub(super) fn note_answer(&self) {
        self.activity.heard.set(true);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.activity.running.set(self.activity.running.get() - 1);
    }
}

impl Link {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            calls: Semaphore::new(limits.calls),
            opening: Semaphore::new(1),
            live: RefCell::new(None),
            used: Cell::new(Instant::now()),
        }
    }

    /// The right to have one call out; waits while too many are.
    pub(super) fn calls(&self) -> &Semaphore {
        &self.calls
    }

    /// Time since the last call began.
    pub(super) fn idle(&self) -> Duration {
        self.used.get().elapsed()
    }

    /// A sender that is ready for one call.
    pub(super) async fn sender(
        &self,
        peer: SocketAddr,
    ) -> Result<(SendRequest<Bytes>, Running), String> {
        self.used.set(Instant::now());
        let (live, fresh) = self.live(peer).await?;
        let running = Running::start(&live.activity);
        match live.sender.clone().ready().await {
            Ok(sender) => return Ok((sender, running)),
            Err(error) if fresh => return Err(error.to_string()),
            // The peer closed the connection while it rested; nothing of this call has left.
            Err(_) => self.forget(&live),
        }
        let (live, _) = self.live(peer).await?;
        let running = Running::start(&live.activity);
        let sender = live.sender.clone().ready().await.map_err(|error| error.to_string())?;
        Ok((sender, running))
    }

    /// The open connection, and whether it was opened for this call.
    async fn live(&self, peer: SocketAddr) -> Result<(Live, bool), String> {
        if let Some(live) = self.open_live() {
            return Ok((live, false));
        }
        let _opening = self.opening.acquire().await;
        if let Some(live) = self.open_live() {
            return Ok((live, false));
        }
        let live = open(peer, &self.limits).await?;
        *self.live.borrow_mut() = Some(live.clone());
        Ok((live, true))
    }

    fn open_live(&self) -> Option<Live> {
        self.live.borrow().as_ref().filter(|live| !live.closed.is_triggered()).cloned()
    }

    fn forget(&self, dead: &Live) {
        let mut live = self.live.borrow_mut();
        if live.as_ref().is_some_and(|live| Rc::ptr_eq(&live.activity, &dead.activity)) {
            *live = None;
        }
    }
}

async fn open(peer: SocketAddr, limits: &Limits) -> Result<Live, String> {
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
    let live = Live { sender, activity: Rc::default(), closed: Shutdown::new() };
    let pings = connection.ping_pong();
    let activity = live.activity.clone();
    let closed = live.closed.clone();
    let keepalive = limits.keepalive;
    monoio::spawn(async move {
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
    Ok(live)
}

/// Completes once the peer leaves a probe unanswered.
///
/// Guards against a peer that is frozen, cut off or gone without a word: its sockets stay open, and
/// each call would wait for its own timeout. Only the peer's process answers a probe, not its
/// kernel, and a slow handler does not delay it. One that has answered a call since is not probed: an
/// owner that hundreds of instances follow would do little else than answer probes.
async fn probe(pings: Option<PingPong>, activity: Rc<Activity>, keepalive: Duration) {
    let Some(mut pings) = pings else { return std::future::pending().await };
    loop {
        monoio::time::sleep(keepalive).await;
        let started = activity.started.replace(false);
        let heard = activity.heard.replace(false);
        if heard || !started && activity.running.get() == 0 {
            continue;
        }
        let answer = monoio::time::timeout(keepalive * 2, pings.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}
