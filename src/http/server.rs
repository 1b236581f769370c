//! Server: accepts connections within its bounds and stops without cutting requests.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::Instant;
use serde::Serialize;

use super::connection::Connection;
use super::{Handler, Limits, Response};
use crate::permit::{Permit, Pool};
use crate::shutdown::Shutdown;

/// Rest after a failed accept, so that a process out of descriptors does not spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Time after the trigger in which connections are still accepted.
const BACKLOG_LINGER: Duration = Duration::from_millis(50);

/// Refusals that are told to their callers at once; beyond, connections are closed untold.
const REFUSALS: usize = 64;

/// Seconds after which a refused caller may try again.
const RETRY_AFTER_SECONDS: u64 = 1;

/// A bound listener that is not serving yet.
pub struct Server {
    listener: TcpListener,
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
        // By default the runtime shares a port among processes. Two daemons set to one address by
        // mistake would then each get some of the connections instead of an error.
        let options = ListenerOpts::new().reuse_port(false);
        Ok(Self { listener: TcpListener::bind_with_config(addr, &options)?, limits })
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
            permits: Pool::new(self.limits.connections),
            refusals: Pool::new(REFUSALS),
        };
        acceptor.accept_until(&self.listener, &stop).await;
        acceptor.accept_backlog(&self.listener).await;
        drop(self.listener);
        let ended = monoio::time::timeout(grace, acceptor.permits.all()).await;
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
    permits: Pool,
    refusals: Pool,
}

impl Acceptor {
    async fn accept_until(&self, listener: &TcpListener, stop: &Shutdown) {
        let mut stopped = Box::pin(stop.wait().fuse());
        loop {
            let mut accept = Box::pin(listener.accept().fuse());
            let accepted = futures_util::select_biased! {
                () = stopped => return,
                accepted = accept => accepted,
            };
            match accepted {
                Ok((stream, peer)) => self.admit(stream, peer),
                Err(cause) => {
                    log::warn!("event=http.accept_failed cause={:?}", cause.to_string());
                    monoio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Takes the connections that are already on their way when the trigger comes.
    ///
    /// The system sets up connections before the process accepts them, and callers may have sent
    /// requests on them. Closing the listener would reset them all. The runtime learns of them only
    /// by waiting, so that trying once is not enough.
    async fn accept_backlog(&self, listener: &TcpListener) {
        let deadline = Instant::now() + BACKLOG_LINGER;
        while let Ok(Ok((stream, peer))) =
            monoio::time::timeout_at(deadline, listener.accept()).await
        {
            self.admit(stream, peer);
        }
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr) {
        let _ = stream.set_nodelay(true);
        match self.permits.try_take() {
            Some(permit) => self.spawn(stream, peer, permit),
            None => self.refuse(stream, peer),
        }
    }

    fn spawn(&self, stream: TcpStream, peer: SocketAddr, permit: Permit) {
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
        let Some(permit) = self.refusals.try_take() else { return };
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
