//! What an instance that may take a cell over has read of the cell's journal.

use super::dependencies::JournalSnapshot;
use super::record::Batch;
use super::state::State;
use crate::codec;

/// What an instance has read of a cell's journal.
#[derive(Default)]
pub(super) struct JournalReplay {
    pub(super) state: State,
    /// Offset of the next record to read.
    pub(super) next_offset: u64,
    /// Whether the saved state has been read.
    pub(super) has_snapshot: bool,
}

impl JournalReplay {
    /// Begins with the saved state.
    pub(super) fn load_snapshot(&mut self, base: &JournalSnapshot) {
        self.has_snapshot = true;
        self.next_offset = base.offset;
        self.state = State::default();
        let Some(bytes) = &base.state else { return };
        match codec::decode(bytes) {
            Ok(state) => self.state = state,
            Err(error) => log::error!("event=journal.base_unreadable cause={error:?}"),
        }
    }

    /// Takes in one record.
    pub(super) fn apply_record(&mut self, record: &[u8]) {
        match codec::decode::<Batch>(record) {
            Ok(batch) => {
                self.state.apply_batch(batch);
            }
            Err(error) => log::error!("event=journal.record_unreadable cause={error:?}"),
        }
    }
}
