//! A listening socket whose end resets nobody.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::Instant;

use crate::shutdown::Shutdown;

/// Rest after a failed accept, so that a process out of descriptors does not spin.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Time after the trigger in which connections are still accepted.
const BACKLOG_LINGER: Duration = Duration::from_millis(50);

/// A listening socket on an address of its own.
pub(crate) struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Binds `addr`; port 0 takes a free one.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Self> {
        // By default the runtime shares a port among processes. Two daemons set to one address by
        // mistake would then each get some of the connections instead of an error.
        let options = ListenerOpts::new().reuse_port(false);
        Ok(Self { socket: TcpListener::bind_with_config(addr, &options)? })
    }

    /// The address that is bound.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Hands each connection to `admit` until `stop` is triggered, and closes.
    pub(crate) async fn accept_until(self, stop: &Shutdown, admit: impl Fn(TcpStream, SocketAddr)) {
        let mut stopped = Box::pin(stop.wait().fuse());
        loop {
            let mut accept = Box::pin(self.socket.accept().fuse());
            let accepted = futures_util::select_biased! {
                () = stopped => break,
                accepted = accept => accepted,
            };
            match accepted {
                Ok((stream, peer)) => admit(stream, peer),
                Err(cause) => {
                    log::warn!("event=listener.accept_failed cause={:?}", cause.to_string());
                    monoio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        self.accept_backlog(admit).await;
    }

    /// Takes the connections that are already on their way when the trigger comes.
    ///
    /// The system sets up connections before the process accepts them, and callers may have sent
    /// requests on them. Closing the socket would reset them all. The runtime learns of them only
    /// by waiting, so that trying once is not enough.
    async fn accept_backlog(&self, admit: impl Fn(TcpStream, SocketAddr)) {
        let deadline = Instant::now() + BACKLOG_LINGER;
        while let Ok(Ok((stream, peer))) =
            monoio::time::timeout_at(deadline, self.socket.accept()).await
        {
            admit(stream, peer);
        }
    }
}
