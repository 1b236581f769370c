//! Calls between instances: one h2 connection to each peer, one stream a call, bodies in the form
//! of [`crate::codec`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use serde::de::DeserializeOwned;

use crate::codec;

mod body;
mod client;
mod error;
mod link;
mod server;
mod stream;

pub use client::Client;
pub use error::{CallPhase, Code, Error, Refusal};
pub use server::Server;

/// Reads the body of a call.
///
/// # Errors
/// A refusal for the caller when the body is not a `T`.
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
/// A panic in a handler ends the thread: the runtime catches none, so that no fault is hidden.
pub trait Handler {
    /// Answers one call of `peer`.
    ///
    /// Calls are handled side by side. A handler that has begun runs to its end even when the
    /// caller has given up, save at the end of the grace of a stop.
    fn handle(
        &self,
        peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>>;
}

/// Bounds on what one peer can make this process hold or wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a call or an answer, in bytes.
    pub body_bytes: usize,
    /// Calls at once: to each peer for a client, in all for a server.
    pub calls: usize,
    /// Connections that a server holds in all.
    pub connections: usize,
    /// Time for a handshake, for the body of a call to arrive, or for an answer to be taken.
    pub read_timeout: Duration,
    /// Time that a connection may rest without calls.
    pub idle_timeout: Duration,
    /// Rest between two probes of a peer while calls to it are out. A peer that leaves one probe
    /// unanswered for twice as long is taken for dead, and its connection is closed.
    pub keepalive: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 8 * 1024 * 1024,
            calls: 256,
            connections: 256,
            read_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(300),
            keepalive: Duration::from_secs(1),
        }
    }
}
