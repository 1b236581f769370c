//! Table of a partition's keys in memory, oldest first, with its memory use.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use super::key::Key;
use super::record::{AttemptId, ExecutionOutcome, Intent};
use crate::clock::Unix;
use crate::domain;

/// Bytes that an entry of the table takes besides the key's text and outcome: the growth of a whole
/// process's resident memory (`benches/intent.rs`), rounded up.
const KEY_RECORD_BYTES: usize = 640;

/// Known state of a key.
#[derive(Clone, Debug)]
pub(super) struct KeyRecord {
    /// Latest creation time in any record of the key.
    pub(super) created: Unix,
    pub(super) fingerprint: Option<u64>,
    pub(super) domain: Option<domain::Name>,
    pub(super) writer: Rc<str>,
    /// Attempt that has won the key.
    pub(super) holder: Option<AttemptId>,
    pub(super) outcome: Option<ExecutionOutcome>,
}

/// The keys of a partition.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    records: HashMap<Rc<Key>, KeyRecord>,
    order: VecDeque<Rc<Key>>,
    bytes: usize,
}

impl KeyTable {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, key: &Key) -> Option<&KeyRecord> {
        self.records.get(key)
    }

    pub(super) fn holder(&self, key: &Key) -> Option<AttemptId> {
        self.records.get(key)?.holder
    }

    /// The key that was added first.
    pub(super) fn oldest(&self) -> Option<&KeyRecord> {
        self.records.get(self.order.front()?)
    }

    /// Adds `key` if it is missing and raises its creation time to `created`.
    pub(super) fn record_creation_time(
        &mut self,
        key: &Key,
        created: Unix,
        writer: &Rc<str>,
    ) -> &mut KeyRecord {
        if !self.records.contains_key(key) {
            let key = Rc::new(key.clone());
            self.bytes += KEY_RECORD_BYTES + key.len();
            self.order.push_back(Rc::clone(&key));
            self.records.insert(key, KeyRecord::new(created, Rc::clone(writer)));
        }
        let record = self.records.get_mut(key).expect("the key was inserted above");
        record.created = record.created.max(created);
        record
    }

    /// Makes the attempt of `intent` the holder of its key.
    pub(super) fn hold(&mut self, intent: &Intent, writer: &Rc<str>) {
        let record = self.record_creation_time(&intent.key, intent.created, writer);
        record.holder = Some(intent.attempt);
        record.fingerprint = Some(intent.fingerprint);
        record.domain.clone_from(&intent.domain);
        record.writer = Rc::clone(writer);
    }

    /// Releases a key that `attempt` holds, unless its outcome is recorded.
    pub(super) fn release(&mut self, attempt: AttemptId, key: &Key) {
        if let Some(record) = self.records.get_mut(key)
            && record.holder == Some(attempt)
            && record.outcome.is_none()
        {
            record.holder = None;
        }
    }

    /// Records the outcome of a key. Later outcomes of the same key are ignored.
    pub(super) fn record_outcome(
        &mut self,
        attempt: AttemptId,
        key: &Key,
        created: Unix,
        outcome: &ExecutionOutcome,
        writer: &Rc<str>,
    ) {
        let record = self.record_creation_time(key, created, writer);
        if record.outcome.is_none() {
            record.holder = Some(attempt);
            record.outcome = Some(outcome.clone());
            self.bytes += outcome.len();
        }
    }

    /// Removes and returns the key that was added first.
    pub(super) fn remove_oldest(&mut self) -> Option<KeyRecord> {
        let key = self.order.pop_front()?;
        let record = self.records.remove(&key)?;
        let outcome_bytes = record.outcome.as_ref().map_or(0, ExecutionOutcome::len);
        self.bytes -= KEY_RECORD_BYTES + key.len() + outcome_bytes;
        Some(record)
    }
}

impl KeyRecord {
    fn new(created: Unix, writer: Rc<str>) -> Self {
        Self { created, fingerprint: None, domain: None, writer, holder: None, outcome: None }
    }
}
