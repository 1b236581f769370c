//! When to write the state into the stream again, so that retention never drops the only copy.

use std::time::Duration;

use super::reader::Reader;
use crate::clock::{Instant, Unix};
use crate::store::Offset;

/// Most records that an instance which starts has to apply after a snapshot.
const RECORDS: Offset = 1_000;
/// How long a snapshot that was appended may take to be read back before it is written again.
const READ_BACK: Duration = Duration::from_secs(10);

/// A snapshot that was read from the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Mark {
    /// First offset that it does not cover.
    pub(super) next: Offset,
    /// When it was written.
    pub(super) at: Unix,
}

/// Decides when this instance writes a snapshot.
#[derive(Debug, Default)]
pub(super) struct Compaction {
    due: Option<Instant>,
}

impl Compaction {
    /// Whether to write a snapshot now.
    ///
    /// An instance that sees the need first waits `delay`, which differs between instances, and
    /// drops the plan when another's snapshot arrives meanwhile. Two snapshots are harmless: they
    /// change no state.
    pub(super) fn is_due(
        &mut self,
        now: Instant,
        unix: Unix,
        reader: &Reader,
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
        self.due = Some(now.after(READ_BACK));
        true
    }
}

/// Whether an instance that starts could soon find no way to the state in the stream.
fn is_needed(unix: Unix, reader: &Reader, interval: Duration) -> bool {
    let Some(state) = reader.state() else { return false };
    if !reader.covers(reader.end()) {
        return false;
    }
    let anchor = reader.mark().map_or(0, |mark| mark.next);
    let (oldest, end) = (reader.oldest(), reader.end());
    if anchor < oldest || state.next.saturating_sub(anchor) >= RECORDS {
        return true;
    }
    // Retention by count: the snapshot has come into the older half of what is kept.
    if oldest > 0 && anchor - oldest < end.saturating_sub(oldest) / 2 {
        return true;
    }
    // Retention by time: whatever its length, it is far longer than the interval.
    let written = match reader.mark() {
        Some(mark) => Some(mark.at),
        None => state.history.front().map(|entry| entry.revision.at),
    };
    written.is_some_and(|at| unix.since(at) >= interval)
}
