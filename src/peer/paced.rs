//! A stream whose reader ends its turn after a number of bytes.
//!
//! The h2 library reads for as long as bytes arrive, and buffers all of them before any call is
//! answered. A fast peer could thus fill the windows of its connection, whatever the memory for
//! calls, in one turn.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::Poll;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use monoio::net::TcpStream;

use crate::turn::Turn;

/// The stream. Once the turn is over it reads nothing until the turn is restarted and it is polled
/// again.
pub(super) struct Stream {
    inner: TcpStream,
    turn: Rc<RefCell<Turn>>,
}

impl Stream {
    pub(super) const fn new(inner: TcpStream, turn: Rc<RefCell<Turn>>) -> Self {
        Self { inner, turn }
    }

    async fn until_turn(&self) {
        let is_over = || self.turn.borrow().is_over();
        std::future::poll_fn(|_| if is_over() { Poll::Pending } else { Poll::Ready(()) }).await;
    }

    fn count(&self, read: &io::Result<usize>) {
        self.turn.borrow_mut().add(read.as_ref().map_or(0, |bytes| *bytes));
    }
}

impl AsyncReadRent for Stream {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        self.until_turn().await;
        let (result, buf) = self.inner.read(buf).await;
        self.count(&result);
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        self.until_turn().await;
        let (result, buf) = self.inner.readv(buf).await;
        self.count(&result);
        (result, buf)
    }
}

impl AsyncWriteRent for Stream {
    async fn write<T: IoBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.inner.write(buf).await
    }

    async fn writev<T: IoVecBuf>(&mut self, buf: T) -> BufResult<usize, T> {
        self.inner.writev(buf).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.inner.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.inner.shutdown().await
    }
}
