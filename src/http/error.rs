//! Errors of requests sent by the client.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Phase of a call in which an error occurred.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallPhase {
    /// Opening a connection.
    #[display("connect")]
    Connect,
    /// Opening a connection, for which this process has no descriptor left.
    #[display("descriptors")]
    Descriptor,
    /// Opening a connection to a peer that limits its connections, and refused this one or closed it
    /// before any response to its first request.
    #[display("refused")]
    Refused,
    /// Verifying the peer's identity on a new connection.
    #[display("greet")]
    IdentityCheck,
    /// Sending the request.
    #[display("send")]
    Send,
    /// Waiting for the response, or reading it.
    #[display("receive")]
    Receive,
    /// Decoding the response.
    #[display("decode")]
    Decode,
    /// The call exceeded its timeout.
    #[display("timeout")]
    Timeout,
}

/// Error of a call that got no complete response.
///
/// ```
/// use oriolefork::http::{CallPhase, Error};
/// let peer = "127.0.0.1:9".parse().unwrap();
/// let error = Error { phase: CallPhase::Connect, peer, sent: false, cause: "refused".into() };
/// assert_eq!(error.to_string(), "connect 127.0.0.1:9: refused (surely not sent)");
/// ```
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{phase} {peer}: {cause} ({})", if *sent { "may have been sent" } else { "surely not sent" })]
pub struct Error {
    /// Phase in which the error occurred.
    pub phase: CallPhase,
    /// The peer that was called.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have left this process; `false` means that the peer has
    /// certainly not acted on the request.
    pub sent: bool,
    /// Human-readable cause.
    pub cause: String,
}
