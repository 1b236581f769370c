//! What recent answers say of one upstream, and whether it gets work.

use std::time::Duration;

use crate::clock::{Instant, millis};
use crate::runner::Policy;

/// Weight of one answer in the smoothed figures.
const WEIGHT: f64 = 0.1;
/// Answers before the failure ratio and the latency are believed.
const MIN_SAMPLES: u32 = 10;
/// Good answers in a row that end a probation.
const PROBATION_SUCCESSES: u32 = 3;
/// Good answers in a row after which earlier ejections are forgotten.
const EJECTION_RESET_SUCCESSES: u32 = 100;

/// Standing of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Takes any work.
    Healthy,
    /// Takes one idempotent request at a time.
    Probation,
    /// Takes none until the moment given.
    Ejected(Instant),
}

/// Record of one upstream.
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
    /// Standing at `now`; an ejection that has run out becomes probation.
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

    /// Smoothed latency, once enough answers came to compare it.
    pub fn measured_latency(&self) -> Option<f64> {
        (self.answers >= MIN_SAMPLES).then_some(self.latency)
    }

    /// Counts a good answer.
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

    /// Counts a failure; true when the upstream should be ejected for it.
    pub fn record_failure(&mut self, policy: &Policy, now: Instant) -> bool {
        self.failure = smooth(self.failure, 1.0);
        self.answers = self.answers.saturating_add(1);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.consecutive_successes = 0;
        let on_probation = self.state(now) == HealthState::Probation;
        let ratio_exceeded = self.answers >= MIN_SAMPLES && self.failure >= policy.failure_ratio;
        on_probation || ratio_exceeded || self.consecutive_failures >= policy.consecutive_failures
    }

    /// Takes the upstream out of use for a time that doubles with each ejection.
    pub fn eject(&mut self, policy: &Policy, now: Instant) -> Instant {
        let doubled = policy.base_ejection_time.saturating_mul(1 << self.ejections.min(16));
        let until = now.after(doubled.min(policy.max_ejection_time));
        self.ejections = self.ejections.saturating_add(1);
        // Forgets what led here, so that probation is judged by new answers alone.
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
