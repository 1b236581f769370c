//! Which running tasks make room for urgent work.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::ledger::{Ledger, Running};
use super::measure;
use super::node::Node;
use super::pool::Pool;
use super::search::Ask;
use crate::clock::{Instant, millis};
use crate::job::{self, Urgency};
use crate::resource::Amount;
use crate::task;

/// Workers whose tasks are looked at one by one; those that lack least come first.
const LOOKED_AT: usize = 32;
/// How long room stays pledged while its victims do not stop.
const PATIENCE: Duration = Duration::from_secs(30);

/// Tasks to preempt on a worker.
#[derive(Debug)]
pub(super) struct Choice {
    pub(super) node: usize,
    pub(super) victims: Vec<task::Id>,
    lost: u64,
}

/// The choice that loses least work while making room for `demand`.
pub(super) fn choose(pool: &Pool, ledger: &Ledger, ask: &Ask, now: Instant) -> Option<Choice> {
    let demand = &ask.demand;
    let spares_dated = ask.urgency == Urgency::Normal;
    let mut near: Vec<_> = pool
        .nodes()
        .iter()
        .enumerate()
        .filter(|(_, node)| node.takes(ask.kind, ask.urgency) && could_fit(node, demand))
        .map(|(index, node)| (lack(node, demand), index))
        .collect();
    if near.len() > LOOKED_AT {
        near.select_nth_unstable(LOOKED_AT);
        near.truncate(LOOKED_AT);
    }
    let choices =
        near.iter().filter_map(|&(_, node)| victims(pool, ledger, node, demand, spares_dated, now));
    choices.min_by_key(|choice| (choice.lost, choice.node))
}

fn could_fit(node: &Node, demand: &Amount) -> bool {
    let kept = node.used().saturating_sub(&node.preemptible).saturating_add(&node.pledged);
    demand.fits(&node.capacity.saturating_sub(&kept))
}

fn lack(node: &Node, demand: &Amount) -> u64 {
    measure::share(&demand.saturating_sub(&node.free()), &node.capacity)
}

fn victims(
    pool: &Pool,
    ledger: &Ledger,
    index: usize,
    demand: &Amount,
    spares_dated: bool,
    now: Instant,
) -> Option<Choice> {
    let node = pool.get(index);
    let mut tasks: Vec<(u64, task::Id, Amount)> = node
        .ends
        .iter()
        .filter_map(|&(_, task)| ledger.get(task).map(|running| (task, running)))
        .filter(|(_, running)| running.is_preemptible())
        .filter(|(_, running)| !spares_dated || running.deadline.is_none())
        .map(|(task, running)| (work(running, now), task, running.demand))
        .collect();
    tasks.sort_unstable_by_key(|&(lost, task, _)| (lost, task));
    let mut kept = node.used().saturating_add(&node.pledged);
    let mut taken = Vec::new();
    for victim in tasks {
        if demand.fits(&node.capacity.saturating_sub(&kept)) {
            break;
        }
        kept = kept.saturating_sub(&victim.2);
        taken.push(victim);
    }
    if !demand.fits(&node.capacity.saturating_sub(&kept)) {
        return None;
    }
    spare(&mut taken, node, kept, demand);
    let lost = taken.iter().map(|victim| victim.0).fold(0, u64::saturating_add);
    let victims = taken.into_iter().map(|victim| victim.1).collect();
    Some(Choice { node: index, victims, lost })
}

/// Lets go the costliest victims that turn out not to be needed.
fn spare(taken: &mut Vec<(u64, task::Id, Amount)>, node: &Node, kept: Amount, demand: &Amount) {
    let mut kept = kept;
    taken.sort_unstable_by_key(|&(lost, task, _)| Reverse((lost, task)));
    taken.retain(|victim| {
        let with = kept.saturating_add(&victim.2);
        let needed = !demand.fits(&node.capacity.saturating_sub(&with));
        if !needed {
            kept = with;
        }
        needed
    });
}

/// Work lost by stopping a task: what it has run, by the processors it holds.
fn work(running: &Running, now: Instant) -> u64 {
    millis(now.since(running.started)).saturating_mul(running.demand.cpu_millis.max(1))
}

/// Room on a worker promised to an urgent job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pledge {
    pub(super) node: usize,
    pub(super) demand: Amount,
    since: Instant,
}

/// Pledges by job.
#[derive(Debug, Default)]
pub(super) struct Pledges {
    by_job: BTreeMap<job::Id, Vec<Pledge>>,
}

impl Pledges {
    pub(super) fn count(&self, job: job::Id) -> usize {
        self.by_job.get(&job).map_or(0, Vec::len)
    }

    /// What a job has been promised on a worker.
    pub(super) fn on(&self, job: job::Id, node: usize) -> Amount {
        let Some(pledges) = self.by_job.get(&job) else { return Amount::ZERO };
        let here = pledges.iter().filter(|pledge| pledge.node == node);
        here.fold(Amount::ZERO, |sum, pledge| sum.saturating_add(&pledge.demand))
    }

    pub(super) fn add(
        &mut self,
        pool: &mut Pool,
        job: job::Id,
        node: usize,
        demand: Amount,
        since: Instant,
    ) {
        pool.update(node, |node| node.pledged = node.pledged.saturating_add(&demand));
        self.by_job.entry(job).or_default().push(Pledge { node, demand, since });
    }

    /// Takes back one pledge of a job whose task starts on `node`, preferably the one there.
    pub(super) fn redeem(&mut self, pool: &mut Pool, job: job::Id, node: usize) {
        let Some(pledges) = self.by_job.get_mut(&job) else { return };
        let here = pledges.iter().position(|pledge| pledge.node == node).unwrap_or(0);
        let pledge = pledges.swap_remove(here);
        if pledges.is_empty() {
            self.by_job.remove(&job);
        }
        give_back(pool, &pledge);
    }

    pub(super) fn drop_job(&mut self, pool: &mut Pool, job: job::Id) {
        for pledge in self.by_job.remove(&job).unwrap_or_default() {
            give_back(pool, &pledge);
        }
    }

    /// Takes back pledges whose victims have not stopped for long.
    pub(super) fn expire(&mut self, pool: &mut Pool, now: Instant) {
        self.by_job.retain(|_, pledges| {
            pledges.retain(|pledge| {
                let stands = pledge.since.after(PATIENCE) > now;
                if !stands {
                    give_back(pool, pledge);
                }
                stands
            });
            !pledges.is_empty()
        });
    }
}

fn give_back(pool: &mut Pool, pledge: &Pledge) {
    pool.update(pledge.node, |node| node.pledged = node.pledged.saturating_sub(&pledge.demand));
    pool.mark_grown(pledge.node);
}
