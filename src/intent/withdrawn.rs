//! Attempts that were given up, bounded in number.

use std::collections::{HashSet, VecDeque};

use super::record::AttemptId;

/// The newest attempts that were given up.
///
/// An attempt that is forgotten while its intent is still on its way to the log blocks its key when
/// it lands: the key then stays unknown, which is safe.
#[derive(Debug)]
pub(super) struct Withdrawn {
    attempts: HashSet<AttemptId>,
    order: VecDeque<AttemptId>,
    limit: usize,
}

impl Withdrawn {
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
