//! A listening socket that shuts down without resetting connections in its backlog.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio::time::Instant;

use crate::descriptors::Budget;
use crate::logging::Repeats;
use crate::shutdown::Shutdown;

/// Delay after a failed accept, so that a process without free descriptors does not busy-loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Buffers of the operating system for each accepted connection, which count as memory of the
/// machine, in bytes. The system doubles them.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Time after the shutdown request for which connections are still accepted.
const BACKLOG_LINGER: Duration = Duration::from_millis(50);

/// A listening socket whose address is not shared with other processes.
pub(crate) struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// Binds `addr`; port 0 selects a free port.
    pub(crate) fn bind(addr: SocketAddr) -> io::Result<Self> {
        // By default the runtime sets SO_REUSEPORT. Two daemons configured with the same address by
        // mistake would then each receive some of the connections instead of an error.
        let options = ListenerOpts::new()
            .reuse_port(false)
            .recv_buf_size(RECEIVE_BUFFER_BYTES)
            .send_buf_size(SEND_BUFFER_BYTES);
        Ok(Self { socket: TcpListener::bind_with_config(addr, &options)? })
    }

    /// The bound address.
    pub(crate) fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Passes each connection to `admit` until `stop` is triggered, then closes the socket.
    ///
    /// `budget` is that of the descriptors of this process, which log lines about failed accepts
    /// contain.
    pub(crate) async fn accept_until(
        self,
        stop: &Shutdown,
        budget: &Budget,
        admit: impl Fn(TcpStream, SocketAddr),
    ) {
        let failures = Repeats::default();
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
                    log_failure(&failures, &cause, budget);
                    monoio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        self.accept_backlog(admit).await;
    }

    /// Accepts the connections that are pending when the shutdown is requested.
    ///
    /// The kernel establishes connections before the process accepts them, and clients may already
    /// have sent requests on them; closing the socket would reset these connections. The runtime
    /// detects pending connections only while it waits, so a single attempt to accept is not
    /// enough.
    async fn accept_backlog(&self, admit: impl Fn(TcpStream, SocketAddr)) {
        let deadline = Instant::now() + BACKLOG_LINGER;
        while let Ok(Ok((stream, peer))) =
            monoio::time::timeout_at(deadline, self.socket.accept()).await
        {
            admit(stream, peer);
        }
    }
}

/// Logs a failed accept, and the number of those since the last line.
fn log_failure(failures: &Repeats, cause: &io::Error, budget: &Budget) {
    let Some(count) = failures.due() else { return };
    let limit = budget.limit().map_or_else(|| "none".to_owned(), |limit| limit.to_string());
    log::warn!(
        "event=listener.accept_failed count={count} in_use={} limit={limit} cause={:?}",
        budget.in_use(),
        cause.to_string()
    );
}
