//! Errors of calls to peers.

use std::fmt;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use http::StatusCode;

/// Why a handler refuses a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Code {
    /// The peer has no such method.
    #[display("unknown method")]
    UnknownMethod,
    /// The peer cannot decode the call.
    #[display("malformed")]
    Malformed,
    /// The peer is overloaded; the call had no effect.
    #[display("busy")]
    Busy,
    /// The call conflicts with the peer's state.
    #[display("conflict")]
    Conflict,
}

impl Code {
    pub(super) fn status(self) -> StatusCode {
        match self {
            Self::UnknownMethod => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Self::Conflict => StatusCode::CONFLICT,
        }
    }

    pub(super) fn of_status(status: StatusCode) -> Option<Self> {
        [Self::UnknownMethod, Self::Malformed, Self::Busy, Self::Conflict]
            .into_iter()
            .find(|code| code.status() == status)
    }
}

/// Response of a handler that refuses a call.
///
/// ```
/// use oriolefork::peer::{Code, Refusal};
/// let refusal = Refusal { code: Code::Busy, reason: "256 calls are running".into() };
/// assert_eq!(refusal.to_string(), "busy: 256 calls are running");
/// ```
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}: {reason}")]
pub struct Refusal {
    /// Kind of the refusal.
    pub code: Code,
    /// Human-readable explanation.
    pub reason: String,
}

impl Refusal {
    /// Creates a refusal with a human-readable explanation.
    ///
    /// ```
    /// use oriolefork::peer::{Code, Refusal};
    /// assert_eq!(Refusal::new(Code::Busy, "stopping").to_string(), "busy: stopping");
    /// ```
    pub fn new(code: Code, reason: impl fmt::Display) -> Self {
        Self { code, reason: reason.to_string() }
    }
}

/// Phase of a call in which an error occurred.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallPhase {
    /// Encoding the call.
    #[display("encode")]
    Encode,
    /// Opening the connection, or a stream on it.
    #[display("connect")]
    Connect,
    /// Sending the call.
    #[display("send")]
    Send,
    /// Waiting for the response, or reading it.
    #[display("receive")]
    Receive,
    /// Decoding the response.
    #[display("decode")]
    Decode,
    /// The peer refused the call.
    #[display("refused ({_0})")]
    Refused(Code),
    /// The call exceeded its timeout.
    #[display("timeout")]
    Timeout,
}

/// Error of a call that was refused or got no complete response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{step} {peer}: {cause} ({})", if *sent { "may have been sent" } else { "surely not sent" })]
pub struct Error {
    /// Phase in which the error occurred.
    // The name is printed in log lines, which contain the Debug output of errors.
    pub step: CallPhase,
    /// The peer that was called.
    pub peer: SocketAddr,
    /// Whether the peer may have acted on the call; `false` means that it certainly has not.
    pub sent: bool,
    /// Human-readable cause.
    pub cause: String,
}

impl Error {
    /// Whether the peer rejected the call, without acting on it, because it is overloaded or
    /// stopping.
    ///
    /// ```
    /// use oriolefork::peer::{CallPhase, Error};
    /// let peer = ([127, 0, 0, 1], 7_540).into();
    /// let cause = "refused stream".to_owned();
    /// assert!(Error { step: CallPhase::Receive, peer, sent: false, cause }.is_busy());
    /// ```
    pub fn is_busy(&self) -> bool {
        self.step == CallPhase::Receive && !self.sent
    }
}
