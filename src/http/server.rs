//! Server that limits its connections and finishes the requests in flight when it stops.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use monoio::net::TcpStream;
use serde::Serialize;

use super::connection::{Connection, MAX_LINGERING, Shared};
use super::{Handler, Limits, Response};
use crate::descriptors::{self, Class};
use crate::listener::Listener;
use crate::memory::{Budget, Cause, Eviction};
use crate::permit::Semaphore;
use crate::shutdown::Shutdown;
use crate::slots::{Slot, Slots};
use crate::waiting::Registry;

/// Name of an address that was given none.
const DEFAULT_NAME: &str = "http";

/// Seconds after which a refused caller may retry.
const RETRY_AFTER_SECONDS: u64 = 1;

/// A bound listener that does not serve yet.
pub struct Server {
    listener: Listener,
    limits: Limits,
    name: &'static str,
    descriptors: Rc<descriptors::Budget>,
    class: Class,
}

impl Server {
    /// Binds `addr`; port 0 selects a free port.
    ///
    /// Requires a running runtime on this thread.
    ///
    /// # Errors
    /// Fails if the address cannot be bound, for instance because another process uses it.
    pub fn bind(addr: SocketAddr, limits: Limits) -> io::Result<Self> {
        Ok(Self {
            listener: Listener::bind(addr)?,
            limits,
            name: DEFAULT_NAME,
            descriptors: Rc::new(descriptors::Budget::unlimited()),
            class: Class::Caller,
        })
    }

    /// Sets the name of the address in metrics and log lines.
    #[must_use]
    pub fn with_name(self, name: &'static str) -> Self {
        Self { name, ..self }
    }

    /// Counts the accepted connections in `descriptors` as ones of `class`. If no descriptor is left
    /// for one, room is made as for one beyond the limit of connections.
    #[must_use]
    pub fn with_budget(self, descriptors: Rc<descriptors::Budget>, class: Class) -> Self {
        Self { descriptors, class, ..self }
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Fails if the operating system does not return the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is triggered, then finishes the requests in flight and returns.
    ///
    /// After the trigger the listener closes and every response carries `connection: close`. Idle
    /// connections close after a short delay, in which requests that were already under way are
    /// still answered. Requests still in flight `grace` after the trigger are aborted.
    ///
    /// If no connection is left for a new peer, the one that has waited longest for its peer is
    /// closed; if none has waited for a while, the new one is answered with status 503.
    pub async fn serve(self, handler: Rc<dyn Handler>, stop: Shutdown, grace: Duration) {
        let abort = Shutdown::new();
        let waiting: Rc<Registry> = Rc::default();
        let slots = Rc::new(Slots::new(
            self.limits.connections,
            self.descriptors.clone(),
            self.class,
            waiting.clone(),
        ));
        let memory = Budget::new(self.limits.message_bytes, Eviction::of(self.name));
        let acceptor = Rc::new(Acceptor {
            handler,
            shared: Shared {
                limits: self.limits,
                memory: Rc::new(memory),
                waiting,
                stop: stop.clone(),
                lingering: Rc::new(Semaphore::new(MAX_LINGERING)),
            },
            abort: abort.clone(),
            slots,
        });
        let admit = |stream, peer| acceptor.admit(stream, peer);
        self.listener.accept_until(&stop, &self.descriptors, admit).await;
        let ended = monoio::time::timeout(grace, acceptor.slots.wait_until_unused()).await;
        if ended.is_err() {
            log::warn!("event=http.stop_cut grace_ms={}", grace.as_millis());
        }
        abort.trigger();
    }
}

struct Acceptor {
    handler: Rc<dyn Handler>,
    shared: Shared,
    abort: Shutdown,
    slots: Rc<Slots>,
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
        let connection = Connection::new(stream, peer, self.shared.clone());
        let handler = self.handler.clone();
        let abort = self.abort.clone();
        monoio::spawn(async move {
            // Dropped after the connection.
            let _slot = slot;
            let mut serving = Box::pin(connection.serve(handler.as_ref()).fuse());
            let mut aborted = Box::pin(abort.wait().fuse());
            futures_util::select_biased! {
                () = serving => {}
                () = aborted => {}
            }
        });
    }

    /// Admits a connection once another one is closed for it, or refuses it.
    fn enter(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        self.shared.memory.note_evicted(Cause::Connections);
        let Some(entering) = self.slots.enter() else { return };
        let acceptor = self.clone();
        monoio::spawn(async move {
            if let Some(slot) = entering.slot().await {
                return acceptor.spawn(stream, peer, slot);
            }
            let connection = Connection::new(stream, peer, acceptor.shared.clone());
            connection.refuse(too_many_connections()).await;
        });
    }
}

fn too_many_connections() -> Response {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "too many connections")
}

/// Body of an error response; it has the form of `api::wire::Refusal`, so that callers parse one
/// form for all refusals.
#[derive(Serialize)]
struct ErrorBody<'a> {
    ran: &'a str,
    reason: &'a str,
    message: &'a str,
}

/// Builds a response of the server itself, after which it closes the connection.
///
/// The request has not reached a handler, so that it certainly did not run.
pub(super) fn error_response(status: StatusCode, message: &str) -> Response {
    let reason = match status {
        StatusCode::SERVICE_UNAVAILABLE => "overloaded",
        StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => "too-large",
        StatusCode::REQUEST_TIMEOUT => "deadline",
        _ => "invalid",
    };
    let error_body = ErrorBody { ran: "not-run", reason, message };
    let body = serde_json::to_vec(&error_body).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    }
    response
}
