//! Reads and writes the bodies of h2 streams with a size limit and flow control.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, From};
use monoio_http::h2::{self, RecvStream, SendStream};

use crate::memory::{Exhausted, Reservation};

/// Why a body could not be read or written.
#[derive(Debug, Display, From)]
pub(super) enum BodyError {
    /// The body is larger than allowed.
    #[display("body larger than {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The peer closed the stream before it had accepted the whole body.
    #[display("stream closed by the peer")]
    #[from(skip)]
    Closed,
    /// The transfer exceeded its time limit.
    #[display("body transfer timed out")]
    #[from(skip)]
    TimedOut,
    /// There is no memory for the body.
    Exhausted(Exhausted),
    /// The stream or its connection failed.
    H2(h2::Error),
}

/// Reads a whole body of at most `limit` bytes, whose memory `reservation` limits, if there is one.
pub(super) async fn read(
    stream: &mut RecvStream,
    limit: usize,
    mut reservation: Option<&mut Reservation>,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        stream.flow_control().release_capacity(data.len())?;
        let needed = body.len() + data.len();
        if needed > limit {
            return Err(BodyError::TooLarge { limit });
        }
        if needed > body.capacity() {
            let capacity = needed.max(body.capacity() * 2).min(limit);
            if let Some(reservation) = &mut reservation {
                reservation.try_hold(capacity)?;
            }
            body.reserve(capacity - body.len());
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}

/// Reads a body to its end and discards it.
pub(super) async fn discard(stream: &mut RecvStream) -> Result<(), BodyError> {
    while let Some(data) = stream.data().await {
        stream.flow_control().release_capacity(data?.len())?;
    }
    Ok(())
}

/// Writes a body as flow control permits.
pub(super) async fn write(
    stream: &mut SendStream<Bytes>,
    mut body: Bytes,
) -> Result<(), BodyError> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or(BodyError::Closed)??;
        let chunk = body.split_to(capacity.min(body.len()));
        stream.send_data(chunk, body.is_empty())?;
    }
    Ok(())
}
