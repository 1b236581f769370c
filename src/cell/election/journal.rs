//! Replay of the journal.

use std::time::Duration;

use super::Election;
use crate::cell::dependencies::ReadError;
use crate::cell::replay::{Error, JournalReplay, LostRecords};
use crate::telemetry::names;

/// Time for which an instance does not claim a cell whose journal it cannot decode.
pub(super) const UNREADABLE_PAUSE: Duration = Duration::from_secs(10);

/// Maximum number of jobs named in the log after records are lost.
const MAX_LOGGED_JOBS: usize = 1_000;

impl Election {
    /// Replays the journal to its end; `false` when the store does not answer, or when this instance
    /// cannot decode what it returns.
    ///
    /// Where the store has removed records that no snapshot contains, it continues after them and
    /// notes what is lost. Guards against a cell that nobody owns for as long as such records are
    /// missing, which is for ever.
    pub(super) async fn read(&mut self) -> bool {
        // Offset of the snapshot after which records were missing.
        let mut missing_after = None;
        loop {
            if !self.replay.has_snapshot && !self.load_snapshot().await {
                return false;
            }
            let first_offset = match self.read_records().await {
                Ok(()) => return true,
                Err(Error::Unread(ReadError::Truncated { first_offset })) => first_offset,
                Err(Error::Unread(unread)) => return self.unread(&unread.to_string()),
                Err(unreadable) => return self.pause_claims(&unreadable.to_string()),
            };
            let snapshot_offset = self.replay.snapshot_offset;
            log::warn!(
                "event=journal.truncated cell={} next={} first={first_offset} \
                 snapshot={snapshot_offset}",
                self.cell,
                self.replay.next_offset
            );
            // The owner may have saved a snapshot since this one was loaded.
            if missing_after == Some(snapshot_offset) {
                self.replay.skip_removed(first_offset);
            } else {
                missing_after = Some(snapshot_offset);
                self.replay.has_snapshot = false;
            }
        }
    }

    /// Replays records from the next offset to the end of the journal.
    async fn read_records(&mut self) -> Result<(), Error> {
        let journal = self.node.deps.journal.clone();
        loop {
            let page = journal.read(self.cell, self.replay.next_offset).await?;
            for record in &page.records {
                self.replay.apply_record(record)?;
            }
            self.replay.next_offset = page.next_offset;
            if page.next_offset >= page.end_offset {
                return Ok(());
            }
        }
    }

    /// Forgets what was replayed if records are lost for it: a snapshot that was saved since may
    /// contain them.
    pub(super) fn drop_replay_with_losses(&mut self) {
        if self.replay.lost.is_some() {
            self.replay = JournalReplay::default();
        }
    }

    /// Tells operators which records are lost, and with them which jobs.
    pub(super) fn report_losses(&self, lost: &LostRecords) {
        let LostRecords { from, until, open_jobs, unknown_jobs } = lost;
        names::CELL_LOST_RECORDS.add(until - from, &[]);
        log::error!(
            "event=journal.records_lost cell={} from={from} until={until} in_doubt={} unknown={}",
            self.cell,
            open_jobs.len(),
            unknown_jobs.len()
        );
        for job in unknown_jobs.iter().take(MAX_LOGGED_JOBS) {
            log::error!("event=job.lost job={job}");
        }
    }

    /// Leaves the cell to other instances for a while.
    ///
    /// Guards against an instance of an earlier version that owns a cell whose journal a later one
    /// has written: without what it cannot decode it would lose jobs and run tasks twice.
    pub(super) fn pause_claims(&mut self, cause: &str) -> bool {
        log::error!(
            "event=journal.unreadable cell={} pause_ms={} cause={cause:?}",
            self.cell,
            UNREADABLE_PAUSE.as_millis(),
        );
        self.replay = JournalReplay::default();
        self.claims_paused_until = Some(self.node.deps.clock.now().after(UNREADABLE_PAUSE));
        false
    }

    /// Whether this instance does not claim the cell because it could not decode its journal.
    pub(super) fn are_claims_paused(&self) -> bool {
        let now = self.node.deps.clock.now();
        self.claims_paused_until.is_some_and(|until| now < until)
    }

    pub(super) fn unread(&self, cause: &str) -> bool {
        log::warn!("event=journal.unread cell={} cause={cause:?}", self.cell);
        false
    }
}
