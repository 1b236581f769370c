//! Path of a request from its arrival to an attempt or a refusal.

use std::cmp::Reverse;
use std::time::Duration;

use rand::Rng;

use crate::clock::Instant;
use crate::runner::attempt::{self, Target};
use crate::runner::queue::Entry;
use crate::runner::request::{self, Refusal, RequestOutcome, UnknownCause};
use crate::runner::router::pending::Pending;
use crate::runner::router::{Effect, MIN_RETRY_AFTER, Router, Timer};
use crate::runner::upstream::Upstream;

impl Router {
    /// Starts, forwards, queues or refuses a request that has no attempt in flight.
    pub(super) fn route(&mut self, id: request::Id, now: Instant) {
        let Some(pending) = self.pending.get(&id) else { return };
        let remaining = pending.request.deadline.since(now);
        let Some(service) = self.services.get(&pending.request.service) else {
            return self.end_unanswered(id, Refusal::NoRunner, MIN_RETRY_AFTER);
        };
        if self.draining && pending.attempts == 0 {
            return self.end_unanswered(id, Refusal::ShuttingDown, MIN_RETRY_AFTER);
        }
        if remaining.is_zero() {
            return self.end_unanswered(id, Refusal::Deadline, MIN_RETRY_AFTER);
        }
        let slots = service.slots(&self.shares, now);
        if slots == 0 {
            return self.forward_or_end(id, now);
        }
        if service.queue.is_empty() && self.start(id, now) {
            return self.mark_queue_empty(id, now);
        }
        self.enqueue(id, slots, now);
    }

    fn mark_queue_empty(&mut self, id: request::Id, now: Instant) {
        if let Some(service) = self.service_of(id) {
            service.last_empty = now;
        }
    }

