//! An instance that can ask the policy service.

use std::rc::Rc;

use crate::cell::timings::{ASKER_MOST_RESTS, ASKER_REST, PRESENCE};
use crate::clock::Instant;

/// An instance that can ask the policy service.
#[derive(Clone, Debug)]
pub(super) struct PolicyProxy {
    pub(super) last_seen: Instant,
    pub(super) query: Option<u64>,
    pub(super) strength: u32,
    /// Its failure domain.
    pub(super) domain: Rc<str>,
    /// Questions in a row that it got no answer to.
    pub(super) failures: u32,
    pub(super) backoff_until: Instant,
}

impl PolicyProxy {
    pub(super) const fn new(strength: u32, domain: Rc<str>, now: Instant) -> Self {
        Self { last_seen: now, query: None, strength, domain, failures: 0, backoff_until: now }
    }

    /// Takes in how its question came out.
    ///
    /// Guards against an instance that has just gone, or that alone cannot reach the policy service:
    /// its questions fail at once, which would make it the first that is free again, and the steps
    /// asked about through it would wait while others could ask.
    pub(super) fn note_outcome(&mut self, answered: bool, now: Instant) {
        self.query = None;
        self.failures = if answered { 0 } else { self.failures + 1 };
        self.backoff_until = now.after(ASKER_REST * self.failures.min(ASKER_MOST_RESTS));
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.query.is_none() && self.is_fresh(now) && now >= self.backoff_until
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.last_seen) < PRESENCE
    }
}
