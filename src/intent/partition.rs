//! State of the idempotency keys of one stream, derived from its records alone. Every instance
//! that reads the same records derives the same winners.

use std::rc::Rc;

use derive_more::Display;

use super::key::Key;
use super::key_table::KeyTable;
use super::policy::Policy;
use super::record::{AttemptId, Batch, Entry, ExecutionOutcome, Intent};
use super::wire;
use super::withdrawn_attempts::WithdrawnAttempts;
use crate::clock::Unix;
use crate::domain;
use crate::store::{Offset, Page};

/// The keys of one stream.
///
/// A new key is admitted only if no record of it can be missing. `incomplete_until` guarantees
/// that: every intent that is missing here, because the log dropped it, it could not be decoded or
/// memory ran short, has a creation time of at most `incomplete_until`.
#[derive(Debug)]
pub struct Partition {
    number: u16,
    policy: Rc<Policy>,
    next_offset: Offset,
    /// Every record below this offset was applied or is covered by `incomplete_until`.
    accounted_until: Offset,
    incomplete_until: Unix,
    latest_created: Unix,
    keys: KeyTable,
    withdrawn: WithdrawnAttempts,
}

/// State of a key that a request has won.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("attempt {attempt} of {writer}: {progress}")]
pub struct KeyState {
    /// The request that won the key.
    pub attempt: AttemptId,
    /// Name of the instance that wrote the attempt.
    pub writer: String,
    /// Fingerprint of the work; `None` if only the outcome was read.
    pub fingerprint: Option<u64>,
    /// Failure domain that takes the job.
    pub domain: Option<domain::Name>,
    /// Whether the outcome is recorded.
    pub progress: Progress,
}

/// Progress of a key that a request has won.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Progress {
    /// No outcome is recorded: the work may be running, may have run or may never have started.
    #[display("outcome unknown")]
    Unknown,
    /// The outcome is recorded.
    #[display("outcome recorded")]
    Done(ExecutionOutcome),
}

/// Result of applying an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentResult {
    /// The attempt.
    pub attempt: AttemptId,
    /// Whether it won its key.
    pub status: IntentStatus,
}

/// Whether an intent won its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentStatus {
    /// It is the first intent for its key in log order.
    Won,
    /// Another attempt holds the key, or this attempt was withdrawn before.
    Lost,
    /// Earlier records of the key may be missing.
    Expired,
}

/// Result of applying a page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedPage {
    /// Identities of the page's batches.
    pub batches: Vec<AttemptId>,
    /// Result of each intent.
    pub intents: Vec<IntentResult>,
}

impl AppliedPage {
    /// Status of an intent of this page.
    pub(super) fn status(&self, attempt: AttemptId) -> IntentStatus {
        let intent = self.intents.iter().find(|intent| intent.attempt == attempt);
        intent.map_or(IntentStatus::Lost, |intent| intent.status)
    }
}

impl KeyState {
    /// Whether the key's outcome is recorded.
    pub fn is_done(&self) -> bool {
        matches!(self.progress, Progress::Done(_))
    }
}

