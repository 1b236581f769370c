//! State of a cell that a follower replays from the journal.

use std::collections::BTreeSet;

use derive_more::{Display, From};

use super::dependencies::{JournalSnapshot, ReadError};
use super::job::Id;
use super::record::{Batch, Record};
use super::state::State;
use super::stored_state;
use crate::clock::Unix;
use crate::codec;

/// Replayed records that the snapshot does not contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unsaved {
    /// When the oldest of them was written, on its writer's wall clock; `None` if there is none.
    pub since: Option<Unix>,
    /// Their size in bytes.
    pub bytes: u64,
}

/// Records that the store has removed and no snapshot contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LostRecords {
    /// Offset of the first of them.
    pub(super) from: u64,
    /// Offset of the first record after them.
    pub(super) until: u64,
    /// Jobs that were open before them.
    pub(super) open_jobs: BTreeSet<Id>,
    /// Jobs that later records name, and that no record or snapshot contains.
    pub(super) unknown_jobs: BTreeSet<Id>,
}

/// Why a journal was not replayed to its end.
#[derive(Clone, Debug, Display, From, PartialEq, Eq)]
pub(super) enum Error {
    /// The store did not return the records.
    #[display("{_0}")]
    Unread(ReadError),
    /// This version cannot decode the snapshot, or the record at that offset.
    #[from(skip)]
    #[display("offset {offset}: {cause}")]
    Unreadable {
        /// Offset of the record, or of the first one after the snapshot.
        offset: u64,
        /// Why it cannot be decoded.
        cause: codec::Error,
    },
}

/// Replayed state of a cell and the offset that it corresponds to.
#[derive(Default)]
pub(super) struct JournalReplay {
    pub(super) state: State,
    /// Offset of the next record to read.
    pub(super) next_offset: u64,
    /// Whether the snapshot has been loaded.
    pub(super) has_snapshot: bool,
    /// Offset of the snapshot that has been loaded.
    pub(super) snapshot_offset: u64,
    /// Whether it stands in for the stored one, which cannot be used.
    pub(super) is_substitute: bool,
    pub(super) unsaved: Unsaved,
    pub(super) lost: Option<LostRecords>,
}

impl JournalReplay {
    /// Starts with a snapshot; fails, and changes nothing, if it cannot be decoded.
    pub(super) fn load_snapshot(&mut self, snapshot: &JournalSnapshot) -> Result<(), Error> {
        let offset = snapshot.offset;
        let state = match &snapshot.state {
            Some(bytes) => {
                stored_state::decode(bytes).map_err(|cause| Error::Unreadable { offset, cause })?
            }
            None => State::default(),
        };
        *self = Self {
            state,
            next_offset: offset,
            has_snapshot: true,
            snapshot_offset: offset,
            ..Self::default()
        };
        Ok(())
    }

    /// Continues at the first record that the store has left.
    pub(super) fn skip_removed(&mut self, first_offset: u64) {
        match &mut self.lost {
            Some(lost) => lost.until = first_offset,
            None => {
                self.lost = Some(LostRecords {
                    from: self.next_offset,
                    until: first_offset,
                    open_jobs: self.state.open.clone(),
                    unknown_jobs: BTreeSet::new(),
                });
            }
        }
        self.next_offset = first_offset;
    }

    /// Applies the record at the next offset; fails if it cannot be decoded.
    pub(super) fn apply_record(&mut self, record: &[u8]) -> Result<(), Error> {
        let offset = self.next_offset;
        let batch: Batch =
            codec::decode(record).map_err(|cause| Error::Unreadable { offset, cause })?;
        self.next_offset += 1;
        self.unsaved.since.get_or_insert(batch.at);
        self.unsaved.bytes += record.len() as u64;
        self.note_gap(&batch);
        self.state.apply_batch(batch);
        Ok(())
    }

    /// Takes from a batch after lost records what these would have told: the epoch, whose claim may
    /// be among them, and jobs whose acceptance is.
    fn note_gap(&mut self, batch: &Batch) {
        let Some(lost) = &mut self.lost else { return };
        if batch.epoch > self.state.epoch {
            self.state.epoch = batch.epoch;
            self.state.owner = None;
        }
        let jobs = batch.records.iter().flat_map(jobs_of);
        let mut accepted = BTreeSet::new();
        for (job, is_acceptance) in jobs {
            if is_acceptance {
                accepted.insert(job);
            } else if !self.state.jobs.contains_key(&job) && !accepted.contains(&job) {
                lost.unknown_jobs.insert(job);
            }
        }
    }
}

/// Jobs that a record names, each with whether it is accepted by it.
fn jobs_of(record: &Record) -> Vec<(Id, bool)> {
    match record {
        Record::Claimed { .. } => Vec::new(),
        Record::Accepted { job, .. } => vec![(job.id, true)],
        Record::Cancelled { job } | Record::Failed { job } => vec![(*job, false)],
        Record::Placed { runs, .. } => runs.iter().map(|run| (run.task.step.job, false)).collect(),
        Record::Ended { run, .. } => vec![(run.task.step.job, false)],
    }
}
