//! Halves of a connection: the reader limits the bytes read, the writer counts the bytes written.

use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf};
use monoio::net::TcpStream;

use crate::memory::Reservation;
use crate::turn::Turn;

/// The reading half, with an allowance of bytes that may still be read.
///
/// The codec buffers a head until it is complete, whatever its size. The allowance stops a peer that
/// never ends its message: once it is used up, reads fail and [`Reader::is_exceeded`] returns `true`.
///
/// What does not arrive at once takes memory of the server's budget: without it, reads fail and
/// [`Reader::is_refused`] returns `true`.
pub(super) struct Reader {
    half: OwnedReadHalf<TcpStream>,
    allowance: usize,
    exceeded: bool,
    ended: bool,
    /// Memory of the present message; `None` if that is not limited.
    reservation: Option<Reservation>,
    refused: bool,
    /// Bytes of the present head that have been read.
    head_bytes: usize,
    /// Work for the peer in the present turn; `None` for a peer that is trusted not to send without
    /// a pause.
    turn: Option<Turn>,
}

impl Reader {
    pub(super) fn new(half: OwnedReadHalf<TcpStream>) -> Self {
        Self {
            half,
            allowance: 0,
            exceeded: false,
            ended: false,
            reservation: None,
            refused: false,
            head_bytes: 0,
            turn: None,
        }
    }

    /// Creates a reader for a client, which ends its turn after a number of bytes.
    pub(super) fn of_client(half: OwnedReadHalf<TcpStream>) -> Self {
        Self { turn: Some(Turn::default()), ..Self::new(half) }
    }

    /// Adds the work of handling a message to the turn, as that of `bytes` received bytes.
    pub(super) fn add_work(&mut self, bytes: usize) {
        if let Some(turn) = &mut self.turn {
            turn.add(bytes);
        }
    }

    /// Pauses if the turn is over.
    pub(super) async fn pause_if_over(&mut self) {
        if let Some(turn) = &mut self.turn {
            turn.pause_if_over().await;
        }
    }

    /// Sets the allowance to `bytes`. The read that uses it up may exceed it.
    pub(super) fn allow(&mut self, bytes: usize) {
        self.allowance = bytes;
    }

    /// Makes the next message take its memory from `reservation`, and frees that of the former one.
    pub(super) fn reserve(&mut self, reservation: Option<Reservation>) {
        self.reservation = reservation;
        self.head_bytes = 0;
    }

    /// Records that the message has arrived whole.
    pub(super) fn complete(&mut self) {
        if let Some(reservation) = &mut self.reservation {
            reservation.complete();
        }
    }

    /// Takes memory for a message that is going to have `bytes` bytes.
    pub(super) async fn hold(&mut self, bytes: usize) -> io::Result<()> {
        let Some(reservation) = &mut self.reservation else { return Ok(()) };
        reservation.hold(bytes).await.map_err(|exhausted| {
            self.refused = true;
            io::Error::other(exhausted)
        })
    }

    /// Whether a read failed because there was no memory for the message.
    pub(super) const fn is_refused(&self) -> bool {
        self.refused
    }

    /// Reads the next part of a body into `buf`.
    pub(super) async fn read_body<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(exceeded) = self.check_allowance() {
            return (Err(exceeded), buf);
        }
        self.pause_if_over().await;
        let (result, buf) = {
            let mut reading = pin!(self.half.read(buf));
            match poll_fn(|context| Poll::Ready(reading.as_mut().poll(context))).await {
                Poll::Ready(read) => read,
                Poll::Pending => {
                    let read = reading.await;
                    // The peer was waited for.
                    if let Some(turn) = &mut self.turn {
                        turn.restart();
                    }
                    read
                }
            }
        };
        self.count(&result);
        (result, buf)
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
        self.add_work(*bytes);
    }
}

impl AsyncReadRent for Reader {
    /// Reads a part of a head. The first one is not held in the budget: the limit of connections
    /// bounds how many wait for it.
    async fn read<T: IoBufMut>(&mut self, mut buf: T) -> BufResult<usize, T> {
        if self.head_bytes > 0
            && let Err(refused) = self.hold(self.head_bytes + buf.bytes_total()).await
        {
            return (Err(refused), buf);
        }
        let (result, buf) = self.read_body(buf).await;
        self.head_bytes += result.as_ref().map_or(0, |bytes| *bytes);
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
