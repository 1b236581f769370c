//! Halves of a connection that bound what is read and count what is written.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;

/// The reading half, with an allowance of bytes.
///
/// The codec buffers until a message is whole, however large it grows. The allowance stops a peer
/// that never ends its message: further reads fail, and [`Reader::is_exceeded`] tells why.
pub(super) struct Reader {
    half: OwnedReadHalf<TcpStream>,
    allowance: usize,
    exceeded: bool,
    ended: bool,
}

impl Reader {
    pub(super) fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { half, allowance: 0, exceeded: false, ended: false }
    }

    /// Lets the peer send about `bytes` from now on.
    pub(super) fn allow(&mut self, bytes: usize) {
        self.allowance = bytes;
    }

    /// Whether a read failed because the allowance was used up.
    pub(super) fn is_exceeded(&self) -> bool {
        self.exceeded
    }

    /// Whether the peer has ended its side of the connection.
    pub(super) fn is_ended(&self) -> bool {
        self.ended
    }

    fn check(&mut self) -> io::Result<()> {
        if self.allowance > 0 {
            return Ok(());
        }
        self.exceeded = true;
        Err(io::Error::other("message too large"))
    }

    fn count(&mut self, result: &io::Result<usize>) {
        let Ok(bytes) = result else { return };
        self.ended = *bytes == 0;
        self.allowance = self.allowance.saturating_sub(*bytes);
    }
}

impl AsyncReadRent for Reader {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(refused) = self.check() {
            return (Err(refused), buf);
        }
        let (result, buf) = self.half.read(buf).await;
        self.count(&result);
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(refused) = self.check() {
            return (Err(refused), buf);
        }
        let (result, buf) = self.half.readv(buf).await;
        self.count(&result);
        (result, buf)
    }
}

/// The writing half, with a count of the bytes that the system has taken.
pub(super) struct Writer {
    half: OwnedWriteHalf<TcpStream>,
    written: Rc<Cell<usize>>,
}

impl Writer {
    pub(super) fn new(half: OwnedWriteHalf<TcpStream>, written: Rc<Cell<usize>>) -> Self {
        Self { half, written }
    }

    fn count(&self, result: &io::Result<usize>) {
        if let Ok(bytes) = result {
            self.written.set(self.written.get() + bytes);
        }
    }
}

impl AsyncWriteRent for Writer {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.half.write(buf).await;
        self.count(&result);
        (result, buf)
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        let (result, buf) = self.half.writev(buf).await;
        self.count(&result);
        (result, buf)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.half.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.half.shutdown().await
    }
}
