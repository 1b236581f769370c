//! Instances that send queries to the policy service for the owner.

use std::rc::Rc;

use crate::cell::timings::{PROXY_BACKOFF, PROXY_MAX_BACKOFFS};
use crate::clock::Instant;

/// An instance that follows the owner. It can send queries to the policy service, one at a time,
/// and take the cell over.
#[derive(Clone, Debug)]
pub(super) struct PolicyProxy {
    /// Time until which it counts as present, unless it is seen again.
    pub(super) present_until: Instant,
    pub(super) query: Option<u64>,
    pub(super) cpu_millis: u32,
    /// Failure domain of the instance.
    pub(super) domain: Rc<str>,
    /// Consecutive queries without an answer.
    pub(super) failures: u32,
    pub(super) backoff_until: Instant,
}

impl PolicyProxy {
    pub(super) const fn new(cpu_millis: u32, domain: Rc<str>, now: Instant) -> Self {
        Self {
            present_until: now,
            query: None,
            cpu_millis,
            domain,
            failures: 0,
            backoff_until: now,
        }
    }

    /// Notes that its query ended, with or without an answer.
    ///
    /// Guards against an instance that has just stopped or cannot reach the policy service: its
    /// queries fail at once, so it would always be the first idle one, and the steps queried
    /// through it would wait although other instances could query.
    pub(super) fn note_outcome(&mut self, answered: bool, now: Instant) {
        self.query = None;
        self.failures = if answered { 0 } else { self.failures + 1 };
        self.backoff_until = now.after(PROXY_BACKOFF * self.failures.min(PROXY_MAX_BACKOFFS));
    }

    pub(super) fn is_idle(&self, now: Instant) -> bool {
        self.query.is_none() && self.is_fresh(now) && now >= self.backoff_until
    }

    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        now < self.present_until
    }
}
