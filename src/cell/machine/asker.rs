//! An instance that can ask the policy service.

use std::rc::Rc;

use crate::cell::timings::{PEER_TIMEOUT, PROXY_BACKOFF, PROXY_MAX_BACKOFFS};
use crate::clock::Instant;

/// An instance that can ask the policy service.
#[derive(Clone, Debug)]
pub(super) struct Asker {
    pub(super) seen: Instant,
    pub(super) question: Option<u64>,
    pub(super) strength: u32,
    /// Its failure domain.
    pub(super) domain: Rc<str>,
    /// Questions in a row that it got no answer to.
    pub(super) failures: u32,
    pub(super) rests_until: Instant,
}

impl Asker {
    pub(super) const fn new(strength: u32, domain: Rc<str>, now: Instant) -> Self {
        Self { seen: now, question: None, strength, domain, failures: 0, rests_until: now }
    }

    /// Takes in how its question came out.
    ///
    /// Guards against an instance that has just gone, or that alone cannot reach the policy service:
    /// its questions fail at once, which would make it the first that is free again, and the steps
    /// asked about through it would wait while others could ask.
    pub(super) fn note_outcome(&mut self, answered: bool, now: Instant) {
        self.question = None;
        self.failures = if answered { 0 } else { self.failures + 1 };
        self.rests_until = now.after(PROXY_BACKOFF * self.failures.min(PROXY_MAX_BACKOFFS));
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.question.is_none() && self.is_fresh(now) && now >= self.rests_until
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now.since(self.seen) < PEER_TIMEOUT
    }
}
