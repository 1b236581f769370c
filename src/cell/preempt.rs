//! Which running tasks make room for more urgent ones.
//!
//! The pattern that this answers: a burst of wide gangs, or a failure domain cut off, on a site that is
//! four fifths full. A gang of a dozen tasks finds no worker with room enough while small tasks that
//! save their progress, and have time left, run everywhere; it used to wait for half a minute and came
//! too late. Stopping a task that saves its progress loses only the time to stop and begin it again.

use super::job::Run;
use crate::resource::Amount;

/// Time that a stopped task loses, in milliseconds: 200 to 400 ms until the stop is done, 250 ms to
/// take up its progress.
pub const PREEMPTION_COST_MS: u64 = 500;

/// A task that may be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// The try.
    pub run: Run,
    /// Room that it gives back.
    pub demand: Amount,
}

impl Victim {
    /// Work lost by stopping it, in thousandths of a core times milliseconds.
    const fn lost(&self) -> u64 {
        self.demand.cpu_millis * PREEMPTION_COST_MS
    }
}

/// A worker that tasks may go to.
#[derive(Clone, Debug)]
pub struct CandidateWorker {
    /// Room that is free.
    pub free: Amount,
    /// Tasks of the step that may still go there.
    pub max_tasks: usize,
    /// Tasks that may be stopped there.
    pub victims: Vec<Victim>,
}

/// What makes room.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Preemption {
    /// Tasks that then fit.
    pub placeable: usize,
    /// Tries to stop.
    pub victims: Vec<Run>,
    /// Work lost, in thousandths of a core times milliseconds.
    pub lost_work: u64,
}

/// Chooses what to stop so that `count` tasks of `demand` fit, or as many as can, where least work
/// is lost first.
///
/// ```
/// use oriolefork::cell::preempt::{CandidateWorker, choose};
/// use oriolefork::resource::Amount;
/// let cores = |cores: u64| Amount { cpu_millis: cores * 1_000, memory_mib: 0, accelerators: 0 };
/// let place = CandidateWorker { room: cores(4), bound: 9, victims: Vec::new() };
/// let choice = choose(&cores(3), 2, vec![place]);
/// assert_eq!((choice.fitting, choice.lost), (1, 0));
/// ```
pub fn choose_victims(
    demand: &Amount,
    count: usize,
    mut places: Vec<CandidateWorker>,
) -> Preemption {
    let mut choice = Preemption::default();
    for _ in 0..count {
        let options = places.iter().enumerate();
        let options = options.filter_map(|(at, place)| Some((at, place.victims_for(demand)?)));
        let cost = |(at, taken): &(usize, Vec<usize>)| (places[*at].lost(taken), *at);
        let Some((at, taken)) = options.min_by_key(cost) else { break };
        choice.lost_work += places[at].lost(&taken);
        choice.victims.extend(places[at].place_task(demand, &taken));
        choice.placeable += 1;
    }
    choice
}

impl CandidateWorker {
    /// Victims whose end makes room for one task, by their numbers in rising order; none where it
    /// fits already, `None` where it cannot fit.
    fn victims_for(&self, demand: &Amount) -> Option<Vec<usize>> {
        if self.max_tasks == 0 {
            return None;
        }
        let mut room = self.free;
        let mut taken = Vec::new();
        let mut order: Vec<usize> = (0..self.victims.len()).collect();
        order.sort_by_key(|&number| self.victims[number].lost());
        let mut order = order.into_iter();
        while !demand.fits(&room) {
            let number = order.next()?;
            room = room.saturating_add(&self.victims[number].demand);
            taken.push(number);
        }
        self.release_unneeded(demand, room, &mut taken);
        taken.sort_unstable();
        Some(taken)
    }

    /// Lets go the costliest victims that turn out not to be needed.
    fn release_unneeded(&self, demand: &Amount, mut room: Amount, taken: &mut Vec<usize>) {
        for at in (0..taken.len()).rev() {
            let without = room.saturating_sub(&self.victims[taken[at]].demand);
            if demand.fits(&without) {
                room = without;
                taken.remove(at);
            }
        }
    }

    fn lost(&self, taken: &[usize]) -> u64 {
        taken.iter().map(|&number| self.victims[number].lost()).sum()
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
