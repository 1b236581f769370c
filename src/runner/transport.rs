//! Interface to runners, the upstreams that answer quick requests.

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
    /// Media type of the body, if the caller set one.
    pub content_type: Option<String>,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Time until the caller's deadline.
    pub budget: Duration,
}

/// A runner's complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body, if the runner set one.
    pub content_type: Option<String>,
    /// Body as the runner sent it.
    pub body: Bytes,
}

/// Why a call returned no response.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// No byte was sent.
    #[display("nothing was sent: {_0}")]
    NotSent(String),
    /// The runner may have received the call.
    #[display("no whole answer: {_0}")]
    Broken(String),
    /// The runner answered with the identity of another request.
    #[display("the answer belongs to another request")]
    Mismatched,
}

/// A failed call and the address of the runner.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=runner.call peer={peer} cause={fault}")]
pub struct Error {
    /// Address of the runner.
    pub peer: SocketAddr,
    /// Cause.
    #[error(not(source))]
    pub fault: Fault,
}

/// Sends calls to runners.
pub trait RunnerTransport {
    /// Sends one call to the runner at `peer` and waits up to `timeout` for its complete response.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] whose [`Fault`] shows whether the runner may have received the call.
    fn call<'a>(
        &'a self,
        peer: SocketAddr,
        call: &'a Call,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Answer, Error>>;
}
