//! The rule by which every instance applies the settings stream.

use std::collections::VecDeque;

use super::change::{self, InvalidChange};
use super::publish::{self, Publication};
use super::value::{Revision, Value, Version};
use crate::store::Offset;

/// How many accepted changes a state remembers by id.
pub const MAX_HISTORY: usize = 32;

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    /// Identity that its publisher drew.
    pub id: publish::Id,
    /// Who, when and which version.
    pub revision: Revision,
}

/// The settings after a prefix of the stream: a pure function of that prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// The settings.
    pub value: Value,
    /// Length of the prefix: the first offset that is not applied.
    pub next: Offset,
    /// The latest accepted changes, oldest first.
    ///
    /// They travel with the state, so that an instance which received the state from a peer can
    /// still tell whether a change in that prefix was accepted.
    pub history: VecDeque<HistoryEntry>,
}

/// What became of a change at its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// It made this version.
    Accepted(Version),
    /// Its base was not the current version.
    Superseded {
        /// Who made the version that it wanted to make, unless that was too long ago.
        winner: Option<Revision>,
    },
    /// It breaks a bound.
    Invalid(InvalidChange),
}

impl State {
    /// Applies the change at offset `next`.
    ///
    /// A change is accepted when its base is the current version. Two operators who start from the
    /// same version thus get one winner, the first in the stream, at every instance alike. The
    /// same holds for one change appended twice by a publisher that lost the first answer.
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
        publication.change.carry_out(&mut self.value, &revision);
        self.value.version = version;
        self.remember(HistoryEntry { id: publication.id, revision });
        ApplyResult::Accepted(version)
    }

    /// Passes over the record at offset `next`, which is no change.
    pub fn skip(&mut self) {
        self.next += 1;
    }

    /// Checks a change against the bounds.
    ///
    /// # Errors
    ///
    /// Names the bound that the change breaks.
    pub fn check(&self, publication: &Publication) -> Result<(), InvalidChange> {
        change::check_name(&publication.by)?;
        publication.change.check(&self.value)
    }

    /// The accepted change with this identity, if it is among the latest.
    pub fn accepted(&self, id: publish::Id) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.id == id)
    }

    /// The change that made `version`, if it is among the latest.
    pub fn entry_for_version(&self, version: Version) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.revision.version == version)
    }

    fn remember(&mut self, entry: HistoryEntry) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(entry);
    }
}
