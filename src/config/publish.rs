//! Changes on their way into the stream, and what became of them.

use std::collections::VecDeque;

use derive_more::Display;

use super::change::{Change, InvalidChange};
use super::state::{ApplyResult, HistoryEntry, State};
use super::value::{Revision, Version};
use crate::clock::{Instant, Unix};
use crate::store;

/// Most changes of one instance that wait for their place in the log.
const PENDING: usize = 64;
/// How many settled changes an instance remembers beside those in the state's history.
const SETTLED: usize = 256;

/// Identity that a publisher draws for a change, by which its fate can be asked for later.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:032x}")]
pub struct Id(u128);

impl Id {
    /// Rebuilds an identity from its number.
    pub const fn from_raw(raw: u128) -> Self {
        Self(raw)
    }

    /// The identity's number.
    pub const fn raw(self) -> u128 {
        self.0
    }

    /// Draws an identity.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Reads the form that `Display` writes; `None` when `text` is not such a form.
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

/// A change as it stands in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Identity of the change.
    pub id: Id,
    /// Version it is based on.
    pub base: Version,
    /// The operator.
    pub by: String,
    /// When the operator's instance took it.
    pub at: Unix,
    /// What changes.
    pub change: Change,
}

/// What became of a change.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum PublishOutcome {
    /// It is accepted: its place in the log is known and nothing can undo it.
    #[display("accepted as version {_0}")]
    Accepted(Version),
    /// Another change came first; this one has no effect.
    #[display("not applied: {} came first", describe(winner.as_ref()))]
    Superseded {
        /// Who came first, unless that was too long ago.
        winner: Option<Revision>,
    },
    /// The base given is not a version that this instance knows; nothing was sent.
    #[display("not applied: the settings are at version {current}")]
    BaseMismatch {
        /// The current version.
        current: Version,
    },
    /// It breaks a bound; it has no effect.
    #[display("not applied: {_0}")]
    Invalid(InvalidChange),
    /// It surely was not written; it has no effect.
    #[display("not applied: the log could not be written")]
    NotWritten,
    /// This instance does not know the settings in force yet; nothing was sent.
    #[display("not applied: this instance has not read the settings yet")]
    NotReady,
    /// Too many changes wait at this instance; nothing was sent.
    #[display("not applied: too many changes are under way here")]
    Busy,
    /// It may take effect later or may have been lost; ask again by its id.
    #[display("unknown: ask again by id {_0}")]
    Unknown(Id),
}

/// A change that waits for its place in the stream.
#[derive(Debug)]
struct Wait {
    publication: Publication,
    deadline: Instant,
    /// When to append again after a failure; `None` while an append is under way or has succeeded.
    retry: Option<Instant>,
    /// Whether some append may have been written.
    maybe_written: bool,
}

/// The changes of this instance that wait, and those that were settled lately.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waits: Vec<Wait>,
    settled: VecDeque<(Id, PublishOutcome)>,
}

impl Queue {
    /// Whether no further change can wait.
    pub(super) fn is_full(&self) -> bool {
        self.waits.len() >= PENDING
    }

    /// Whether this change waits here.
    pub(super) fn is_waiting(&self, id: Id) -> bool {
        self.waits.iter().any(|wait| wait.publication.id == id)
    }

    /// Takes a change whose first append is under way.
    pub(super) fn push(&mut self, publication: Publication, deadline: Instant) {
        self.waits.push(Wait { publication, deadline, retry: None, maybe_written: false });
    }

    /// Notes that an append was answered.
    pub(super) fn appended(&mut self, id: Id) {
        if let Some(wait) = self.wait_mut(id) {
            wait.maybe_written = true;
        }
    }

    /// Notes that an append failed.
    ///
    /// A lost answer leaves open whether the record was written. Appending it again is safe: a
    /// change is accepted only on its base, which the first copy used up.
    pub(super) fn failed(&mut self, id: Id, outcome: store::Outcome, retry: Instant) {
        if let Some(wait) = self.wait_mut(id) {
            wait.maybe_written |= outcome == store::Outcome::Unknown;
            wait.retry = Some(retry);
        }
    }

    /// The changes to append again now.
    pub(super) fn due(&mut self, now: Instant) -> Vec<Publication> {
        let mut due = Vec::new();
        for wait in &mut self.waits {
            if wait.retry.is_some_and(|retry| retry <= now) && now < wait.deadline {
                wait.retry = None;
                due.push(wait.publication.clone());
            }
        }
        due
    }

    /// Takes the result on a change of ours that was read back.
    pub(super) fn read_back(
        &mut self,
        id: Id,
        result: &ApplyResult,
        state: &State,
    ) -> Option<(Id, PublishOutcome)> {
        let index = self.waits.iter().position(|wait| wait.publication.id == id)?;
        let base = self.waits[index].publication.base;
        let outcome = match result {
            ApplyResult::Accepted(version) => PublishOutcome::Accepted(*version),
            ApplyResult::Superseded { winner } => {
                // The first of two copies may have been accepted.
                let superseded = PublishOutcome::Superseded { winner: winner.clone() };
                known_outcome(state, id, base).unwrap_or(superseded)
            }
            ApplyResult::Invalid(invalid) => PublishOutcome::Invalid(*invalid),
        };
        Some(self.settle(index, outcome))
    }

    /// Settles every change whose fate follows from `state`, and gives up on those overdue.
    pub(super) fn sweep(
        &mut self,
        now: Instant,
        state: Option<&State>,
    ) -> Vec<(Id, PublishOutcome)> {
        let mut answers = Vec::new();
        let mut index = 0;
        while index < self.waits.len() {
            match self.waits[index].outcome(now, state) {
                Some(outcome) => answers.push(self.settle(index, outcome)),
                None => index += 1,
            }
        }
        answers
    }

    /// The fate of a change settled here lately.
    pub(super) fn settled(&self, id: Id) -> Option<&PublishOutcome> {
        self.settled.iter().rev().find(|(settled, _)| *settled == id).map(|(_, outcome)| outcome)
    }

    fn wait_mut(&mut self, id: Id) -> Option<&mut Wait> {
        self.waits.iter_mut().find(|wait| wait.publication.id == id)
    }

    fn settle(&mut self, index: usize, outcome: PublishOutcome) -> (Id, PublishOutcome) {
        let id = self.waits.swap_remove(index).publication.id;
        if self.settled.len() == SETTLED {
            self.settled.pop_front();
        }
        self.settled.push_back((id, outcome.clone()));
        (id, outcome)
    }
}

impl Wait {
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

/// The fate of a change as far as `state` tells it.
///
/// A copy that is written after `state` has passed the base can have no effect any more, so the
/// answer is final even while an append is still under way.
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