/// A page that cannot be applied.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// The page does not start at the requested offset, or skips an offset.
    #[display("step=intent.apply cause=\"page starts at {found} instead of {expected}\"")]
    UnexpectedOffset {
        /// Expected offset.
        expected: Offset,
        /// Offset in the page.
        found: Offset,
    },
    /// The page belongs to another stream.
    #[display("step=intent.apply cause=\"page of partition {_0}\"")]
    WrongPartition(#[error(not(source))] u16),
    /// The log ends before the offset up to which it was read, so it has lost records.
    #[display("step=intent.apply cause=\"the log ends at {_0}, before the offset already read\"")]
    Truncated(#[error(not(source))] Offset),
}

/// A record of a page; `batch` is `None` if it could not be decoded.
struct PageRecord {
    offset: Offset,
    batch: Option<Batch>,
}

impl Partition {
    /// Creates a partition that has read nothing.
    pub fn new(number: u16, policy: Rc<Policy>) -> Self {
        Self {
            number,
            withdrawn: WithdrawnAttempts::new(policy.max_withdrawn),
            policy,
            next_offset: 0,
            accounted_until: 0,
            incomplete_until: Unix::default(),
            latest_created: Unix::default(),
            keys: KeyTable::default(),
        }
    }

    /// Name of the partition's stream in the log.
    pub fn stream_name(number: u16) -> String {
        format!("intent-{number:02}")
    }

    /// Offset to read from next.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Creation time up to which records of keys may be missing here.
    pub fn incomplete_until(&self) -> Unix {
        self.incomplete_until
    }

    /// Upper bound on the creation time of every intent below [`next_offset`](Self::next_offset),
    /// including missing ones.
    pub fn latest_created(&self) -> Unix {
        self.latest_created.max(self.incomplete_until)
    }

    /// Number of keys in memory.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.keys.len() == 0
    }

    /// Estimated memory use of the keys in bytes, limited by [`Policy::max_partition_bytes`].
    pub fn bytes(&self) -> usize {
        self.keys.bytes()
    }

    /// Whether no record of a key created at `created` can be missing here.
    pub fn admits(&self, created: Unix) -> bool {
        created > self.incomplete_until
    }

    /// Whether an attempt holds `key`.
    pub fn is_held(&self, key: &Key) -> bool {
        self.keys.holder(key).is_some()
    }

    /// State of `key`; `None` if no attempt holds it.
    pub fn state(&self, key: &Key) -> Option<KeyState> {
        let record = self.keys.get(key)?;
        let attempt = record.holder?;
        let progress = record.outcome.clone().map_or(Progress::Unknown, Progress::Done);
        Some(KeyState {
            attempt,
            writer: record.writer.to_string(),
            fingerprint: record.fingerprint,
            domain: record.domain.clone(),
            progress,
        })
    }

    /// Skips the records before `offset`, as if the log had dropped them.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Applies a page read from [`next_offset`](Self::next_offset) and returns the result of each
    /// intent in it.
    ///
    /// `now` bounds the creation times of missing records if no later record does.
    ///
    /// # Errors
    ///
    /// Fails if the page does not continue where the last one ended; nothing of it is applied then.
    pub fn apply(&mut self, page: &Page, now: Unix) -> Result<AppliedPage, Error> {
        if page.end < self.next_offset {
            self.reset(now);
            return Err(Error::Truncated(page.end));
        }
        let records = self.decode(page)?;
        if page.oldest > self.next_offset {
            self.next_offset = page.oldest;
        }
        self.account_for_gap(self.next_offset, &records, self.dropped_until(page.oldest, now));
        let mut applied = AppliedPage::default();
        for (index, record) in records.iter().enumerate() {
            self.next_offset = record.offset + 1;
            match &record.batch {
                Some(batch) => self.apply_batch(batch, &mut applied),
                // An undecodable record may contain any key, so it counts as missing.
                None => self.account_for_gap(
                    self.next_offset,
                    &records[index + 1..],
                    self.latest_creation(now),
                ),
            }
            self.accounted_until = self.next_offset;
        }
        self.evict(now);
        Ok(applied)
    }

    /// Decodes a page and checks that it continues where the last one ended.
    fn decode(&self, page: &Page) -> Result<Vec<PageRecord>, Error> {
        let first = self.next_offset.max(page.oldest);
        let mut records = Vec::with_capacity(page.records.len());
        for (expected, record) in (first..).zip(&page.records) {
            if record.offset != expected {
                return Err(Error::UnexpectedOffset { expected, found: record.offset });
            }
            let batch = wire::decode(&record.payload).ok();
            if let Some(foreign) = batch.as_ref().filter(|batch| batch.partition != self.number) {
                return Err(Error::WrongPartition(foreign.partition));
            }
            records.push(PageRecord { offset: record.offset, batch });
        }
        Ok(records)
    }

    /// Raises `incomplete_until` to cover the missing records between `accounted_until` and `end`.
    ///
    /// Otherwise a key whose record the log has dropped would look new, and its work would run
    /// again. A later batch whose writer had read all of the missing records bounds their creation
    /// times by its `latest_created`; if the page has no such batch, `fallback` is the bound.
    fn account_for_gap(&mut self, end: Offset, later: &[PageRecord], fallback: Unix) {
        if end <= self.accounted_until {
            return;
        }
        let bound = later
            .iter()
            .filter_map(|record| record.batch.as_ref())
            .filter(|batch| batch.read_until >= end)
            .map(|batch| batch.latest_created)
            .min();
        self.incomplete_until = self.incomplete_until.max(bound.unwrap_or(fallback));
        self.accounted_until = end;
    }

    /// Latest creation time that a record written until `now` can contain, allowing for clock skew.
    fn latest_creation(&self, now: Unix) -> Unix {
        now.after(self.policy.max_clock_skew)
    }

    /// Upper bound on the creation time of dropped records, for use if no later batch bounds it.
    ///
    /// The log's retention limits it only if the log dropped the records, not if `skip_to` did.
    fn dropped_until(&self, oldest: Offset, now: Unix) -> Unix {
        let latest = self.latest_creation(now);
        if self.next_offset > oldest {
            return latest;
        }
        let kept = crate::clock::millis(self.policy.retention);
        Unix::from_millis(latest.as_millis().saturating_sub(kept))
    }

    /// Restarts reading after the log has lost records. Keys already read are kept.
    fn reset(&mut self, now: Unix) {
        self.next_offset = 0;
        self.accounted_until = 0;
        self.incomplete_until = self.incomplete_until.max(self.latest_creation(now));
    }

    fn apply_batch(&mut self, batch: &Batch, applied: &mut AppliedPage) {
        applied.batches.push(batch.id);
        let writer: Rc<str> = batch.writer.as_str().into();
        for entry in &batch.entries {
            match entry {
                Entry::Intent(intent) => {
                    applied.intents.push(self.apply_intent(intent, &writer));
                }
                Entry::Withdrawal { attempt, key } => self.apply_withdrawal(*attempt, key),
                // Only the attempt that ran has an outcome, so it counts even if another attempt
                // holds the key here.
                Entry::Outcome { attempt, key, created, outcome } => {
                    self.keys.record_outcome(*attempt, key, *created, outcome, &writer);
                }
            }
        }
    }

    fn apply_intent(&mut self, intent: &Intent, writer: &Rc<str>) -> IntentResult {
        self.latest_created = self.latest_created.max(intent.created);
        let status = self.intent_status(intent);
        match status {
            IntentStatus::Won => self.keys.hold(intent, writer),
            IntentStatus::Lost | IntentStatus::Expired => {
                self.keys.record_creation_time(&intent.key, intent.created, writer);
            }
        }
        IntentResult { attempt: intent.attempt, status }
    }

    fn intent_status(&self, intent: &Intent) -> IntentStatus {
        let held = self.keys.holder(&intent.key).is_some();
        if held || self.withdrawn.contains(intent.attempt) {
            IntentStatus::Lost
        } else if self.admits(intent.created) {
            IntentStatus::Won
        } else {
            IntentStatus::Expired
        }
    }

    /// Applies a withdrawal, which may precede its intent in the log: if the append timed out while
    /// the write was delayed, the intent is written later and must not block the key.
    fn apply_withdrawal(&mut self, attempt: AttemptId, key: &Key) {
        self.withdrawn.insert(attempt);
        self.keys.release(attempt, key);
    }

    /// Removes keys older than `max_key_age`, and the oldest keys while memory is over its limit.
    ///
    /// After a held key is removed, keys created up to its creation time are no longer admitted.
    fn evict(&mut self, now: Unix) {
        while self.is_full() || self.is_oldest_expired(now) {
            let Some(record) = self.keys.remove_oldest() else { return };
            if record.holder.is_some() {
                self.incomplete_until = self.incomplete_until.max(record.created);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.keys.bytes() > self.policy.max_partition_bytes
    }

    fn is_oldest_expired(&self, now: Unix) -> bool {
        let max_age = self.policy.max_key_age + self.policy.max_clock_skew;
        self.keys.oldest().is_some_and(|record| now.since(record.created) > max_age)
    }
}
