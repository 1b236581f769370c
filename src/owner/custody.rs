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
use crate::owner::journal::{Parcel, Tag};
use crate::owner::machine::{Beat, Effect, Machine, Role};
use crate::owner::record::{Entry, Record};

/// Failure of the log after which batches are handed to peers.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Pause before a batch is handed again to those that have not answered.
const REPEAT: Duration = Duration::from_millis(250);

/// Bound on the batches that take effect without the log, for the memory of those who keep them.
const MAX_UNLOGGED: usize = 10_000;

/// A batch for an instance to keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
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
pub struct Custody {
    enrolled: Option<Epoch>,
    batches: BTreeMap<u64, Vec<u8>>,
}

impl Custody {
    /// Epoch of the owner whose list names this instance.
    pub fn enrolled(&self) -> Option<Epoch> {
        self.enrolled
    }

    /// Whether a batch of that epoch is kept.
    pub fn keeps(&self, epoch: Epoch, sequence: u64) -> bool {
        self.enrolled == Some(epoch) && self.batches.contains_key(&sequence)
    }

    fn enroll(&mut self, epoch: Epoch) {
        if self.enrolled != Some(epoch) {
            // An owner lists nobody before it has written down what was kept for earlier ones.
            self.enrolled = Some(epoch);
            self.batches.clear();
        }
    }

    /// Drops the batches before `sequence`, which are in the log.
    pub(super) fn logged(&mut self, epoch: Epoch, sequence: u64) {
        if self.enrolled == Some(epoch) {
            self.batches = self.batches.split_off(&sequence);
        }
    }

    /// Drops every batch, once all are in the log.
    pub(super) fn release(&mut self) {
        self.batches.clear();
    }

    /// Changes of the batches kept, in order, for the next owner to write.
    ///
    /// Only those of the owner directly before count. What an earlier one had on its way may never
    /// have taken effect, and its tries have the same numbers as those placed since.
    ///
    /// Statements of whole jobs are left out: they repeat what the log holds, and written late they
    /// would take back what has happened since.
    pub(super) fn changes(&self, previous: Epoch) -> Vec<Entry> {
        let mut changes = Vec::new();
        if self.enrolled != Some(previous) {
            return changes;
        }
        for payload in self.batches.values() {
            if let Ok(Record::Batch(batch)) = codec::decode(payload) {
                changes.extend(batch.entries);
            }
        }
        let repeats = |entry: &Entry| matches!(entry, Entry::Restated(_) | Entry::Alerts(_));
        changes.retain(|entry| !repeats(entry));
        changes
    }
}

impl Machine {
    pub(super) fn enroll(&mut self, beat: &Beat) {
        if beat.enrolled.contains(&self.me) {
            self.custody.enroll(beat.epoch);
        }
    }

    /// Keeps a batch, unless a later owner is known or this instance was not enrolled.
    pub(super) fn on_hold(&mut self, hold: Hold) {
        let current = hold.epoch == self.known_epoch() && !self.is_owner();
        if current && hold.domain == self.domain && self.custody.enrolled() == Some(hold.epoch) {
            self.custody.batches.insert(hold.sequence, hold.payload);
        }
    }

    /// Takes in that an instance keeps a batch.
    pub(super) fn on_held(
        &mut self,
        from: &Instance,
        epoch: Epoch,
        sequence: u64,
        now: Instant,
        unix: Unix,
    ) {
        let Role::Owner(active) = &mut self.role else { return };
        let named = active.journal.flight_tag() == Some(Tag::Batch { epoch, sequence });
        if epoch != active.epoch || !named {
            return;
        }
        active.keepers.insert(from.clone());
        self.commit_by_peers(now, unix);
    }

    /// Hands the batch under way to the enrolled instances that do not keep it yet.
    pub(super) fn hand_out(&mut self, now: Instant) {
        let Role::Owner(active) = &mut self.role else { return };
        if !active.can_hold(now) || now < active.hold_at {
            return;
        }
        let Some((sequence, payload)) = active.journal.flight() else { return };
        active.hold_at = now.after(REPEAT);
        let domain = self.domain.clone();
        let hold = Hold { domain, epoch: active.epoch, sequence, payload: payload.to_vec() };
        let missing = active.enrolled.values().filter(|one| !active.keepers.contains(*one));
        let to = missing.map(|instance| instance.peer).collect();
        self.out.push(Effect::Hold { to, hold });
    }

    /// Lets the batch under way take effect once every enrolled instance keeps it.
    ///
    /// The failure: with the log away an owner that waits for it starts nothing, for hours. One
    /// that starts work on its own memory alone loses it with its process, and the next owner
    /// starts it again elsewhere. With a copy at every instance that could claim, whoever claims
    /// has it.
    fn commit_by_peers(&mut self, now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let kept = active.enrolled.values().all(|one| active.keepers.contains(one));
        if !kept || !active.can_hold(now) {
            return;
        }
        let Some(parcel) = active.journal.take_flight() else { return };
        active.keepers.clear();
        active.hold_at = now;
        let Ok(Record::Batch(batch)) = codec::decode(&parcel.payload) else { return };
        active.unlogged.push_back(parcel);
        if self.replica.apply_unlogged(&batch, unix) {
            self.on_changed(&batch, now, unix);
        }
    }

    /// Takes in that a record of this owner is now in the log, which had taken effect before.
    pub(super) fn on_caught_up(&mut self, payload: &[u8], now: Instant, unix: Unix) {
        let Role::Owner(active) = &mut self.role else { return };
        let first = active.unlogged.front().is_some_and(|parcel| parcel.payload == payload);
        if !first {
            return;
        }
        active.unlogged.pop_front();
        active.append_at = now;
        if let Ok(Record::Batch(batch)) = codec::decode(payload) {
            self.out.extend(active.on_logged(&batch, &self.replica.table, now, unix));
        }
        if active.unlogged.is_empty() {
            log::info!("event=owner.log_caught_up epoch={}", active.epoch);
            active.journal.recovered();
            active.journal.rearm(now);
        }
    }
}

impl Active {
    /// Whether batches go to peers because the log is away.
    pub(super) fn can_hold(&self, now: Instant) -> bool {
        let away = self.journal.failing_since().is_some_and(|since| now.since(since) >= PATIENCE);
        let room = self.unlogged.len() < MAX_UNLOGGED;
        room && (away || !self.unlogged.is_empty()) && !self.enrolled.is_empty()
    }

    /// Takes in that `from` has heard this owner. It joins the list only while the log is there
    /// and nothing waits for it: an instance that joins later would lack earlier batches.
    pub(super) fn enroll(&mut self, from: &Instance) {
        let replaced = self.enrolled.get(&from.peer).is_some_and(|known| known != from);
        if replaced {
            // The process before it is gone, and with it the only one who could claim by that name.
            self.enrolled.remove(&from.peer);
        }
        if self.is_settled() && self.journal.failing_since().is_none() && self.unlogged.is_empty() {
            self.enrolled.insert(from.peer, from.clone());
        }
    }

    /// The record to append next of those that took effect without the log.
    pub(super) fn next_unlogged(&mut self, now: Instant) -> Option<Parcel> {
        if now < self.append_at {
            return None;
        }
        let parcel = self.unlogged.front().cloned()?;
        self.append_at = now.after(REPEAT * 4);
        Some(parcel)
    }
}
