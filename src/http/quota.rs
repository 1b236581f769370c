//! How many connections peers accept from this process, and how many of them it may keep open.
//!
//! A peer may limit its connections and keep those of a machine that was lost for as long as it
//! runs. If each lost machine leaves connections behind, the peer accepts none in the end. What a
//! machine leaves is what it has open when it is lost, idle connections and calls in flight alike.
//! Four rules keep that small, and room for the next machine:
//!
//! - A process has a limited number of connections to a peer at once, whatever they are used for.
//! - A connection is kept open after a call only while the peer is known to accept [`RESERVE`] more
//!   than those kept, or nothing is known yet. Any other one is closed once no call waits for it.
//! - While a peer that has refused a connection has not shown that, its connections are *scarce*:
//!   callers should make short calls only.
//! - For a while after a refusal, commands use one connection at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::Instant;

use crate::logging::Repeats;
use crate::permit::{Semaphore, SemaphorePermit};
use crate::telemetry::names;

/// Connections that the peer must accept beyond those that are kept. They are used by short calls
/// once the peer has no room for more, and some of these leave a connection behind as well.
pub const RESERVE: usize = 4;

/// Time for which a refusal limits the connections to a peer.
const LIMIT_TIME: Duration = Duration::from_secs(5);

/// Delay of the first probe of a peer, which leaves time to a new owner's first calls.
const PROBE_DELAY: Duration = Duration::from_millis(250);

/// Minimum interval between two probes of one peer.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Delay of a probe of a peer that had accepted enough and then refuses a connection, for which there
/// may be another reason than its limit.
const REFUSAL_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Interval between probes of different peers, which keeps an owner of hundreds of them from probing
/// all at once.
const PROBE_PACE: Duration = Duration::from_millis(4);

/// Time without a call after which what is known about a peer is forgotten.
const MEMORY_TIME: Duration = Duration::from_secs(60);

/// Number of peers from which on those without calls are forgotten.
const FIRST_PRUNE: usize = 64;

/// What is known about the connections that peers accept; shared by the clients of a process that
/// call the same peers.
///
/// ```
/// use oriolefork::http::Quotas;
/// let quotas = Quotas::new(8);
/// assert!(!quotas.is_scarce("127.0.0.1:9".parse().unwrap()));
/// ```
pub struct Quotas {
    /// Maximum number of connections to one peer at once.
    connections: usize,
    /// Number of them that the clients would keep.
    wanted: Cell<usize>,
    by_peer: RefCell<HashMap<SocketAddr, Rc<Quota>>>,
    prune_at: Cell<usize>,
    /// When the next probe of any peer may begin.
    probe_slot: Cell<Option<Instant>>,
}

impl Quotas {
    /// Knows nothing about any peer yet. The clients that share it have at most `connections` to one
    /// peer at once, together; further ones wait for one to be closed.
    ///
    /// ```
    /// use std::rc::Rc;
    /// use oriolefork::http::{Client, Limits, Quotas};
    /// let quotas = Rc::new(Quotas::new(8));
    /// let client = Client::new(Limits::default()).with_quotas(quotas, 1);
    /// ```
    pub fn new(connections: usize) -> Self {
        Self {
            connections,
            wanted: Cell::default(),
            by_peer: RefCell::default(),
            prune_at: Cell::default(),
            probe_slot: Cell::default(),
        }
    }

    /// Adds a client that would keep `kept` connections.
    pub(super) fn add_client(&self, kept: usize) {
        self.wanted.set(self.wanted.get() + kept);
    }

    /// Whether the peer has refused a connection, and has not shown since that it accepts enough for
    /// one to be kept.
    pub fn is_scarce(&self, peer: SocketAddr) -> bool {
        self.by_peer.borrow().get(&peer).is_some_and(|quota| quota.scarce.get())
    }

    /// Whether the peer has shown that it accepts enough connections for one to be kept.
    pub fn is_proven(&self, peer: SocketAddr) -> bool {
        let by_peer = self.by_peer.borrow();
        by_peer.get(&peer).is_some_and(|quota| quota.known.get() && quota.allows(1))
    }

    /// Whether the peer has accepted as many connections at once as a probe would show.
    ///
    /// ```
    /// use oriolefork::http::Quotas;
    /// assert!(!Quotas::new(8).is_enough("127.0.0.1:9".parse().unwrap()));
    /// ```
    pub fn is_enough(&self, peer: SocketAddr) -> bool {
        self.by_peer.borrow().get(&peer).is_some_and(|quota| quota.is_enough())
    }

