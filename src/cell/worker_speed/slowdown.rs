//! Sequential test of whether a worker has turned slow, and of whether it has recovered.

use std::time::Duration;

use crate::clock::Instant;

/// Logarithm of the factor by which a slow worker is assumed to be slower: five.
const SLOW_OFFSET: f64 = -1.609;

/// Share of the tasks that take seven times as long on a healthy worker, and the logarithm of that
/// factor.
const TAIL_SHARE: f64 = 0.03;
const TAIL_OFFSET: f64 = -1.946;

/// Evidence (logarithm of the likelihood ratio) from which a worker counts as slow. One task of the
/// tail gives at most 3.5, so that two of them in a row do not suffice.
const SLOW_EVIDENCE: f64 = 7.5;

/// Evidence from which a slow worker counts as recovered: about two tasks of usual duration.
const RECOVERY_EVIDENCE: f64 = 2.5;

/// Largest evidence that one sample gives. Without it one long task made up for several short ones.
const MAX_EVIDENCE: f64 = 3.5;

/// Time since the latest slow task after which a worker is tried again, because a slow worker may
/// get no more tasks that could show its recovery. Slowdowns on the sites last about 9 s.
const RETRY_AFTER: Duration = Duration::from_secs(8);

/// Weight of one sample in the speed of a slow worker.
const LEVEL_WEIGHT: f64 = 0.3;

/// Change of a worker's condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    None,
    Slowed,
    Recovered,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Slowdown {
    /// Evidence for a change to the other condition; never negative.
    evidence: f64,
    /// Logarithm of the speed in proportion to the usual one while slow.
    level: Option<f64>,
    /// When the latest slow task ended.
    latest: Instant,
    /// When the worker last counted as recovered. Tasks that started before are no evidence.
    recovered: Instant,
}

impl Slowdown {
    pub(super) const fn is_slow(&self) -> bool {
        self.level.is_some()
    }

    /// Logarithm of the speed in proportion to the usual one, if the worker is slow.
    pub(super) const fn slow_offset(&self) -> Option<f64> {
        self.level
    }

    /// Takes in one sample: the logarithm of the speed in proportion to the usual one, with its
    /// standard deviation, of a task that ran from `started` to `now`.
    pub(super) fn observe(
        &mut self,
        residual: f64,
        noise: f64,
        started: Instant,
        now: Instant,
    ) -> Transition {
        let slow = normal(residual - SLOW_OFFSET, noise);
        let usual = usual_likelihood(residual, noise);
        let ratio = (slow.max(f64::MIN_POSITIVE) / usual.max(f64::MIN_POSITIVE)).ln();
        let ratio = ratio.clamp(-MAX_EVIDENCE, MAX_EVIDENCE);
        let Some(level) = &mut self.level else {
            if started < self.recovered {
                return Transition::None;
            }
            self.evidence = (self.evidence + ratio).max(0.0);
            if self.evidence < SLOW_EVIDENCE {
                return Transition::None;
            }
            (self.evidence, self.level, self.latest) = (0.0, Some(SLOW_OFFSET), now);
            return Transition::Slowed;
        };
        *level += (residual.min(0.0) - *level) * LEVEL_WEIGHT;
        if ratio > 0.0 {
            self.latest = now;
        }
        self.evidence = (self.evidence - ratio).max(0.0);
        if self.evidence < RECOVERY_EVIDENCE {
            return Transition::None;
        }
        self.recover(now);
        Transition::Recovered
    }

    /// Lets a worker without slow tasks for a while count as recovered; returns whether it did.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let is_over = self.is_slow() && now.since(self.latest) > RETRY_AFTER;
        if is_over {
            self.recover(now);
        }
        is_over
    }

    const fn recover(&mut self, now: Instant) {
        (self.evidence, self.level, self.recovered) = (0.0, None, now);
    }
}

/// Likelihood of a sample of a healthy worker outside the tail.
pub(super) fn noise_likelihood(residual: f64, noise: f64) -> f64 {
    (1.0 - TAIL_SHARE) * normal(residual, noise)
}

fn usual_likelihood(residual: f64, noise: f64) -> f64 {
    noise_likelihood(residual, noise) + TAIL_SHARE * normal(residual - TAIL_OFFSET, noise)
}

/// Probability that a sample of a healthy worker belongs to the tail.
pub(super) fn tail_share(residual: f64, noise: f64) -> f64 {
    if residual >= 0.0 {
        return 0.0;
    }
    let usual = usual_likelihood(residual, noise);
    1.0 - noise_likelihood(residual, noise) / usual.max(f64::MIN_POSITIVE)
}

/// Density of the normal distribution but for a constant factor.
fn normal(residual: f64, noise: f64) -> f64 {
    (-residual.powi(2) / (2.0 * noise.powi(2))).exp()
}
