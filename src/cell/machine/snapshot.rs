//! Snapshots of the state, from which a new owner replays the journal.
//!
//! The store removes old records. What must not be lost is therefore saved in a snapshot long before
//! that, as measured by the oldest record that no snapshot contains. Its age goes on counting when
//! the owner changes, because the next owner learns it from its replay.

use std::time::Duration;

use bytes::Bytes;

use super::{Effect, Machine};
use crate::cell::dependencies::JournalSnapshot;
use crate::cell::replay::Unsaved;
use crate::cell::stored_state;
use crate::cell::timings::{Retention, SNAPSHOT_RETRY};
use crate::clock::Instant;
use crate::telemetry::names;

/// Interval between two warnings of records that are in no snapshot.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Progress of saving snapshots.
#[derive(Debug)]
pub(super) struct SnapshotSchedule {
    retention: Retention,
    /// From when on records may be in no snapshot.
    unsaved_since: Instant,
    /// Age of the oldest of these records at that time.
    age_before: Duration,
    /// Size of the stored records that are in no snapshot.
    unsaved_bytes: u64,
    /// Whether a snapshot is requested before it is due.
    requested: bool,
    attempt: Option<Attempt>,
    retry_at: Instant,
    next_warning: Instant,
}

/// A snapshot that has been taken and not saved yet.
#[derive(Debug)]
struct Attempt {
    taken: Instant,
    /// Sequence number of the last batch that it contains.
    last_batch: u64,
    /// The encoded state, until that batch is stored.
    state: Option<Bytes>,
    /// Size of the records that it contains and no earlier snapshot does, once they are stored.
    bytes: u64,
}

impl SnapshotSchedule {
    pub(super) const fn new(retention: Retention, now: Instant) -> Self {
        Self {
            retention,
            unsaved_since: now,
            age_before: Duration::ZERO,
            unsaved_bytes: 0,
            requested: false,
            attempt: None,
            retry_at: now,
            next_warning: now,
        }
    }

    /// Requests a snapshot before it is due.
    pub(super) const fn request(&mut self) {
        self.requested = true;
    }

    /// Notes that records of that size have been stored.
    pub(super) const fn note_stored(&mut self, bytes: usize) {
        self.unsaved_bytes += bytes as u64;
    }

    fn note_saved(&mut self, is_saved: bool, now: Instant) {
        let Some(attempt) = self.attempt.take() else { return };
        if is_saved {
            self.unsaved_since = attempt.taken;
            self.age_before = Duration::ZERO;
            self.unsaved_bytes -= attempt.bytes;
        } else {
            self.retry_at = now.after(SNAPSHOT_RETRY);
        }
    }

    /// Age of the oldest record that is in no snapshot.
    fn age(&self, now: Instant) -> Duration {
        now.since(self.unsaved_since) + self.age_before
    }

    fn is_due(&self, now: Instant) -> bool {
        let is_old = self.age(now) >= self.retention.snapshot_age();
        let is_large = self.unsaved_bytes >= self.retention.snapshot_bytes();
        let may_try = self.attempt.is_none() && now >= self.retry_at;
        may_try && (self.requested || is_old || is_large)
    }

    /// Whether the store may remove records soon that are in no snapshot, and no warning of it was
    /// due lately.
    fn is_warning_due(&self, now: Instant) -> bool {
        let is_at_risk = self.age(now) > self.retention.time / 2
            || self.unsaved_bytes > self.retention.bytes / 2;
        is_at_risk && now >= self.next_warning
    }
}

impl Machine {
    /// Requests a snapshot before it is due, where the stored one cannot be used.
    pub const fn request_snapshot(&mut self) {
        self.snapshots.request();
    }

    /// Notes which of the replayed records are in no snapshot.
    pub fn note_unsaved(&mut self, unsaved: Unsaved) {
        let age = unsaved.since.map(|since| self.unix.since(since));
        self.snapshots.age_before = age.unwrap_or_default();
        self.snapshots.unsaved_bytes = unsaved.bytes;
    }

    /// Takes a snapshot of the state if one is due. It is saved once all decisions in it are stored.
    ///
    /// A snapshot would hide from the next owner that records are lost, so none is taken until their
    /// jobs are settled.
    pub(super) fn take_snapshot_when_due(&mut self) {
        if !self.snapshots.is_due(self.now) || self.has_doubts() {
            return;
        }
        let (taken, last_batch) = (self.now, self.journal.close_last_batch());
        self.snapshots.requested = false;
        let state = match stored_state::encode(&self.state) {
            Ok(state) => state,
            Err(error) => {
                log::error!("event=journal.base_too_large cause={error:?}");
                // The next attempt would take as long and fail as well.
                self.snapshots.retry_at = self.now.after(self.snapshots.retention.snapshot_age());
                return;
            }
        };
        self.snapshots.attempt = Some(Attempt { taken, last_batch, state: Some(state), bytes: 0 });
        self.save_snapshot_once_stored();
    }

    /// Saves the snapshot that has been taken, once all decisions in it are stored.
    ///
    /// Guards against a snapshot that contains decisions which never get stored. A successor that
    /// reads the journal without them decides otherwise, and a later owner that starts from the
    /// snapshot would run tasks again that have failed or ended.
    pub(super) fn save_snapshot_once_stored(&mut self) {
        let snapshots = &mut self.snapshots;
        let Some(attempt) = &mut snapshots.attempt else { return };
        if !self.journal.is_stored(attempt.last_batch) {
            return;
        }
        let Some(state) = attempt.state.take() else { return };
        attempt.bytes = snapshots.unsaved_bytes;
        let snapshot = JournalSnapshot { state: Some(state), offset: self.journal.end() };
        self.effects.push(Effect::Save(snapshot));
    }

    /// Returns a snapshot for an owner that ends, if all decisions are stored and none is being saved.
    pub fn last_snapshot(&self) -> Option<JournalSnapshot> {
        if !self.is_stored() || self.snapshots.attempt.is_some() || self.has_doubts() {
            return None;
        }
        let state = stored_state::encode(&self.state).ok()?;
        Some(JournalSnapshot { state: Some(state), offset: self.journal.end() })
    }

    /// Notes that a snapshot has been saved or that it could not be.
    pub(super) fn snapshot_saved(&mut self, is_saved: bool) {
        self.snapshots.note_saved(is_saved, self.now);
    }

    /// Reports how much of the journal is in no snapshot.
    pub(super) fn report_unsaved(&mut self) {
        let snapshots = &mut self.snapshots;
        let (age, bytes) = (snapshots.age(self.now), snapshots.unsaved_bytes);
        names::CELL_UNSAVED_AGE.set(age.as_secs_f64(), &[]);
        names::CELL_UNSAVED_BYTES.set(bytes as f64, &[]);
        if snapshots.is_warning_due(self.now) {
            snapshots.next_warning = self.now.after(WARNING_INTERVAL);
            let (age_ms, retention_ms) = (age.as_millis(), snapshots.retention.time.as_millis());
            log::error!(
                "event=journal.unsaved age_ms={age_ms} retention_ms={retention_ms} bytes={bytes}"
            );
        }
    }
}