    /// Returns the delay after which more than [`RESERVE`] connections should be used at once, to
    /// show that the peer accepts them; `None` if no probe is due. Probes of different peers follow
    /// one another at intervals.
    ///
    /// ```
    /// use std::time::Duration;
    /// use oriolefork::http::Quotas;
    /// let (quotas, peer) = (Quotas::new(8), "127.0.0.1:9".parse().unwrap());
    /// assert!(quotas.next_probe(peer) >= Some(Duration::from_millis(250)));
    /// assert_eq!(quotas.next_probe(peer), None);
    /// ```
    pub fn next_probe(&self, peer: SocketAddr) -> Option<Duration> {
        let quota = self.of(peer);
        if quota.known.get() && !quota.unproven.get() {
            return None;
        }
        let now = Instant::now();
        if quota.next_probe.get().is_some_and(|next| now < next) {
            return None;
        }
        let first = if quota.known.get() { now } else { now + PROBE_DELAY };
        let at = self.probe_slot.get().map_or(first, |slot| slot.max(first));
        quota.unproven.set(false);
        quota.next_probe.set(Some(at + PROBE_INTERVAL));
        self.probe_slot.set(Some(at + PROBE_PACE));
        Some(at - now)
    }

    /// Records that a probe has ended: what the peer has accepted until now is what is known.
    pub fn note_probed(&self, peer: SocketAddr) {
        self.of(peer).note_probed();
    }

    pub(super) fn of(&self, peer: SocketAddr) -> Rc<Quota> {
        let mut by_peer = self.by_peer.borrow_mut();
        if by_peer.len() >= self.prune_at.get().max(FIRST_PRUNE) {
            by_peer.retain(|_, quota| !quota.is_forgotten());
            self.prune_at.set(by_peer.len() * 2);
        }
        let new = || Rc::new(Quota::new(peer, self.connections, self.wanted.get()));
        let quota = by_peer.entry(peer).or_insert_with(new).clone();
        quota.last_used.set(Instant::now());
        quota
    }
}

/// What is known about the connections that one peer accepts.
pub(super) struct Quota {
    peer: SocketAddr,
    /// Limits the connections of this process, whether they are in use or idle.
    slots: Semaphore,
    /// Number of connections that the clients would keep.
    wanted: usize,
    /// Established connections, in the order in which they were established.
    open: RefCell<Vec<Established>>,
    next_id: Cell<u64>,
    /// Largest number of connections at once that the peer has been shown to accept.
    accepted: Cell<usize>,
    /// Whether a probe or a refusal has shown what the peer accepts.
    known: Cell<bool>,
    /// Connections that are kept open, in use or idle.
    kept: Cell<usize>,
    /// Whether a connection was not kept since the peer has not shown that it accepts enough.
    unproven: Cell<bool>,
    next_probe: Cell<Option<Instant>>,
    scarce: Cell<bool>,
    /// End of the time in which commands use one connection at a time.
    limited_until: Cell<Option<Instant>>,
    turns: Semaphore,
    last_used: Cell<Instant>,
    refusals: Repeats,
}

/// An established connection.
struct Established {
    id: u64,
    /// Number of connections that were open when it was established, itself included, without
    /// those that the peer has refused since.
    beside: usize,
}

impl Quota {
    fn new(peer: SocketAddr, connections: usize, wanted: usize) -> Self {
        Self {
            peer,
            slots: Semaphore::new(connections),
            wanted,
            open: RefCell::default(),
            next_id: Cell::new(0),
            accepted: Cell::new(0),
            known: Cell::new(false),
            kept: Cell::new(0),
            unproven: Cell::new(false),
            next_probe: Cell::new(None),
            scarce: Cell::new(false),
            limited_until: Cell::new(None),
            turns: Semaphore::new(1),
            last_used: Cell::new(Instant::now()),
            refusals: Repeats::default(),
        }
    }

    /// Semaphore of the connections that this process may have at once.
    pub(super) const fn slots(&self) -> &Semaphore {
        &self.slots
    }

    /// Semaphore of the calls that use one connection at a time once the peer has refused one.
    pub(super) const fn turns(&self) -> &Semaphore {
        &self.turns
    }

