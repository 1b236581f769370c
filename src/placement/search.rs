//! The search for a worker with room that a task may use.

use std::time::Duration;

use super::estimate::RunTimeEstimate;
use super::node::Node;
use super::round::{Rank, Round};
use super::scorer::{Candidate, Dimension};
use super::{BackfillEstimate, Engine, measure};
use crate::clock::Instant;
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;

/// Cost of a worker on which a task of the job failed.
const FAILED_HERE: u64 = 1 << 62;
/// Cost of a worker in a rack that is being drained.
const SERVICED: u64 = 1 << 61;

/// A task that looks for room.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    pub(super) job: job::Id,
    pub(super) kind: Kind,
    pub(super) urgency: Urgency,
    pub(super) demand: Amount,
    pub(super) tasks: usize,
    pub(super) above_quota: bool,
    /// Whether it is batch work without urgency, deadline or long waiting.
    pub(super) plain: bool,
    /// Whether it has waited for long or is expected to miss its deadline.
    pub(super) overdue: bool,
    /// When the task will surely have ended if it starts now, as far as that is known.
    pub(super) ends: Option<Instant>,
    avoided: Vec<usize>,
    pledged: bool,
}

impl Ask {
    /// The same ask as if nothing were pledged to it.
    pub(super) fn without_pledges(&self) -> Self {
        Self { pledged: false, ..self.clone() }
    }
}

/// Why no worker was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Denial {
    /// None has room.
    NoRoom,
    /// Room is kept for teams within their quota.
    Quota,
    /// Room is kept for a gang.
    Reserved,
    /// The preset holds the work back.
    Held,
    /// Victims have not stopped yet.
    Preempting,
}

impl Denial {
    /// Whether another job of the same class may fare better.
    pub(super) fn is_of_one_job(self) -> bool {
        matches!(self, Self::Reserved | Self::Preempting)
    }

    /// Whether the work would run if there were more room.
    pub(super) fn is_for_room(self) -> bool {
        matches!(self, Self::NoRoom | Self::Reserved | Self::Preempting)
    }
}

impl Engine {
    /// The ask of each task of a waiting job.
    pub(super) fn ask(&self, job: job::Id, rank: &Rank, round: &Round) -> Option<Ask> {
        let waiting = self.queue.get(job)?;
        let ends = match waiting.kind {
            Kind::LongRunning => None,
            Kind::Batch | Kind::Gang => {
                waiting.estimate.map(|estimate| round.now.after(self.horizon(&estimate)))
            }
        };
        Some(Ask {
            job,
            kind: waiting.kind,
            urgency: waiting.urgency,
            demand: waiting.demand,
            tasks: waiting.tasks.len(),
            above_quota: rank.above_quota,
            overdue: rank.is_overdue(),
            plain: rank.is_plain() && waiting.kind == Kind::Batch && waiting.deadline.is_none(),
            ends,
            avoided: self.health.avoided(job).to_vec(),
            pledged: self.pledges.count(job) > 0,
        })
    }

    fn horizon(&self, estimate: &RunTimeEstimate) -> Duration {
        match self.policy.backfill {
            BackfillEstimate::Typical => estimate.typical,
            BackfillEstimate::UpperBound => estimate.upper_bound,
        }
    }

