//! Reservations for gangs, and for large tasks that smaller ones would starve.
//!
//! The plan simulates the expected ends of running tasks up to the earliest instant at which all
//! tasks of the job fit. Until then other tasks may backfill the reserved capacity if they are
//! expected to end in time or fit beside the job. Expected ends can be wrong again and again, so
//! after a time limit the reservation becomes hard: no new task starts in the reserved capacity,
//! which then only grows as running tasks end.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use super::allocation::Allocations;
use super::arithmetic;
use super::node::Node;
use super::pool::Pool;
use crate::clock::Instant;
use crate::job::{self, Kind, Urgency};
use crate::resource::Amount;

/// Age at which a plan is computed again.
const REPLAN_INTERVAL: Duration = Duration::from_secs(5);

/// Part of a reservation on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WorkerShare {
    /// Number of the job's tasks on the worker.
    slots: usize,
    /// Capacity left beside them at the planned start.
    spare: Amount,
}

/// Capacity reserved for a job.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) job: job::Id,
    pub(super) tasks: usize,
    demand: Amount,
    since: Instant,
    planned_at: Instant,
    hard: bool,
    /// When the job is expected to start; `None` when the expected ends do not free enough
    /// capacity.
    pub(super) start: Option<Instant>,
    shares: BTreeMap<usize, WorkerShare>,
}

impl Reservation {
    fn new(job: job::Id, demand: Amount, tasks: usize, now: Instant) -> Self {
        let shares = BTreeMap::new();
        Self { job, tasks, demand, since: now, planned_at: now, hard: false, start: None, shares }
    }

    /// Time since the reservation was made.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.since(self.since)
    }

    /// Reserved amount on a worker.
    fn reserved_on(&self, node: usize) -> Amount {
        self.shares
            .get(&node)
            .map_or(Amount::ZERO, |share| arithmetic::multiplied(&self.demand, share.slots))
    }

    /// The part of `free` on a worker that a task which ends at `end` may use; `None` for no known
    /// end.
    fn allowance(&self, node: usize, free: Amount, end: Option<Instant>) -> Amount {
        let Some(share) = self.shares.get(&node) else { return free };
        let in_time = self.ends_in_time(end);
        let free = match self.hard {
            true => free.saturating_sub(&arithmetic::multiplied(&self.demand, share.slots)),
            false => free,
        };
        if in_time { free } else { arithmetic::min_each(&free, &share.spare) }
    }

    /// Subtracts another job's task, placed on a worker until `end`, from the spare capacity.
    fn charge(&mut self, node: usize, demand: &Amount, end: Option<Instant>) {
        if self.ends_in_time(end) {
            return;
        }
        if let Some(share) = self.shares.get_mut(&node) {
            share.spare = share.spare.saturating_sub(demand);
        }
    }

    fn ends_in_time(&self, end: Option<Instant>) -> bool {
        match (end, self.start) {
            (Some(end), Some(start)) => end <= start,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Computes the plan again, without the capacity reserved by `earlier` reservations.
    fn replan(&mut self, earlier: &[Self], pool: &Pool, allocations: &Allocations, now: Instant) {
        let kept = |node| {
            earlier
                .iter()
                .fold(Amount::ZERO, |sum, other| sum.saturating_add(&other.reserved_on(node)))
        };
        let forecast = Forecast::run(pool, allocations, kept, &self.demand, self.tasks, now);
        self.planned_at = now;
        self.start = forecast.start;
        self.shares = forecast.shares(&self.demand, self.tasks, pool);
    }
}

/// All reservations, oldest first.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    reservations: Vec<Reservation>,
}

impl Reservations {
    pub(super) fn get(&self, job: job::Id) -> Option<&Reservation> {
        self.reservations.iter().find(|reservation| reservation.job == job)
    }

    pub(super) fn len(&self) -> usize {
        self.reservations.len()
    }

    /// The job with the oldest reservation.
    pub(super) fn first(&self) -> Option<job::Id> {
        self.reservations.first().map(|reservation| reservation.job)
    }

    /// Jobs with a reservation.
    pub(super) fn jobs(&self) -> Vec<job::Id> {
        self.reservations.iter().map(|reservation| reservation.job).collect()
    }

    /// Adds a reservation for a job.
    pub(super) fn add(
        &mut self,
        job: job::Id,
        demand: Amount,
        tasks: usize,
        pool: &Pool,
        allocations: &Allocations,
        now: Instant,
    ) {
        let mut reservation = Reservation::new(job, demand, tasks, now);
        reservation.replan(&self.reservations, pool, allocations, now);
        self.reservations.push(reservation);
    }

    /// Removes a job's reservation.
    pub(super) fn remove(&mut self, job: job::Id, pool: &mut Pool) {
        let Some(position) =
            self.reservations.iter().position(|reservation| reservation.job == job)
        else {
            return;
        };
        let reservation = self.reservations.remove(position);
        reservation.shares.keys().for_each(|&node| pool.mark_grown(node));
    }

    /// Reduces a job's reservation after `placed` of its tasks have started.
    pub(super) fn shrink(&mut self, job: job::Id, placed: usize, pool: &mut Pool) {
        let Some(reservation) =
            self.reservations.iter_mut().find(|reservation| reservation.job == job)
        else {
            return;
        };
        reservation.tasks = reservation.tasks.saturating_sub(placed);
        reservation.planned_at = Instant::default();
        if reservation.tasks == 0 {
            self.remove(job, pool);
        }
    }

