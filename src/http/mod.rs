//! HTTP/1.1 for callers, upstreams, the platform and operators: a server and a pooled client, both
//! bounded in size, time and connections.
//!
//! Requests and responses are those of the `http` crate with their whole body in memory. A message
//! that is cut short, too large or too slow is an error and never a shorter message.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::shutdown::Shutdown;

mod client;
mod connection;
mod error;
mod limited;
mod message;
mod pool;
mod pools;
mod server;

pub use client::{Client, IdentityCheck};
pub use error::{CallPhase, Error};
pub use server::Server;

/// A request with its whole body.
pub type Request = ::http::Request<Bytes>;

/// A response with its whole body.
pub type Response = ::http::Response<Bytes>;

/// Answers the requests that a [`Server`] receives.
///
/// A panic in a handler ends the thread: the runtime catches none, so that no fault is hidden.
pub trait Handler {
    /// Answers one request of `peer`.
    ///
    /// Requests on one connection are handled one after another, those of several connections side
    /// by side. A handler that has begun runs to its end even when the peer has gone.
    fn handle(&self, peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response>;

    /// A flag that is raised when resting connections should close, for an instance whose callers
    /// are served better elsewhere; `None` where that never happens.
    fn close_idle_signal(&self) -> Option<Shutdown> {
        None
    }
}

/// Bounds on what one peer can make this process hold or wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request line or status line with its headers, in bytes; exceeded by at most one
    /// read of a few kilobytes. At most [`Limits::HEAD_BYTES_CAP`].
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for one whole message to arrive, counted from its first byte, or to be taken by the
    /// peer.
    pub read_timeout: Duration,
    /// Time that a connection may rest between two requests; before the first it is
    /// `read_timeout`. A client reuses a connection only
    /// within half of it, so that the server is seldom the first to close.
    pub idle_timeout: Duration,
    /// Connections that a server holds in all, or that a client holds to each peer.
    pub connections: usize,
}

impl Limits {
    /// The largest head that is ever accepted, whatever the settings say.
    ///
    /// The `http` crate refuses header names of 64 KiB and more by panicking, so that a head must
    /// stay below that size.
    pub const HEAD_BYTES_CAP: usize = 32 * 1024;

    fn head_bytes(&self) -> usize {
        self.head_bytes.min(Self::HEAD_BYTES_CAP)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            connections: 1024,
        }
    }
}
