//! Commit of batches by copies on peers, while the owner cannot reach the log.
//!
//! While the log is unreachable, a batch of the owner takes effect once every enrolled instance of
//! its domain stores a copy. An instance becomes enrolled when a heartbeat of the owner lists it,
//! and stays enrolled for the epoch of that owner. Every enrolled instance therefore stores every
//! batch that took effect without the log. Whichever of them claims the domain next writes those
//! batches to the log before it decides anything.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::{Instant, Unix};
use crate::codec;
use crate::domain::{self, Epoch, Instance};
use crate::owner::active::Active;
use crate::owner::journal::{AppendRequest, Tag};
use crate::owner::machine::{Effect, Heartbeat, Machine, Role};
use crate::owner::record::{Entry, Record};

/// How long the log has to fail before batches are sent to peers.
const LOG_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before a batch is sent again to the peers that have not confirmed it.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of batches that take effect without the log, to limit the memory that their
/// copies use on the peers.
const MAX_UNLOGGED: usize = 10_000;

/// Copy of a batch that the owner sends to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCopy {
    /// Failure domain it belongs to.
    pub domain: domain::Name,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Sequence number of the batch in that epoch.
    pub sequence: u64,
    /// The encoded record, exactly as it is appended to the log later.
    pub payload: Vec<u8>,
}

/// Batch copies that an instance stores for the owner.
#[derive(Clone, Debug, Default)]
pub struct StoredCopies {
    enrolled_epoch: Option<Epoch>,
    batches: BTreeMap<u64, Vec<u8>>,
}

impl StoredCopies {
    /// Epoch of the owner that enrolled this instance.
    pub fn enrolled_epoch(&self) -> Option<Epoch> {
        self.enrolled_epoch
    }

    /// Whether the copy of that batch is stored.
    pub fn contains(&self, epoch: Epoch, sequence: u64) -> bool {
        self.enrolled_epoch == Some(epoch) && self.batches.contains_key(&sequence)
    }

    fn enroll(&mut self, epoch: Epoch) {
        if self.enrolled_epoch != Some(epoch) {
            // An owner enrolls no instance before the batches stored for earlier owners are in the
            // log.
            self.enrolled_epoch = Some(epoch);
            self.batches.clear();
        }
    }

    /// Drops the batches before `sequence`: they are in the log.
    pub(super) fn discard_before(&mut self, epoch: Epoch, sequence: u64) {
        if self.enrolled_epoch == Some(epoch) {
            self.batches = self.batches.split_off(&sequence);
        }
    }

    /// Drops every batch, once all of them are in the log.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }

    /// Changes of the stored batches, in order, for the next owner to append.
    ///
    /// Only batches of epoch `previous`, directly before the new one, are returned. A batch of an
    /// earlier owner may never have taken effect, and its attempts have the same numbers as
    /// attempts that were placed later.
    ///
    /// Snapshots are left out: they repeat what the log already contains, and appended late they
    /// would undo later changes.
    pub(super) fn unlogged_entries(&self, previous: Epoch) -> Vec<Entry> {
        let mut changes = Vec::new();
        if self.enrolled_epoch != Some(previous) {
            return changes;
        }
        for payload in self.batches.values() {
            if let Ok(Record::Batch(batch)) = codec::decode(payload) {
                changes.extend(batch.entries);
            }
        }
        let is_snapshot = |entry: &Entry| matches!(entry, Entry::Restated(_) | Entry::Alerts(_));
        changes.retain(|entry| !is_snapshot(entry));
        changes
    }
}

impl Machine {
    pub(super) fn enroll(&mut self, heartbeat: &Heartbeat) {
        if heartbeat.enrolled.contains(&self.me) {
            self.copies.enroll(heartbeat.epoch);
        }
    }

    /// Stores a batch, unless a later owner is known or this instance is not enrolled.
    pub(super) fn on_store_batch(&mut self, copy: BatchCopy) {
        let current = copy.epoch == self.known_epoch() && !self.is_owner();
        if current && copy.domain == self.domain && self.copies.enrolled_epoch() == Some(copy.epoch)
        {
            self.copies.batches.insert(copy.sequence, copy.payload);
        }
    }

