//! Server: accepts connections within its bounds and stops without cutting requests.

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

use super::connection::Connection;
use super::{Handler, Limits, Response};
use crate::listener::Listener;
use crate::permit::{Semaphore, SemaphorePermit};
use crate::shutdown::Shutdown;

/// Refusals that are told to their callers at once; beyond, connections are closed untold.
const REFUSALS: usize = 64;

/// Seconds after which a refused caller may try again.
const RETRY_AFTER_SECONDS: u64 = 1;

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

    /// Serves until `stop` is triggered, then finishes the requests in flight and returns.
    ///
    /// After the trigger the listener closes, resting connections close after a moment in which a
    /// request that was already on its way is still answered, and every answer says
    /// `connection: close`. What has not ended `grace` after the trigger is cut.
    pub async fn serve(self, handler: Rc<dyn Handler>, stop: Shutdown, grace: Duration) {
        let abort = Shutdown::new();
        let acceptor = Acceptor {
            handler,
            limits: self.limits,
            stop: stop.clone(),
            abort: abort.clone(),
            permits: Semaphore::new(self.limits.connections),
            refusals: Semaphore::new(REFUSALS),
        };
        self.listener.accept_until(&stop, |stream, peer| acceptor.admit(stream, peer)).await;
        let ended = monoio::time::timeout(grace, acceptor.permits.wait_until_unused()).await;
        if ended.is_err() {
            log::warn!("event=http.stop_cut grace_ms={}", grace.as_millis());
        }
        abort.trigger();
    }
}

struct Acceptor {
    handler: Rc<dyn Handler>,
    limits: Limits,
    stop: Shutdown,
    abort: Shutdown,
    permits: Semaphore,
    refusals: Semaphore,
}

impl Acceptor {
    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        match self.permits.try_acquire() {
            Some(permit) => self.spawn(stream, peer, permit),
            None => self.refuse(stream, peer),
        }
    }

    fn spawn(&self, stream: TcpStream, peer: SocketAddr, permit: SemaphorePermit) {
        let connection = Connection::new(stream, peer, self.limits, self.stop.clone());
        let handler = self.handler.clone();
        let abort = self.abort.clone();
        monoio::spawn(async move {
            let mut serving = Box::pin(connection.serve(handler.as_ref()).fuse());
            let mut aborted = Box::pin(abort.wait().fuse());
            futures_util::select_biased! {
                () = serving => {}
                () = aborted => {}
            }
            drop(permit);
        });
    }

    fn refuse(&self, stream: TcpStream, peer: SocketAddr) {
        let Some(permit) = self.refusals.try_acquire() else { return };
        let connection = Connection::new(stream, peer, self.limits, self.stop.clone());
        monoio::spawn(async move {
            connection.refuse(overload()).await;
            drop(permit);
        });
    }
}

fn overload() -> Response {
    let mut response = explain(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    response
}

/// The form of `api::wire::Refusal`, so that callers read one form whoever refuses.
#[derive(Serialize)]
struct Explanation<'a> {
    ran: &'a str,
    reason: &'a str,
    message: &'a str,
}

/// An answer of the server itself, after which it closes the connection.
///
/// No handler has seen the request, so that it surely did not run.
pub(super) fn explain(status: StatusCode, message: &str) -> Response {
    let reason = match status {
        StatusCode::SERVICE_UNAVAILABLE => "overloaded",
        StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => "too-large",
        StatusCode::REQUEST_TIMEOUT => "deadline",
        _ => "invalid",
    };
    let explanation = Explanation { ran: "not-run", reason, message };
    let body = serde_json::to_vec(&explanation).unwrap_or_default();
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
