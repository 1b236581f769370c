//! What the records of one stream mean: the pure state that every reader builds alike.

use std::rc::Rc;

use derive_more::Display;

use super::key::Key;
use super::policy::Policy;
use super::record::{AttemptId, Batch, Entry, ExecutionOutcome, Intent};
use super::slots::Slots;
use super::wire;
use super::withdrawn::Withdrawn;
use crate::clock::Unix;
use crate::domain;
use crate::store::{Offset, Page};

/// The keys of one stream.
///
/// A key is admitted only when no record of it can be missing here. `incomplete_until` is what makes that
/// sure: every intent that this reader does not hold, because the log dropped it, because it could
/// not be decoded or because memory ran out, names a creation time of at most `incomplete_until`.
#[derive(Debug)]
pub struct Partition {
    number: u16,
    policy: Rc<Policy>,
    next_offset: Offset,
    accounted_until: Offset,
    incomplete_until: Unix,
    latest_created: Unix,
    slots: Slots,
    withdrawn: Withdrawn,
}

/// The state of a key that a request has won.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("attempt {attempt} of {writer}: {progress}")]
pub struct KeyState {
    /// The request that won the key.
    pub attempt: AttemptId,
    /// Name of the instance that tried it.
    pub writer: String,
    /// Fingerprint of its work; `None` when only its outcome was read.
    pub fingerprint: Option<u64>,
    /// Failure domain that takes the job.
    pub domain: Option<domain::Name>,
    /// How far it is known to have come.
    pub progress: Progress,
}

/// How far a won key is known to have come.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Progress {
    /// Its try may be under way, may have run or may never have started; no outcome is recorded.
    #[display("outcome unknown")]
    Unknown,
    /// Its outcome is recorded.
    #[display("outcome recorded")]
    Done(ExecutionOutcome),
}

/// What became of an intent at its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IntentResult {
    /// The attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub status: IntentStatus,
}

/// What became of an intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntentStatus {
    /// It is the first for its key.
    Won,
    /// Another attempt holds the key, or this one was withdrawn before.
    Lost,
    /// Records of its key may be missing.
    Expired,
}

/// What a page has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedPage {
    /// Identities of its batches.
    pub batches: Vec<AttemptId>,
    /// What became of each intent.
    pub intents: Vec<IntentResult>,
}

impl AppliedPage {
    /// What became of an intent of this page.
    pub(super) fn status(&self, attempt: AttemptId) -> IntentStatus {
        let intent = self.intents.iter().find(|intent| intent.attempt == attempt);
        intent.map_or(IntentStatus::Lost, |intent| intent.status)
    }
}

impl KeyState {
    /// Whether its outcome is recorded.
    pub fn is_done(&self) -> bool {
        matches!(self.progress, Progress::Done(_))
    }
}

