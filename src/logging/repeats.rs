//! Events that may come in large numbers, of which one line a second tells.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Minimum interval between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Counts events of one kind, and tells when a line about them is due.
///
/// ```
/// let repeats = oriolefork::logging::Repeats::default();
/// assert_eq!((repeats.due(), repeats.due()), (Some(1), None));
/// ```
#[derive(Debug, Default)]
pub struct Repeats {
    last: Cell<Option<Instant>>,
    unlogged: Cell<u64>,
}

impl Repeats {
    /// Counts an event; returns the number of events since the last line if a line is due.
    pub fn due(&self) -> Option<u64> {
        self.unlogged.set(self.unlogged.get() + 1);
        let now = Instant::now();
        if self.last.get().is_some_and(|last| now - last < INTERVAL) {
            return None;
        }
        self.last.set(Some(now));
        Some(self.unlogged.replace(0))
    }
}
