//! What instances tell each other of the settings: a small digest often, the state only on demand.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::value::Version;
use crate::clock::Instant;
use crate::domain;
use crate::store::Offset;

/// Rows about other instances in one digest.
pub const MAX_ROWS: usize = 4;
/// Most instances that the roster keeps.
const ROSTER: usize = 1_024;
/// How long an instance that nobody hears of stays on the roster.
const FORGET: Duration = Duration::from_secs(600);

/// An entry instance with which this one exchanges digests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// How current the settings are at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncStatus {
    /// Name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Version it has applied.
    pub version: Version,
    /// Length of the prefix that it has applied.
    pub next: Offset,
    /// Whether that version is in force there.
    pub in_force: bool,
    /// How long ago it knew that no newer version existed; `None` when it never did.
    pub confirmed: Option<Duration>,
    /// How long ago it said so.
    pub heard: Duration,
}

/// A message between peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// The sender's own status.
    pub from: SyncStatus,
    /// Some of what the sender knows of others.
    pub rows: Vec<SyncStatus>,
}

#[derive(Clone, Debug)]
struct Seen {
    version: Version,
    next: Offset,
    in_force: bool,
    confirmed: Option<Age>,
    heard: Age,
}

/// An age that was told at some instant and has grown since.
///
/// The instant it began at may lie before this process's clock started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Age {
    told: Duration,
    at: Instant,
}

impl Age {
    /// An age of `told` at `at`.
    pub(super) fn new(told: Duration, at: Instant) -> Self {
        Self { told, at }
    }

    /// The age at `now`.
    pub(super) fn at(self, now: Instant) -> Duration {
        self.told.saturating_add(now.since(self.at))
    }
}

type Key = (domain::Name, String);

/// What is known of other instances' settings.
#[derive(Debug, Default)]
pub(super) struct Roster {
    seen: BTreeMap<Key, Seen>,
    /// Where the rows of the next digest begin.
    cursor: usize,
}

impl Roster {
    /// Takes one instance's status if it is newer than what is known.
    pub(super) fn note(&mut self, now: Instant, status: &SyncStatus) {
        let key = (status.domain.clone(), status.instance.clone());
        let known = self.seen.get(&key);
        let newer = known.is_none_or(|seen| status.heard < seen.heard.at(now));
        if !newer || known.is_none() && self.seen.len() >= ROSTER {
            return;
        }
        let seen = Seen {
            version: status.version,
            next: status.next,
            in_force: status.in_force,
            confirmed: status.confirmed.map(|age| Age::new(age, now)),
            heard: Age::new(status.heard, now),
        };
        self.seen.insert(key, seen);
    }

    /// Drops instances that nobody has heard of for long.
    pub(super) fn prune(&mut self, now: Instant) {
        self.seen.retain(|_, seen| seen.heard.at(now) < FORGET);
    }

    /// Every status known.
    pub(super) fn sync_statuses(&self, now: Instant) -> impl Iterator<Item = SyncStatus> + '_ {
        self.seen.iter().map(move |(key, seen)| status(now, key, seen))
    }

    /// The next few statuses for a digest; successive calls go round the roster.
    pub(super) fn rows(&mut self, now: Instant) -> Vec<SyncStatus> {
        let count = self.seen.len().min(MAX_ROWS);
        let start = self.cursor;
        self.cursor = (start + count) % self.seen.len().max(1);
        let turn = self.seen.iter().cycle().skip(start).take(count);
        turn.map(|(key, seen)| status(now, key, seen)).collect()
    }

    /// The version at a peer when it was last heard of.
    pub(super) fn version(&self, peer: &Peer) -> Option<Version> {
        let key = (peer.domain.clone(), peer.name.clone());
        self.seen.get(&key).map(|seen| seen.version)
    }
}

/// Domains' statuses, each the worst of its instances that were heard of within `recent`.
///
/// A domain of which nobody was heard lately keeps its last known instances, so that its age shows.
pub fn worst_by_domain(
    statuses: &[SyncStatus],
    recent: Duration,
) -> BTreeMap<domain::Name, SyncStatus> {
    let mut worst: BTreeMap<domain::Name, SyncStatus> = BTreeMap::new();
    for status in statuses {
        let Some(known) = worst.get_mut(&status.domain) else {
            worst.insert(status.domain.clone(), status.clone());
            continue;
        };
        let known_recent = known.heard <= recent;
        let this_recent = status.heard <= recent;
        let worse = badness(status) > badness(known);
        if this_recent && !known_recent || this_recent == known_recent && worse {
            *known = status.clone();
        }
    }
    worst
}

/// Grows with how far an instance is behind.
fn badness(status: &SyncStatus) -> (Reverse<Version>, Duration) {
    (Reverse(status.version), status.confirmed.unwrap_or(Duration::MAX))
}

fn status(now: Instant, (domain, instance): &Key, seen: &Seen) -> SyncStatus {
    SyncStatus {
        instance: instance.clone(),
        domain: domain.clone(),
        version: seen.version,
        next: seen.next,
        in_force: seen.in_force,
        confirmed: seen.confirmed.map(|age| age.at(now)),
        heard: seen.heard.at(now),
    }
}
