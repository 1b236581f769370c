//! The keys of a partition in memory, oldest first, with what they take.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use super::key::Key;
use super::record::{AttemptId, ExecutionOutcome, Intent};
use crate::clock::Unix;
use crate::domain;

/// Bytes that a remembered key takes beside its names and answer, as measured in a whole process
/// (`benches/intent.rs`) and rounded up.
const SLOT_BYTES: usize = 640;

/// What is known of a key.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// Latest creation time that any record named for it.
    pub(super) created: Unix,
    pub(super) fingerprint: Option<u64>,
    pub(super) domain: Option<domain::Name>,
    pub(super) writer: Rc<str>,
    /// The attempt that has won it.
    pub(super) holder: Option<AttemptId>,
    pub(super) outcome: Option<ExecutionOutcome>,
}

/// The keys of a partition.
#[derive(Debug, Default)]
pub(super) struct Slots {
    slots: HashMap<Rc<Key>, Slot>,
    order: VecDeque<Rc<Key>>,
    bytes: usize,
}

impl Slots {
    pub(super) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn get(&self, key: &Key) -> Option<&Slot> {
        self.slots.get(key)
    }

    pub(super) fn holder(&self, key: &Key) -> Option<AttemptId> {
        self.slots.get(key)?.holder
    }

    /// The key first seen longest ago.
    pub(super) fn oldest(&self) -> Option<&Slot> {
        self.slots.get(self.order.front()?)
    }

    /// Notes that a record of `key` named `created`.
    pub(super) fn touch(&mut self, key: &Key, created: Unix, writer: &Rc<str>) -> &mut Slot {
        if !self.slots.contains_key(key) {
            let key = Rc::new(key.clone());
            self.bytes += SLOT_BYTES + key.len();
            self.order.push_back(Rc::clone(&key));
            self.slots.insert(key, Slot::new(created, Rc::clone(writer)));
        }
        let slot = self.slots.get_mut(key).expect("the key was inserted above");
        slot.created = slot.created.max(created);
        slot
    }

    /// Gives a key to the attempt of `intent`.
    pub(super) fn hold(&mut self, intent: &Intent, writer: &Rc<str>) {
        let slot = self.touch(&intent.key, intent.created, writer);
        slot.holder = Some(intent.attempt);
        slot.fingerprint = Some(intent.fingerprint);
        slot.domain.clone_from(&intent.domain);
        slot.writer = Rc::clone(writer);
    }

    /// Takes a key back from an attempt that has not run.
    pub(super) fn free(&mut self, attempt: AttemptId, key: &Key) {
        if let Some(slot) = self.slots.get_mut(key)
            && slot.holder == Some(attempt)
            && slot.outcome.is_none()
        {
            slot.holder = None;
        }
    }

    /// Records the outcome of a key; a second record of it changes nothing.
    pub(super) fn conclude(
        &mut self,
        attempt: AttemptId,
        key: &Key,
        created: Unix,
        outcome: &ExecutionOutcome,
        writer: &Rc<str>,
    ) {
        let slot = self.touch(key, created, writer);
        if slot.outcome.is_none() {
            slot.holder = Some(attempt);
            slot.outcome = Some(outcome.clone());
            self.bytes += outcome.len();
        }
    }

    /// Forgets the key first seen longest ago and returns what was known of it.
    pub(super) fn forget_oldest(&mut self) -> Option<Slot> {
        let key = self.order.pop_front()?;
        let slot = self.slots.remove(&key)?;
        let answer = slot.outcome.as_ref().map_or(0, ExecutionOutcome::len);
        self.bytes -= SLOT_BYTES + key.len() + answer;
        Some(slot)
    }
}

impl Slot {
    fn new(created: Unix, writer: Rc<str>) -> Self {
        Self { created, fingerprint: None, domain: None, writer, holder: None, outcome: None }
    }
}
