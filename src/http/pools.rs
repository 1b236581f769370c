//! The connections of a client to all its peers, and their end.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use super::pool::Pool;

/// A pool for each peer.
pub(super) struct Pools {
    connections: usize,
    max_rest: Duration,
    by_peer: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Whether a task closes connections that rest.
    swept: Cell<bool>,
}

impl Pools {
    /// At most `connections` to each peer, which are used again within `max_rest`.
    pub(super) fn new(connections: usize, max_rest: Duration) -> Self {
        let by_peer = RefCell::new(HashMap::new());
        Self { connections, max_rest, by_peer, swept: Cell::new(false) }
    }

    /// The pool of one peer.
    pub(super) fn of(&self, peer: SocketAddr) -> Rc<Pool> {
        let mut by_peer = self.by_peer.borrow_mut();
        by_peer.entry(peer).or_insert_with(|| Rc::new(Pool::new(self.connections))).clone()
    }

    /// Longest rest of a connection that is used again.
    pub(super) const fn max_rest(&self) -> Duration {
        self.max_rest
    }

    /// Closes connections that rest too long, in a task of its own while there are any.
    ///
    /// Guards against a peer that takes a bounded number of connections and is called no more: swept
    /// beside calls alone, all that the last calls had opened stayed for as long as the process, and
    /// the peer reset the orders of others.
    pub(super) fn keep_swept(self: &Rc<Self>) {
        if !self.swept.replace(true) {
            monoio::spawn(sweep_while_used(Rc::downgrade(self), self.max_rest));
        }
    }

    /// Lets go of connections and peers that are no longer used; whether any are left.
    fn sweep(&self) -> bool {
        let mut by_peer = self.by_peer.borrow_mut();
        // A pool whose calls never pause is swept as well: the next long poll is out before the last
        // connection of a burst has rested its time.
        by_peer.retain(|_, pool| pool.sweep(self.max_rest) || Rc::strong_count(pool) > 1);
        !by_peer.is_empty()
    }
}

/// Sweeps until no peer is left or the client is gone.
async fn sweep_while_used(pools: Weak<Pools>, rest: Duration) {
    loop {
        monoio::time::sleep(rest).await;
        let Some(pools) = pools.upgrade() else { return };
        if !pools.sweep() {
            pools.swept.set(false);
            return;
        }
    }
}
