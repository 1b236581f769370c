//! Log lines about a shortage of descriptors.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Minimum interval between two log lines about the begin of a shortage.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// A time in which connections are closed or refused for want of descriptors.
#[derive(Default)]
pub(super) struct Shortage {
    active: Cell<bool>,
    /// Whether the begin of the present shortage has been logged.
    logged: Cell<bool>,
    last_log: Cell<Option<Instant>>,
    /// Idle connections closed, and connections refused, since the last line about an end.
    closed: Cell<u64>,
    refused: Cell<u64>,
}

impl Shortage {
    /// Whether a shortage has begun and not ended.
    pub(super) const fn is_active(&self) -> bool {
        self.active.get()
    }

    /// Records that an idle connection was closed.
    pub(super) fn note_closed(&self, in_use: usize, limit: usize) {
        self.closed.set(self.closed.get() + 1);
        self.begin(in_use, limit);
    }

    /// Records that a connection was refused.
    pub(super) fn note_refused(&self, in_use: usize, limit: usize) {
        self.refused.set(self.refused.get() + 1);
        self.begin(in_use, limit);
    }

    fn begin(&self, in_use: usize, limit: usize) {
        self.active.set(true);
        if self.logged.get() {
            return;
        }
        let now = Instant::now();
        if self.last_log.get().is_some_and(|last| now - last < LOG_INTERVAL) {
            return;
        }
        self.last_log.set(Some(now));
        self.logged.set(true);
        log::warn!("event=descriptors.exhausted in_use={in_use} limit={limit}");
    }

    /// Ends the shortage. The line is left out if that about its begin was.
    pub(super) fn end(&self, in_use: usize, limit: usize) {
        self.active.set(false);
        if self.logged.replace(false) {
            let (closed, refused) = (self.closed.replace(0), self.refused.replace(0));
            log::info!(
                "event=descriptors.recovered in_use={in_use} limit={limit} closed={closed} \
                 refused={refused}"
            );
        }
    }
}
