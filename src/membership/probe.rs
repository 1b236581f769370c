//! Finding out by an own connection whether an instance is there.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::net::TcpStream;

/// Way to try an instance.
pub trait Probe {
    /// Whether the instance at `address` could be reached.
    fn reaches(&self, address: SocketAddr) -> LocalBoxFuture<'_, bool>;
}

/// Opens a TCP connection and closes it.
#[derive(Clone, Copy, Debug)]
pub struct TcpProbe {
    /// How long that may take.
    pub timeout: Duration,
}

impl Probe for TcpProbe {
    fn reaches(&self, address: SocketAddr) -> LocalBoxFuture<'_, bool> {
        let connecting = monoio::time::timeout(self.timeout, TcpStream::connect(address));
        async move { matches!(connecting.await, Ok(Ok(_))) }.boxed_local()
    }
}
