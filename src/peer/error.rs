//! Why a call to a peer brought no answer.

use std::fmt;
use std::net::SocketAddr;

use derive_more::{Display, Error};
use http::StatusCode;

/// Kind of a refusal.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Code {
    /// The peer knows no such method.
    #[display("unknown method")]
    UnknownMethod,
    /// The peer cannot read the call.
    #[display("malformed")]
    Malformed,
    /// The peer has too much to do; the call had no effect.
    #[display("busy")]
    Busy,
    /// The call does not fit the state that the peer is in.
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

/// The answer of a handler that does not carry out a call.
///
/// ```
/// use oriolefork::peer::{Code, Refusal};
/// let refusal = Refusal { code: Code::Busy, reason: "256 calls are running".into() };
/// assert_eq!(refusal.to_string(), "busy: 256 calls are running");
/// ```
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}: {reason}")]
pub struct Refusal {
    /// Its kind.
    pub code: Code,
    /// What is wrong, for people.
    pub reason: String,
}

impl Refusal {
    /// A refusal of kind `code`, with its reason for people.
    ///
    /// ```
    /// use oriolefork::peer::{Code, Refusal};
    /// assert_eq!(Refusal::new(Code::Busy, "stopping").to_string(), "busy: stopping");
    /// ```
    pub fn new(code: Code, reason: impl fmt::Display) -> Self {
        Self { code, reason: reason.to_string() }
    }
}

/// Where in a call an error arose.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum CallPhase {
    /// Encoding the call.
    #[display("encode")]
    Encode,
    /// Opening the connection, or a stream on it.
    #[display("connect")]
    Connect,
    /// Writing the call.
    #[display("send")]
    Send,
    /// Waiting for the answer, or reading it.
    #[display("receive")]
    Receive,
    /// Making sense of the answer.
    #[display("decode")]
    Decode,
    /// The peer refused the call.
    #[display("refused ({_0})")]
    Refused(Code),
    /// The time given for the call ended.
    #[display("timeout")]
    Timeout,
}

/// A call that brought no whole answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{phase} {peer}: {cause} ({})", if *sent { "may have been sent" } else { "surely not sent" })]
pub struct Error {
    /// Where it arose.
    pub phase: CallPhase,
    /// The peer that was called.
    pub peer: SocketAddr,
    /// Whether the peer may have acted on the call. When `false`, it surely has not.
    pub sent: bool,
    /// What went wrong, for people.
    pub cause: String,
}

impl Error {
    /// Whether the peer answered that it takes no call at present, and took none.
    ///
    /// ```
    /// use oriolefork::peer::{Error, CallPhase};
    /// let peer = ([127, 0, 0, 1], 7_540).into();
    /// let cause = "refused stream".to_owned();
    /// assert!(Error { phase: CallPhase::Receive, peer, sent: false, cause }.is_busy());
    /// ```
    pub fn is_busy(&self) -> bool {
        self.phase == CallPhase::Receive && !self.sent
    }
}
