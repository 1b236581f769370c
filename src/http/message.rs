//! Reading one message, request or response, within its bounds.

use std::io;

use bytes::{Bytes, BytesMut};
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

use super::limited::Reader;

/// Bytes that chunk sizes and line ends may add to a chunked body on top of twice its size.
const CHUNK_SLACK: usize = 64 * 1024;

/// How the body after a head is delimited.
pub(super) type Framing = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// A connection's incoming messages with heads of `D`.
pub(super) type Source<D> = FramedRead<Reader, GenericHeadDecoder<(), D, DirectWrapper>>;

/// Why a message could not be read.
#[derive(Debug, Display)]
pub(super) enum Fault {
    /// The peer closed the connection between two messages.
    #[display("connection closed by the peer")]
    Closed,
    /// The peer closed the connection within a message.
    #[display("message cut short")]
    Truncated,
    /// The head is larger than allowed.
    #[display("head too large")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[display("body larger than {limit} bytes")]
    BodyTooLarge {
        /// Bytes allowed.
        limit: usize,
    },
    /// The message breaks the rules of HTTP/1.1.
    #[display("{_0}")]
    Malformed(String),
    /// The message took longer than allowed.
    #[display("message took too long")]
    TimedOut,
    /// The connection failed.
    #[display("{_0}")]
    Io(io::Error),
}

/// Reads the next head, of about `limit` bytes at most.
pub(super) async fn head<D, H>(source: &mut Source<D>, limit: usize) -> Result<(H, Framing), Fault>
where
    Source<D>: Stream<Item = Result<(H, Framing), HttpError>>,
{
    source.get_mut().allow(limit);
    match source.next().await {
        Some(Ok(head)) => Ok(head),
        Some(Err(error)) => Err(head_fault(source.get_ref(), error)),
        None => Err(Fault::Closed),
    }
}

/// Reads the body that `framing` delimits, of `limit` bytes at most.
pub(super) async fn body<D>(
    source: &mut Source<D>,
    framing: Framing,
    limit: usize,
) -> Result<Bytes, Fault> {
    match framing {
        PayloadDecoder::None => Ok(Bytes::new()),
        PayloadDecoder::Fixed(decoder) => fixed(source, decoder, limit).await,
        PayloadDecoder::Streamed(decoder) => chunked(source, decoder, limit).await,
    }
}

async fn fixed<D>(
    source: &mut Source<D>,
    mut decoder: FixedBodyDecoder,
    limit: usize,
) -> Result<Bytes, Fault> {
    source.get_mut().allow(limit);
    match source.next_with(&mut decoder).await {
        Some(Ok(body)) => Ok(body),
        Some(Err(error)) => Err(body_fault(source.get_ref(), error, limit)),
        None => Err(Fault::Truncated),
    }
}

async fn chunked<D>(
    source: &mut Source<D>,
    mut decoder: ChunkedBodyDecoder,
    limit: usize,
) -> Result<Bytes, Fault> {
    source.get_mut().allow(limit.saturating_mul(2).saturating_add(CHUNK_SLACK));
    let mut body = BytesMut::new();
    loop {
        match source.next_with(&mut decoder).await {
            Some(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
            Some(Ok(None)) => return Ok(body.freeze()),
            Some(Err(error)) => return Err(body_fault(source.get_ref(), error, limit)),
            None => return Err(Fault::Truncated),
        }
        if body.len() > limit {
            return Err(Fault::BodyTooLarge { limit });
        }
    }
}

/// Checks that `headers` delimit the body in exactly one way and keep it within `limit`.
///
/// Guards against request smuggling: two peers that read different lengths out of one head would
/// take the rest of a body for the next message, and answers would reach the wrong caller. The
/// codec takes the first length it finds, so that every second one is refused here.
pub(super) fn check_framing(
    version: Version,
    headers: &HeaderMap,
    limit: usize,
) -> Result<(), Fault> {
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
    match length(headers) {
        Some(length) if length > limit => Err(Fault::BodyTooLarge { limit }),
        _ => Ok(()),
    }
}

/// Whether `headers` say where the body ends.
pub(super) fn is_delimited(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Whether `headers` say that bytes of a body follow.
pub(super) fn announces_body(headers: &HeaderMap) -> bool {
    is_delimited(headers) && length(headers) != Some(0)
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

fn length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn malformed(reason: &str) -> Result<(), Fault> {
    Err(Fault::Malformed(reason.to_owned()))
}

fn head_fault(reader: &Reader, error: HttpError) -> Fault {
    if reader.is_exceeded() {
        return Fault::HeadTooLarge;
    }
    match error {
        HttpError::IOError(error) => io_fault(reader, error),
        HttpError::H1DecodeError(error) => decode_fault(reader, error),
        error => Fault::Malformed(error.to_string()),
    }
}

fn body_fault(reader: &Reader, error: DecodeError, limit: usize) -> Fault {
    if reader.is_exceeded() {
        return Fault::BodyTooLarge { limit };
    }
    decode_fault(reader, error)
}

fn decode_fault(reader: &Reader, error: DecodeError) -> Fault {
    match error {
        DecodeError::Io(error) => io_fault(reader, error),
        error => Fault::Malformed(error.to_string()),
    }
}

fn io_fault(reader: &Reader, error: io::Error) -> Fault {
    if reader.is_ended() { Fault::Truncated } else { Fault::Io(error) }
}