    /// Whether commands use one connection at a time.
    pub(super) fn is_limited(&self) -> bool {
        self.limited_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Whether any connection is open.
    pub(super) fn is_in_use(&self) -> bool {
        !self.open.borrow().is_empty()
    }

    /// Counts a connection that was established and takes up `slot`.
    pub(super) fn note_established(self: &Rc<Self>, slot: SemaphorePermit) -> OpenGuard {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let mut open = self.open.borrow_mut();
        let beside = open.len() + 1;
        open.push(Established { id, beside });
        OpenGuard { quota: self.clone(), id, _slot: slot }
    }

    /// Records that a probe has ended: what the peer has accepted until now is what is known.
    fn note_probed(&self) {
        self.known.set(true);
        if self.is_enough() {
            return;
        }
        log::info!(
            "event=http.connections_few peer={} accepted={} needed={}",
            self.peer,
            self.accepted.get(),
            self.wanted + RESERVE
        );
    }

    /// Records that the peer has answered on a connection, which it has thus accepted.
    ///
    /// It has accepted the connections established before it as well: a refusal of one of them
    /// would have arrived earlier than this response.
    pub(super) fn note_answered(&self, connection: &OpenGuard) {
        let open = self.open.borrow();
        let Some(answered) = open.iter().find(|open| open.id == connection.id) else { return };
        self.accepted.set(self.accepted.get().max(answered.beside));
        if self.allows(1) {
            self.scarce.set(false);
        }
    }

    /// Records that the peer has refused a connection: one that was established and then closed by
    /// the peer before any response, or one that was not established.
    pub(super) fn note_refused(&self, refused: Option<OpenGuard>) {
        if let Some(refused) = refused {
            let mut open = self.open.borrow_mut();
            let later = open.iter_mut().filter(|open| open.id > refused.id);
            later.for_each(|open| open.beside -= 1);
        }
        let open = self.open.borrow().len();
        if self.is_enough() {
            self.next_probe.set(Some(Instant::now() + REFUSAL_PROBE_DELAY));
        }
        self.accepted.set(self.accepted.get().min(open));
        self.known.set(true);
        self.limited_until.set(Some(Instant::now() + LIMIT_TIME));
        if !self.allows(1) {
            self.scarce.set(true);
        }
        names::CONNECTIONS_REFUSED_BY_PEER.increment(&[]);
        self.log_refused(open);
    }

    fn log_refused(&self, open: usize) {
        let Some(count) = self.refusals.due() else { return };
        let kept = self.kept.get();
        log::warn!(
            "event=http.connection_refused peer={} open={open} kept={kept} scarce={} count={count}",
            self.peer,
            self.scarce.get()
        );
    }

    fn is_forgotten(&self) -> bool {
        self.last_used.get().elapsed() > MEMORY_TIME && !self.is_in_use()
    }

    /// Whether the peer has accepted all connections that would be kept, and the reserve.
    const fn is_enough(&self) -> bool {
        self.wanted + RESERVE <= self.accepted.get()
    }

    /// Whether the peer accepts enough connections for `kept` to be kept, as far as is known.
    const fn allows(&self, kept: usize) -> bool {
        !self.known.get() || kept + RESERVE <= self.accepted.get()
    }

    /// Decides before a request whether its connection is kept open after the response. `kept` is the
    /// present state of the connection.
    pub(super) fn keep(self: &Rc<Self>, kept: &mut Option<KeptGuard>) -> bool {
        // What is kept is counted already.
        let added = usize::from(kept.is_none());
        if !self.allows(self.kept.get() + added) {
            *kept = None;
            self.unproven.set(true);
        } else if kept.is_none() {
            self.kept.set(self.kept.get() + 1);
            *kept = Some(KeptGuard { quota: self.clone() });
        }
        kept.is_some()
    }
}

/// Counts an established connection until it is closed.
pub(super) struct OpenGuard {
    quota: Rc<Quota>,
    id: u64,
    _slot: SemaphorePermit,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.quota.open.borrow_mut().retain(|open| open.id != self.id);
    }
}

/// Counts a connection that is kept open until it is closed.
pub(super) struct KeptGuard {
    quota: Rc<Quota>,
}

impl Drop for KeptGuard {
    fn drop(&mut self) {
        self.quota.kept.set(self.quota.kept.get() - 1);
    }
}
