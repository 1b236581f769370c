//! Halves of a connection: the reader limits the bytes read, the writer counts the bytes written.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;

/// The reading half, with an allowance of bytes that may still be read.
///
/// The codec buffers a message until it is complete, whatever its size. The allowance stops a peer
/// that never ends its message: once it is used up, reads fail and [`Reader::is_exceeded`] returns
/// `true`.
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

    /// Sets the allowance to `bytes`. The read that uses it up may exceed it.
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

    fn check_allowance(&mut self) -> io::Result<()> {
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
        if let Err(exceeded) = self.check_allowance() {
            return (Err(exceeded), buf);
        }
        let (result, buf) = self.half.read(buf).await;
        self.count(&result);
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(exceeded) = self.check_allowance() {
            return (Err(exceeded), buf);
        }
        let (result, buf) = self.half.readv(buf).await;
        self.count(&result);
        (result, buf)
    }
}

/// The writing half, with a count of the bytes that the operating system has accepted.
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
