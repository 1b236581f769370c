//! The border to the platform's append-only log, the only place where anything lasts.

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
    /// Its position.
    pub offset: Offset,
    /// Its content.
    pub payload: Bytes,
}

/// A run of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records from the offset asked for, or from `oldest` when that lies later; may be empty.
    pub records: Vec<Record>,
    /// Oldest offset still kept.
    pub oldest: Offset,
    /// Offset that the next append will get.
    pub end: Offset,
}

/// Where in a call the failure arose.
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
    /// The record was surely not written.
    #[display("not written")]
    NotWritten,
    /// The record may have been written: the answer was lost, late or broken.
    #[display("unknown")]
    Unknown,
}

/// A failed call to the log.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step={operation} peer={peer} outcome={outcome} cause={cause}")]
pub struct Error {
    /// Where it arose.
    pub operation: Operation,
    /// Address of the log.
    pub peer: std::net::SocketAddr,
    /// What is known of the effect.
    pub outcome: AppendOutcome,
    /// Cause as text.
    pub cause: String,
}

/// Way to reach the log.
pub trait Store {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// The error tells whether the record may have been written.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, Error>>;

    /// Reads records from `from` on, waiting up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails when the log does not answer in time or answers with something else than a page.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, Error>>;
}
