//! What recent answers say of one upstream, and whether it gets work.

use std::time::Duration;

use crate::clock::{Instant, millis};
use crate::runner::Policy;

/// Weight of one answer in the smoothed figures.
const WEIGHT: f64 = 0.1;
/// Answers before the failure ratio and the latency are believed.
const ENOUGH: u32 = 10;
/// Good answers in a row that end a probation.
const PROBATION: u32 = 3;
/// Good answers in a row after which earlier ejections are forgotten.
const FORGIVEN: u32 = 100;

/// Standing of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes any work.
    Good,
    /// Takes one idempotent request at a time.
    Probation,
    /// Takes none until the moment given.
    Ejected(Instant),
}

/// Record of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    standing: Standing,
    latency: f64,
    failure: f64,
    answers: u32,
    failures_in_row: u32,
    successes_in_row: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            standing: Standing::Good,
            latency: 0.0,
            failure: 0.0,
            answers: 0,
            failures_in_row: 0,
            successes_in_row: 0,
            ejections: 0,
        }
    }
}

impl Health {
    /// Standing at `now`; an ejection that has run out becomes probation.
    pub fn standing(&self, now: Instant) -> Standing {
        match self.standing {
            Standing::Ejected(until) if until <= now => Standing::Probation,
            standing => standing,
        }
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        matches!(self.standing(now), Standing::Ejected(_))
    }

    /// Smoothed latency in milliseconds; zero before the first answer.
    pub fn latency(&self) -> f64 {
        self.latency
    }

    /// Smoothed latency, once enough answers came to compare it.
    pub fn settled_latency(&self) -> Option<f64> {
        (self.answers >= ENOUGH).then_some(self.latency)
    }

    /// Counts a good answer.
    pub fn succeeded(&mut self, latency: Duration, now: Instant) {
        let sample = millis(latency).max(1) as f64;
        self.latency = if self.answers == 0 { sample } else { smooth(self.latency, sample) };
        self.failure = smooth(self.failure, 0.0);
        self.answers = self.answers.saturating_add(1);
        self.failures_in_row = 0;
        self.successes_in_row = self.successes_in_row.saturating_add(1);
        if self.standing(now) == Standing::Probation && self.successes_in_row >= PROBATION {
            self.standing = Standing::Good;
        }
        if self.successes_in_row >= FORGIVEN {
            self.ejections = 0;
        }
    }

    /// Counts a failure; true when the upstream should be ejected for it.
    pub fn failed(&mut self, policy: &Policy, now: Instant) -> bool {
        self.failure = smooth(self.failure, 1.0);
        self.answers = self.answers.saturating_add(1);
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.successes_in_row = 0;
        let on_probation = self.standing(now) == Standing::Probation;
        let often = self.answers >= ENOUGH && self.failure >= policy.failure_ratio;
        on_probation || often || self.failures_in_row >= policy.failures_in_row
    }

    /// Takes the upstream out of use for a time that doubles with each ejection.
    pub fn eject(&mut self, policy: &Policy, now: Instant) -> Instant {
        let doubled = policy.ejection.saturating_mul(1 << self.ejections.min(16));
        let until = now.after(doubled.min(policy.ejection_limit));
        self.ejections = self.ejections.saturating_add(1);
        // Forgets what led here, so that probation is judged by new answers alone.
        self.answers = 0;
        self.failure = 0.0;
        self.failures_in_row = 0;
        self.successes_in_row = 0;
        self.standing = Standing::Ejected(until);
        until
    }
}

fn smooth(mean: f64, sample: f64) -> f64 {
    mean + WEIGHT * (sample - mean)
}
