//! What the lanes of one machine share.

use super::admission_decision::AdmissionDecision;
use super::machine::{Effect, Now, RequestId, Stats};
use super::queue::Writer;
use super::token_bucket::TokenBucket;

/// What a lane may use beside its own state.
pub(super) struct Context<'a> {
    pub(super) now: Now,
    pub(super) writer: &'a mut Writer,
    pub(super) budget: &'a mut TokenBucket,
    pub(super) stats: &'a mut Stats,
    pub(super) effects: &'a mut Vec<Effect>,
}

impl Context<'_> {
    pub(super) fn reply(&mut self, request_id: RequestId, decision: AdmissionDecision) {
        self.effects.push(Effect::Reply { request_id, decision });
    }
}
