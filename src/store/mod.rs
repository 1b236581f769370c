//! Interface to the platform's append-only log, which is the only durable storage.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use futures_util::future::LocalBoxFuture;

mod failover;
pub mod http;
pub mod wire;

pub use failover::Failover;

/// Position of a record in a stream; consecutive records have consecutive offsets.
pub type Offset = u64;

/// A record read from a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Offset of the record.
    pub offset: Offset,
    /// Content of the record.
    pub payload: Bytes,
}

/// Consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records from the requested offset, or from `oldest` if that is higher; may be empty.
    pub records: Vec<Record>,
    /// Oldest offset that the log still has.
    pub oldest: Offset,
    /// Offset of the next append.
    pub end: Offset,
}

/// Operation of a failed call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Operation {
    /// Appending a record.
    #[display("store.append")]
    Append,
    /// Reading records.
    #[display("store.read")]
    Read,
}

/// Whether a failed append may have been written.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was not written.
    #[display("not written")]
    NotWritten,
    /// The record may have been written: the response was lost, late or malformed.
    #[display("unknown")]
    Unknown,
}

/// A failed call to the log.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step={operation} peer={peer} outcome={outcome} cause={cause}")]
pub struct Error {
    /// Failed operation.
    pub operation: Operation,
    /// Address of the log.
    pub peer: std::net::SocketAddr,
    /// Whether the record may have been written.
    pub outcome: AppendOutcome,
    /// Cause, as text.
    pub cause: String,
}

/// Client of the log.
pub trait Store {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if the log refuses the record or does not answer in time. The error's `outcome` states
    /// whether the record may have been written.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>>;

    /// Reads records starting at `from`. Waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails if the log does not answer in time or its response is not a valid page.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, Error>>;
}
