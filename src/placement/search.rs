//! The search for workers that can run a job's tasks.

use std::time::Duration;

use super::estimate::RunTimeEstimate;
use super::node::Node;
use super::round::{Rank, Round};
use super::scorer::{Candidate, Dimension};
use super::{BackfillEstimate, Engine, arithmetic};
use crate::clock::Instant;
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;

/// Cost of a worker on which a task of the job failed.
const FAILED_ON_WORKER_COST: u64 = 1 << 62;
/// Cost of a worker in a rack that is being drained.
const DRAINING_RACK_COST: u64 = 1 << 61;

/// A search for workers on behalf of a job.
#[derive(Clone, Debug)]
pub(super) struct PlacementQuery {
    pub(super) job: job::Id,
    pub(super) kind: Kind,
    pub(super) urgency: Urgency,
    pub(super) demand: Amount,
    pub(super) tasks: usize,
    pub(super) above_quota: bool,
    /// Whether it is a batch job that is not urgent, has no deadline and has not aged.
    pub(super) deferrable: bool,
    /// Whether it has reached the aging threshold or is expected to miss its deadline.
    pub(super) overdue: bool,
    /// Estimated end of a task that starts now, as used for backfilling; `None` when unknown.
    pub(super) expected_end: Option<Instant>,
    failed_workers: Vec<usize>,
    has_claims: bool,
}

impl PlacementQuery {
    /// The same query without access to the job's preemption claims.
    pub(super) fn without_claims(&self) -> Self {
        Self { has_claims: false, ..self.clone() }
    }
}

/// Why no task of a job was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Denial {
    /// No worker has enough free capacity.
    NoFreeCapacity,
    /// The free capacity is left to teams within their quota.
    Quota,
    /// The free capacity is reserved for another job.
    Reserved,
    /// The preset holds the job back.
    HeldByPreset,
    /// Preempted tasks have not stopped yet.
    Preempting,
}

impl Denial {
    /// Whether another job of the same class may still be placed.
    pub(super) fn concerns_single_job(self) -> bool {
        matches!(self, Self::Reserved | Self::Preempting)
    }

    /// Whether the job would start if there were more free capacity.
    pub(super) fn waits_for_capacity(self) -> bool {
        matches!(self, Self::NoFreeCapacity | Self::Reserved | Self::Preempting)
    }
}

impl Engine {
    /// The query for a waiting job.
    pub(super) fn query(&self, job: job::Id, rank: &Rank, round: &Round) -> Option<PlacementQuery> {
        let waiting = self.queue.get(job)?;
        let expected_end = match waiting.kind {
            Kind::LongRunning => None,
            Kind::Batch | Kind::Gang => {
                waiting.estimate.map(|estimate| round.now.after(self.backfill_run_time(&estimate)))
            }
        };
        Some(PlacementQuery {
            job,
            kind: waiting.kind,
            urgency: waiting.urgency,
            demand: waiting.demand,
            tasks: waiting.tasks.len(),
            above_quota: rank.above_quota,
            overdue: rank.is_overdue(),
            deferrable: rank.is_deferrable()
                && waiting.kind == Kind::Batch
                && waiting.deadline.is_none(),
            expected_end,
            failed_workers: self.failures.failed_workers(job).to_vec(),
            has_claims: self.claims.count(job) > 0,
        })
    }

    fn backfill_run_time(&self, estimate: &RunTimeEstimate) -> Duration {
        match self.policy.backfill {
            BackfillEstimate::Typical => estimate.typical,
            BackfillEstimate::UpperBound => estimate.upper_bound,
        }
    }

