//! What waits at one instance for the next append of a partition.

use std::collections::VecDeque;
use std::rc::Rc;

use super::key::Request;
use super::machine::RequestId;
use super::policy::Policy;
use super::record::{AttemptId, Entry, Intent};
use crate::clock::Instant;

/// Identity of the process that writes.
#[derive(Debug)]
pub(super) struct Writer {
    pub(super) name: String,
    pub(super) run: u64,
    pub(super) serial: u64,
}

/// How much of the log a request knows to have been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Coverage {
    /// Nothing since it arrived.
    None,
    /// A read is under way that began after it arrived.
    Begun,
    /// All that the log held when it arrived.
    Whole,
}

/// A request that is not answered yet.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) request_id: RequestId,
    pub(super) request: Request,
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) coverage: Coverage,
}

/// A withdrawal or outcome that must reach the log some time.
#[derive(Debug)]
pub(super) struct Owed {
    pub(super) entry: Entry,
    pub(super) since: Instant,
}

/// What goes into one batch.
pub(super) struct Load {
    pub(super) owed: Vec<Owed>,
    pub(super) intents: Vec<(AttemptId, Waiting)>,
}

/// Requests and records in order of arrival.
#[derive(Debug)]
pub(super) struct Queue {
    pub(super) waiting: VecDeque<Waiting>,
    owed: VecDeque<Owed>,
    policy: Rc<Policy>,
}

impl Writer {
    pub(super) fn next(&mut self) -> AttemptId {
        self.serial += 1;
        AttemptId { run: self.run, serial: self.serial }
    }
}

impl Waiting {
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

    /// Upper estimate of its intent's size.
    fn len(&self) -> usize {
        self.intent(AttemptId { run: 0, serial: 0 }).len()
    }
}

impl Load {
    /// The batch's entries. Withdrawals go first, so that a retry in the same batch can win.
    pub(super) fn entries(&self) -> Vec<Entry> {
        let owed = self.owed.iter().map(|owed| owed.entry.clone());
        let intents = self.intents.iter().map(|(attempt, waiting)| waiting.intent(*attempt));
        owed.chain(intents).collect()
    }
}

impl Queue {
    pub(super) fn new(policy: Rc<Policy>) -> Self {
        Self { waiting: VecDeque::new(), owed: VecDeque::new(), policy }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.owed.is_empty()
    }

    pub(super) fn is_crowded(&self) -> bool {
        self.waiting.len() >= self.policy.max_waiting
    }

    /// When the oldest of all began to wait.
    pub(super) fn oldest(&self) -> Option<Instant> {
        let request = self.waiting.front().map(|waiting| waiting.arrived);
        let record = self.owed.front().map(|owed| owed.since);
        request.into_iter().chain(record).min()
    }

    /// When the next batch is to be appended.
    pub(super) fn due(&self, now: Instant) -> Option<Instant> {
        let request = self.waiting.front().map(|waiting| waiting.arrived.after(self.policy.linger));
        let record = self.owed.front().map(|owed| owed.since.after(self.policy.outcome_delay));
        let due = request.into_iter().chain(record).min()?;
        Some(if self.is_crowded() { now } else { due })
    }

    /// Adds a record; when too many are owed, the oldest is given up, whose key then stays unknown
    /// to retries.
    pub(super) fn owe(&mut self, owed: Owed) {
        self.owed.push_back(owed);
        self.trim_owed();
    }

    /// Puts records back whose batch did not reach the log.
    pub(super) fn owe_again(&mut self, owed: Vec<Owed>) {
        for record in owed.into_iter().rev() {
            self.owed.push_front(record);
        }
        self.trim_owed();
    }

    fn trim_owed(&mut self) {
        let excess = self.owed.len().saturating_sub(self.policy.max_pending_records);
        self.owed.drain(..excess);
    }

    /// Notes that a read begins.
    pub(super) fn begin_read(&mut self) {
        for waiting in &mut self.waiting {
            if waiting.coverage == Coverage::None {
                waiting.coverage = Coverage::Begun;
            }
        }
    }

    /// Notes that the log was read to its end.
    pub(super) fn caught_up(&mut self) {
        for waiting in &mut self.waiting {
            if waiting.coverage == Coverage::Begun {
                waiting.coverage = Coverage::Whole;
            }
        }
    }

    /// Takes as much as fits one batch, at least one entry.
    pub(super) fn take(&mut self, writer: &mut Writer) -> Load {
        let mut room = self.policy.max_batch_bytes;
        let mut load = Load { owed: Vec::new(), intents: Vec::new() };
        while let Some(owed) = self.owed.front() {
            let length = owed.entry.len();
            if length > room && !load.owed.is_empty() {
                return load;
            }
            room = room.saturating_sub(length);
            load.owed.extend(self.owed.pop_front());
        }
        while let Some(waiting) = self.waiting.front() {
            let length = waiting.len();
            if length > room && !(load.owed.is_empty() && load.intents.is_empty()) {
                return load;
            }
            room = room.saturating_sub(length);
            load.intents.extend(self.waiting.pop_front().map(|waiting| (writer.next(), waiting)));
        }
        load
    }
}
