//! Why a call brought no answer.

use std::net::SocketAddr;

use derive_more::{Display, Error};

/// Where in a call an error arose.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallPhase {
    /// Opening a connection.
    #[display("connect")]
    Connect,
    /// Making sure of a peer's identity on a new connection.
    #[display("greet")]
    IdentityCheck,
    /// Writing the request.
    #[display("send")]
    Send,
    /// Waiting for the answer, or reading it.
    #[display("receive")]
    Receive,
    /// Making sense of the answer.
    #[display("decode")]
    Decode,
    /// The time given for the call ended.
    #[display("timeout")]
    Timeout,
}

/// A call that brought no whole answer.
///
/// ```
/// use oriolefork::http::{Error, CallPhase};
/// let peer = "127.0.0.1:9".parse().unwrap();
/// let error = Error { phase: CallPhase::Connect, peer, sent: false, cause: "refused".into() };
/// assert_eq!(error.to_string(), "connect 127.0.0.1:9: refused (surely not sent)");
/// ```
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{phase} {peer}: {cause} ({})", if *sent { "may have been sent" } else { "surely not sent" })]
pub struct Error {
    /// Where it arose.
    pub phase: CallPhase,
    /// The peer that was called.
    pub peer: SocketAddr,
    /// Whether any byte of the request may have left this process. When `false`, the peer has
    /// surely not acted on the request.
    pub sent: bool,
    /// What went wrong, for people.
    pub cause: String,
}
