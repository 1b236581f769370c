//! The regular look at slow runners and at what waits.

use crate::clock::Instant;
use crate::runner::request::{self, Refusal};
use crate::runner::router::{MIN_RETRY_AFTER, Router};

impl Router {
    pub(super) fn review(&mut self, now: Instant) {
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in &names {
            self.eject_slow(name, now);
            self.refuse_late(name, now);
            self.dispatch(name, now);
        }
    }

    pub(super) fn eject_slow(&mut self, name: &str, now: Instant) {
        let Some(service) = self.services.get_mut(name) else { return };
        for index in service.slow_runners(&self.policy, now) {
            if !service.can_eject(&self.policy, now) {
                return;
            }
            let runner = &mut service.runners[index];
            let until = runner.health.eject(&self.policy, now);
            log::warn!(
                "event=runner.ejected runner={} cause=slow for_ms={}",
                runner.name,
                until.since(now).as_millis()
            );
        }
    }

    /// Refuses what waits and can no longer be in time, so that its caller need not wait as well.
    pub(super) fn refuse_late(&mut self, name: &str, now: Instant) {
        let Some(service) = self.services.get(name) else { return };
        let slots = service.slots(&self.shares, now);
        if slots == 0 {
            return self.reroute_queued(name, now);
        }
        let latency = service.deadline_latency();
        let mut late = Vec::new();
        for (index, entry) in service.queue.iter().enumerate() {
            let expected_wait = service.expected_wait(index - late.len(), slots);
            if expected_wait + latency > entry.deadline.since(now) {
                late.push(entry.id);
            }
        }
        for id in late {
            self.end_unanswered(id, Refusal::Deadline, MIN_RETRY_AFTER);
        }
    }

    /// Finds another way for what waits once the domain has no usable runner left.
    pub(super) fn reroute_queued(&mut self, name: &str, now: Instant) {
        let Some(service) = self.services.get(name) else { return };
        let waiting: Vec<request::Id> = service.queue.iter().map(|entry| entry.id).collect();
        for id in waiting {
            self.unqueue(id);
            self.route(id, now);
        }
    }
}
