//! Settings that both ends of an h2 connection share.

/// Bytes of one stream that may be on their way unread.
///
/// Guards against a fault of the h2 library: where a window runs out while calls are given up, it
/// counts their bytes twice and ends the process. The largest message is a configuration of about
/// 100 KiB, so that neither window ever runs out.
pub(super) const STREAM_WINDOW: u32 = 1024 * 1024;

/// Bytes of a whole connection that may be on their way unread; bounds what a peer can make this
/// process buffer.
pub(super) const CONNECTION_WINDOW: u32 = 16 * 1024 * 1024;

/// Largest set of headers of a call, in bytes.
pub(super) const HEADER_BYTES: u32 = 8 * 1024;

/// Longest reason of a refusal that is sent, in bytes.
pub(super) const REASON_BYTES: usize = 1024;