    /// Queues a request by the time at which it should start.
    ///
    /// With an order by deadline alone, a stream of short deadlines would delay the long ones until
    /// those are due as well, and under overload every request would start at its last moment. A
    /// request is therefore due at the latest `queue_burst` after its arrival.
    fn enqueue(&mut self, id: request::Id, slots: u32, now: Instant) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(service) = self.services.get_mut(&pending.request.service) else { return };
        let deadline = pending.request.deadline;
        let latest = deadline.before(service.deadline_latency());
        let due = latest.min(pending.submitted.after(self.policy.queue_burst));
        let ahead = service.queue.ahead_of(due);
        let remaining = deadline.since(now);
        if let Some(refusal) = service.queue_refusal(&self.policy, ahead, slots, remaining, now) {
            service.demand.overloaded = true;
            let retry_after = service.expected_wait(service.queue.len(), slots);
            return self.forward_overflow(id, refusal, retry_after, now);
        }
        pending.queued = Some(due);
        service.queue.push(Entry { due, id, deadline });
    }

    /// Starts an attempt at a runner of the own domain; returns false when none can take it.
    pub(super) fn start(&mut self, id: request::Id, now: Instant) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let Some(service) = self.services.get_mut(&pending.request.service) else { return false };
        let idempotent = pending.is_idempotent();
        let chosen = service.choose_runner(
            &self.shares,
            &pending.tried_runners,
            idempotent,
            now,
            &mut self.rng,
        );
        let Some(index) = chosen else { return false };
        let runner = &mut service.runners[index];
        if !self.shares.acquire(runner.slots, now) {
            return false;
        }
        self.next_attempt += 1;
        let attempt = attempt::Id::from_raw(self.next_attempt);
        runner.unanswered.insert((now, attempt));
        service.demand.in_flight += 1;
        pending.add_attempt(attempt);
        pending.tried_runners.push(runner.name.clone());
        let target = Target::Runner { name: runner.name.clone(), slots: runner.slots };
        self.attempts.insert(attempt, pending.attempt(target, now));
        self.effects.push(Effect::Send {
            attempt,
            request: id,
            peer: runner.address,
            budget: pending.request.deadline.since(now),
            timeout: self.policy.run_limit,
        });
        if let Some(p95) = service.latency.p95().filter(|_| idempotent && !pending.hedged) {
            let at = now.after(p95.max(self.policy.min_hedge_delay));
            self.timers.push(Reverse((at, Timer::Hedge(id))));
        }
        true
    }

    /// Forwards a request because the own domain has no usable runner, or ends it.
    fn forward_or_end(&mut self, id: request::Id, now: Instant) {
        let retry_after = self.shares.usable_from().since(now);
        if !self.forward(id, now) {
            self.end_unanswered(id, Refusal::NoRunner, retry_after);
        }
    }

    /// Forwards a request that the own domain would refuse for load, or refuses it.
    ///
    /// When every domain is overloaded, the first refusal by another domain stops forwards to it
    /// for a while, so they add little to its load.
    fn forward_overflow(
        &mut self,
        id: request::Id,
        refusal: Refusal,
        retry_after: Duration,
        now: Instant,
    ) {
        if !self.forward(id, now) {
            self.end_unanswered(id, refusal, retry_after);
        }
    }

    /// Forwards a request to an entry instance of another domain; returns false when none is
    /// available.
    fn forward(&mut self, id: request::Id, now: Instant) -> bool {
        let Some(pending) = self.pending.get_mut(&id) else { return false };
        let Some(service) = self.services.get_mut(&pending.request.service) else { return false };
        let remote = (!pending.request.forwarded)
            .then(|| {
                service.choose_remote(&self.policy, &pending.tried_domains, now, &mut self.rng)
            })
            .flatten();
        let Some((index, peer)) = remote else { return false };
        let remote = &mut service.remotes[index];
        remote.outstanding += 1;
        self.next_attempt += 1;
        let attempt = attempt::Id::from_raw(self.next_attempt);
        pending.add_attempt(attempt);
        pending.tried_domains.push(remote.domain.clone());
        self.attempts.insert(attempt, pending.attempt(Target::Domain(remote.domain.clone()), now));
        let budget = pending.request.deadline.since(now);
        self.effects.push(Effect::Forward { attempt, request: id, peer, budget });
        true
    }

    /// Sends a second copy of an idempotent request that takes longer than most.
    pub(super) fn hedge(&mut self, id: request::Id, now: Instant) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(service) = self.services.get_mut(&pending.request.service) else { return };
        let may_hedge = pending.in_flight.len() == 1 && pending.attempts < self.policy.max_attempts;
        // A hedge would take the slot of a queued request.
        if !may_hedge || pending.hedged || !service.queue.is_empty() || self.draining {
            return;
        }
        let elsewhere = |runner: &Upstream| {
            !pending.tried_runners.contains(&runner.name) && runner.accepts(&self.shares, true, now)
        };
        if service.runners.iter().any(elsewhere) && service.hedges.try_take() {
            pending.hedged = true;
            self.start(id, now);
        }
    }

    /// Starts queued requests in order while slots are free, and refuses those whose answer would
    /// come too late.
    pub(super) fn dispatch(&mut self, name: &str, now: Instant) {
        while let Some(service) = self.services.get_mut(name) {
            let Some(first) = service.queue.first() else {
                service.last_empty = now;
                break;
            };
            if first.deadline.since(now) < service.deadline_latency() {
                service.demand.overloaded = true;
                self.end_unanswered(first.id, Refusal::Deadline, MIN_RETRY_AFTER);
                continue;
            }
            if !self.start(first.id, now) {
                break;
            }
            self.unqueue(first.id);
        }
    }

    pub(super) fn dispatch_all(&mut self, now: Instant) {
        let names: Vec<String> = self.services.keys().cloned().collect();
        names.iter().for_each(|name| self.dispatch(name, now));
    }

    pub(super) fn unqueue(&mut self, id: request::Id) {
        let Some(pending) = self.pending.get_mut(&id) else { return };
        let Some(due) = pending.queued.take() else { return };
        if let Some(service) = self.services.get_mut(&pending.request.service) {
            service.queue.remove(due, id);
        }
    }

    /// Ends a request without a further attempt.
    ///
    /// The outcome is `NotRun` only if no attempt sent a byte. An attempt that broke off makes it
    /// `Unknown`; an earlier complete response with a server error takes precedence over both.
    pub(super) fn end_unanswered(&mut self, id: request::Id, refusal: Refusal, delay: Duration) {
        let retry_after = self.with_jitter(delay);
        self.unqueue(id);
        let Some(pending) = self.pending.remove(&id) else { return };
        let outcome = match pending.failed_answer {
            Some(attempt) => RequestOutcome::Complete(attempt),
            None if pending.may_have_run || !pending.in_flight.is_empty() => {
                let cause = if refusal == Refusal::Deadline {
                    UnknownCause::Deadline
                } else {
                    UnknownCause::Broken
                };
                RequestOutcome::Unknown { cause, retry_after }
            }
            None => RequestOutcome::NotRun { refusal, retry_after },
        };
        self.effects.push(Effect::Answer { request: id, outcome });
    }

    /// Adds jitter to a retry delay, so that refused callers do not all return at once.
    pub(super) fn with_jitter(&mut self, delay: Duration) -> Duration {
        delay.max(MIN_RETRY_AFTER).mul_f64(self.rng.random_range(1.0..2.0))
    }

    pub(super) fn expire(&mut self, id: request::Id, now: Instant) {
        let is_expired = |pending: &&Pending| pending.request.deadline <= now;
        if self.pending.get(&id).filter(is_expired).is_some() {
            self.end_unanswered(id, Refusal::Deadline, MIN_RETRY_AFTER);
        }
    }
}
