//! Selection of tasks to preempt, and the claims on the capacity that they free.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::allocation::{Allocation, Allocations};
use super::arithmetic;
use super::node::Node;
use super::pool::Pool;
use super::search::PlacementQuery;
use crate::clock::{Instant, millis};
use crate::job::{self, Urgency};
use crate::resource::Amount;
use crate::task;

/// Workers whose tasks are examined one by one; those with the smallest shortfall are preferred.
const MAX_EXAMINED: usize = 32;
/// How long a claim stays valid.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(30);

/// Tasks to preempt on one worker.
#[derive(Debug)]
pub(super) struct VictimSet {
    pub(super) node: usize,
    pub(super) victims: Vec<task::Id>,
    lost_work: u64,
}

/// The victims that free enough capacity for the query's demand on one worker with the least lost
/// work.
///
/// A query that is not urgent (a gang that waited for long) spares tasks with a deadline.
pub(super) fn choose(
    pool: &Pool,
    allocations: &Allocations,
    query: &PlacementQuery,
    now: Instant,
) -> Option<VictimSet> {
    let demand = &query.demand;
    let spare_deadlines = query.urgency == Urgency::Normal;
    let mut candidates: Vec<_> = pool
        .nodes()
        .iter()
        .enumerate()
        .filter(|(_, node)| node.accepts(query.kind, query.urgency) && could_fit(node, demand))
        .map(|(index, node)| (shortfall(node, demand), index))
        .collect();
    if candidates.len() > MAX_EXAMINED {
        candidates.select_nth_unstable(MAX_EXAMINED);
        candidates.truncate(MAX_EXAMINED);
    }
    let sets = candidates
        .iter()
        .filter_map(|&(_, node)| victims(pool, allocations, node, demand, spare_deadlines, now));
    sets.min_by_key(|set| (set.lost_work, set.node))
}

fn could_fit(node: &Node, demand: &Amount) -> bool {
    let used = node.used().saturating_sub(&node.preemptible).saturating_add(&node.claimed);
    demand.fits(&node.capacity.saturating_sub(&used))
}

fn shortfall(node: &Node, demand: &Amount) -> u64 {
    arithmetic::dominant_share(&demand.saturating_sub(&node.unclaimed()), &node.capacity)
}

fn victims(
    pool: &Pool,
    allocations: &Allocations,
    index: usize,
    demand: &Amount,
    spare_deadlines: bool,
    now: Instant,
) -> Option<VictimSet> {
    let node = pool.get(index);
    let mut tasks: Vec<(u64, task::Id, Amount)> = node
        .expected_ends
        .iter()
        .filter_map(|&(_, task)| allocations.get(task).map(|allocation| (task, allocation)))
        .filter(|(_, allocation)| allocation.is_preemptible())
        .filter(|(_, allocation)| !spare_deadlines || allocation.deadline.is_none())
        .map(|(task, allocation)| (lost_work(allocation, now), task, allocation.demand))
        .collect();
    tasks.sort_unstable_by_key(|&(lost_work, task, _)| (lost_work, task));
    let mut used = node.used().saturating_add(&node.claimed);
    let mut chosen = Vec::new();
    for victim in tasks {
        if demand.fits(&node.capacity.saturating_sub(&used)) {
            break;
        }
        used = used.saturating_sub(&victim.2);
        chosen.push(victim);
    }
    if !demand.fits(&node.capacity.saturating_sub(&used)) {
        return None;
    }
    drop_unneeded(&mut chosen, node, used, demand);
    let lost_work = chosen.iter().map(|victim| victim.0).fold(0, u64::saturating_add);
    let victims = chosen.into_iter().map(|victim| victim.1).collect();
    Some(VictimSet { node: index, victims, lost_work })
}

/// Removes victims that are not needed, those with the most lost work first.
fn drop_unneeded(
    chosen: &mut Vec<(u64, task::Id, Amount)>,
    node: &Node,
    used: Amount,
    demand: &Amount,
) {
    let mut used = used;
    chosen.sort_unstable_by_key(|&(lost_work, task, _)| Reverse((lost_work, task)));
    chosen.retain(|victim| {
        let with = used.saturating_add(&victim.2);
        let needed = !demand.fits(&node.capacity.saturating_sub(&with));
        if !needed {
            used = with;
        }
        needed
    });
}

/// Work lost by stopping a task: its run time so far times its processors.
fn lost_work(allocation: &Allocation, now: Instant) -> u64 {
    millis(now.since(allocation.started)).saturating_mul(allocation.demand.cpu_millis.max(1))
}

/// Capacity on a worker that is set aside for a job whose victims are being stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct PreemptionClaim {
    pub(super) node: usize,
    pub(super) demand: Amount,
    since: Instant,
}

/// Claims by job.
#[derive(Debug, Default)]
pub(super) struct PreemptionClaims {
    by_job: BTreeMap<job::Id, Vec<PreemptionClaim>>,
}

impl PreemptionClaims {
    pub(super) fn count(&self, job: job::Id) -> usize {
        self.by_job.get(&job).map_or(0, Vec::len)
    }

    /// Amount that a job has claimed on a worker.
    pub(super) fn claimed_on(&self, job: job::Id, node: usize) -> Amount {
        let Some(claims) = self.by_job.get(&job) else { return Amount::ZERO };
        let here = claims.iter().filter(|claim| claim.node == node);
        here.fold(Amount::ZERO, |sum, claim| sum.saturating_add(&claim.demand))
    }

    pub(super) fn add(
        &mut self,
        pool: &mut Pool,
        job: job::Id,
        node: usize,
        demand: Amount,
        since: Instant,
    ) {
        pool.update(node, |node| node.claimed = node.claimed.saturating_add(&demand));
        self.by_job.entry(job).or_default().push(PreemptionClaim { node, demand, since });
    }

    /// Releases one claim of a job whose task starts on `node`, preferably one on that worker.
    pub(super) fn release_one(&mut self, pool: &mut Pool, job: job::Id, node: usize) {
        let Some(claims) = self.by_job.get_mut(&job) else { return };
        let here = claims.iter().position(|claim| claim.node == node).unwrap_or(0);
        let claim = claims.swap_remove(here);
        if claims.is_empty() {
            self.by_job.remove(&job);
        }
        release(pool, &claim);
    }

    pub(super) fn remove_job(&mut self, pool: &mut Pool, job: job::Id) {
        for claim in self.by_job.remove(&job).unwrap_or_default() {
            release(pool, &claim);
        }
    }

    /// Releases claims that are older than [`CLAIM_TIMEOUT`], as their victims did not stop.
    pub(super) fn expire(&mut self, pool: &mut Pool, now: Instant) {
        self.by_job.retain(|_, claims| {
            claims.retain(|claim| {
                let is_valid = claim.since.after(CLAIM_TIMEOUT) > now;
                if !is_valid {
                    release(pool, claim);
                }
                is_valid
            });
            !claims.is_empty()
        });
    }
}

fn release(pool: &mut Pool, claim: &PreemptionClaim) {
    pool.update(claim.node, |node| node.claimed = node.claimed.saturating_sub(&claim.demand));
    pool.mark_grown(claim.node);
}
