//! State that the partition clients of one machine share.

use super::admission_decision::AdmissionDecision;
use super::machine::{Effect, Now, RequestId, Stats};
use super::queue::WriterId;
use super::token_bucket::TokenBucket;

/// Shared state and outputs that a partition client uses while it handles an input.
pub(super) struct Context<'a> {
    pub(super) now: Now,
    pub(super) writer: &'a mut WriterId,
    pub(super) budget: &'a mut TokenBucket,
    pub(super) stats: &'a mut Stats,
    pub(super) effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub(super) fn reply(&mut self, request_id: RequestId, decision: AdmissionDecision) {
        self.effects.push(Effect::Reply { request_id, decision });
    }
}
