//! What the records of one stream mean: the pure state that every reader builds alike.

use std::rc::Rc;

use derive_more::Display;

use super::key::Key;
use super::policy::Policy;
use super::record::{Attempt, Batch, Entry, Intent, Outcome};
use super::slots::Slots;
use super::wire;
use super::withdrawn::Withdrawn;
use crate::clock::Unix;
use crate::domain;
use crate::store::{Offset, Page};

/// The keys of one stream.
///
/// A key is admitted only when no record of it can be missing here. `floor` is what makes that
/// sure: every intent that this reader does not hold, because the log dropped it, because it could
/// not be decoded or because memory ran out, names a creation time of at most `floor`.
#[derive(Debug)]
pub struct Partition {
    number: u16,
    policy: Rc<Policy>,
    next: Offset,
    known: Offset,
    floor: Unix,
    horizon: Unix,
    slots: Slots,
    withdrawn: Withdrawn,
}

/// The state of a key that a request has won.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("attempt {attempt} of {writer}: {progress}")]
pub struct State {
    /// The request that won the key.
    pub attempt: Attempt,
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
    Done(Outcome),
}

/// What became of an intent at its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judgement {
    /// The attempt.
    pub attempt: Attempt,
    /// What became of it.
    pub verdict: Verdict,
}

/// What became of an intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the first for its key.
    Won,
    /// Another attempt holds the key, or this one was withdrawn before.
    Lost,
    /// Records of its key may be missing.
    Expired,
}

/// What a page has brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Identities of its batches.
    pub batches: Vec<Attempt>,
    /// What became of each intent.
    pub judgements: Vec<Judgement>,
}

impl Applied {
    /// What became of an intent of this page.
    pub(super) fn verdict(&self, attempt: Attempt) -> Verdict {
        let judgement = self.judgements.iter().find(|judgement| judgement.attempt == attempt);
        judgement.map_or(Verdict::Lost, |judgement| judgement.verdict)
    }
}

impl State {
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
    Misplaced {
        /// Offset that was due.
        expected: Offset,
        /// Offset that came.
        found: Offset,
    },
    /// The page belongs to another stream.
    #[display("step=intent.apply cause=\"page of partition {_0}\"")]
    Crossed(#[error(not(source))] u16),
    /// The log ends before a record that was read from it.
    #[display("step=intent.apply cause=\"the log ends at {_0}, before what was read\"")]
    Rewound(#[error(not(source))] Offset),
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
            withdrawn: Withdrawn::new(policy.withdrawn),
            policy,
            next: 0,
            known: 0,
            floor: Unix::default(),
            horizon: Unix::default(),
            slots: Slots::default(),
        }
    }

    /// Name of the partition's stream in the log.
    pub fn stream(number: u16) -> String {
        format!("intent-{number:02}")
    }

    /// Offset to read from next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Creation time up to which keys that are not held may have had a record.
    pub fn floor(&self) -> Unix {
        self.floor
    }

    /// Latest creation time of any intent below [`next`](Self::next).
    pub fn horizon(&self) -> Unix {
        self.horizon.max(self.floor)
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
        created > self.floor
    }

    /// Whether an attempt holds `key`.
    pub fn is_held(&self, key: &Key) -> bool {
        self.slots.holder(key).is_some()
    }

    /// The state of `key`; `None` when no attempt holds it.
    pub fn state(&self, key: &Key) -> Option<State> {
        let slot = self.slots.get(key)?;
        let attempt = slot.holder?;
        let progress = slot.outcome.clone().map_or(Progress::Unknown, Progress::Done);
        Some(State {
            attempt,
            writer: slot.writer.to_string(),
            fingerprint: slot.fingerprint,
            domain: slot.domain.clone(),
            progress,
        })
    }

    /// Leaves out the records before `offset`, as if the log had dropped them.
    pub fn skip_to(&mut self, offset: Offset) {
        self.next = self.next.max(offset);
    }

