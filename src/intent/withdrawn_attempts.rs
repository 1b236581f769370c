//! Bounded set of withdrawn attempts.

use std::collections::{HashSet, VecDeque};

use super::record::AttemptId;

/// The most recently withdrawn attempts.
///
/// If an attempt is evicted before its delayed intent is written, that intent can win the key. The
/// outcome of the key then stays unknown and no request runs under it, which is safe.
#[derive(Debug)]
pub(super) struct WithdrawnAttempts {
    attempts: HashSet<AttemptId>,
    order: VecDeque<AttemptId>,
    limit: usize,
}

impl WithdrawnAttempts {
    pub(super) fn new(limit: usize) -> Self {
        Self { attempts: HashSet::new(), order: VecDeque::new(), limit }
    }

    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.attempts.contains(&attempt)
    }

    pub(super) fn insert(&mut self, attempt: AttemptId) {
        if self.attempts.insert(attempt) {
            self.order.push_back(attempt);
        }
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
    }
}
