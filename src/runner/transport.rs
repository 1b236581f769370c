//! The border to runners, the upstreams that answer quick requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use futures_util::future::LocalBoxFuture;

use crate::runner::request;

/// One call to a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identity that the runner must echo.
    pub id: request::Id,
    /// Service addressed.
    pub service: String,
    /// Media type of the body, when the caller named one.
    pub content_type: Option<String>,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Time left to the caller.
    pub budget: Duration,
}

/// A runner's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status in the sense of HTTP.
    pub status: u16,
    /// Media type of the body, when the runner named one.
    pub content_type: Option<String>,
    /// Body as the runner sent it.
    pub body: Bytes,
}

/// Why a call brought no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// Nothing left this process.
    #[display("nothing was sent: {_0}")]
    NotSent(String),
    /// The runner may have received the call.
    #[display("no whole answer: {_0}")]
    Broken(String),
    /// The runner answered with the identity of another request.
    #[display("answer to another request")]
    Mismatched,
}

/// A call that failed, with the runner at which it did.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=runner.call peer={peer} cause={fault}")]
pub struct Error {
    /// Address of the runner.
    pub peer: SocketAddr,
    /// What went wrong.
    #[error(not(source))]
    pub fault: Fault,
}

/// Way to reach runners.
pub trait RunnerTransport {
    /// Sends one call to the runner at `peer` and waits up to `timeout` for its whole answer.
    ///
    /// # Errors
    ///
    /// Returns the [`Fault`] that says whether the runner may have received the call.
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        call: &'a Call,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>>;
}
