//! The snapshot from which the journal is replayed, and what is left where it cannot be used.

use derive_more::Display;

use super::Election;
use super::journal::UNREADABLE_PAUSE;
use crate::cell::dependencies::{JournalSnapshot, ReadError, SnapshotError};
use crate::clock::Instant;
use crate::telemetry::names;

/// Damage of the stored snapshot.
pub(super) struct Damage {
    cause: String,
    /// When this instance found it.
    found: Instant,
}

/// Where a substitute for the stored snapshot comes from.
#[derive(Clone, Copy, Debug, Display)]
enum Source {
    /// The memory of this process.
    #[display("memory")]
    Memory,
    /// The journal, from its first record on.
    #[display("journal")]
    Journal,
}

impl Election {
    /// Loads the snapshot from which the journal is replayed; `false` when the store does not answer,
    /// or when this instance leaves the cell to others.
    ///
    /// A snapshot that this version does not know is left to an instance that does. One that is
    /// damaged is of no use to any; guards against a cell that nobody owns for as long as it is
    /// stored, which is for ever, since only an owner replaces it.
    pub(super) async fn load_snapshot(&mut self) -> bool {
        let journal = self.node.deps.journal.clone();
        let error = match journal.snapshot(self.cell).await {
            Ok(snapshot) => match self.replay.load_snapshot(&snapshot) {
                Ok(()) => {
                    self.damage = None;
                    return true;
                }
                Err(unreadable) => SnapshotError::Unsupported(unreadable.to_string()),
            },
            Err(SnapshotError::Unread(cause)) => return self.unread(&cause),
            Err(error) => error,
        };
        let cause = error.to_string();
        match self.load_substitute(&cause).await {
            Ok(true) => return true,
            Ok(false) => {}
            Err(unread) => return self.unread(&unread.to_string()),
        }
        if matches!(error, SnapshotError::Damaged(_)) && self.is_lasting(&cause) {
            count("abandoned");
            log::error!("event=snapshot.abandoned cell={} cause={cause:?}", self.cell);
            return self.start_from(&JournalSnapshot::default());
        }
        count("paused");
        self.pause_claims(&cause)
    }

    /// Loads another snapshot from which the journal leads to the same state; `false` if there is
    /// none.
    async fn load_substitute(&mut self, cause: &str) -> Result<bool, ReadError> {
        let known = self.node.deps.journal.known_snapshot(self.cell);
        let known = known.map(|snapshot| (Source::Memory, snapshot));
        // Before the first record there is no state.
        let beginning = (Source::Journal, JournalSnapshot::default());
        for (source, snapshot) in known.into_iter().chain([beginning]) {
            let is_usable = self.is_retained(snapshot.offset).await? && self.start_from(&snapshot);
            if is_usable {
                count("substituted");
                let (cell, offset) = (self.cell, snapshot.offset);
                log::error!(
                    "event=snapshot.substituted cell={cell} source={source} offset={offset} \
                     cause={cause:?}"
                );
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Starts the replay from a snapshot in place of the stored one; `false` if it cannot be decoded.
    fn start_from(&mut self, snapshot: &JournalSnapshot) -> bool {
        let is_loaded = self.replay.load_snapshot(snapshot).is_ok();
        self.replay.is_substitute = is_loaded;
        is_loaded
    }

    /// Whether the journal still has all records from `offset` on.
    async fn is_retained(&self, offset: u64) -> Result<bool, ReadError> {
        match self.node.deps.journal.read(self.cell, offset).await {
            Ok(_) => Ok(true),
            Err(ReadError::Truncated { .. }) => Ok(false),
            Err(failed) => Err(failed),
        }
    }

    /// Whether the same damage was found a pause ago, in which no instance that has the state in
    /// memory has taken the cell over and saved another snapshot.
    fn is_lasting(&mut self, cause: &str) -> bool {
        let now = self.node.deps.clock.now();
        match &self.damage {
            Some(damage) if damage.cause == cause => now.since(damage.found) >= UNREADABLE_PAUSE,
            _ => {
                self.damage = Some(Damage { cause: cause.to_owned(), found: now });
                false
            }
        }
    }
}

fn count(action: &'static str) {
    names::CELL_UNUSABLE_SNAPSHOTS.increment(&[("action", action)]);
}
