//! Scoring of the workers on which a task fits.

use std::fmt::Debug;

use super::arithmetic::{self, ONE_MILLION};
use super::{FitMetric, Objective, Policy, Strategy};
use crate::job::Kind;
use crate::resource::Amount;

/// A dimension of an [`Amount`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dimension {
    /// Processor time.
    #[default]
    Cpu,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerators,
}

impl Dimension {
    /// The dimension, processors or memory, of which the larger share is in use.
    pub fn scarcest(used: &Amount, whole: &Amount) -> Self {
        let cpu = arithmetic::ratio_ppm(used.cpu_millis, whole.cpu_millis);
        let memory = arithmetic::ratio_ppm(used.memory_mib, whole.memory_mib);
        if memory > cpu { Self::Memory } else { Self::Cpu }
    }

    /// The value of `amount` in this dimension.
    pub fn of(self, amount: &Amount) -> u64 {
        match self {
            Self::Cpu => amount.cpu_millis,
            Self::Memory => amount.memory_mib,
            Self::Accelerators => amount.accelerators,
        }
    }
}

/// A worker on which a task fits.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// How the task is placed.
    pub kind: Kind,
    /// Its demand.
    pub demand: Amount,
    /// Free capacity of the worker.
    pub free: Amount,
    /// Total capacity of the worker.
    pub capacity: Amount,
    /// Tasks of the same job in the worker's rack.
    pub in_rack: usize,
    /// Tasks of the same job on the worker.
    pub on_worker: usize,
    /// The scarcest dimension in the failure domain.
    pub scarcest: Dimension,
}

/// Scores the workers on which a task fits.
pub trait Scorer: Debug {
    /// The cost of a candidate. The lowest cost wins; of equals, the first.
    fn score(&self, candidate: &Candidate) -> u64;

    /// Whether the first candidate is taken without scoring the others.
    fn accepts_first(&self) -> bool {
        false
    }
}

/// The scorer of a policy.
pub(super) fn for_policy(policy: &Policy) -> Box<dyn Scorer> {
    match policy.strategy {
        Strategy::FirstFit => Box::new(FirstFit),
        Strategy::BestFit => Box::new(BestFit),
        Strategy::FairShare => {
            Box::new(PackOrSpread { objective: policy.objective, fit: policy.fit })
        }
    }
}

/// Chooses the first worker on which the task fits.
#[derive(Debug)]
pub struct FirstFit;

impl Scorer for FirstFit {
    fn score(&self, _candidate: &Candidate) -> u64 {
        0
    }

    fn accepts_first(&self) -> bool {
        true
    }
}

/// Chooses the worker with the least processor time left.
#[derive(Debug)]
pub struct BestFit;

impl Scorer for BestFit {
    fn score(&self, candidate: &Candidate) -> u64 {
        candidate.free.cpu_millis.saturating_sub(candidate.demand.cpu_millis)
    }
}

/// Spreads long-running tasks over racks and packs all others.
#[derive(Debug)]
pub struct PackOrSpread {
    /// What the deployment favours.
    pub objective: Objective,
    /// How the fit on a worker is scored.
    pub fit: FitMetric,
}

impl Scorer for PackOrSpread {
    fn score(&self, candidate: &Candidate) -> u64 {
        match candidate.kind {
            Kind::LongRunning => self.spread(candidate),
            Kind::Batch | Kind::Gang => self.pack(candidate),
        }
    }
}

/// Cost of each task of the same job in the same rack; higher than any cost of fit.
const SAME_RACK_COST: u64 = 1 << 40;
/// Cost of each task of the same job on the same worker; lower than of one in the same rack.
const SAME_WORKER_COST: u64 = 1 << 24;

impl PackOrSpread {
    fn spread(&self, candidate: &Candidate) -> u64 {
        let fit = match self.objective {
            Objective::Packing => self.pack(candidate),
            Objective::Waiting => 3 * ONE_MILLION - self.pack(candidate).min(3 * ONE_MILLION),
        };
        let rack = (candidate.in_rack as u64).min(1 << 20) * SAME_RACK_COST;
        let worker = (candidate.on_worker as u64).min(1 << 14) * SAME_WORKER_COST;
        rack + worker + fit
    }
}

impl PackOrSpread {
    fn pack(&self, candidate: &Candidate) -> u64 {
        let left = candidate.free.saturating_sub(&candidate.demand);
        let cpu = arithmetic::ratio_ppm(left.cpu_millis, candidate.capacity.cpu_millis);
        let memory = arithmetic::ratio_ppm(left.memory_mib, candidate.capacity.memory_mib);
        let cost = match (self.fit, candidate.scarcest) {
            (FitMetric::Scarcest, Dimension::Memory) => memory + cpu / 10,
            (FitMetric::Scarcest, _) => cpu + memory / 10,
            (FitMetric::Sum, _) => cpu + memory,
            (FitMetric::Balance, _) => cpu.abs_diff(memory) + (cpu + memory) / 10,
        };
        cost + idle_accelerator_cost(candidate)
    }
}

/// Cost of placing a task that needs no accelerator on a worker with free ones.
fn idle_accelerator_cost(candidate: &Candidate) -> u64 {
    let idle = candidate.demand.accelerators == 0 && candidate.free.accelerators > 0;
    if idle { ONE_MILLION } else { 0 }
}
