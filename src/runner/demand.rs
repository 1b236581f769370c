//! How many slots the requests of one service need at this instance.

use std::cmp::Reverse;

use crate::runner::share::{Handle, LocalSlots};

/// Part of the owned slots that is kept whatever the load is, one of so many: a request that comes
/// after a quiet time finds a slot at once.
const RESERVE: u32 = 4;
/// Deviations above the mean load that should still find a slot.
const DEVIATIONS: f64 = 2.0;

/// A runner's slots at this instance.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSlots {
    handle: Handle,
    owned: u32,
    in_use: u32,
}

impl RunnerSlots {
    /// What `shares` says of a runner.
    pub fn of(handle: Handle, shares: &LocalSlots) -> Self {
        Self { handle, owned: shares.owned(handle), in_use: shares.in_use(handle) }
    }
}

/// Load of one service as its arriving requests meet it.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Attempts that hold a slot.
    pub in_flight: usize,
    /// Whether a request was refused for load since the last measurement.
    pub overloaded: bool,
    sum: f64,
    samples: u32,
    mean: f64,
}

impl Demand {
    /// Counts an arriving request that meets `load` others.
    pub fn sample(&mut self, load: usize) {
        self.sum += load as f64 + 1.0;
        self.samples += 1;
    }

    /// Divides what is needed among the runners, busy ones first, and starts a new measurement.
    ///
    /// The need is the mean load and some of its deviations, which for independent arrivals is the
    /// square root of the mean. After a refusal the need is not known and everything is asked for.
    pub fn distribute(&mut self, mut runners: Vec<RunnerSlots>) -> Vec<(Handle, u32)> {
        let owned: u32 = runners.iter().map(|slots| slots.owned).sum();
        let measured = if self.samples > 0 { self.sum / f64::from(self.samples) } else { 0.0 };
        // Grows at once and shrinks slowly.
        self.mean = measured.max((self.mean + measured) / 2.0);
        let overloaded = std::mem::take(&mut self.overloaded);
        (self.sum, self.samples) = (0.0, 0);
        if overloaded {
            return runners.iter().map(|slots| (slots.handle, u32::MAX)).collect();
        }
        let need = (self.mean + DEVIATIONS * self.mean.sqrt()).ceil() as u32;
        let need = need.max(owned.div_ceil(RESERVE));
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
