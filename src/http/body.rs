//! Reads the body of a message into a buffer of its own, whose size is reserved before it grows.

use bytes::{Bytes, BytesMut};
use monoio::buf::IoBufMut;

use super::chunks::Decoder;
use super::limited::Reader;
use super::message::{MessageError, io_error};

/// Bytes that chunk headers may add to a chunked body, on top of twice the limit of its size.
const CHUNK_OVERHEAD_BYTES: usize = 64 * 1024;

/// Buffer size for encoded chunks.
const READ_BYTES: usize = 8 * 1024;

/// First buffer size of a chunked body.
const FIRST_BYTES: usize = 4 * 1024;

/// Reads a body of `length` bytes. `received` holds what has been read after the head.
pub(super) async fn fixed(
    reader: &mut Reader,
    received: &mut BytesMut,
    length: usize,
) -> Result<Bytes, MessageError> {
    if received.len() >= length {
        return Ok(received.split_to(length).freeze());
    }
    hold(reader, length).await?;
    let mut body = Vec::with_capacity(length);
    body.extend_from_slice(received);
    received.clear();
    reader.allow(length - body.len());
    while body.len() < length {
        let begin = body.len();
        let (read, part) = reader.read_body(body.slice_mut(begin..length)).await;
        body = part.into_inner();
        check_read(reader, read, length)?;
    }
    Ok(Bytes::from(body))
}

/// Reads a chunked body of at most `limit` bytes.
pub(super) async fn chunked(
    reader: &mut Reader,
    received: &mut BytesMut,
    limit: usize,
) -> Result<Bytes, MessageError> {
    reader.allow(limit.saturating_mul(2).saturating_add(CHUNK_OVERHEAD_BYTES));
    let mut decoder = Decoder::default();
    let mut body = Vec::new();
    loop {
        while let Some(chunk) = decoder.next(received).map_err(MessageError::Malformed)? {
            grow(reader, &mut body, chunk.len(), limit).await?;
            body.extend_from_slice(chunk);
            let bytes = chunk.len();
            decoder.consume(received, bytes);
        }
        if decoder.is_ended() {
            return Ok(Bytes::from(body));
        }
        received.reserve(READ_BYTES);
        let (begin, end) = (received.len(), received.capacity());
        let (read, part) = reader.read_body(std::mem::take(received).slice_mut(begin..end)).await;
        *received = part.into_inner();
        check_read(reader, read, limit)?;
    }
}

/// Makes room for `more` bytes of a chunked body.
async fn grow(
    reader: &mut Reader,
    body: &mut Vec<u8>,
    more: usize,
    limit: usize,
) -> Result<(), MessageError> {
    let needed = body.len() + more;
    if needed > limit {
        return Err(MessageError::BodyTooLarge { limit });
    }
    if needed <= body.capacity() {
        return Ok(());
    }
    let capacity = needed.max(body.capacity() * 2).max(FIRST_BYTES).min(limit);
    hold(reader, capacity + READ_BYTES).await?;
    body.reserve_exact(capacity - body.len());
    Ok(())
}

async fn hold(reader: &mut Reader, bytes: usize) -> Result<(), MessageError> {
    reader.hold(bytes).await.map_err(|_| MessageError::Evicted)
}

fn check_read(
    reader: &Reader,
    read: std::io::Result<usize>,
    limit: usize,
) -> Result<(), MessageError> {
    match read {
        Ok(0) => Err(MessageError::Truncated),
        Ok(_) => Ok(()),
        Err(_) if reader.is_exceeded() => Err(MessageError::BodyTooLarge { limit }),
        Err(error) => Err(io_error(reader, error)),
    }
}
