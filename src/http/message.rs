//! Reads one message, a request or a response, within size limits.

use std::io;

use bytes::Bytes;
use derive_more::Display;
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Version};
use monoio::io::stream::Stream;
use monoio_http::common::error::HttpError;
use monoio_http::h1::FramedRead;
use monoio_http::h1::codec::decoder::{
    ChunkedBodyDecoder, DecodeError, DirectWrapper, FixedBodyDecoder, GenericHeadDecoder,
    PayloadDecoder,
};

use super::body;
use super::limited::Reader;

/// Decoder of the body that follows a head.
pub(super) type Framing = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// Reads the messages of a connection, whose heads are decoded by `D`.
pub(super) type MessageReader<D> = FramedRead<Reader, GenericHeadDecoder<(), D, DirectWrapper>>;

/// Why a message could not be read.
#[derive(Debug, Display)]
pub(super) enum MessageError {
    /// The peer closed the connection between two messages.
    #[display("connection closed by the peer")]
    Closed,
    /// The peer closed the connection in the middle of a message.
    #[display("message truncated")]
    Truncated,
    /// The head is larger than allowed.
    #[display("head too large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[display("body larger than {limit} bytes")]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The message violates HTTP/1.1.
    #[display("{_0}")]
    Malformed(String),
    /// The transfer of the message exceeded its time limit.
    #[display("message transfer timed out")]
    TimedOut,
    /// There is no memory for the message, or its connection gives way to others.
    #[display("no room for the message")]
    Evicted,
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
}

/// Reads the next head, of at most about `limit` bytes.
pub(super) async fn head<D, H>(
    source: &mut MessageReader<D>,
    limit: usize,
) -> Result<(H, Framing), MessageError>
where
    MessageReader<D>: Stream<Item = Result<(H, Framing), HttpError>>,
{
    source.get_mut().allow(limit);
    match source.next().await {
        Some(Ok(head)) => Ok(head),
        Some(Err(error)) => Err(head_error(source.get_ref(), error)),
        None => Err(MessageError::Closed),
    }
}

/// Reads the body that follows a head with `framing` and `headers`, of at most `limit` bytes.
pub(super) async fn body<D>(
    source: &mut MessageReader<D>,
    framing: &Framing,
    headers: &HeaderMap,
    limit: usize,
) -> Result<Bytes, MessageError> {
    let (reader, received) = source.read_state_mut();
    match framing {
        PayloadDecoder::None => Ok(Bytes::new()),
        PayloadDecoder::Fixed(_) => {
            body::fixed(reader, received, content_length(headers).unwrap_or(0)).await
        }
        PayloadDecoder::Streamed(_) => body::chunked(reader, received, limit).await,
    }
}

/// Checks that `headers` do not delimit the body in more than one way, and that a declared length
/// is within `limit` bytes.
///
/// Prevents request smuggling: if two peers read different lengths from one head, one of them takes
/// the rest of a body for the next message, and responses reach the wrong caller. The codec uses
/// the first length it finds, so that a head with a second one is rejected here.
pub(super) fn check_framing(
    version: Version,
    headers: &HeaderMap,
    limit: usize,
) -> Result<(), MessageError> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(TRANSFER_ENCODING).iter().count();
    if lengths + encodings > 1 {
        return malformed("more than one content-length or transfer-encoding");
    }
    if encodings == 1 && version != Version::HTTP_11 {
        return malformed("transfer-encoding before HTTP/1.1");
    }
    if headers.get(TRANSFER_ENCODING).is_some_and(|value| value.as_bytes() != b"chunked") {
        return malformed("transfer-encoding other than chunked");
    }
    match content_length(headers) {
        Some(length) if length > limit => Err(MessageError::BodyTooLarge { limit }),
        _ => Ok(()),
    }
}

/// Whether `headers` delimit the body.
pub(super) fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether `headers` declare a body that is not empty.
pub(super) fn has_body(headers: &HeaderMap) -> bool {
    is_delimited(headers) && content_length(headers) != Some(0)
}

/// Whether the peer keeps the connection open after this message.
pub(super) fn keeps_alive(version: Version, headers: &HeaderMap) -> bool {
    version == Version::HTTP_11 && !has_token(headers, "close")
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(token))
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn malformed(reason: &str) -> Result<(), MessageError> {
    Err(MessageError::Malformed(reason.to_owned()))
}

fn head_error(reader: &Reader, error: HttpError) -> MessageError {
    if reader.is_refused() {
        return MessageError::Evicted;
    }
    if reader.is_exceeded() {
        return MessageError::HeadTooLarge;
    }
    match error {
        HttpError::IOError(error) => io_error(reader, error),
        HttpError::H1DecodeError(error) => decode_error(reader, error),
        error => MessageError::Malformed(error.to_string()),
    }
}

fn decode_error(reader: &Reader, error: DecodeError) -> MessageError {
    match error {
        DecodeError::Io(error) => io_error(reader, error),
        error => MessageError::Malformed(error.to_string()),
    }
}

pub(super) fn io_error(reader: &Reader, error: io::Error) -> MessageError {
    if reader.is_ended() { MessageError::Truncated } else { MessageError::Io(error) }
}
