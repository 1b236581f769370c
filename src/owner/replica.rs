//! State that every instance of a failure domain builds by reading the domain's stream.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::alert;
use crate::alert::Board;
use crate::clock::Unix;
use crate::codec;
use crate::domain::{Epoch, Instance};
use crate::owner::record::{Batch, Claim, Entry, Floor, Record};
use crate::owner::table::Table;
use crate::store::{Offset, Page};

/// What reading one record did.
#[derive(Clone, Debug)]
pub enum Applied {
    /// A claim took hold: the claimant owns the failure domain from here on.
    Claimed(Claim),
    /// A batch of the owner took effect.
    Changed(Batch),
    /// The record has no effect: a late claim, a copy of an earlier batch, a batch of an owner
    /// that was already superseded, or content that cannot be read.
    Void,
}

/// State built from the stream up to an offset.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    /// Jobs.
    pub table: Table,
    /// Alerts.
    pub board: Board,
    /// Offset at which the alerts were last stated whole.
    board_stated: Offset,
    epoch: Epoch,
    owner: Option<Instance>,
    formers: Vec<Instance>,
    claimed_at: Offset,
    sequence: u64,
    previous: Epoch,
    /// Batches that took effect before they were read from the log.
    ahead: u64,
    next: Offset,
    /// What was in force before each record read, so that a floor can name it.
    marks: VecDeque<Floor>,
}

impl Replica {
    /// An empty state that starts reading at `floor`.
    pub fn starting_at(floor: Floor) -> Self {
        Self {
            epoch: floor.epoch,
            sequence: floor.sequence,
            next: floor.offset,
            claimed_at: floor.offset,
            board_stated: floor.offset,
            ..Self::default()
        }
    }

    /// Epoch in force at this point of the stream.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Owner in that epoch, when its claim was read.
    pub fn owner(&self) -> Option<&Instance> {
        self.owner.as_ref()
    }

    /// Earlier owners that nobody has seen gone. One that was cut off may not know that it was
    /// superseded, and may still renew leases on workers that the present owner cannot reach.
    pub fn formers(&self) -> &[Instance] {
        &self.formers
    }

    /// The claim by which `instance` would become the owner in `epoch`.
    pub fn claim_for(&self, instance: &Instance, epoch: Epoch) -> Claim {
        // A process that listens where a former owner did proves that one gone.
        let elsewhere = |former: &&Instance| former.peer != instance.peer;
        let formers = self.formers.iter().chain(&self.owner).filter(elsewhere).cloned().collect();
        Claim { epoch, instance: instance.clone(), formers }
    }

    /// Epoch in force before the latest claim.
    pub fn previous(&self) -> Epoch {
        self.previous
    }

    /// First offset not yet read.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Sequence of the next batch.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Where a new reader has to start so that it ends in this state.
    ///
    /// Nothing live was stated before the oldest statement; the claim in force must be read too,
    /// since only it names the owner.
    pub fn floor(&self) -> Floor {
        let jobs = self.table.oldest_statement().unwrap_or(self.next);
        let needed = jobs.min(self.claimed_at).min(self.board_needed());
        let after = self.marks.partition_point(|mark| mark.offset <= needed);
        after.checked_sub(1).map(|index| self.marks[index]).unwrap_or_default()
    }

    /// Offset from which the alerts can be read; they matter as soon as one was ever raised.
    fn board_needed(&self) -> Offset {
        if self.board.is_blank() { self.next } else { self.board_stated }
    }

    /// Whether the alerts were last stated whole more than `records` ago.
    pub fn is_board_old(&self, records: Offset) -> bool {
        !self.board.is_blank() && self.next.saturating_sub(self.board_stated) > records
    }

    fn mark(&mut self, offset: Offset) {
        let floor = self.floor().offset;
        while self.marks.len() > 1 && self.marks[1].offset <= floor {
            self.marks.pop_front();
        }
        // A new reader finds in the log what took effect here before it was there, so it has to
        // start with the sequence that the log has come to.
        let sequence = self.sequence - self.ahead;
        self.marks.push_back(Floor { offset, epoch: self.epoch, sequence });
    }

    /// Whether records that this state still needs were dropped from the stream.
    pub fn has_gap(&self, page: &Page) -> bool {
        page.oldest > self.next
    }

    /// Reads one record. Records must come in the order of their offsets without a gap.
    pub fn apply(&mut self, offset: Offset, payload: &Bytes, now: Unix) -> Applied {
        debug_assert_eq!(offset, self.next, "records are applied without a gap");
        self.mark(offset);
        self.next = offset + 1;
        match codec::decode::<Record>(payload) {
            Ok(Record::Claim(claim)) => self.claim(offset, claim),
            Ok(Record::Batch(batch)) => self.change(offset, batch, now),
            Err(error) => {
                log::warn!("event=owner.record_unreadable offset={offset} cause=\"{error}\"");
                Applied::Void
            }
        }
    }

    /// Lets a batch take effect that is not in the log yet; its record is void when it is read.
    /// Whether it followed on what was read.
    ///
    /// What it states counts as stated at the next offset, which is not after the place where it
    /// will stand.
    pub fn apply_unlogged(&mut self, batch: &Batch, now: Unix) -> bool {
        let took_effect = matches!(self.change(self.next, batch.clone(), now), Applied::Changed(_));
        self.ahead += u64::from(took_effect);
        took_effect
    }

    fn claim(&mut self, offset: Offset, claim: Claim) -> Applied {
        if !claim.epoch.follows(self.epoch) {
            return Applied::Void;
        }
        self.previous = self.epoch;
        self.epoch = claim.epoch;
        self.owner = Some(claim.instance.clone());
        self.formers.clone_from(&claim.formers);
        self.claimed_at = offset;
        self.sequence = 0;
        self.ahead = 0;
        Applied::Claimed(claim)
    }

    fn note(&mut self, entry: &Entry, offset: Offset) {
        match entry {
            Entry::Retired(instance) => self.formers.retain(|former| former != instance),
            Entry::Alert(record) => match record.clone().try_into() {
                Ok(record) => self.apply_alert(&record, offset),
                Err(error) => log::warn!("event=owner.alert_unreadable {error}"),
            },
            Entry::Alerts(ledger) => match ledger.clone().try_into() {
                Ok(ledger) => {
                    self.board = Board::restore(ledger);
                    self.board_stated = offset;
                }
                Err(error) => log::warn!("event=owner.alerts_unreadable {error}"),
            },
            _ => {}
        }
    }

    fn apply_alert(&mut self, record: &alert::Record, offset: Offset) {
        if self.board.is_blank() {
            self.board_stated = offset;
        }
        self.board.apply(record);
    }

    fn change(&mut self, offset: Offset, batch: Batch, now: Unix) -> Applied {
        if batch.epoch != self.epoch || batch.sequence != self.sequence {
            let awaited = self.sequence - self.ahead;
            if self.ahead > 0 && batch.epoch == self.epoch && batch.sequence == awaited {
                self.ahead -= 1;
            }
            return Applied::Void;
        }
        self.sequence += 1;
        for entry in &batch.entries {
            self.table.apply(entry, offset, now);
            self.note(entry, offset);
        }
        Applied::Changed(batch)
    }
}
