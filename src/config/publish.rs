//! Changes that wait to be appended to the stream and read back, and their outcomes.

use std::collections::VecDeque;

use derive_more::Display;

use super::change::{Change, InvalidChange};
use super::state::{ApplyResult, HistoryEntry, State};
use super::value::{Revision, Version};
use crate::clock::{Instant, Unix};
use crate::store;

/// Maximum number of pending changes of one instance.
const MAX_PENDING: usize = 64;
/// Number of settled changes that an instance remembers beside those in the state's history.
const MAX_SETTLED: usize = 256;

/// Random identity of a change, by which its outcome can be queried later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct Id(u128);

impl Id {
    /// Creates an identity from its number.
    pub const fn from_raw(raw: u128) -> Self {
        Self(raw)
    }

    /// Returns the identity's number.
    pub const fn raw(self) -> u128 {
        self.0
    }

    /// Creates a random identity.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Parses the form that `Display` writes; returns `None` for any other text.
    ///
    /// ```
    /// use oriolefork::config::publish::Id;
    /// let id = Id::from_raw(255);
    /// assert_eq!(Id::parse(&id.to_string()), Some(id));
    /// assert_eq!(Id::parse("ff"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        (text.len() == 32).then(|| u128::from_str_radix(text, 16).ok().map(Self)).flatten()
    }
}

/// A change as it is recorded in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Identity of the change.
    pub id: Id,
    /// Version it is based on.
    pub base: Version,
    /// Name of the operator.
    pub by: String,
    /// Time at which an instance received it from the operator.
    pub at: Unix,
    /// The change itself.
    pub change: Change,
}

/// Outcome of publishing a change.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change was applied and created this version; this is final.
    #[display("accepted as version {_0}")]
    Accepted(Version),
    /// Another change on the same base was applied first; this one has no effect.
    #[display("not applied: {} came first", describe(winner.as_ref()))]
    Superseded {
        /// Revision that the other change created; `None` if it is no longer in the history.
        winner: Option<Revision>,
    },
    /// The base is not the current version of this instance, and the change that followed it is not
    /// in the history; nothing was sent.
    #[display("not applied: the settings are at version {current}")]
    BaseMismatch {
        /// The current version.
        current: Version,
    },
    /// The change breaks a bound; it has no effect.
    #[display("not applied: {_0}")]
    Invalid(InvalidChange),
    /// The change was certainly not written; it has no effect.
    #[display("not applied: the log could not be written")]
    NotWritten,
    /// This instance has no settings in force yet; nothing was sent.
    #[display("not applied: this instance has not read the settings yet")]
    NotReady,
    /// Too many changes are pending at this instance; nothing was sent.
    #[display("not applied: too many changes are under way here")]
    Busy,
    /// The change may still take effect or may be lost; its outcome can be queried by its id.
    #[display("unknown: ask again by id {_0}")]
    Unknown(Id),
}

/// A change that was not read back from the stream yet.
#[derive(Debug)]
struct PendingChange {
    publication: Publication,
    deadline: Instant,
    /// When to append again after a failure; `None` while an append is in progress or has
    /// succeeded.
    retry: Option<Instant>,
    /// Whether any append may have been written.
    maybe_written: bool,
}

/// The pending changes of this instance, and those settled recently.
#[derive(Debug, Default)]
pub(super) struct PublishQueue {
    pending: Vec<PendingChange>,
    settled: VecDeque<(Id, PublishOutcome)>,
}