    /// Computes old plans again; reservations become hard at the age `hard_after`.
    pub(super) fn refresh(
        &mut self,
        pool: &mut Pool,
        allocations: &Allocations,
        now: Instant,
        hard_after: Duration,
    ) {
        for index in 0..self.reservations.len() {
            let (earlier, rest) = self.reservations.split_at_mut(index);
            let reservation = &mut rest[0];
            reservation.hard |= reservation.since.after(hard_after) <= now;
            if reservation.planned_at.after(REPLAN_INTERVAL) > now {
                continue;
            }
            reservation.shares.keys().for_each(|&node| pool.mark_grown(node));
            reservation.replan(earlier, pool, allocations, now);
        }
    }

    /// The part of `free` on a worker that a task of `job` which ends at `end` may use.
    pub(super) fn allowance(
        &self,
        job: job::Id,
        node: usize,
        free: Amount,
        end: Option<Instant>,
    ) -> Amount {
        let others = self.reservations.iter().filter(|reservation| reservation.job != job);
        others.fold(free, |free, reservation| reservation.allowance(node, free, end))
    }

    /// Subtracts a task of `job`, placed on a worker until `end`, from the spare capacity of other
    /// jobs' reservations.
    pub(super) fn charge(
        &mut self,
        job: job::Id,
        node: usize,
        demand: &Amount,
        end: Option<Instant>,
    ) {
        let others = self.reservations.iter_mut().filter(|reservation| reservation.job != job);
        others.for_each(|reservation| reservation.charge(node, demand, end));
    }
}

/// Simulation of the free capacity on all workers as running tasks end.
struct Forecast {
    start: Option<Instant>,
    used: Vec<Amount>,
    slots: Vec<usize>,
    /// When each worker last gained a slot.
    ready_at: Vec<Instant>,
}

impl Forecast {
    /// Simulates expected ends until `tasks` tasks of `demand` fit.
    fn run(
        pool: &Pool,
        allocations: &Allocations,
        kept: impl Fn(usize) -> Amount,
        demand: &Amount,
        tasks: usize,
        now: Instant,
    ) -> Self {
        let nodes = pool.nodes();
        let accepts = |index: usize| nodes[index].accepts(Kind::Gang, Urgency::Normal);
        let occupied = |(index, node): (usize, &Node)| {
            node.used().saturating_add(&node.claimed).saturating_add(&kept(index))
        };
        let used: Vec<_> = nodes.iter().enumerate().map(occupied).collect();
        let mut forecast = Self {
            start: None,
            used,
            slots: vec![0; nodes.len()],
            ready_at: vec![now; nodes.len()],
        };
        let mut total = 0usize;
        let mut ends: Vec<_> = nodes.iter().map(|node| node.expected_ends.iter()).collect();
        let mut next = BinaryHeap::new();
        for index in (0..nodes.len()).filter(|&index| accepts(index)) {
            forecast.slots[index] = forecast.count(index, demand, pool);
            total = total.saturating_add(forecast.slots[index]);
            if let Some((_, task)) = ends[index].next() {
                next.push(Reverse((likely_end(allocations, *task, now), index, *task)));
            }
        }
        let mut at = now;
        while total < tasks {
            let Some(Reverse((end, index, task))) = next.pop() else { return forecast };
            at = at.max(end);
            let freed = allocations.get(task).map_or(Amount::ZERO, |allocation| allocation.demand);
            total += forecast.release(index, &freed, demand, pool, at);
            if let Some((_, task)) = ends[index].next() {
                next.push(Reverse((likely_end(allocations, *task, now), index, *task)));
            }
        }
        forecast.start = Some(at);
        forecast
    }

    /// Simulates the end of a task; returns the number of slots gained.
    fn release(
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
            self.ready_at[index] = at;
        }
        gained
    }

    fn free(&self, index: usize, pool: &Pool) -> Amount {
        pool.get(index).capacity.saturating_sub(&self.used[index])
    }

    fn count(&self, index: usize, demand: &Amount, pool: &Pool) -> usize {
        arithmetic::slots(demand, &self.free(index, pool))
    }

    /// Distributes the tasks over the workers that are ready first.
    fn shares(&self, demand: &Amount, tasks: usize, pool: &Pool) -> BTreeMap<usize, WorkerShare> {
        let mut order: Vec<_> =
            (0..self.slots.len()).filter(|&node| self.slots[node] > 0).collect();
        order.sort_unstable_by_key(|&node| (self.ready_at[node], node));
        let mut shares = BTreeMap::new();
        let mut remaining = tasks;
        for node in order {
            if remaining == 0 {
                break;
            }
            let slots = self.slots[node].min(remaining);
            remaining -= slots;
            let spare =
                self.free(node, pool).saturating_sub(&arithmetic::multiplied(demand, slots));
            shares.insert(node, WorkerShare { slots, spare });
        }
        shares
    }
}

fn likely_end(allocations: &Allocations, task: crate::task::Id, now: Instant) -> Instant {
    allocations.get(task).and_then(|allocation| allocation.likely_end(now)).unwrap_or(now)
}
