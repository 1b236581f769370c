//! State that every instance of a failure domain builds by reading the domain's stream.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::alert;
use crate::alert::Board;
use crate::clock::Unix;
use crate::codec;
use crate::domain::{Epoch, Instance};
use crate::owner::record::{Batch, Claim, Entry, Record, ReplayPoint};
use crate::owner::table::Table;
use crate::store::{Offset, Page};

/// Effect of applying one record.
#[derive(Clone, Debug)]
pub enum Applied {
    /// A valid claim: the claimant owns the failure domain from here on.
    Claimed(Claim),
    /// A batch of the owner took effect.
    Changed(Batch),
    /// No effect: a claim that came too late, a copy of an earlier batch, a batch of a superseded
    /// owner, or an unreadable record.
    NoEffect,
}

/// State built from the stream up to an offset.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Jobs.
    pub table: Table,
    /// Alerts.
    pub board: Board,
    /// Offset of the latest snapshot of the alerts.
    board_snapshot_offset: Offset,
    epoch: Epoch,
    owner: Option<Instance>,
    former_owners: Vec<Instance>,
    claimed_at: Offset,
    next_sequence: u64,
    previous_epoch: Epoch,
    /// Number of batches that took effect here but have not been read from the log yet.
    unlogged_batches: u64,
    next_offset: Offset,
    /// Epoch and next sequence number before each record read, from which the replay point is
    /// chosen.
    replay_points: VecDeque<ReplayPoint>,
}

impl Replica {
    /// Creates an empty state that starts its replay at `replay_point`.
    pub fn starting_at(replay_point: ReplayPoint) -> Self {
        Self {
            epoch: replay_point.epoch,
            next_sequence: replay_point.sequence,
            next_offset: replay_point.offset,
            claimed_at: replay_point.offset,
            board_snapshot_offset: replay_point.offset,
            ..Self::default()
        }
    }

    /// Epoch in force at this offset of the stream.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Owner in that epoch, if its claim was read.
    pub fn owner(&self) -> Option<&Instance> {
        self.owner.as_ref()
    }

    /// Earlier owners not known to have ended. An owner that was cut off may not have learned that
    /// it was superseded, and may still renew leases on workers that the current owner cannot
    /// reach.
    pub fn former_owners(&self) -> &[Instance] {
        &self.former_owners
    }

    /// The claim by which `instance` would own the domain in `epoch`.
    pub fn claim_for(&self, instance: &Instance, epoch: Epoch) -> Claim {
        // A new process at a former owner's address shows that the former owner is gone.
        let other_address = |former: &&Instance| former.peer != instance.peer;
        let former_owners =
            self.former_owners.iter().chain(&self.owner).filter(other_address).cloned().collect();
        Claim { epoch, instance: instance.clone(), former_owners }
    }

