//! HTTP/1.1 server and pooled client, with limits on sizes, times and connections, for
//! callers, operators, upstreams and the services of the platform.
//!
//! Requests and responses are those of the `http` crate with their whole body in memory. A message
//! that is truncated, too large or too slow yields an error, never a partial message.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

use crate::shutdown::Shutdown;

mod attempt;
mod body;
mod chunks;
mod client;
mod connection;
mod error;
mod limited;
mod message;
mod pool;
mod pool_map;
mod quota;
mod server;

pub use client::{Client, IdentityCheck};
pub use error::{CallPhase, Error};
pub use quota::{Quotas, RESERVE};
pub use server::Server;

/// A request with its whole body.
pub type Request = ::http::Request<Bytes>;

/// A response with its whole body.
pub type Response = ::http::Response<Bytes>;

/// Answers the requests that a [`Server`] receives.
///
/// A panic in a handler ends the thread: the runtime does not catch it, so that no bug is hidden.
pub trait Handler {
    /// Handles one request from `peer`.
    ///
    /// Requests on one connection are handled one after another, those on different connections
    /// concurrently. A handler that has begun runs to its end even if the peer has disconnected.
    fn handle(&self, peer: SocketAddr, request: Request) -> LocalBoxFuture<'_, Response>;

    /// Returns a signal on which the server closes idle connections, for an instance whose callers
    /// are better served by another one; `None` if idle connections are closed only on timeout
    /// and when the server stops.
    fn close_idle_signal(&self) -> Option<Shutdown> {
        None
    }
}

/// Limits on the memory, connections and time that peers can take up in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request line or status line with its headers, in bytes. May be exceeded by one read
    /// of a few kilobytes. Values are capped at [`Limits::HEAD_BYTES_CAP`].
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving one message, counted from its first byte, and for sending one.
    pub read_timeout: Duration,
    /// Time for which a connection may be idle between two requests; before the first request the
    /// limit is `read_timeout`. A client reuses a connection only within half of this time, so that
    /// the server is seldom the first to close it.
    pub idle_timeout: Duration,
    /// Connections: in total for a server, in use at once per peer for a client.
    pub connections: usize,
    /// Memory of a server for requests that do not arrive at once, until they are answered, in
    /// bytes. A request that needs more than what is left takes it from incomplete ones that hold as
    /// much; these are answered with status 503. Clients have no such limit.
    pub message_bytes: usize,
}

impl Limits {
    /// Upper limit of the field `head_bytes`, whatever the settings.
    ///
    /// The `http` crate panics on header names of 64 KiB and more, so that a head must stay below
    /// that size.
    pub const HEAD_BYTES_CAP: usize = 32 * 1024;

    /// Default of the field `message_bytes`.
    pub const MESSAGE_BYTES: usize = 32 * 1024 * 1024;

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
            message_bytes: Self::MESSAGE_BYTES,
        }
    }
}
