//! Selects the peers to exchange digests with and to fetch a newer state from.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::gossip::{Digest, Peer, StatusTable, SyncStatus};
use super::value::Version;
use crate::clock::Instant;
use crate::domain;

/// A peer that reported a newer version.
#[derive(Debug)]
struct FetchCandidate {
    peer: SocketAddr,
    version: Version,
    since: Instant,
    fetching: bool,
}

/// The peers of this instance, their sync status, and the schedule of calls to them.
#[derive(Debug)]
pub(super) struct Gossiper {
    name: String,
    domain: domain::Name,
    random: SmallRng,
    peers: Vec<Peer>,
    table: StatusTable,
    fetch_candidate: Option<FetchCandidate>,
    due: Instant,
}

impl Gossiper {
    /// Creates the gossiper of the instance `name`, without peers.
    pub(super) fn new(name: &str, domain: &domain::Name, seed: u64, now: Instant) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.clone(),
            random: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            table: StatusTable::default(),
            fetch_candidate: None,
            due: now,
        }
    }

    /// Returns the name and failure domain of this instance.
    pub(super) fn identity(&self) -> (&str, &domain::Name) {
        (&self.name, &self.domain)
    }

    /// Replaces the peers.
    pub(super) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// Returns the sync status of the other instances.
    pub(super) fn sync_statuses(&self, now: Instant) -> impl Iterator<Item = SyncStatus> + '_ {
        self.table.sync_statuses(now)
    }

    /// Builds a digest from this instance's status and some of the other instances'.
    pub(super) fn digest(&mut self, now: Instant, from: SyncStatus) -> Digest {
        Digest { from, rows: self.table.rows(now) }
    }

    /// Records the status of the instances in a digest, except this one's.
    pub(super) fn record(&mut self, now: Instant, digest: &Digest) {
        self.table.record(now, &digest.from);
        for row in &digest.rows {
            if row.instance != self.name || row.domain != self.domain {
                self.table.record(now, row);
            }
        }
    }

    /// Makes a peer with a newer version in force the candidate for a fetch, unless there is one.
    pub(super) fn note_fetch_candidate(&mut self, now: Instant, peer: &SyncStatus) {
        if self.fetch_candidate.is_some() {
            return;
        }
        let is_peer = |known: &&Peer| known.name == peer.instance && known.domain == peer.domain;
        if let Some(known) = self.peers.iter().find(is_peer) {
            let (peer, version) = (known.address, peer.version);
            self.fetch_candidate =
                Some(FetchCandidate { peer, version, since: now, fetching: false });
        }
    }

    /// Clears the candidate after its fetch succeeded or failed.
    pub(super) fn clear_fetch_candidate(&mut self) {
        self.fetch_candidate = None;
    }

    /// Returns the peer to fetch the state from now, `delay` after it reported a newer version.
    ///
    /// `own` is the version in force here; `None` while none is.
    pub(super) fn next_fetch(
        &mut self,
        now: Instant,
        own: Option<Version>,
        delay: Duration,
    ) -> Option<SocketAddr> {
        self.fetch_candidate.take_if(|candidate| own.is_some_and(|own| candidate.version <= own));
        let candidate = self.fetch_candidate.as_mut()?;
        if candidate.fetching || now.since(candidate.since) < delay {
            return None;
        }
        candidate.fetching = true;
        Some(candidate.peer)
    }

    /// Returns the peer to exchange digests with, if an exchange is due: a random peer, with equal
    /// probability from this domain or from another.
    ///
    /// An instance that has lost the log prefers other domains, since its own has probably lost the
    /// log too. If the preferred group is empty, any peer is chosen.
    pub(super) fn next_exchange(
        &mut self,
        now: Instant,
        interval: Duration,
        log_lost: bool,
    ) -> Option<SocketAddr> {
        if now < self.due {
            return None;
        }
        self.due = now.after(interval);
        self.table.prune(now);
        let other_domain = log_lost || self.random.random();
        let candidates: Vec<&Peer> =
            self.peers.iter().filter(|peer| (peer.domain != self.domain) == other_domain).collect();
        let chosen = candidates.choose(&mut self.random).copied();
        chosen.or_else(|| self.peers.choose(&mut self.random)).map(|peer| peer.address)
    }

    /// Returns a random peer of another domain that is not known to have `version`.
    pub(super) fn peer_behind(&mut self, version: Version) -> Option<SocketAddr> {
        let behind: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|peer| peer.domain != self.domain)
            .filter(|peer| self.table.version(peer).is_none_or(|known| known < version))
            .collect();
        behind.choose(&mut self.random).map(|peer| peer.address)
    }

    /// Returns a random part of a span.
    pub(super) fn random_part(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random())
    }
}