    /// Records that an instance stores a batch.
    pub(super) fn on_batch_stored(
        &mut self,
        from: &Instance,
        epoch: Epoch,
        sequence: u64,
        now: Instant,
        unix: Unix,
    ) {
        let Role::Owner(active) = &mut self.role else { return };
        let is_in_flight = active.journal.in_flight_tag() == Some(Tag::Batch { epoch, sequence });
        if epoch != active.epoch || !is_in_flight {
            return;
        }
        active.stored_by.insert(from.clone());
        self.commit_by_peers(now, unix);
    }

    /// Sends the batch in flight to the enrolled instances that have not confirmed it yet.
    pub(super) fn replicate_batch(&mut self, now: Instant) {
        let Role::Owner(active) = &mut self.role else { return };
        if !active.commits_by_peers(now) || now < active.next_copy_at {
            return;
        }
        let Some((sequence, payload)) = active.journal.in_flight() else { return };
        active.next_copy_at = now.after(RETRY_INTERVAL);
        let domain = self.domain.clone();
        let copy = BatchCopy { domain, epoch: active.epoch, sequence, payload: payload.to_vec() };
        let unconfirmed =
            active.enrolled.values().filter(|instance| !active.stored_by.contains(*instance));
        let to = unconfirmed.map(|instance| instance.peer).collect();
        self.out.push(Effect::StoreBatch { to, copy });
    }

    /// Lets the batch in flight take effect once every enrolled instance stores it.
    ///
    /// An owner that waited for the log would start nothing for as long as the outage lasts, which
    /// can be hours. One that started work from its own memory alone would lose the record with its
    /// process, and the next owner would start the same work again elsewhere. With a copy at every
    /// instance that can claim the domain, the next owner always has the record.
    fn commit_by_peers(&mut self, now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let all_stored =
            active.enrolled.values().all(|instance| active.stored_by.contains(instance));
        if !all_stored || !active.commits_by_peers(now) {
            return;
        }
        let Some(request) = active.journal.stop_retries() else { return };
        active.stored_by.clear();
        active.next_copy_at = now;
        let Ok(Record::Batch(batch)) = codec::decode(&request.payload) else { return };
        active.unlogged.push_back(request);
        if self.replica.apply_unlogged(&batch, unix) {
            self.on_changed(&batch, now, unix);
        }
    }

    /// Removes the oldest unlogged batch once it is read from the log, and does what waited for
    /// that.
    pub(super) fn on_unlogged_batch_read(&mut self, payload: &[u8], now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let is_oldest = active.unlogged.front().is_some_and(|request| request.payload == payload);
        if !is_oldest {
            return;
        }
        active.unlogged.pop_front();
        active.next_append_at = now;
        if let Ok(Record::Batch(batch)) = codec::decode(payload) {
            self.out.extend(active.on_batch_logged(&batch, &self.replica.table, now, unix));
        }
        if active.unlogged.is_empty() {
            log::info!("event=owner.log_caught_up epoch={}", active.epoch);
            active.journal.mark_log_available();
            active.journal.schedule_append(now);
        }
    }
}

impl Active {
    /// Whether batches are committed by copies on peers, because the log is unreachable.
    pub(super) fn commits_by_peers(&self, now: Instant) -> bool {
        let log_unavailable =
            self.journal.failing_since().is_some_and(|since| now.since(since) >= LOG_TIMEOUT);
        let has_room = self.unlogged.len() < MAX_UNLOGGED;
        has_room && (log_unavailable || !self.unlogged.is_empty()) && !self.enrolled.is_empty()
    }

    /// Enrolls `from`, which has answered a heartbeat of this owner. Instances are added only while
    /// the log is reachable and no batch waits for it: one that is added later would lack earlier
    /// batches.
    pub(super) fn enroll(&mut self, from: &Instance) {
        let replaced = self.enrolled.get(&from.peer).is_some_and(|known| known != from);
        if replaced {
            // The previous process at this address is gone and can no longer claim the domain.
            self.enrolled.remove(&from.peer);
        }
        if self.is_established()
            && self.journal.failing_since().is_none()
            && self.unlogged.is_empty()
        {
            self.enrolled.insert(from.peer, from.clone());
        }
    }

    /// The oldest unlogged batch, when it is due to be appended to the log.
    pub(super) fn next_unlogged(&mut self, now: Instant) -> Option<AppendRequest> {
        if now < self.next_append_at {
            return None;
        }
        let request = self.unlogged.front().cloned()?;
        self.next_append_at = now.after(RETRY_INTERVAL * 4);
        Some(request)
    }
}
