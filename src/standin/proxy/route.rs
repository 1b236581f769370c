//! One route: a listener, the server behind it, and the connections between.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{select, try_join};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

use super::fault::{Action, Direction, Mode};
use crate::standin::signal::Signal;

const CHUNK_BYTES: usize = 64 << 10;

/// Pause before another try to take the route's address again.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Counts of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes sent on to the server.
    pub to_server: u64,
    /// Bytes sent on to the client.
    pub to_client: u64,
}

/// A route and its present mode.
pub struct Route {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The server behind it.
    pub target: SocketAddr,
    mode: Cell<Mode>,
    closed: Cell<bool>,
    changed: Signal,
    listening: Cell<bool>,
    settled: Signal,
    tally: RefCell<Tally>,
}

/// End of a connection that was broken rather than closed by both sides.
struct Broken;

impl From<io::Error> for Broken {
    fn from(_: io::Error) -> Self {
        Self
    }
}

impl Route {
    /// Takes the address `listen` and passes on what arrives there until [`Self::close`].
    pub fn open(listen: SocketAddr, target: SocketAddr) -> io::Result<Rc<Self>> {
        let listener = take(listen)?;
        let route = Rc::new(Self {
            listen: listener.local_addr()?,
            target,
            mode: Cell::default(),
            closed: Cell::new(false),
            changed: Signal::default(),
            listening: Cell::new(true),
            settled: Signal::default(),
            tally: RefCell::default(),
        });
        monoio::spawn(Rc::clone(&route).run(listener));
        Ok(route)
    }

    /// The present mode.
    pub fn mode(&self) -> Mode {
        self.mode.get()
    }

    /// Changes the mode, also for connections that are open, and waits until it is in force.
    pub async fn set_mode(&self, mode: Mode) {
        self.mode.set(mode);
        self.changed.raise();
        while self.listening.get() == (self.mode.get() == Mode::Refuse) {
            self.settled.raised().await;
        }
    }

    /// Counts so far.
    pub fn tally(&self) -> Tally {
        *self.tally.borrow()
    }

    /// Gives the address up and breaks every connection.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.raise();
    }

    fn is_broken(&self) -> bool {
        self.closed.get() || self.mode.get() == Mode::Refuse
    }

    async fn run(self: Rc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        while !self.closed.get() {
            if self.mode.get() == Mode::Refuse {
                listener = None;
                self.set_listening(false);
                self.changed.raised().await;
                continue;
            }
            let Some(open) = listener.take().or_else(|| take(self.listen).ok()) else {
                monoio::time::sleep(REBIND_PAUSE).await;
                continue;
            };
            self.set_listening(true);
            self.accept(&open).await;
            listener = Some(open);
        }
        self.set_listening(false);
    }

    fn set_listening(&self, listening: bool) {
        self.listening.set(listening);
        self.settled.raise();
    }

    /// Accepts connections until the mode changes.
    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        let changed = self.changed.raised().boxed_local().shared();
        while changed.peek().is_none() {
            let accepted = select(listener.accept().boxed_local(), changed.clone()).await;
            if let futures_util::future::Either::Left((Ok((client, _)), _)) = accepted {
                self.tally.borrow_mut().connections += 1;
                monoio::spawn(Rc::clone(self).relay(client));
            }
        }
    }

    async fn relay(self: Rc<Self>, client: TcpStream) {
        let broken = self.until(|| self.is_broken()).boxed_local();
        select(self.exchange(client).boxed_local(), broken).await;
    }

    async fn exchange(&self, client: TcpStream) -> Result<(), Broken> {
        self.until(|| self.mode.get().connects()).await;
        let server = TcpStream::connect_addr(self.target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        try_join(
            self.pump(Direction::ToServer, from_client, to_server),
            self.pump(Direction::ToClient, from_server, to_client),
        )
        .await?;
        Ok(())
    }

    /// Passes bytes on in one direction until their source ends.
    async fn pump(
        &self,
        direction: Direction,
        mut source: impl AsyncReadRent,
        mut sink: impl AsyncWriteRent,
    ) -> Result<(), Broken> {
        let mut passed = Passed::default();
        loop {
            let (read, chunk) = source.read(Vec::with_capacity(CHUNK_BYTES)).await;
            if read? == 0 {
                break;
            }
            self.forward(direction, &mut sink, chunk, &mut passed).await?;
        }
        self.until(|| self.mode.get().act(direction, 0, 0) != Action::Hold).await;
        sink.shutdown().await?;
        Ok(())
    }

    async fn forward(
        &self,
        direction: Direction,
        sink: &mut impl AsyncWriteRent,
        mut chunk: Vec<u8>,
        passed: &mut Passed,
    ) -> Result<(), Broken> {
        while !chunk.is_empty() {
            let mode = self.mode.get();
            let action = mode.act(direction, chunk.len(), passed.within(mode));
            let (after, bytes) = match action {
                Action::Break => return Err(Broken),
                Action::Hold => {
                    self.changed.raised().await;
                    continue;
                }
                Action::Forward { after, bytes } => (after, bytes),
            };
            if !after.is_zero() {
                monoio::time::sleep(after).await;
            }
            // A cut that came during the pause holds these bytes too.
            if self.mode.get() != mode {
                continue;
            }
            let rest = chunk.split_off(bytes);
            sink.write_all(chunk).await.0?;
            self.count(direction, bytes);
            passed.bytes += bytes as u64;
            chunk = rest;
        }
        Ok(())
    }

    fn count(&self, direction: Direction, bytes: usize) {
        let mut tally = self.tally.borrow_mut();
        match direction {
            Direction::ToServer => tally.to_server += bytes as u64,
            Direction::ToClient => tally.to_client += bytes as u64,
        }
    }

    async fn until(&self, holds: impl Fn() -> bool) {
        while !holds() {
            self.changed.raised().await;
        }
    }
}

/// Bytes that went one way of a connection since the mode last changed.
#[derive(Default)]
struct Passed {
    mode: Mode,
    bytes: u64,
}

impl Passed {
    fn within(&mut self, mode: Mode) -> u64 {
        if self.mode != mode {
            *self = Self { mode, bytes: 0 };
        }
        self.bytes
    }
}

fn take(listen: SocketAddr) -> io::Result<TcpListener> {
    // The runtime would otherwise share the port with any other process that asks for it.
    TcpListener::bind_with_config(listen, &ListenerOpts::new().reuse_port(false))
}
