//! Limits used by both ends of an h2 connection.

/// Flow-control window of one stream, in bytes.
///
/// Large enough that it is never exhausted: if a window is exhausted while calls are abandoned, a
/// bug of the h2 library counts their bytes twice and ends the process. The largest message is a
/// configuration of about 100 KiB.
pub(super) const STREAM_WINDOW: u32 = 1024 * 1024;

/// Flow-control window of a whole connection, in bytes; limits how much a peer can make this
/// process buffer. Like [`STREAM_WINDOW`], it must never be exhausted.
pub(super) const CONNECTION_WINDOW: u32 = 16 * 1024 * 1024;

/// Largest header list of a call, in bytes.
pub(super) const HEADER_BYTES: u32 = 8 * 1024;

/// Longest explanation sent with a refusal, in bytes; longer ones are truncated.
pub(super) const REASON_BYTES: usize = 1024;