/// A page that cannot be applied.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// The page holds other records than those asked for.
    #[display("step=intent.apply cause=\"page starts at {found} instead of {expected}\"")]
    UnexpectedOffset {
        /// Offset that was due.
        expected: Offset,
        /// Offset that came.
        found: Offset,
    },
    /// The page belongs to another stream.
    #[display("step=intent.apply cause=\"page of partition {_0}\"")]
    WrongPartition(#[error(not(source))] u16),
    /// The log ends before a record that was read from it.
    #[display("step=intent.apply cause=\"the log ends at {_0}, before what was read\"")]
    Truncated(#[error(not(source))] Offset),
}

/// One record of a page, decoded or not.
struct Line {
    offset: Offset,
    batch: Option<Batch>,
}

impl Partition {
    /// Starts with nothing read.
    pub fn new(number: u16, policy: Rc<Policy>) -> Self {
        Self {
            number,
            withdrawn: Withdrawn::new(policy.max_withdrawn),
            policy,
            next_offset: 0,
            accounted_until: 0,
            incomplete_until: Unix::default(),
            latest_created: Unix::default(),
            slots: Slots::default(),
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

    /// Creation time up to which keys that are not held may have had a record.
    pub fn incomplete_until(&self) -> Unix {
        self.incomplete_until
    }

    /// Latest creation time of any intent below [`next_offset`](Self::next_offset).
    pub fn latest_created(&self) -> Unix {
        self.latest_created.max(self.incomplete_until)
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.slots.len() == 0
    }

    /// Memory that the keys take, in bytes, as counted against the policy.
    pub fn bytes(&self) -> usize {
        self.slots.bytes()
    }

    /// Whether every record of a key of that age is known here.
    pub fn admits(&self, created: Unix) -> bool {
        created > self.incomplete_until
    }

    /// Whether an attempt holds `key`.
    pub fn is_held(&self, key: &Key) -> bool {
        self.slots.holder(key).is_some()
    }

    /// The state of `key`; `None` when no attempt holds it.
    pub fn state(&self, key: &Key) -> Option<KeyState> {
        let slot = self.slots.get(key)?;
        let attempt = slot.holder?;
        let progress = slot.outcome.clone().map_or(Progress::Unknown, Progress::Done);
        Some(KeyState {
            attempt,
            writer: slot.writer.to_string(),
            fingerprint: slot.fingerprint,
            domain: slot.domain.clone(),
            progress,
        })
    }

    /// Leaves out the records before `offset`, as if the log had dropped them.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next_offset = self.next_offset.max(offset);
    }

    /// Applies a page read from [`next_offset`](Self::next_offset) and tells what became of each intent in it.
    ///
    /// `now` bounds the creation times of records that are missing without a witness.
    ///
    /// # Errors
    ///
    /// Fails on a page that is not the continuation of what was read; nothing of it is applied.
    pub fn apply(&mut self, page: &Page, now: Unix) -> Result<AppliedPage, Error> {
        if page.end < self.next_offset {
            self.rewind(now);
            return Err(Error::Truncated(page.end));
        }
        let lines = self.decode(page)?;
        if page.oldest > self.next_offset {
            self.next_offset = page.oldest;
        }
        self.close_gap(self.next_offset, &lines, self.dropped_floor(page.oldest, now));
        let mut applied = AppliedPage::default();
        for (index, line) in lines.iter().enumerate() {
            self.next_offset = line.offset + 1;
            match &line.batch {
                Some(batch) => self.apply_batch(batch, &mut applied),
                // An unreadable record may hold any key, so it counts as missing.
                None => self.close_gap(self.next_offset, &lines[index + 1..], self.latest(now)),
            }
            self.accounted_until = self.next_offset;
        }
        self.evict(now);
        Ok(applied)
    }

    /// Decodes a page and checks that it continues what was read.
    fn decode(&self, page: &Page) -> Result<Vec<Line>, Error> {
        let first = self.next_offset.max(page.oldest);
        let mut lines = Vec::with_capacity(page.records.len());
        for (expected, record) in (first..).zip(&page.records) {
            if record.offset != expected {
                return Err(Error::UnexpectedOffset { expected, found: record.offset });
            }
            let batch = wire::decode(&record.payload).ok();
            if let Some(crossed) = batch.as_ref().filter(|batch| batch.partition != self.number) {
                return Err(Error::WrongPartition(crossed.partition));
            }
            lines.push(Line { offset: record.offset, batch });
        }
        Ok(lines)
    }

    /// Accounts for the records between `known` and `end` that this reader will never see.
    ///
    /// Guards against a second run of a key whose record the log has dropped, which would show as
    /// a fresh key. A later writer that had taken account of all of them wrote the latest creation
    /// time among them into its record, so no missing intent is younger than that. Without such a
    /// witness `otherwise` bounds them.
    fn close_gap(&mut self, end: Offset, later: &[Line], otherwise: Unix) {
        if end <= self.accounted_until {
            return;
        }
        let witness = later
            .iter()
            .filter_map(|line| line.batch.as_ref())
            .filter(|batch| batch.read_until >= end)
            .map(|batch| batch.latest_created)
            .min();
        self.incomplete_until = self.incomplete_until.max(witness.unwrap_or(otherwise));
        self.accounted_until = end;
    }

    /// Latest creation time that a record written up to now can name.
    fn latest(&self, now: Unix) -> Unix {
        now.after(self.policy.max_clock_skew)
    }

    /// Latest creation time among records that were dropped, when no witness tells it.
    fn dropped_floor(&self, oldest: Offset, now: Unix) -> Unix {
        let latest = self.latest(now);
        if self.next_offset > oldest {
            return latest;
        }
        let kept = crate::clock::millis(self.policy.retention);
        Unix::from_millis(latest.as_millis().saturating_sub(kept))
    }

    /// Starts over on a log that lost records, keeping what was learnt from it.
    fn rewind(&mut self, now: Unix) {
        self.next_offset = 0;
        self.accounted_until = 0;
        self.incomplete_until = self.incomplete_until.max(self.latest(now));
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
                // Only the one try of a key has an outcome, so it counts whoever is held to have won.
                Entry::Outcome { attempt, key, created, outcome } => {
                    self.slots.conclude(*attempt, key, *created, outcome, &writer);
                }
            }
        }
    }

    fn apply_intent(&mut self, intent: &Intent, writer: &Rc<str>) -> IntentResult {
        self.latest_created = self.latest_created.max(intent.created);
        let status = self.judge(intent);
        match status {
            IntentStatus::Won => self.slots.hold(intent, writer),
            IntentStatus::Lost | IntentStatus::Expired => {
                self.slots.touch(&intent.key, intent.created, writer);
            }
        }
        IntentResult { attempt: intent.attempt, status }
    }

    fn judge(&self, intent: &Intent) -> IntentStatus {
        let held = self.slots.holder(&intent.key).is_some();
        if held || self.withdrawn.contains(intent.attempt) {
            IntentStatus::Lost
        } else if self.admits(intent.created) {
            IntentStatus::Won
        } else {
            IntentStatus::Expired
        }
    }

    /// A withdrawal counts wherever it stands: its intent may reach the log only later, when the
    /// append's answer was lost while the write was still on its way, and must not block the key.
    fn apply_withdrawal(&mut self, attempt: AttemptId, key: &Key) {
        self.withdrawn.insert(attempt);
        self.slots.free(attempt, key);
    }

    /// Forgets keys that are past their window, and the oldest ones while memory is short.
    ///
    /// Once a key that was won is forgotten, no older key is admitted any more.
    fn evict(&mut self, now: Unix) {
        while self.is_crowded() || self.is_oldest_past(now) {
            let Some(slot) = self.slots.forget_oldest() else { return };
            if slot.holder.is_some() {
                self.incomplete_until = self.incomplete_until.max(slot.created);
            }
        }
    }

    fn is_crowded(&self) -> bool {
        self.slots.bytes() > self.policy.max_partition_bytes
    }

    fn is_oldest_past(&self, now: Unix) -> bool {
        let window = self.policy.max_key_age + self.policy.max_clock_skew;
        self.slots.oldest().is_some_and(|slot| now.since(slot.created) > window)
    }
}
