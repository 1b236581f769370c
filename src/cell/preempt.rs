//! Choice of the running tasks to stop for more urgent ones.
//!
//! The problem arises with a burst of wide gangs, or with a failure domain cut off, on a site at
//! 80% load. A gang of a dozen tasks finds no worker with enough free capacity while small tasks
//! that write checkpoints and can afford a delay run everywhere. Without preemption it waited for
//! half a minute and missed its deadline. Stopping a task that writes checkpoints loses only the
//! time for its stop and restart.

use super::job::Run;
use crate::resource::Amount;

/// Time that a stopped task loses, in milliseconds: 200 to 400 ms until it has stopped, and 250 ms
/// to restore its checkpoint.
pub const PREEMPTION_COST_MS: u64 = 500;

/// A task that may be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The run.
    pub run: Run,
    /// Resources that it releases.
    pub demand: Amount,
}

impl Victim {
    /// Work lost by stopping it, in thousandths of a core times milliseconds.
    const fn lost(&self) -> u64 {
        self.demand.cpu_millis.saturating_mul(PREEMPTION_COST_MS)
    }
}

/// A worker on which tasks may be placed.
#[derive(Clone, Debug)]
pub struct CandidateWorker {
    /// Free capacity.
    pub free: Amount,
    /// Maximum number of further tasks of the step on this worker.
    pub max_tasks: usize,
    /// Tasks that may be stopped there.
    pub victims: Vec<Victim>,
}

/// Tasks to stop, and the result.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Preemption {
    /// Number of tasks that can be placed.
    pub placeable: usize,
    /// Runs to stop.
    pub victims: Vec<Run>,
    /// Work lost, in thousandths of a core times milliseconds.
    pub lost_work: u64,
}

/// Chooses the runs to stop so that `count` tasks of `demand` can be placed, or as many as
/// possible. Workers where least work is lost come first.
///
/// ```
/// use oriolefork::cell::preempt::{CandidateWorker, choose_victims};
/// use oriolefork::resource::Amount;
/// let cores = |cores: u64| Amount { cpu_millis: cores * 1_000, memory_mib: 0, accelerators: 0 };
/// let worker = CandidateWorker { free: cores(4), max_tasks: 9, victims: Vec::new() };
/// let choice = choose_victims(&cores(3), 2, vec![worker]);
/// assert_eq!((choice.placeable, choice.lost_work), (1, 0));
/// ```
pub fn choose_victims(
    demand: &Amount,
    count: usize,
    mut workers: Vec<CandidateWorker>,
) -> Preemption {
    let mut choice = Preemption::default();
    for _ in 0..count {
        let options = workers.iter().enumerate();
        let options = options.filter_map(|(at, worker)| Some((at, worker.victims_for(demand)?)));
        let cost = |(at, taken): &(usize, Vec<usize>)| (workers[*at].lost(taken), *at);
        let Some((at, taken)) = options.min_by_key(cost) else { break };
        choice.lost_work = choice.lost_work.saturating_add(workers[at].lost(&taken));
        choice.victims.extend(workers[at].place_task(demand, &taken));
        choice.placeable += 1;
    }
    choice
}

impl CandidateWorker {
    /// Indexes of the victims to stop for one task, in ascending order; empty if it fits already,
    /// `None` if it cannot fit.
    fn victims_for(&self, demand: &Amount) -> Option<Vec<usize>> {
        if self.max_tasks == 0 {
            return None;
        }
        let mut free = self.free;
        let mut taken = Vec::new();
        let mut order: Vec<usize> = (0..self.victims.len()).collect();
        order.sort_by_key(|&number| self.victims[number].lost());
        let mut order = order.into_iter();
        while !demand.fits(&free) {
            let number = order.next()?;
            free = free.saturating_add(&self.victims[number].demand);
            taken.push(number);
        }
        self.release_unneeded(demand, free, &mut taken);
        taken.sort_unstable();
        Some(taken)
    }

    /// Removes victims that turn out to be unnecessary, the costliest first.
    fn release_unneeded(&self, demand: &Amount, mut free: Amount, taken: &mut Vec<usize>) {
        for at in (0..taken.len()).rev() {
            let without = free.saturating_sub(&self.victims[taken[at]].demand);
            if demand.fits(&without) {
                free = without;
                taken.remove(at);
            }
        }
    }

    fn lost(&self, taken: &[usize]) -> u64 {
        let lost = taken.iter().map(|&number| self.victims[number].lost());
        lost.fold(0, u64::saturating_add)
    }

    fn place_task(&mut self, demand: &Amount, taken: &[usize]) -> Vec<Run> {
        let mut runs = Vec::new();
        for &number in taken.iter().rev() {
            let victim = self.victims.remove(number);
            self.free = self.free.saturating_add(&victim.demand);
            runs.push(victim.run);
        }
        self.free = self.free.saturating_sub(demand);
        self.max_tasks -= 1;
        runs
    }
}
