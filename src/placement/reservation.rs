//! Room kept for gangs, and for large tasks that smaller ones would keep out for ever.
//!
//! The plan follows the expected ends of running tasks to the earliest instant at which all tasks
//! of the gang fit. Until then other work may use the room if it is expected to end in time, or
//! if it fits beside the gang. Expected ends can be wrong without end, so after a bound the
//! reservation becomes hard: nothing new starts in the gang's room at all, and as running tasks
//! end, the room can only grow.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use super::ledger::Ledger;
use super::measure;
use super::node::Node;
use super::pool::Pool;
use crate::clock::Instant;
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;

/// How long a plan stands before expected ends are looked at again.
const REPLAN: Duration = Duration::from_secs(5);

/// What is kept on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Share {
    /// Tasks of the gang.
    slots: usize,
    /// Room beside them at the planned start.
    spare: Amount,
}

/// Room kept for a job.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) job: job::Id,
    pub(super) tasks: usize,
    demand: Amount,
    since: Instant,
    planned: Instant,
    hard: bool,
    /// When the gang is expected to start; `None` when that cannot be told.
    pub(super) start: Option<Instant>,
    shares: BTreeMap<usize, Share>,
}

impl Reservation {
    fn new(job: job::Id, demand: Amount, tasks: usize, now: Instant) -> Self {
        let shares = BTreeMap::new();
        Self { job, tasks, demand, since: now, planned: now, hard: false, start: None, shares }
    }

    /// How long room has been kept.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.since(self.since)
    }

    /// Room on a worker that is kept.
    fn kept(&self, node: usize) -> Amount {
        self.shares
            .get(&node)
            .map_or(Amount::ZERO, |share| measure::times(&self.demand, share.slots))
    }

    /// The part of `room` on a worker that a task ending at `ends` may use.
    fn allowance(&self, node: usize, room: Amount, ends: Option<Instant>) -> Amount {
        let Some(share) = self.shares.get(&node) else { return room };
        let in_time = self.ends_in_time(ends);
        let room = match self.hard {
            true => room.saturating_sub(&measure::times(&self.demand, share.slots)),
            false => room,
        };
        if in_time { room } else { measure::narrowest(&room, &share.spare) }
    }

    /// Notes that other work now uses part of a worker until `ends`.
    fn charge(&mut self, node: usize, demand: &Amount, ends: Option<Instant>) {
        if self.ends_in_time(ends) {
            return;
        }
        if let Some(share) = self.shares.get_mut(&node) {
            share.spare = share.spare.saturating_sub(demand);
        }
    }

    fn ends_in_time(&self, ends: Option<Instant>) -> bool {
        match (ends, self.start) {
            (Some(ends), Some(start)) => ends <= start,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Plans anew around what `earlier` reservations keep.
    fn replan(&mut self, earlier: &[Self], pool: &Pool, ledger: &Ledger, now: Instant) {
        let kept = |node| {
            earlier.iter().fold(Amount::ZERO, |sum, other| sum.saturating_add(&other.kept(node)))
        };
        let forecast = Forecast::run(pool, ledger, kept, &self.demand, self.tasks, now);
        self.planned = now;
        self.start = forecast.start;
        self.shares = forecast.shares(&self.demand, self.tasks, pool);
    }
}

/// All reservations, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    kept: Vec<Reservation>,
}

impl Reservations {
    pub(super) fn get(&self, job: job::Id) -> Option<&Reservation> {
        self.kept.iter().find(|kept| kept.job == job)
    }

    pub(super) fn len(&self) -> usize {
        self.kept.len()
    }

    /// The first job for which room is kept.
    pub(super) fn first(&self) -> Option<job::Id> {
        self.kept.first().map(|kept| kept.job)
    }

    /// Jobs for which room is kept.
    pub(super) fn jobs(&self) -> Vec<job::Id> {
        self.kept.iter().map(|kept| kept.job).collect()
    }

    /// Keeps room for a job in addition.
    pub(super) fn add(
        &mut self,
        job: job::Id,
        demand: Amount,
        tasks: usize,
        pool: &Pool,
        ledger: &Ledger,
        now: Instant,
    ) {
        let mut reservation = Reservation::new(job, demand, tasks, now);
        reservation.replan(&self.kept, pool, ledger, now);
        self.kept.push(reservation);
    }

    /// Lets other work into the room kept for a job.
    pub(super) fn remove(&mut self, job: job::Id, pool: &mut Pool) {
        let Some(position) = self.kept.iter().position(|kept| kept.job == job) else { return };
        let reservation = self.kept.remove(position);
        reservation.shares.keys().for_each(|&node| pool.mark_grown(node));
    }

    /// Keeps room for fewer tasks after `placed` of them have started.
    pub(super) fn shrink(&mut self, job: job::Id, placed: usize, pool: &mut Pool) {
        let Some(kept) = self.kept.iter_mut().find(|kept| kept.job == job) else { return };
        kept.tasks = kept.tasks.saturating_sub(placed);
        kept.planned = Instant::default();
        if kept.tasks == 0 {
            self.remove(job, pool);
        }
    }

