//! Health of one upstream, derived from its recent answers, and whether it receives requests.

use std::time::Duration;

use crate::clock::{Instant, millis};
use crate::runner::Policy;

/// Weight of one answer in the exponential moving averages.
const WEIGHT: f64 = 0.1;
/// Answers required before the failure ratio and the latency are used.
const MIN_SAMPLES: u32 = 10;
/// Consecutive successes that end probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Consecutive successes after which earlier ejections no longer lengthen the next one.
const EJECTION_RESET_SUCCESSES: u32 = 100;

/// Whether an upstream receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Receives any request.
    Healthy,
    /// Receives one idempotent request at a time.
    Probation,
    /// Receives no request until this time.
    Ejected(Instant),
}

/// Health record of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    state: HealthState,
    latency: f64,
    failure: f64,
    answers: u32,
    consecutive_failures: u32,
    consecutive_successes: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: HealthState::Healthy,
            latency: 0.0,
            failure: 0.0,
            answers: 0,
            consecutive_failures: 0,
            consecutive_successes: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// State at `now`; an expired ejection counts as probation.
    pub fn state(&self, now: Instant) -> HealthState {
        match self.state {
            HealthState::Ejected(until) if until <= now => HealthState::Probation,
            state => state,
        }
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.state(now), HealthState::Ejected(_))
    }

    /// Smoothed latency in milliseconds; zero before the first answer.
    pub fn latency(&self) -> f64 {
        self.latency
    }

    /// Smoothed latency in milliseconds; `None` while there are too few answers to compare it.
    pub fn measured_latency(&self) -> Option<f64> {
        (self.answers >= MIN_SAMPLES).then_some(self.latency)
    }

    /// Records a successful answer.
    pub fn record_success(&mut self, latency: Duration, now: Instant) {
        let sample = millis(latency).max(1) as f64;
        self.latency = if self.answers == 0 { sample } else { smooth(self.latency, sample) };
        self.failure = smooth(self.failure, 0.0);
        self.answers = self.answers.saturating_add(1);
        self.consecutive_failures = 0;
        self.consecutive_successes = self.consecutive_successes.saturating_add(1);
        if self.state(now) == HealthState::Probation
            && self.consecutive_successes >= PROBATION_SUCCESSES
        {
            self.state = HealthState::Healthy;
        }
        if self.consecutive_successes >= EJECTION_RESET_SUCCESSES {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns true when the upstream should be ejected.
    pub fn record_failure(&mut self, policy: &Policy, now: Instant) -> bool {
        self.failure = smooth(self.failure, 1.0);
        self.answers = self.answers.saturating_add(1);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_successes = 0;
        let on_probation = self.state(now) == HealthState::Probation;
        let ratio_exceeded = self.answers >= MIN_SAMPLES && self.failure >= policy.failure_ratio;
        on_probation || ratio_exceeded || self.consecutive_failures >= policy.consecutive_failures
    }

    /// Ejects the upstream for a time that doubles with each ejection; returns when it ends.
    pub fn eject(&mut self, policy: &Policy, now: Instant) -> Instant {
        let doubled = policy.base_ejection_time.saturating_mul(1 << self.ejections.min(16));
        let until = now.after(doubled.min(policy.max_ejection_time));
        self.ejections = self.ejections.saturating_add(1);
        // Clears the record, so that only new answers decide the probation.
        self.answers = 0;
        self.failure = 0.0;
        self.consecutive_failures = 0;
        self.consecutive_successes = 0;
        self.state = HealthState::Ejected(until);
        until
    }
}

fn smooth(mean: f64, sample: f64) -> f64 {
    mean + WEIGHT * (sample - mean)
}
