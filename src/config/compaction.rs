//! Decides when to append a snapshot of the state to the stream, before the log's retention drops
//! the records that the state is built from.

use std::time::Duration;

use super::reader::StreamReader;
use crate::clock::{Instant, Unix};
use crate::store::Offset;

/// Maximum number of records that a starting instance has to apply after a snapshot.
const MAX_REPLAY_RECORDS: Offset = 1_000;
/// Time after which an appended snapshot that was not read back is written again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Position and time of a snapshot that was read from the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SnapshotInfo {
    /// First offset that the snapshot does not cover.
    pub(super) next: Offset,
    /// Time at which it was written.
    pub(super) at: Unix,
}

/// Decides when this instance writes a snapshot.
#[derive(Debug, Default)]
pub(super) struct Compaction {
    /// When to write the next snapshot; `None` while none is needed.
    due: Option<Instant>,
}

impl Compaction {
    /// Whether to write a snapshot now.
    ///
    /// Once a snapshot is needed, the instance waits for `delay`, which is random, so that another
    /// instance's snapshot may arrive first and make its own unnecessary. Two snapshots do no harm:
    /// a snapshot changes no state.
    pub(super) fn is_due(
        &mut self,
        now: Instant,
        unix: Unix,
        reader: &StreamReader,
        interval: Duration,
        delay: Duration,
    ) -> bool {
        if !is_needed(unix, reader, interval) {
            self.due = None;
            return false;
        }
        let due = *self.due.get_or_insert(now.after(delay));
        if now < due {
            return false;
        }
        self.due = Some(now.after(READ_BACK_TIMEOUT));
        true
    }
}

/// Whether a starting instance may soon be unable to rebuild the state from the stream, or would
/// have to apply too many records.
fn is_needed(unix: Unix, reader: &StreamReader, interval: Duration) -> bool {
    let Some(state) = reader.state() else { return false };
    if !reader.covers(reader.end()) {
        return false;
    }
    let replay_start = reader.latest_snapshot().map_or(0, |snapshot| snapshot.next);
    let (oldest, end) = (reader.oldest(), reader.end());
    if replay_start < oldest || state.next.saturating_sub(replay_start) >= MAX_REPLAY_RECORDS {
        return true;
    }
    // Retention by count: the snapshot lies in the older half of the records that the log keeps.
    if oldest > 0 && replay_start - oldest < end.saturating_sub(oldest) / 2 {
        return true;
    }
    // Retention by time: the interval is far shorter than any retention period.
    let written = match reader.latest_snapshot() {
        Some(snapshot) => Some(snapshot.at),
        None => state.history.front().map(|entry| entry.revision.at),
    };
    written.is_some_and(|at| unix.since(at) >= interval)
}
