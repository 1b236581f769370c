//! Keys ordered by the time at which they are due.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Instant;

/// Due times by key, with an index by time, so that keys that are not due need not be visited.
#[derive(Debug)]
pub(super) struct TimerQueue<K> {
    due_times: BTreeMap<K, Instant>,
    queue: BTreeSet<(Instant, K)>,
}

impl<K> Default for TimerQueue<K> {
    fn default() -> Self {
        Self { due_times: BTreeMap::new(), queue: BTreeSet::new() }
    }
}

impl<K: Clone + Ord> TimerQueue<K> {
    /// Sets the due time of `key`; `None` removes it.
    pub(super) fn set(&mut self, key: &K, at: Option<Instant>) {
        let before = self.due_times.get(key).copied();
        if before == at {
            return;
        }
        if let Some(before) = before {
            self.queue.remove(&(before, key.clone()));
        }
        match at {
            Some(at) => {
                self.due_times.insert(key.clone(), at);
                self.queue.insert((at, key.clone()));
            }
            None => {
                self.due_times.remove(key);
            }
        }
    }

    /// Returns the first `limit` keys that are due at `now`, in key order.
    pub(super) fn due(&self, now: Instant, limit: usize) -> Vec<K> {
        let due = self.queue.iter().take_while(|(at, _)| *at <= now).take(limit);
        let mut due: Vec<K> = due.map(|(_, key)| key.clone()).collect();
        due.sort_unstable();
        due
    }
}
