//! Bodies on h2 streams, bounded and under flow control.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, From};
use monoio_http::h2::{self, RecvStream, SendStream};

/// Why a body did not pass.
#[derive(Debug, Display, From)]
pub(super) enum Fault {
    /// The body is larger than allowed.
    #[display("body larger than {limit} bytes")]
    #[from(skip)]
    TooLarge {
        /// Bytes allowed.
        limit: usize,
    },
    /// The stream ended before the body was taken.
    #[display("stream closed by the peer")]
    #[from(skip)]
    Closed,
    /// The body took longer than allowed.
    #[display("body took too long")]
    #[from(skip)]
    TimedOut,
    /// The stream or its connection failed.
    H2(h2::Error),
}

/// Reads a body of `limit` bytes at most.
pub(super) async fn read(stream: &mut RecvStream, limit: usize) -> Result<Bytes, Fault> {
    let mut body = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data?;
        stream.flow_control().release_capacity(data.len())?;
        if body.len() + data.len() > limit {
            return Err(Fault::TooLarge { limit });
        }
        body.extend_from_slice(&data);
    }
    Ok(body.freeze())
}

/// Reads a body to its end and throws it away.
pub(super) async fn discard(stream: &mut RecvStream) -> Result<(), Fault> {
    while let Some(data) = stream.data().await {
        stream.flow_control().release_capacity(data?.len())?;
    }
    Ok(())
}

/// Writes a body as fast as the peer takes it.
pub(super) async fn write(stream: &mut SendStream<Bytes>, mut body: Bytes) -> Result<(), Fault> {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let capacity = capacity.ok_or(Fault::Closed)??;
        let part = body.split_to(capacity.min(body.len()));
        stream.send_data(part, body.is_empty())?;
    }
    Ok(())
}