    /// The worker with the lowest cost for one task.
    pub(super) fn find_worker(
        &self,
        query: &PlacementQuery,
        round: &mut Round,
    ) -> Result<usize, Denial> {
        let mut best: Option<(u64, usize)> = None;
        let mut denial = Denial::NoFreeCapacity;
        let scarcest = Dimension::scarcest(&self.pool.used, &self.pool.capacity);
        let spread = self.allocations.spread(query.job);
        for (rack, members) in self.pool.racks.iter().enumerate() {
            if !query.demand.fits(&members.max_free) {
                continue;
            }
            let in_rack = spread.map_or(0, |spread| spread.in_rack(rack));
            let in_draining_rack = self.outlasts_drain(members.draining, query, round.now);
            for &index in &members.members {
                let node = self.pool.get(index);
                let free = match self.usable(index, node, query, round) {
                    Ok(free) => free,
                    Err(reason) => {
                        denial = denial.max(reason);
                        continue;
                    }
                };
                let on_worker = spread.map_or(0, |spread| spread.on_node(index));
                let candidate = Candidate {
                    kind: query.kind,
                    demand: query.demand,
                    free,
                    capacity: node.capacity,
                    in_rack,
                    on_worker,
                    scarcest,
                };
                let cost = self.cost(&candidate, index, query, in_draining_rack);
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, index));
                }
                if self.scorer.accepts_first() {
                    return Ok(index);
                }
            }
        }
        best.map(|(_, index)| index).ok_or(denial)
    }

    /// Workers for all tasks of a gang, with the number of tasks for each.
    ///
    /// Chooses the rack with the fewest slots that holds all tasks; else the racks with most slots.
    pub(super) fn find_gang_workers(
        &self,
        query: &PlacementQuery,
        tasks: usize,
        round: &mut Round,
    ) -> Result<Vec<(usize, usize)>, Denial> {
        let mut denial = Denial::NoFreeCapacity;
        let mut racks: Vec<(usize, Vec<(usize, usize)>)> = Vec::new();
        for rack in &self.pool.racks {
            if !query.demand.fits(&rack.max_free) {
                continue;
            }
            let mut nodes = Vec::new();
            for &index in &rack.members {
                match self.usable(index, self.pool.get(index), query, round) {
                    Ok(usable) => {
                        nodes.push((index, arithmetic::slots(&query.demand, &usable).min(tasks)))
                    }
                    Err(reason) => denial = denial.max(reason),
                }
            }
            nodes.sort_by_key(|&(_, slots)| slots);
            let slots = nodes.iter().map(|&(_, slots)| slots).sum();
            racks.push((slots, nodes));
        }
        let total: usize = racks.iter().map(|(slots, _)| slots).sum();
        if total < tasks {
            return Err(denial);
        }
        let tightest = racks.iter().filter(|(slots, _)| *slots >= tasks).min_by_key(|rack| rack.0);
        if let Some((_, nodes)) = tightest {
            return Ok(assign_slots(nodes.iter().copied(), tasks));
        }
        racks.sort_by_key(|(slots, _)| std::cmp::Reverse(*slots));
        Ok(assign_slots(racks.into_iter().flat_map(|(_, nodes)| nodes), tasks))
    }

    /// The part of a worker's free capacity that a task may use, which is at least its demand.
    fn usable(
        &self,
        index: usize,
        node: &Node,
        query: &PlacementQuery,
        round: &mut Round,
    ) -> Result<Amount, Denial> {
        let mut usable = node.unclaimed();
        if query.has_claims {
            let others = node.claimed.saturating_sub(&self.claims.claimed_on(query.job, index));
            usable = node.free().saturating_sub(&others);
        }
        if query.deferrable && self.policy.headroom_permille > 0 {
            usable = usable.saturating_sub(&arithmetic::fraction(
                &node.capacity,
                self.policy.headroom_permille,
            ));
        }
        if !query.demand.fits(&usable) || !node.accepts(query.kind, query.urgency) {
            return Err(Denial::NoFreeCapacity);
        }
        let respects_reservations = query.urgency == Urgency::Normal;
        if respects_reservations {
            usable = self.reservations.allowance(query.job, index, usable, query.expected_end);
            if !query.demand.fits(&usable) {
                return Err(Denial::Reserved);
            }
        }
        let fits_starved = |demand: &Amount| demand.fits(&node.capacity);
        if query.above_quota && self.starved_demands(round).iter().any(fits_starved) {
            return Err(Denial::Quota);
        }
        Ok(usable)
    }

    fn cost(
        &self,
        candidate: &Candidate,
        index: usize,
        query: &PlacementQuery,
        in_draining_rack: bool,
    ) -> u64 {
        let failed = if query.failed_workers.contains(&index) { FAILED_ON_WORKER_COST } else { 0 };
        let in_draining_rack = if in_draining_rack { DRAINING_RACK_COST } else { 0 };
        failed + in_draining_rack + self.scorer.score(candidate)
    }

    /// Whether workers of a rack drain and the task would outlast the preset's horizon.
    fn outlasts_drain(&self, draining: usize, query: &PlacementQuery, now: Instant) -> bool {
        let Some(horizon) = self.policy.drain_horizon.filter(|_| draining > 0) else {
            return false;
        };
        query.expected_end.is_none_or(|end| end > now.after(horizon))
    }
}

fn assign_slots(nodes: impl Iterator<Item = (usize, usize)>, tasks: usize) -> Vec<(usize, usize)> {
    let mut left = tasks;
    let take = |(node, slots): (usize, usize)| {
        let taken = slots.min(left);
        left -= taken;
        (node, taken)
    };
    nodes.map(take).filter(|&(_, taken)| taken > 0).collect()
}
