//! Batches kept for an owner that cannot reach the log.
//!
//! While the log is away, an owner lets a batch take effect once every enrolled instance of its
//! domain keeps a copy. An instance is enrolled once it has seen itself on the owner's list, and it
//! stays so for the owner's epoch. Any one of the enrolled therefore has all that took effect, and
//! whichever claims the domain next writes it to the log before it decides anything.

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

/// Failure of the log after which batches are handed to peers.
const LOG_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause before a batch is handed again to those that have not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Bound on the batches that take effect without the log, for the memory of those who keep them.
const MAX_UNLOGGED: usize = 10_000;

/// A batch for an instance to keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCopy {
    /// Failure domain it belongs to.
    pub domain: domain::Name,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Place of the batch in that epoch.
    pub sequence: u64,
    /// The record, as it will stand in the log.
    pub payload: Vec<u8>,
}

/// What an instance keeps for an owner.
#[derive(Clone, Debug, Default)]
pub struct StoredCopies {
    enrolled_epoch: Option<Epoch>,
    batches: BTreeMap<u64, Vec<u8>>,
}

impl StoredCopies {
    /// Epoch of the owner whose list names this instance.
    pub fn enrolled_epoch(&self) -> Option<Epoch> {
        self.enrolled_epoch
    }

    /// Whether a batch of that epoch is kept.
    pub fn contains(&self, epoch: Epoch, sequence: u64) -> bool {
        self.enrolled_epoch == Some(epoch) && self.batches.contains_key(&sequence)
    }

    fn enroll(&mut self, epoch: Epoch) {
        if self.enrolled_epoch != Some(epoch) {
            // An owner lists nobody before it has written down what was kept for earlier ones.
            self.enrolled_epoch = Some(epoch);
            self.batches.clear();
        }
    }

    /// Drops the batches before `sequence`, which are in the log.
    pub(super) fn discard_before(&mut self, epoch: Epoch, sequence: u64) {
        if self.enrolled_epoch == Some(epoch) {
            self.batches = self.batches.split_off(&sequence);
        }
    }

    /// Drops every batch, once all are in the log.
    pub(super) fn clear(&mut self) {
        self.batches.clear();
    }

    /// Changes of the batches kept, in order, for the next owner to write.
    ///
    /// Only those of the owner directly before count. What an earlier one had on its way may never
    /// have taken effect, and its tries have the same numbers as those placed since.
    ///
    /// Statements of whole jobs are left out: they repeat what the log holds, and written late they
    /// would take back what has happened since.
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

    /// Keeps a batch, unless a later owner is known or this instance was not enrolled.
    pub(super) fn on_store_batch(&mut self, copy: BatchCopy) {
        let current = copy.epoch == self.known_epoch() && !self.is_owner();
        if current && copy.domain == self.domain && self.copies.enrolled_epoch() == Some(copy.epoch)
        {
            self.copies.batches.insert(copy.sequence, copy.payload);
        }
    }

    /// Takes in that an instance keeps a batch.
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

    /// Hands the batch under way to the enrolled instances that do not keep it yet.
    pub(super) fn replicate_batch(&mut self, now: Instant) {
        let Role::Owner(active) = &mut self.role else { return };
        if !active.commits_by_peers(now) || now < active.next_copy_at {
            return;
        }
        let Some((sequence, payload)) = active.journal.in_flight() else { return };
        active.next_copy_at = now.after(RETRY_INTERVAL);
        let domain = self.domain.clone();
        let copy = BatchCopy { domain, epoch: active.epoch, sequence, payload: payload.to_vec() };
        let missing = active.enrolled.values().filter(|one| !active.stored_by.contains(*one));
        let to = missing.map(|instance| instance.peer).collect();
        self.out.push(Effect::StoreBatch { to, copy });
    }

    /// Lets the batch under way take effect once every enrolled instance keeps it.
    ///
    /// The failure: with the log away an owner that waits for it starts nothing, for hours. One
    /// that starts work on its own memory alone loses it with its process, and the next owner
    /// starts it again elsewhere. With a copy at every instance that could claim, whoever claims
    /// has it.
    fn commit_by_peers(&mut self, now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let all_stored = active.enrolled.values().all(|one| active.stored_by.contains(one));
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

    /// Takes in that a record of this owner is now in the log, which had taken effect before.
    pub(super) fn on_unlogged_batch_read(&mut self, payload: &[u8], now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let first = active.unlogged.front().is_some_and(|request| request.payload == payload);
        if !first {
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
    /// Whether batches go to peers because the log is away.
    pub(super) fn commits_by_peers(&self, now: Instant) -> bool {
        let log_unavailable =
            self.journal.failing_since().is_some_and(|since| now.since(since) >= LOG_TIMEOUT);
        let has_room = self.unlogged.len() < MAX_UNLOGGED;
        has_room && (log_unavailable || !self.unlogged.is_empty()) && !self.enrolled.is_empty()
    }

    /// Takes in that `from` has heard this owner. It joins the list only while the log is there
    /// and nothing waits for it: an instance that joins later would lack earlier batches.
    pub(super) fn enroll(&mut self, from: &Instance) {
        let replaced = self.enrolled.get(&from.peer).is_some_and(|known| known != from);
        if replaced {
            // The process before it is gone, and with it the only one who could claim by that name.
            self.enrolled.remove(&from.peer);
        }
        if self.is_established()
            && self.journal.failing_since().is_none()
            && self.unlogged.is_empty()
        {
            self.enrolled.insert(from.peer, from.clone());
        }
    }

    /// The record to append next of those that took effect without the log.
    pub(super) fn next_unlogged(&mut self, now: Instant) -> Option<AppendRequest> {
        if now < self.next_append_at {
            return None;
        }
        let request = self.unlogged.front().cloned()?;
        self.next_append_at = now.after(RETRY_INTERVAL * 4);
        Some(request)
    }
}
