//! Calls between instances over HTTP/2: one connection to each peer, one stream per call, bodies
//! encoded by [`crate::codec`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::de::DeserializeOwned;

use crate::codec;

mod body;
mod calls;
mod client;
mod connection;
mod error;
mod paced;
mod presence;
mod server;
mod stream;

pub use client::Client;
pub use error::{CallPhase, Code, Error, Refusal};
pub use server::Server;

/// Decodes the body of a call.
///
/// # Errors
/// Returns a refusal with [`Code::Malformed`] if the body is not an encoded `T`.
///
/// ```
/// use oriolefork::{codec, peer};
/// let body = codec::encode(&7_u32).unwrap();
/// assert_eq!(peer::decode::<u32>(&body).unwrap(), 7);
/// assert_eq!(peer::decode::<u32>(b"").unwrap_err().code, peer::Code::Malformed);
/// ```
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    codec::decode(body).map_err(|error| Refusal::new(Code::Malformed, error))
}

/// Answers the calls that a [`Server`] receives.
///
/// A panic in a handler ends the thread: the runtime does not catch it, so that no bug is hidden.
pub trait Handler {
    /// Handles one call from `peer`. `method` includes the query, if the call has one.
    ///
    /// Calls are handled concurrently. A handler that has begun runs to its end even if the caller
    /// has abandoned the call, unless the grace period of a shutdown ends first.
    fn handle(
        &self,
        peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>>;
}

/// Limits on the memory, connections and time that peers can take up in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a call or a response, in bytes.
    pub body_bytes: usize,
    /// Calls in flight: per peer for a client, in total for a server.
    pub calls: usize,
    /// Open connections of a server.
    pub connections: usize,
    /// Memory of a server for the bodies of calls, until they are answered, in bytes. A call that
    /// needs more than what is left is refused, and so are incomplete ones that hold as much.
    /// Clients have no such limit.
    pub message_bytes: usize,
    /// Time limit for a handshake, for receiving the body of a call, and for sending a response.
    pub read_timeout: Duration,
    /// Time after which a connection without calls is closed.
    pub idle_timeout: Duration,
    /// Interval between two probes of a peer while calls to it are in flight. If a probe stays
    /// unanswered for twice this time, the connection is closed and its calls fail.
    pub keepalive: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            calls: 256,
            connections: 256,
            message_bytes: 32 * 1024 * 1024,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(300),
            keepalive: Duration::from_secs(1),
        }
    }
}
