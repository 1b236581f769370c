//! Estimate of the slots that the requests of one service need at this instance.

use std::cmp::Reverse;

use crate::runner::share::{Handle, LocalSlots};

/// Divisor of the owned slots: at least one in four is kept at any load, so that a request that
/// arrives after an idle period finds a slot at once.
const RESERVE_DIVISOR: u32 = 4;
/// Standard deviations above the mean load for which slots are requested.
const DEVIATIONS: f64 = 2.0;

/// A runner's slots at this instance.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSlots {
    handle: Handle,
    owned: u32,
    in_use: u32,
}

impl RunnerSlots {
    /// Reads the slots of one runner from `shares`.
    pub fn of(handle: Handle, shares: &LocalSlots) -> Self {
        Self { handle, owned: shares.owned(handle), in_use: shares.in_use(handle) }
    }
}

/// Load of one service, sampled whenever a request arrives.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Number of attempts that hold a slot.
    pub in_flight: usize,
    /// Whether a request was refused for load since the last measurement.
    pub overloaded: bool,
    sum: f64,
    samples: u32,
    mean: f64,
}

impl Demand {
    /// Records the arrival of a request while `load` others are queued or in flight.
    pub fn sample(&mut self, load: usize) {
        self.sum += load as f64 + 1.0;
        self.samples += 1;
    }

    /// Divides the needed slots among the runners, busiest first, and starts a new measurement.
    ///
    /// The need is the mean load plus two standard deviations; for independent arrivals the
    /// standard deviation is the square root of the mean. After a refusal for load the need is
    /// unknown, and `u32::MAX` slots are requested at every runner.
    pub fn distribute(&mut self, mut runners: Vec<RunnerSlots>) -> Vec<(Handle, u32)> {
        let owned: u32 = runners.iter().map(|slots| slots.owned).sum();
        let measured = if self.samples > 0 { self.sum / f64::from(self.samples) } else { 0.0 };
        // A higher measurement takes effect at once, a lower one by half.
        self.mean = measured.max((self.mean + measured) / 2.0);
        let overloaded = std::mem::take(&mut self.overloaded);
        (self.sum, self.samples) = (0.0, 0);
        if overloaded {
            return runners.iter().map(|slots| (slots.handle, u32::MAX)).collect();
        }
        let need = (self.mean + DEVIATIONS * self.mean.sqrt()).ceil() as u32;
        let need = need.max(owned.div_ceil(RESERVE_DIVISOR));
        let count = u32::try_from(runners.len()).unwrap_or(u32::MAX).max(1);
        let (each, remainder) = (need / count, need % count);
        runners.sort_by_key(|slots| Reverse(slots.in_use));
        let part = |(index, slots): (usize, &RunnerSlots)| {
            let part = each + u32::from((index as u32) < remainder);
            (slots.handle, part.max(slots.in_use))
        };
        runners.iter().enumerate().map(part).collect()
    }
}
