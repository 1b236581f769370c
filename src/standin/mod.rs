//! Small stand-ins of the platform and the upstreams, for tests and for the demonstration.
//!
//! Each runs as a process of its own (`oriolefork-standin`) or as a task of the caller's runtime:
//! `bind` takes the address, and [`Bound::serve`] answers until it is told to stop. All are
//! switched over HTTP by `POST /control` and show their state at `GET /v1/state`.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::http::{Handler, Limits, Server};
use crate::shutdown::Shutdown;

pub mod instances;
pub mod log;
pub mod proxy;
mod reply;
pub mod runner;
mod signal;
pub mod worker;

/// Largest body that a stand-in takes.
const BODY_BYTES: usize = 8 << 20;

/// Time that requests in flight get when a stand-in stops.
const GRACE: Duration = Duration::from_secs(1);

/// A stand-in that holds its address and does not answer yet.
pub struct Bound {
    server: Server,
    handler: Rc<dyn Handler>,
}

impl Bound {
    fn new(addr: SocketAddr, connections: usize, handler: Rc<dyn Handler>) -> io::Result<Self> {
        let limits = Limits { body_bytes: BODY_BYTES, connections, ..Limits::default() };
        Ok(Self { server: Server::bind(addr, limits)?, handler })
    }

    /// The address taken, with the port that port 0 was replaced by.
    ///
    /// # Errors
    ///
    /// Fails when the system does not tell the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.server.local_addr()
    }

    /// Answers until `stop` is triggered.
    pub async fn serve(self, stop: Shutdown) {
        self.server.serve(self.handler, stop, GRACE).await;
    }
}