    /// Brings plans up to date that are old.
    pub(super) fn refresh(
        &mut self,
        pool: &mut Pool,
        ledger: &Ledger,
        now: Instant,
        patience: Duration,
    ) {
        for index in 0..self.kept.len() {
            let (earlier, rest) = self.kept.split_at_mut(index);
            let reservation = &mut rest[0];
            reservation.hard |= reservation.since.after(patience) <= now;
            if reservation.planned.after(REPLAN) > now {
                continue;
            }
            reservation.shares.keys().for_each(|&node| pool.mark_grown(node));
            reservation.replan(earlier, pool, ledger, now);
        }
    }

    /// The part of `room` on a worker that a task of `job` ending at `ends` may use.
    pub(super) fn allowance(
        &self,
        job: job::Id,
        node: usize,
        room: Amount,
        ends: Option<Instant>,
    ) -> Amount {
        let others = self.kept.iter().filter(|kept| kept.job != job);
        others.fold(room, |room, kept| kept.allowance(node, room, ends))
    }

    /// Notes that a task of `job` now uses part of a worker until `ends`.
    pub(super) fn charge(
        &mut self,
        job: job::Id,
        node: usize,
        demand: &Amount,
        ends: Option<Instant>,
    ) {
        let others = self.kept.iter_mut().filter(|kept| kept.job != job);
        others.for_each(|kept| kept.charge(node, demand, ends));
    }
}

/// Room as it is expected to become.
struct Forecast {
    start: Option<Instant>,
    used: Vec<Amount>,
    slots: Vec<usize>,
    /// When a worker last gained a slot.
    ready: Vec<Instant>,
}

impl Forecast {
    /// Follows expected ends until `tasks` of `demand` fit.
    fn run(
        pool: &Pool,
        ledger: &Ledger,
        kept: impl Fn(usize) -> Amount,
        demand: &Amount,
        tasks: usize,
        now: Instant,
    ) -> Self {
        let nodes = pool.nodes();
        let takes = |index: usize| nodes[index].takes(Kind::Gang, Urgency::Normal);
        let taken = |(index, node): (usize, &Node)| {
            node.used().saturating_add(&node.pledged).saturating_add(&kept(index))
        };
        let used: Vec<_> = nodes.iter().enumerate().map(taken).collect();
        let mut forecast =
            Self { start: None, used, slots: vec![0; nodes.len()], ready: vec![now; nodes.len()] };
        let mut total = 0usize;
        let mut ends: Vec<_> = nodes.iter().map(|node| node.ends.iter()).collect();
        let mut next = BinaryHeap::new();
        for index in (0..nodes.len()).filter(|&index| takes(index)) {
            forecast.slots[index] = forecast.count(index, demand, pool);
            total = total.saturating_add(forecast.slots[index]);
            if let Some((_, task)) = ends[index].next() {
                next.push(Reverse((likely(ledger, *task, now), index, *task)));
            }
        }
        let mut at = now;
        while total < tasks {
            let Some(Reverse((end, index, task))) = next.pop() else { return forecast };
            at = at.max(end);
            let freed = ledger.get(task).map_or(Amount::ZERO, |running| running.demand);
            total += forecast.free(index, &freed, demand, pool, at);
            if let Some((_, task)) = ends[index].next() {
                next.push(Reverse((likely(ledger, *task, now), index, *task)));
            }
        }
        forecast.start = Some(at);
        forecast
    }

    /// Takes in the end of a task; returns the slots gained.
    fn free(
        &mut self,
        index: usize,
        freed: &Amount,
        demand: &Amount,
        pool: &Pool,
        at: Instant,
    ) -> usize {
        self.used[index] = self.used[index].saturating_sub(freed);
        let slots = self.count(index, demand, pool);
        let gained = slots.saturating_sub(self.slots[index]);
        if gained > 0 {
            self.slots[index] = slots;
            self.ready[index] = at;
        }
        gained
    }

    fn room(&self, index: usize, pool: &Pool) -> Amount {
        pool.get(index).capacity.saturating_sub(&self.used[index])
    }

    fn count(&self, index: usize, demand: &Amount, pool: &Pool) -> usize {
        measure::slots(demand, &self.room(index, pool))
    }

    /// Shares of the workers that are ready first.
    fn shares(&self, demand: &Amount, tasks: usize, pool: &Pool) -> BTreeMap<usize, Share> {
        let mut order: Vec<_> =
            (0..self.slots.len()).filter(|&node| self.slots[node] > 0).collect();
        order.sort_unstable_by_key(|&node| (self.ready[node], node));
        let mut shares = BTreeMap::new();
        let mut left = tasks;
        for node in order {
            if left == 0 {
                break;
            }
            let slots = self.slots[node].min(left);
            left -= slots;
            let spare = self.room(node, pool).saturating_sub(&measure::times(demand, slots));
            shares.insert(node, Share { slots, spare });
        }
        shares
    }
}

fn likely(ledger: &Ledger, task: crate::task::Id, now: Instant) -> Instant {
    ledger.get(task).and_then(|running| running.likely_end(now)).unwrap_or(now)
}
