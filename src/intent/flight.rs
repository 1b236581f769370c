//! A batch whose place in the log is not known yet.

use super::queue::{Load, Owed, Waiting};
use super::record::AttemptId;
use crate::clock::Instant;
use crate::store::Offset;

/// A batch whose place in the log is not known yet.
#[derive(Debug)]
pub(super) struct Flight {
    /// Identity of the append.
    pub(super) id: AttemptId,
    /// Requests that are not answered yet.
    pub(super) intents: Vec<(AttemptId, Waiting)>,
    /// Withdrawals and outcomes, kept until they are surely written.
    pub(super) owed: Vec<Owed>,
    /// Until when it is looked for; set once the append has ended.
    pub(super) settle_by: Option<Instant>,
    /// Offset that the append's answer named. The log's records decide, not this.
    pub(super) hint: Option<Offset>,
}

impl Flight {
    pub(super) fn new(id: AttemptId, load: Load) -> Self {
        Self { id, intents: load.intents, owed: load.owed, settle_by: None, hint: None }
    }

    /// Takes out the requests whose time is over.
    pub(super) fn expired(&mut self, now: Instant) -> Vec<(AttemptId, Waiting)> {
        let (over, kept) = std::mem::take(&mut self.intents)
            .into_iter()
            .partition(|(_, waiting)| waiting.deadline <= now);
        self.intents = kept;
        over
    }

    /// When something about it becomes overdue.
    pub(super) fn wake(&self) -> Option<Instant> {
        let deadline = self.intents.iter().map(|(_, waiting)| waiting.deadline).min();
        deadline.into_iter().chain(self.settle_by).min()
    }
}
