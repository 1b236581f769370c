//! The connection pools of a client, one for each peer, and the task that closes idle connections.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use super::pool::Pool;

/// A pool for each peer.
pub(super) struct PoolMap {
    reused: usize,
    extra: usize,
    max_idle: Duration,
    by_peer: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Whether a task that closes idle connections is running.
    sweeping: Cell<bool>,
}

impl PoolMap {
    /// Creates a map whose pools allow `reused` and `extra` connections in use at once per peer, and
    /// reuse a connection that has been idle for less than `max_idle`.
    pub(super) fn new(reused: usize, extra: usize, max_idle: Duration) -> Self {
        let by_peer = RefCell::new(HashMap::new());
        Self { reused, extra, max_idle, by_peer, sweeping: Cell::new(false) }
    }

    /// Returns the pool of one peer.
    pub(super) fn of(&self, peer: SocketAddr) -> Rc<Pool> {
        let mut by_peer = self.by_peer.borrow_mut();
        by_peer.entry(peer).or_insert_with(|| Rc::new(Pool::new(self.reused, self.extra))).clone()
    }

    /// Idle time after which a connection is not reused.
    pub(super) const fn max_idle(&self) -> Duration {
        self.max_idle
    }

    /// Starts a task that closes idle connections until none are left, unless it is running.
    ///
    /// When idle connections were closed only during calls, those to a peer that was no longer
    /// called stayed open for the lifetime of the process. A worker that limits its connections
    /// then reset the commands of other instances.
    pub(super) fn start_sweeping(self: &Rc<Self>) {
        if !self.sweeping.replace(true) {
            monoio::spawn(sweep_until_unused(Rc::downgrade(self), self.max_idle));
        }
    }

    /// Closes idle connections and drops unused pools; returns whether any pools are left.
    fn sweep(&self) -> bool {
        let mut by_peer = self.by_peer.borrow_mut();
        // Pools in use are swept too: a peer that always has a long poll in flight would otherwise
        // keep the idle connections of a burst of calls open.
        by_peer.retain(|_, pool| pool.sweep(self.max_idle) || Rc::strong_count(pool) > 1);
        !by_peer.is_empty()
    }
}

/// Sweeps at intervals of `max_idle` until no pool is left or the client is dropped.
async fn sweep_until_unused(pools: Weak<PoolMap>, max_idle: Duration) {
    loop {
        monoio::time::sleep(max_idle).await;
        let Some(pools) = pools.upgrade() else { return };
        if !pools.sweep() {
            pools.sweeping.set(false);
            return;
        }
    }
}
