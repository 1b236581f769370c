//! Replay of the journal.

use super::Election;
use crate::cell::dependencies::ReadError;

impl Election {
    /// Replays the journal to its end; `false` when the store does not answer.
    pub(super) async fn read(&mut self) -> bool {
        let journal = self.node.deps.journal.clone();
        if !self.replay.has_snapshot {
            match journal.snapshot(self.cell).await {
                Ok(snapshot) => self.replay.load_snapshot(&snapshot),
                Err(cause) => return self.unread(&cause),
            }
        }
        loop {
            match journal.read(self.cell, self.replay.next_offset).await {
                Ok(page) => {
                    for record in &page.records {
                        self.replay.apply_record(record);
                    }
                    self.replay.next_offset = page.next_offset;
                    if page.next_offset >= page.end_offset {
                        return true;
                    }
                }
                Err(ReadError::Truncated) => {
                    self.replay.has_snapshot = false;
                    return self.unread(&ReadError::Truncated.to_string());
                }
                Err(ReadError::Failed(cause)) => return self.unread(&cause),
            }
        }
    }

    fn unread(&self, cause: &str) -> bool {
        log::warn!("event=journal.unread cell={} cause={cause:?}", self.cell);
        false
    }
}