impl PublishQueue {
    /// Whether no further change can be added.
    pub(super) fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING
    }

    /// Whether this change is pending.
    pub(super) fn is_pending(&self, id: Id) -> bool {
        self.pending.iter().any(|change| change.publication.id == id)
    }

    /// Adds a change whose first append is in progress.
    pub(super) fn push(&mut self, publication: Publication, deadline: Instant) {
        self.pending.push(PendingChange {
            publication,
            deadline,
            retry: None,
            maybe_written: false,
        });
    }

    /// Records that an append succeeded.
    pub(super) fn record_append(&mut self, id: Id) {
        if let Some(change) = self.pending_mut(id) {
            change.maybe_written = true;
        }
    }

    /// Records that an append failed, and when to retry it.
    ///
    /// If the response was lost, the record may have been written. Appending it again is safe: a
    /// change is accepted only while its base is the current version, and the first copy ends that.
    pub(super) fn record_failure(&mut self, id: Id, outcome: store::AppendOutcome, retry: Instant) {
        if let Some(change) = self.pending_mut(id) {
            change.maybe_written |= outcome == store::AppendOutcome::Unknown;
            change.retry = Some(retry);
        }
    }

    /// Returns the changes whose append is to be retried now.
    pub(super) fn take_due(&mut self, now: Instant) -> Vec<Publication> {
        let mut due = Vec::new();
        for change in &mut self.pending {
            if change.retry.is_some_and(|retry| retry <= now) && now < change.deadline {
                change.retry = None;
                due.push(change.publication.clone());
            }
        }
        due
    }

    /// Settles a pending change of this instance that was read back with `result`.
    pub(super) fn record_result(
        &mut self,
        id: Id,
        result: &ApplyResult,
        state: &State,
    ) -> Option<(Id, PublishOutcome)> {
        let index = self.pending.iter().position(|change| change.publication.id == id)?;
        let base = self.pending[index].publication.base;
        let outcome = match result {
            ApplyResult::Accepted(version) => PublishOutcome::Accepted(*version),
            ApplyResult::Superseded { winner } => {
                // This may be the second copy of a change whose first copy was accepted.
                let superseded = PublishOutcome::Superseded { winner: winner.clone() };
                known_outcome(state, id, base).unwrap_or(superseded)
            }
            ApplyResult::Invalid(invalid) => PublishOutcome::Invalid(*invalid),
        };
        Some(self.settle(index, outcome))
    }

    /// Settles every change whose outcome follows from `state` or whose deadline has passed.
    pub(super) fn settle_due(
        &mut self,
        now: Instant,
        state: Option<&State>,
    ) -> Vec<(Id, PublishOutcome)> {
        let mut answers = Vec::new();
        let mut index = 0;
        while index < self.pending.len() {
            match self.pending[index].outcome(now, state) {
                Some(outcome) => answers.push(self.settle(index, outcome)),
                None => index += 1,
            }
        }
        answers
    }

    /// Returns the outcome of a change that was settled here recently.
    pub(super) fn settled(&self, id: Id) -> Option<&PublishOutcome> {
        self.settled.iter().rev().find(|(settled, _)| *settled == id).map(|(_, outcome)| outcome)
    }

    fn pending_mut(&mut self, id: Id) -> Option<&mut PendingChange> {
        self.pending.iter_mut().find(|change| change.publication.id == id)
    }

    fn settle(&mut self, index: usize, outcome: PublishOutcome) -> (Id, PublishOutcome) {
        let id = self.pending.swap_remove(index).publication.id;
        if self.settled.len() == MAX_SETTLED {
            self.settled.pop_front();
        }
        self.settled.push_back((id, outcome.clone()));
        (id, outcome)
    }
}

impl PendingChange {
    fn outcome(&self, now: Instant, state: Option<&State>) -> Option<PublishOutcome> {
        let Publication { id, base, .. } = self.publication;
        if let Some(outcome) = state.and_then(|state| known_outcome(state, id, base)) {
            return Some(outcome);
        }
        if now < self.deadline {
            return None;
        }
        let in_flight = self.retry.is_none();
        let unknown = self.maybe_written || in_flight;
        Some(if unknown { PublishOutcome::Unknown(id) } else { PublishOutcome::NotWritten })
    }
}

/// Returns the outcome of a change if it follows from `state`.
///
/// A copy that is written after the version has moved past the base has no effect, so the outcome
/// is final even while an append is still in progress.
pub(super) fn known_outcome(state: &State, id: Id, base: Version) -> Option<PublishOutcome> {
    if let Some(HistoryEntry { revision, .. }) = state.accepted(id) {
        return Some(PublishOutcome::Accepted(revision.version));
    }
    let winner = state.entry_for_version(base.next())?.revision.clone();
    Some(PublishOutcome::Superseded { winner: Some(winner) })
}

fn describe(winner: Option<&Revision>) -> String {
    winner.map_or_else(|| "another change".to_owned(), ToString::to_string)
}