    /// Epoch in force before the latest claim.
    pub fn previous_epoch(&self) -> Epoch {
        self.previous_epoch
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Sequence number of the next batch.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Where a new reader has to start in order to reach this state.
    ///
    /// It is not after the oldest record that contains a job or the alerts as a whole and is still
    /// needed, nor after the claim in force, which is the only record that names the owner.
    pub fn replay_point(&self) -> ReplayPoint {
        let jobs = self.table.oldest_snapshot().unwrap_or(self.next_offset);
        let needed = jobs.min(self.claimed_at).min(self.board_replay_offset());
        let after = self.replay_points.partition_point(|point| point.offset <= needed);
        after.checked_sub(1).map(|index| self.replay_points[index]).unwrap_or_default()
    }

    /// Offset from which the alerts can be replayed: that of their snapshot, or the end if no alert
    /// was ever raised.
    fn board_replay_offset(&self) -> Offset {
        if self.board.never_raised() { self.next_offset } else { self.board_snapshot_offset }
    }

    /// Whether the latest snapshot of the alerts is more than `records` records old.
    pub fn is_board_snapshot_old(&self, records: Offset) -> bool {
        !self.board.never_raised()
            && self.next_offset.saturating_sub(self.board_snapshot_offset) > records
    }

    fn add_replay_point(&mut self, offset: Offset) {
        let replay_point = self.replay_point().offset;
        while self.replay_points.len() > 1 && self.replay_points[1].offset <= replay_point {
            self.replay_points.pop_front();
        }
        // A batch that took effect here before it was in the log is still ahead of a new reader,
        // which therefore starts with the sequence number that the log has reached.
        let sequence = self.next_sequence - self.unlogged_batches;
        self.replay_points.push_back(ReplayPoint { offset, epoch: self.epoch, sequence });
    }

    /// Whether records that this state still needs were dropped from the stream.
    pub fn has_gap(&self, page: &Page) -> bool {
        page.oldest > self.next_offset
    }

    /// Applies one record. Records must be applied in the order of their offsets, without a gap.
    pub fn apply(&mut self, offset: Offset, payload: &Bytes, now: Unix) -> Applied {
        debug_assert_eq!(offset, self.next_offset, "records are applied without a gap");
        self.add_replay_point(offset);
        self.next_offset = offset + 1;
        match codec::decode::<Record>(payload) {
            Ok(Record::Claim(claim)) => self.apply_claim(offset, claim),
            Ok(Record::Batch(batch)) => self.apply_batch(offset, batch, now),
            Err(error) => {
                log::warn!("event=owner.record_unreadable offset={offset} cause=\"{error}\"");
                Applied::NoEffect
            }
        }
    }

    /// Applies a batch that is not in the log yet; its record has no effect when it is read later.
    /// Returns whether the batch was the next in sequence.
    ///
    /// Snapshots in the batch get the next offset, which is not after the offset that the batch
    /// will have in the log.
    pub fn apply_unlogged(&mut self, batch: &Batch, now: Unix) -> bool {
        let took_effect =
            matches!(self.apply_batch(self.next_offset, batch.clone(), now), Applied::Changed(_));
        self.unlogged_batches += u64::from(took_effect);
        took_effect
    }

    fn apply_claim(&mut self, offset: Offset, claim: Claim) -> Applied {
        if !claim.epoch.follows(self.epoch) {
            return Applied::NoEffect;
        }
        self.previous_epoch = self.epoch;
        self.epoch = claim.epoch;
        self.owner = Some(claim.instance.clone());
        self.former_owners.clone_from(&claim.former_owners);
        self.claimed_at = offset;
        self.next_sequence = 0;
        self.unlogged_batches = 0;
        Applied::Claimed(claim)
    }

    fn apply_domain_entry(&mut self, entry: &Entry, offset: Offset) {
        match entry {
            Entry::Retired(instance) => self.former_owners.retain(|former| former != instance),
            Entry::Alert(record) => match record.clone().try_into() {
                Ok(record) => self.apply_alert(&record, offset),
                Err(error) => log::warn!("event=owner.alert_unreadable {error}"),
            },
            Entry::Alerts(ledger) => match ledger.clone().try_into() {
                Ok(ledger) => {
                    self.board = Board::restore(ledger);
                    self.board_snapshot_offset = offset;
                }
                Err(error) => log::warn!("event=owner.alerts_unreadable {error}"),
            },
            _ => {}
        }
    }

    fn apply_alert(&mut self, record: &alert::Record, offset: Offset) {
        if self.board.never_raised() {
            self.board_snapshot_offset = offset;
        }
        self.board.apply(record);
    }

    fn apply_batch(&mut self, offset: Offset, batch: Batch, now: Unix) -> Applied {
        if batch.epoch != self.epoch || batch.sequence != self.next_sequence {
            let next_logged = self.next_sequence - self.unlogged_batches;
            if self.unlogged_batches > 0
                && batch.epoch == self.epoch
                && batch.sequence == next_logged
            {
                self.unlogged_batches -= 1;
            }
            return Applied::NoEffect;
        }
        self.next_sequence += 1;
        for entry in &batch.entries {
            self.table.apply(entry, offset, now);
            self.apply_domain_entry(entry, offset);
        }
        Applied::Changed(batch)
    }
}
