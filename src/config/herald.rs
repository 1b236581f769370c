//! Whom to tell of the settings, and whom to ask for newer ones.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::gossip::{Digest, Peer, Roster, SyncStatus};
use super::value::Version;
use crate::clock::Instant;
use crate::domain;

/// A peer that has a newer version.
#[derive(Debug)]
struct Ahead {
    peer: SocketAddr,
    version: Version,
    since: Instant,
    fetching: bool,
}

/// The peers, what is known of them, and when to turn to which.
#[derive(Debug)]
pub(super) struct Herald {
    name: String,
    domain: domain::Name,
    random: SmallRng,
    peers: Vec<Peer>,
    roster: Roster,
    ahead: Option<Ahead>,
    due: Instant,
}

impl Herald {
    /// A herald of the instance `name` that knows no peer.
    pub(super) fn new(name: &str, domain: &domain::Name, seed: u64, now: Instant) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.clone(),
            random: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            roster: Roster::default(),
            ahead: None,
            due: now,
        }
    }

    /// Name and failure domain of this instance.
    pub(super) fn identity(&self) -> (&str, &domain::Name) {
        (&self.name, &self.domain)
    }

    /// Replaces the peers.
    pub(super) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.peers = peers;
    }

    /// The statuses of others.
    pub(super) fn sync_statuses(&self, now: Instant) -> impl Iterator<Item = SyncStatus> + '_ {
        self.roster.sync_statuses(now)
    }

    /// A digest that begins with the own status.
    pub(super) fn digest(&mut self, now: Instant, from: SyncStatus) -> Digest {
        Digest { from, rows: self.roster.rows(now) }
    }

    /// Takes in what a digest says of others.
    pub(super) fn note(&mut self, now: Instant, digest: &Digest) {
        self.roster.note(now, &digest.from);
        for row in &digest.rows {
            if row.instance != self.name || row.domain != self.domain {
                self.roster.note(now, row);
            }
        }
    }

    /// Remembers a peer that has something in force which this instance lacks.
    pub(super) fn note_ahead(&mut self, now: Instant, peer: &SyncStatus) {
        if self.ahead.is_some() {
            return;
        }
        let is_peer = |known: &&Peer| known.name == peer.instance && known.domain == peer.domain;
        if let Some(known) = self.peers.iter().find(is_peer) {
            let (peer, version) = (known.address, peer.version);
            self.ahead = Some(Ahead { peer, version, since: now, fetching: false });
        }
    }

    /// Forgets the peer that was ahead: it has answered or failed.
    pub(super) fn drop_ahead(&mut self) {
        self.ahead = None;
    }

    /// The peer to fetch the state from now, `patience` after it was known to be ahead.
    ///
    /// `own` is the version in force here; `None` while none is.
    pub(super) fn fetch(
        &mut self,
        now: Instant,
        own: Option<Version>,
        patience: Duration,
    ) -> Option<SocketAddr> {
        self.ahead.take_if(|ahead| own.is_some_and(|own| ahead.version <= own));
        let ahead = self.ahead.as_mut()?;
        if ahead.fetching || now.since(ahead.since) < patience {
            return None;
        }
        ahead.fetching = true;
        Some(ahead.peer)
    }

    /// The peer to exchange digests with, if it is time: a random one, of the own domain or of
    /// another with equal chance.
    ///
    /// An instance without the log asks other domains only: its own domain is likely cut off too.
    pub(super) fn turn(
        &mut self,
        now: Instant,
        interval: Duration,
        cut_off: bool,
    ) -> Option<SocketAddr> {
        if now < self.due {
            return None;
        }
        self.due = now.after(interval);
        self.roster.prune(now);
        let abroad = cut_off || self.random.random();
        let wanted: Vec<&Peer> =
            self.peers.iter().filter(|peer| (peer.domain != self.domain) == abroad).collect();
        let choice = wanted.choose(&mut self.random).copied();
        choice.or_else(|| self.peers.choose(&mut self.random)).map(|peer| peer.address)
    }

    /// A random peer of another domain that seems to lack `version`.
    pub(super) fn lacking(&mut self, version: Version) -> Option<SocketAddr> {
        let lacking: Vec<&Peer> = self
            .peers
            .iter()
            .filter(|peer| peer.domain != self.domain)
            .filter(|peer| self.roster.version(peer).is_none_or(|known| known < version))
            .collect();
        lacking.choose(&mut self.random).map(|peer| peer.address)
    }

    /// A random part of a span.
    pub(super) fn part(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.random.random())
    }
}
