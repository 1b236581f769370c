//! Which of the workers with room is taken.

use std::fmt::Debug;

use super::measure::{self, WHOLE};
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
    /// The dimension of which the largest part is in use.
    pub fn scarcest(used: &Amount, whole: &Amount) -> Self {
        let cpu = measure::ratio(used.cpu_millis, whole.cpu_millis);
        let memory = measure::ratio(used.memory_mib, whole.memory_mib);
        if memory > cpu { Self::Memory } else { Self::Cpu }
    }

    /// The part of `amount` in this dimension.
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
    /// What it needs.
    pub demand: Amount,
    /// What the worker has free.
    pub free: Amount,
    /// What the worker has in all.
    pub capacity: Amount,
    /// Tasks of the same job in the worker's rack.
    pub in_rack: usize,
    /// Tasks of the same job on the worker.
    pub on_worker: usize,
    /// The dimension scarcest in the whole failure domain.
    pub scarcest: Dimension,
}

/// Chooses among workers on which a task fits.
pub trait Scorer: Debug {
    /// The cost of a candidate; the least wins, the first of equals.
    fn score(&self, candidate: &Candidate) -> u64;

    /// Whether the first candidate is taken without looking at the others.
    fn accepts_first(&self) -> bool {
        false
    }
}

/// The scorer of a policy.
pub(super) fn of(policy: &Policy) -> Box<dyn Scorer> {
    match policy.strategy {
        Strategy::FirstFit => Box::new(FirstFit),
        Strategy::BestFit => Box::new(BestFit),
        Strategy::FairShare => {
            Box::new(PackOrSpread { objective: policy.objective, fit: policy.fit })
        }
    }
}

/// Takes the first worker with room.
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

/// Takes the worker with the least processor time left over.
#[derive(Debug)]
pub struct BestFit;

impl Scorer for BestFit {
    fn score(&self, candidate: &Candidate) -> u64 {
        candidate.free.cpu_millis.saturating_sub(candidate.demand.cpu_millis)
    }
}

/// Spreads long-running tasks over racks; packs the rest by the scarcest dimension.
#[derive(Debug)]
pub struct PackOrSpread {
    /// The deployment's leaning.
    pub objective: Objective,
    /// How the fit on a worker is rated.
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

/// Weight of a task of the same job in the same rack, above any cost of fit.
const SAME_RACK: u64 = 1 << 40;
/// Weight of a task of the same job on the same worker, below one in the same rack.
const SAME_WORKER: u64 = 1 << 24;

impl PackOrSpread {
    fn spread(&self, candidate: &Candidate) -> u64 {
        let fit = match self.objective {
            Objective::Packing => self.pack(candidate),
            Objective::Waiting => 3 * WHOLE - self.pack(candidate).min(3 * WHOLE),
        };
        let rack = (candidate.in_rack as u64).min(1 << 20) * SAME_RACK;
        let worker = (candidate.on_worker as u64).min(1 << 14) * SAME_WORKER;
        rack + worker + fit
    }
}

impl PackOrSpread {
    fn pack(&self, candidate: &Candidate) -> u64 {
        let room = candidate.free.saturating_sub(&candidate.demand);
        let cpu = measure::ratio(room.cpu_millis, candidate.capacity.cpu_millis);
        let memory = measure::ratio(room.memory_mib, candidate.capacity.memory_mib);
        let cost = match (self.fit, candidate.scarcest) {
            (FitMetric::Scarcest, Dimension::Memory) => memory + cpu / 10,
            (FitMetric::Scarcest, _) => cpu + memory / 10,
            (FitMetric::Sum, _) => cpu + memory,
            (FitMetric::Balance, _) => cpu.abs_diff(memory) + (cpu + memory) / 10,
        };
        cost + wasted(candidate)
    }
}

/// Cost of a worker with accelerators that the task leaves idle.
fn wasted(candidate: &Candidate) -> u64 {
    let idle = candidate.demand.accelerators == 0 && candidate.free.accelerators > 0;
    if idle { WHOLE } else { 0 }
}
