//! Requests and records that wait at one instance for the next append to a partition.

use std::collections::VecDeque;
use std::rc::Rc;

use super::key::Request;
use super::machine::RequestId;
use super::policy::Policy;
use super::record::{AttemptId, Entry, Intent};
use crate::clock::Instant;

/// Identity of the process that writes, and the serial number of its last attempt.
#[derive(Debug)]
pub(super) struct WriterId {
    pub(super) name: String,
    pub(super) run: u64,
    pub(super) serial: u64,
}

/// How far the log has been read since a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// No read has begun since the request arrived.
    NotStarted,
    /// A read that began after the request arrived has not reached the log's end yet.
    Started,
    /// Every record that the log held when the request arrived has been read.
    Complete,
}

/// An unanswered request.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) request_id: RequestId,
    pub(super) request: Request,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) read_progress: ReadProgress,
}

/// A withdrawal or outcome to append to the log.
#[derive(Debug)]
pub(super) struct PendingRecord {
    pub(super) entry: Entry,
    pub(super) since: Instant,
}

/// Records and requests for one batch.
pub(super) struct BatchContents {
    pub(super) pending: Vec<PendingRecord>,
    pub(super) intents: Vec<(AttemptId, WaitingRequest)>,
}

/// Waiting requests and pending records, each in order of arrival.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) waiting: VecDeque<WaitingRequest>,
    pending: VecDeque<PendingRecord>,
    policy: Rc<Policy>,
}

impl WriterId {
    pub(super) fn next_attempt(&mut self) -> AttemptId {
        self.serial += 1;
        AttemptId { run: self.run, serial: self.serial }
    }
}

impl WaitingRequest {
    fn intent(&self, attempt: AttemptId) -> Entry {
        let request = &self.request;
        Entry::Intent(Intent {
            attempt,
            key: request.key.clone(),
            created: request.created,
            fingerprint: request.fingerprint,
            domain: request.domain.clone(),
        })
    }

    /// Upper bound on the encoded size of the request's intent, in bytes.
    fn len(&self) -> usize {
        self.intent(AttemptId { run: 0, serial: 0 }).len()
    }
}

impl BatchContents {
    /// Entries of the batch. Withdrawals precede intents so that a retry in the same batch can win.
    pub(super) fn entries(&self) -> Vec<Entry> {
        let pending = self.pending.iter().map(|pending| pending.entry.clone());
        let intents = self.intents.iter().map(|(attempt, waiting)| waiting.intent(*attempt));
        pending.chain(intents).collect()
    }
}

impl Queue {
    pub(super) fn new(policy: Rc<Policy>) -> Self {
        Self { waiting: VecDeque::new(), pending: VecDeque::new(), policy }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.pending.is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= self.policy.max_waiting
    }

    /// Time at which the oldest request or record was queued.
    pub(super) fn oldest(&self) -> Option<Instant> {
        let request = self.waiting.front().map(|waiting| waiting.arrived);
        let record = self.pending.front().map(|pending| pending.since);
        request.into_iter().chain(record).min()
    }

    /// Time at which the next batch is to be appended; `None` while the queue is empty.
    pub(super) fn due(&self, now: Instant) -> Option<Instant> {
        let request = self.waiting.front().map(|waiting| waiting.arrived.after(self.policy.linger));
        let record =
            self.pending.front().map(|pending| pending.since.after(self.policy.outcome_delay));
        let due = request.into_iter().chain(record).min()?;
        Some(if self.is_full() { now } else { due })
    }

    /// Adds a record. Beyond `max_pending_records`, drops the oldest record; the outcome of its key
    /// then stays unknown to retries.
    pub(super) fn enqueue_record(&mut self, pending: PendingRecord) {
        self.pending.push_back(pending);
        self.trim_pending();
    }

    /// Puts back the records of a batch that was not confirmed in the log.
    pub(super) fn requeue(&mut self, pending: Vec<PendingRecord>) {
        for record in pending.into_iter().rev() {
            self.pending.push_front(record);
        }
        self.trim_pending();
    }

    fn trim_pending(&mut self) {
        let excess = self.pending.len().saturating_sub(self.policy.max_pending_records);
        self.pending.drain(..excess);
    }

    /// Marks the waiting requests when a read begins.
    pub(super) fn begin_read(&mut self) {
        for waiting in &mut self.waiting {
            if waiting.read_progress == ReadProgress::NotStarted {
                waiting.read_progress = ReadProgress::Started;
            }
        }
    }

    /// Marks the waiting requests when the log has been read to its end.
    pub(super) fn caught_up(&mut self) {
        for waiting in &mut self.waiting {
            if waiting.read_progress == ReadProgress::Started {
                waiting.read_progress = ReadProgress::Complete;
            }
        }
    }

    /// Takes the entries for one batch: as many as fit `max_batch_bytes`, but at least one.
    pub(super) fn take(&mut self, writer: &mut WriterId) -> BatchContents {
        let mut remaining = self.policy.max_batch_bytes;
        let mut contents = BatchContents { pending: Vec::new(), intents: Vec::new() };
        while let Some(pending) = self.pending.front() {
            let length = pending.entry.len();
            if length > remaining && !contents.pending.is_empty() {
                return contents;
            }
            remaining = remaining.saturating_sub(length);
            contents.pending.extend(self.pending.pop_front());
        }
        while let Some(waiting) = self.waiting.front() {
            let length = waiting.len();
            if length > remaining && !(contents.pending.is_empty() && contents.intents.is_empty()) {
                return contents;
            }
            remaining = remaining.saturating_sub(length);
            contents
                .intents
                .extend(self.waiting.pop_front().map(|waiting| (writer.next_attempt(), waiting)));
        }
        contents
    }
}
