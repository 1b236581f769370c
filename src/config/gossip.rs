//! What instances exchange about the settings: small digests at short intervals, and the whole
//! state only on request.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::value::Version;
use crate::clock::Instant;
use crate::domain;
use crate::store::Offset;

/// Maximum number of rows about other instances in one digest.
pub const MAX_ROWS: usize = 4;
/// Maximum number of instances in the status table.
const MAX_INSTANCES: usize = 1_024;
/// How long an instance without news stays in the status table.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// An entry instance that this instance exchanges digests with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the instance.
    pub name: String,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Address of its server for peers.
    pub address: SocketAddr,
}

/// How current the settings are at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyncStatus {
    /// Name of the instance.
    pub instance: String,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Version in force there; zero while none is.
    pub version: Version,
    /// First offset of the stream that it has not applied.
    pub next: Offset,
    /// Whether any version is in force there.
    pub in_force: bool,
    /// Time since its version was last confirmed to be the newest; `None` if it never was.
    pub confirmed: Option<Duration>,
    /// Time since the instance reported this status.
    pub heard: Duration,
}

/// A summary of the settings at some instances, as peers exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Status of the sender.
    pub from: SyncStatus,
    /// Status of some other instances, as last recorded by the sender.
    pub rows: Vec<SyncStatus>,
}

#[derive(Clone, Debug)]
struct StatusEntry {
    version: Version,
    next: Offset,
    in_force: bool,
    confirmed: Option<Age>,
    heard: Age,
}

/// An age that was known at some instant and grows from then on.
///
/// It is stored as a duration, since it may reach back to before this process's clock started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Age {
    initial: Duration,
    at: Instant,
}

impl Age {
    /// Creates an age that is `initial` at instant `at`.
    pub(super) fn new(initial: Duration, at: Instant) -> Self {
        Self { initial, at }
    }

    /// Returns the age at `now`.
    pub(super) fn at(self, now: Instant) -> Duration {
        self.initial.saturating_add(now.since(self.at))
    }
}

type Key = (domain::Name, String);

/// The latest known sync status of other instances.
#[derive(Debug, Default)]
pub(super) struct StatusTable {
    entries: BTreeMap<Key, StatusEntry>,
    /// Index of the first entry for the next digest.
    cursor: usize,
}

impl StatusTable {
    /// Records the status of an instance if it is more recent than the known one.
    pub(super) fn record(&mut self, now: Instant, status: &SyncStatus) {
        let key = (status.domain.clone(), status.instance.clone());
        let known = self.entries.get(&key);
        let newer = known.is_none_or(|entry| status.heard < entry.heard.at(now));
        if !newer || known.is_none() && self.entries.len() >= MAX_INSTANCES {
            return;
        }
        let entry = StatusEntry {
            version: status.version,
            next: status.next,
            in_force: status.in_force,
            confirmed: status.confirmed.map(|age| Age::new(age, now)),
            heard: Age::new(status.heard, now),
        };
        self.entries.insert(key, entry);
    }

    /// Removes instances without news for [`FORGET_AFTER`].
    pub(super) fn prune(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.heard.at(now) < FORGET_AFTER);
    }

    /// Returns the known status of every instance.
    pub(super) fn sync_statuses(&self, now: Instant) -> impl Iterator<Item = SyncStatus> + '_ {
        self.entries.iter().map(move |(key, entry)| status(now, key, entry))
    }

    /// Returns the rows of the next digest; successive calls cycle through the table.
    pub(super) fn rows(&mut self, now: Instant) -> Vec<SyncStatus> {
        let count = self.entries.len().min(MAX_ROWS);
        let start = self.cursor;
        self.cursor = (start + count) % self.entries.len().max(1);
        let selected = self.entries.iter().cycle().skip(start).take(count);
        selected.map(|(key, entry)| status(now, key, entry)).collect()
    }

    /// Returns the last known version at a peer.
    pub(super) fn version(&self, peer: &Peer) -> Option<Version> {
        let key = (peer.domain.clone(), peer.name.clone());
        self.entries.get(&key).map(|entry| entry.version)
    }
}

/// Returns for each domain the least current status among its instances that reported within
/// `recent`.
///
/// For a domain without recent reports, it is the least current of the older ones, so that their
/// age remains visible.
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
        let worse = staleness(status) > staleness(known);
        if this_recent && !known_recent || this_recent == known_recent && worse {
            *known = status.clone();
        }
    }
    worst
}

/// Sort key that is greater the further an instance is behind.
fn staleness(status: &SyncStatus) -> (Reverse<Version>, Duration) {
    (Reverse(status.version), status.confirmed.unwrap_or(Duration::MAX))
}

fn status(now: Instant, (domain, instance): &Key, entry: &StatusEntry) -> SyncStatus {
    SyncStatus {
        instance: instance.clone(),
        domain: domain.clone(),
        version: entry.version,
        next: entry.next,
        in_force: entry.in_force,
        confirmed: entry.confirmed.map(|age| age.at(now)),
        heard: entry.heard.at(now),
    }
}
