//! State of a cell that a follower replays from the journal.

use super::dependencies::JournalSnapshot;
use super::record::Batch;
use super::state::State;
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

/// Replayed state of a cell and the offset that it corresponds to.
#[derive(Default)]
pub(super) struct JournalReplay {
    pub(super) state: State,
    /// Offset of the next record to read.
    pub(super) next_offset: u64,
    /// Whether the snapshot has been loaded.
    pub(super) has_snapshot: bool,
    pub(super) unsaved: Unsaved,
}

impl JournalReplay {
    /// Starts with a snapshot.
    pub(super) fn load_snapshot(&mut self, snapshot: &JournalSnapshot) {
        self.has_snapshot = true;
        self.unsaved = Unsaved::default();
        self.next_offset = snapshot.offset;
        self.state = State::default();
        let Some(bytes) = &snapshot.state else { return };
        match codec::decode(bytes) {
            Ok(state) => self.state = state,
            Err(error) => log::error!("event=journal.base_unreadable cause={error:?}"),
        }
    }

    /// Applies one record.
    pub(super) fn apply_record(&mut self, record: &[u8]) {
        match codec::decode::<Batch>(record) {
            Ok(batch) => {
                self.unsaved.since.get_or_insert(batch.at);
                self.unsaved.bytes += record.len() as u64;
                self.state.apply_batch(batch);
            }
            Err(error) => log::error!("event=journal.record_unreadable cause={error:?}"),
        }
    }
}