    /// The worker that costs least.
    pub(super) fn find(&self, ask: &Ask, round: &mut Round) -> Result<usize, Denial> {
        let mut best: Option<(u64, usize)> = None;
        let mut denial = Denial::NoRoom;
        let scarcest = Dimension::scarcest(&self.pool.used, &self.pool.capacity);
        let spread = self.ledger.spread(ask.job);
        for (rack, members) in self.pool.racks.iter().enumerate() {
            if !ask.demand.fits(&members.widest) {
                continue;
            }
            let in_rack = spread.map_or(0, |spread| spread.in_rack(rack));
            let serviced = self.is_serviced(members.draining, ask, round.now);
            for &index in &members.members {
                let node = self.pool.get(index);
                let free = match self.room(index, node, ask, round) {
                    Ok(free) => free,
                    Err(reason) => {
                        denial = denial.max(reason);
                        continue;
                    }
                };
                let on_worker = spread.map_or(0, |spread| spread.on_node(index));
                let candidate = Candidate {
                    kind: ask.kind,
                    demand: ask.demand,
                    free,
                    capacity: node.capacity,
                    in_rack,
                    on_worker,
                    scarcest,
                };
                let cost = self.cost(&candidate, index, ask, serviced);
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

    /// Workers for all tasks of a gang, with how many go to each.
    ///
    /// The tightest rack that holds all of them is taken; else as few racks as possible.
    pub(super) fn find_all(
        &self,
        ask: &Ask,
        tasks: usize,
        round: &mut Round,
    ) -> Result<Vec<(usize, usize)>, Denial> {
        let mut denial = Denial::NoRoom;
        let mut racks: Vec<(usize, Vec<(usize, usize)>)> = Vec::new();
        for rack in &self.pool.racks {
            if !ask.demand.fits(&rack.widest) {
                continue;
            }
            let mut nodes = Vec::new();
            for &index in &rack.members {
                match self.room(index, self.pool.get(index), ask, round) {
                    Ok(room) => nodes.push((index, measure::slots(&ask.demand, &room).min(tasks))),
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
            return Ok(fill(nodes.iter().copied(), tasks));
        }
        racks.sort_by_key(|(slots, _)| std::cmp::Reverse(*slots));
        Ok(fill(racks.into_iter().flat_map(|(_, nodes)| nodes), tasks))
    }

    /// The part of a worker's room that a task may use, which is at least what it needs.
    fn room(
        &self,
        index: usize,
        node: &Node,
        ask: &Ask,
        round: &mut Round,
    ) -> Result<Amount, Denial> {
        let mut room = node.free();
        if ask.pledged {
            let others = node.pledged.saturating_sub(&self.pledges.on(ask.job, index));
            room = node.room().saturating_sub(&others);
        }
        if ask.plain && self.policy.headroom_permille > 0 {
            room =
                room.saturating_sub(&measure::part(&node.capacity, self.policy.headroom_permille));
        }
        if !ask.demand.fits(&room) || !node.takes(ask.kind, ask.urgency) {
            return Err(Denial::NoRoom);
        }
        let backfills = ask.urgency == Urgency::Normal;
        if backfills {
            room = self.reservations.allowance(ask.job, index, room, ask.ends);
            if !ask.demand.fits(&room) {
                return Err(Denial::Reserved);
            }
        }
        let keeps = |demand: &Amount| demand.fits(&node.capacity);
        if ask.above_quota && self.starved(round).iter().any(keeps) {
            return Err(Denial::Quota);
        }
        Ok(room)
    }

    fn cost(&self, candidate: &Candidate, index: usize, ask: &Ask, serviced: bool) -> u64 {
        let failed = if ask.avoided.contains(&index) { FAILED_HERE } else { 0 };
        let serviced = if serviced { SERVICED } else { 0 };
        failed + serviced + self.scorer.score(candidate)
    }

    /// Whether a rack is being drained and the task would outlast the preset's horizon.
    fn is_serviced(&self, draining: usize, ask: &Ask, now: Instant) -> bool {
        let Some(horizon) = self.policy.drain_horizon.filter(|_| draining > 0) else {
            return false;
        };
        ask.ends.is_none_or(|ends| ends > now.after(horizon))
    }
}

fn fill(nodes: impl Iterator<Item = (usize, usize)>, tasks: usize) -> Vec<(usize, usize)> {
    let mut left = tasks;
    let take = |(node, slots): (usize, usize)| {
        let taken = slots.min(left);
        left -= taken;
        (node, taken)
    };
    nodes.map(take).filter(|&(_, taken)| taken > 0).collect()
}
