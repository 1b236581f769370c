//! What is due when.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Instant;

/// Moments at which something is due, by key, so that what is not due is not gone through.
#[derive(Debug)]
pub(super) struct Agenda<K> {
    moments: BTreeMap<K, Instant>,
    queue: BTreeSet<(Instant, K)>,
}

impl<K> Default for Agenda<K> {
    fn default() -> Self {
        Self { moments: BTreeMap::new(), queue: BTreeSet::new() }
    }
}

impl<K: Clone + Ord> Agenda<K> {
    /// Replaces the moment of `key`; `None` for never.
    pub(super) fn set(&mut self, key: &K, at: Option<Instant>) {
        let before = self.moments.get(key).copied();
        if before == at {
            return;
        }
        if let Some(before) = before {
            self.queue.remove(&(before, key.clone()));
        }
        match at {
            Some(at) => {
                self.moments.insert(key.clone(), at);
                self.queue.insert((at, key.clone()));
            }
            None => {
                self.moments.remove(key);
            }
        }
    }

    /// Keys that are due at `now`, the first `limit` of them, in the order of keys.
    pub(super) fn due(&self, now: Instant, limit: usize) -> Vec<K> {
        let due = self.queue.iter().take_while(|(at, _)| *at <= now).take(limit);
        let mut due: Vec<K> = due.map(|(_, key)| key.clone()).collect();
        due.sort_unstable();
        due
    }
}
