//! Effects of an attempt's outcome on its upstream and its request.

use std::cmp::Reverse;
use std::time::Duration;

use crate::clock::Instant;
use crate::domain;
use crate::runner::Name;
use crate::runner::attempt::{self, Attempt, Outcome, Target};
use crate::runner::request::{self, Refusal, RequestOutcome};
use crate::runner::router::{Effect, REMOTE_BACKOFF, Router, Timer};
use crate::runner::share::Handle;

impl Router {
    pub(super) fn record_runner_outcome(
        &mut self,
        id: attempt::Id,
        attempt: &Attempt,
        name: &Name,
        slots: Handle,
        outcome: Outcome,
        now: Instant,
    ) {
        self.release_slot(id, attempt.started, slots, outcome);
        let Some(service) = self.services.get_mut(&attempt.service) else { return };
        let can_eject = service.can_eject(&self.policy, now);
        let latency = now.since(attempt.started);
        let succeeded = outcome == Outcome::Complete { failed: false };
        if succeeded {
            service.latency.record(latency);
        }
        let Some(runner) = service.runner(name) else { return };
        runner.unanswered.remove(&(attempt.started, id));
        if succeeded {
            return runner.health.record_success(latency, now);
        }
        // A response to another request shows that the runner mixes up responses, so one is enough
        // to eject it.
        let should_eject =
            runner.health.record_failure(&self.policy, now) || outcome == Outcome::Mismatched;
        if should_eject && can_eject && !runner.health.is_ejected(now) {
            let until = runner.health.eject(&self.policy, now);
            log::warn!(
                "event=runner.ejected runner={name} cause=failing for_ms={}",
                until.since(now).as_millis()
            );
        }
    }

    /// Releases the slot, unless the runner may still be working on the request. The slot then
    /// stays taken until the run limit has passed, so that two requests never share it.
    pub(super) fn release_slot(
        &mut self,
        id: attempt::Id,
        started: Instant,
        slots: Handle,
        outcome: Outcome,
    ) {
        if matches!(outcome, Outcome::Broken | Outcome::Mismatched) {
            let over = started.after(self.policy.run_limit);
            self.timers.push(Reverse((over, Timer::RunLimit(id))));
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.outcome_unknown = true;
            }
            return;
        }
        let Some(attempt) = self.attempts.remove(&id) else { return };
        self.free(&attempt.service, slots);
    }

    fn free(&mut self, service: &str, slots: Handle) {
        self.shares.release(slots);
        if let Some(service) = self.services.get_mut(service) {
            service.demand.in_flight = service.demand.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn release_after_run_limit(&mut self, id: attempt::Id, now: Instant) {
        let Some(attempt) = self.attempts.remove(&id) else { return };
        if let Target::Runner { slots, .. } = &attempt.target {
            self.free(&attempt.service, *slots);
        }
        self.dispatch(&attempt.service, now);
    }

    pub(super) fn record_remote_outcome(
        &mut self,
        id: attempt::Id,
        attempt: &Attempt,
        domain: &domain::Name,
        outcome: Outcome,
        now: Instant,
    ) {
        self.attempts.remove(&id);
        let Some(service) = self.services.get_mut(&attempt.service) else { return };
        let Some(remote) = service.remotes.iter_mut().find(|remote| remote.domain == *domain)
        else {
            return;
        };
        remote.outstanding = remote.outstanding.saturating_sub(1);
        let pause = match outcome {
            Outcome::Complete { .. } => Duration::ZERO,
            Outcome::Refused { retry_after } => retry_after.min(REMOTE_BACKOFF),
            Outcome::NotSent | Outcome::Broken | Outcome::Mismatched => REMOTE_BACKOFF,
        };
        remote.blocked_until = remote.blocked_until.max(now.after(pause));
    }

    pub(super) fn apply_outcome(
        &mut self,
        id: attempt::Id,
        request: request::Id,
        outcome: Outcome,
        now: Instant,
    ) {
        // The request already has its outcome; a late answer is dropped.
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.in_flight.retain(|other| *other != id);
        match outcome {
            Outcome::Complete { failed: false } => return self.answer_complete(request, id),
            Outcome::Complete { failed: true } => {
                pending.may_have_run = true;
                pending.failed_answer = Some(id);
            }
            Outcome::Broken | Outcome::Mismatched => pending.may_have_run = true,
            Outcome::NotSent | Outcome::Refused { .. } => {}
        }
        if pending.in_flight.is_empty() {
            let refusal = match outcome {
                Outcome::Refused { .. } => Refusal::Overloaded,
                _ => Refusal::Unreachable,
            };
            self.retry(request, refusal, now);
        }
    }

    pub(super) fn answer_complete(&mut self, request: request::Id, attempt: attempt::Id) {
        self.pending.remove(&request);
        let outcome = RequestOutcome::Complete(attempt);
        self.effects.push(Effect::Answer { request, outcome });
    }

    /// Retries the request if that is safe and the budget allows it, else ends it at once.
    fn retry(&mut self, id: request::Id, refusal: Refusal, now: Instant) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(service) = self.services.get_mut(&pending.request.service) else { return };
        let safe_to_retry = pending.is_idempotent() || !pending.may_have_run;
        let attempts_left = pending.attempts < self.policy.max_attempts;
        if safe_to_retry && attempts_left && service.retries.try_take() {
            return self.route(id, now);
        }
        let delay = service.mean_latency();
        self.end_unanswered(id, refusal, delay);
    }
}
