//! Batches that were sent to the log and not yet read back.

use super::queue::{BatchContents, PendingRecord, WaitingRequest};
use super::record::AttemptId;
use crate::clock::Instant;
use crate::store::Offset;

/// A batch that was sent to the log and not yet read back.
#[derive(Debug)]
pub(super) struct InFlightBatch {
    /// Identity of the append.
    pub(super) id: AttemptId,
    /// Unanswered requests, with the attempts made for them.
    pub(super) intents: Vec<(AttemptId, WaitingRequest)>,
    /// Withdrawals and outcomes, kept until the batch is known to be written.
    pub(super) pending: Vec<PendingRecord>,
    /// Deadline for reading the batch back; set when the append ends.
    pub(super) confirm_by: Option<Instant>,
    /// Offset in the append's response. Used for statistics only: a response can be wrong, so the
    /// records that are read back decide.
    pub(super) reported_offset: Option<Offset>,
}

impl InFlightBatch {
    pub(super) fn new(id: AttemptId, contents: BatchContents) -> Self {
        Self {
            id,
            intents: contents.intents,
            pending: contents.pending,
            confirm_by: None,
            reported_offset: None,
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<(AttemptId, WaitingRequest)> {
        let (expired, kept) = std::mem::take(&mut self.intents)
            .into_iter()
            .partition(|(_, waiting)| waiting.deadline <= now);
        self.intents = kept;
        expired
    }

    /// Earliest deadline of the batch and its requests.
    pub(super) fn next_wakeup(&self) -> Option<Instant> {
        let deadline = self.intents.iter().map(|(_, waiting)| waiting.deadline).min();
        deadline.into_iter().chain(self.confirm_by).min()
    }
}
