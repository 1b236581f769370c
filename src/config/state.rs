//! State of the settings after a prefix of the stream, and how a change is applied to it.

use std::collections::VecDeque;

use super::change::{self, InvalidChange};
use super::publish::{self, Publication};
use super::value::{Revision, Value, Version};
use crate::store::Offset;

/// Number of accepted changes that a state keeps in its history.
pub const MAX_HISTORY: usize = 32;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// Identity of the change.
    pub id: publish::Id,
    /// The version that it created, with operator and time.
    pub revision: Revision,
}

/// The settings after a prefix of the stream, determined by that prefix alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The settings.
    pub value: Value,
    /// Length of the prefix: the first offset that is not applied.
    pub next: Offset,
    /// The latest accepted changes, oldest first.
    ///
    /// They are part of the state, so that an instance which received it from a peer can still find
    /// out whether a change in that prefix was accepted.
    pub history: VecDeque<HistoryEntry>,
}

/// Result of applying a change at its position in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The change created this version.
    Accepted(Version),
    /// The base of the change was not the current version.
    Superseded {
        /// Revision that the change on this base created; `None` if it is not in the history.
        winner: Option<Revision>,
    },
    /// The change breaks a bound.
    Invalid(InvalidChange),
}

impl State {
    /// Applies the change at offset `next`.
    ///
    /// A change is accepted if its base is the current version. Of two changes on the same base,
    /// the first in the stream is accepted at every instance and the second has no effect. This
    /// also covers a change that was appended twice because the first response was lost.
    pub fn apply(&mut self, publication: &Publication) -> ApplyResult {
        self.next += 1;
        if publication.base != self.value.version {
            let winner =
                self.entry_for_version(publication.base.next()).map(|entry| entry.revision.clone());
            return ApplyResult::Superseded { winner };
        }
        if let Err(invalid) = self.check(publication) {
            return ApplyResult::Invalid(invalid);
        }
        let version = self.value.version.next();
        let revision = Revision { by: publication.by.clone(), at: publication.at, version };
        publication.change.apply(&mut self.value, &revision);
        self.value.version = version;
        self.push_history(HistoryEntry { id: publication.id, revision });
        ApplyResult::Accepted(version)
    }

    /// Skips the record at offset `next`, which is not a change.
    pub fn skip(&mut self) {
        self.next += 1;
    }

    /// Checks a change against the bounds.
    ///
    /// # Errors
    ///
    /// Returns the bound that the change breaks.
    pub fn check(&self, publication: &Publication) -> Result<(), InvalidChange> {
        change::check_name(&publication.by)?;
        publication.change.check(&self.value)
    }

    /// Returns the accepted change with this identity, if it is in the history.
    pub fn accepted(&self, id: publish::Id) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.id == id)
    }

    /// Returns the change that created `version`, if it is in the history.
    pub fn entry_for_version(&self, version: Version) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.revision.version == version)
    }

    fn push_history(&mut self, entry: HistoryEntry) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(entry);
    }
}