    /// Applies a page read from [`next`](Self::next) and tells what became of each intent in it.
    ///
    /// `now` bounds the creation times of records that are missing without a witness.
    ///
    /// # Errors
    ///
    /// Fails on a page that is not the continuation of what was read; nothing of it is applied.
    pub fn apply(&mut self, page: &Page, now: Unix) -> Result<Applied, Error> {
        if page.end < self.next {
            self.rewind(now);
            return Err(Error::Rewound(page.end));
        }
        let lines = self.decode(page)?;
        if page.oldest > self.next {
            self.next = page.oldest;
        }
        self.close_gap(self.next, &lines, self.dropped_floor(page.oldest, now));
        let mut applied = Applied::default();
        for (index, line) in lines.iter().enumerate() {
            self.next = line.offset + 1;
            match &line.batch {
                Some(batch) => self.apply_batch(batch, &mut applied),
                // An unreadable record may hold any key, so it counts as missing.
                None => self.close_gap(self.next, &lines[index + 1..], self.latest(now)),
            }
            self.known = self.next;
        }
        self.evict(now);
        Ok(applied)
    }

    /// Decodes a page and checks that it continues what was read.
    fn decode(&self, page: &Page) -> Result<Vec<Line>, Error> {
        let first = self.next.max(page.oldest);
        let mut lines = Vec::with_capacity(page.records.len());
        for (expected, record) in (first..).zip(&page.records) {
            if record.offset != expected {
                return Err(Error::Misplaced { expected, found: record.offset });
            }
            let batch = wire::decode(&record.payload).ok();
            if let Some(crossed) = batch.as_ref().filter(|batch| batch.partition != self.number) {
                return Err(Error::Crossed(crossed.partition));
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
        if end <= self.known {
            return;
        }
        let witness = later
            .iter()
            .filter_map(|line| line.batch.as_ref())
            .filter(|batch| batch.seen >= end)
            .map(|batch| batch.horizon)
            .min();
        self.floor = self.floor.max(witness.unwrap_or(otherwise));
        self.known = end;
    }

    /// Latest creation time that a record written up to now can name.
    fn latest(&self, now: Unix) -> Unix {
        now.after(self.policy.skew)
    }

    /// Latest creation time among records that were dropped, when no witness tells it.
    fn dropped_floor(&self, oldest: Offset, now: Unix) -> Unix {
        let latest = self.latest(now);
        if self.next > oldest {
            return latest;
        }
        let kept = crate::clock::millis(self.policy.retention);
        Unix::from_millis(latest.as_millis().saturating_sub(kept))
    }

    /// Starts over on a log that lost records, keeping what was learnt from it.
    fn rewind(&mut self, now: Unix) {
        self.next = 0;
        self.known = 0;
        self.floor = self.floor.max(self.latest(now));
    }

    fn apply_batch(&mut self, batch: &Batch, applied: &mut Applied) {
        applied.batches.push(batch.id);
        let writer: Rc<str> = batch.writer.as_str().into();
        for entry in &batch.entries {
            match entry {
                Entry::Intent(intent) => {
                    applied.judgements.push(self.apply_intent(intent, &writer));
                }
                Entry::Withdrawal { attempt, key } => self.apply_withdrawal(*attempt, key),
                // Only the one try of a key has an outcome, so it counts whoever is held to have won.
                Entry::Outcome { attempt, key, created, outcome } => {
                    self.slots.conclude(*attempt, key, *created, outcome, &writer);
                }
            }
        }
    }

    fn apply_intent(&mut self, intent: &Intent, writer: &Rc<str>) -> Judgement {
        self.horizon = self.horizon.max(intent.created);
        let verdict = self.judge(intent);
        match verdict {
            Verdict::Won => self.slots.hold(intent, writer),
            Verdict::Lost | Verdict::Expired => {
                self.slots.touch(&intent.key, intent.created, writer);
            }
        }
        Judgement { attempt: intent.attempt, verdict }
    }

    fn judge(&self, intent: &Intent) -> Verdict {
        let held = self.slots.holder(&intent.key).is_some();
        if held || self.withdrawn.contains(intent.attempt) {
            Verdict::Lost
        } else if self.admits(intent.created) {
            Verdict::Won
        } else {
            Verdict::Expired
        }
    }

    /// A withdrawal counts wherever it stands: its intent may reach the log only later, when the
    /// append's answer was lost while the write was still on its way, and must not block the key.
    fn apply_withdrawal(&mut self, attempt: Attempt, key: &Key) {
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
                self.floor = self.floor.max(slot.created);
            }
        }
    }

    fn is_crowded(&self) -> bool {
        self.slots.bytes() > self.policy.partition_bytes
    }

    fn is_oldest_past(&self, now: Unix) -> bool {
        let window = self.policy.window + self.policy.skew;
        self.slots.oldest().is_some_and(|slot| now.since(slot.created) > window)
    }
}
