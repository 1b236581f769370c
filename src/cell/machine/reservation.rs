//! Reserves workers for gangs while their tickets are valid.
//!
//! On a site that is nearly full, free capacity is taken by whatever fits first, and the policy
//! service takes a second for a query about a gang's workers. A narrow gang finds its few workers
//! at once. A wide one would never find all of its workers while its tickets are valid, would
//! repeat its query without success, and would be late.
//!
//! For this reason, the workers of a gang with valid tickets are reserved for it: on a quarter of
//! the workers, capacity for several tasks each becomes free within a second. And only as many
//! gangs are queried at a time as the site can have capacity for when the answers arrive, in order
//! of rank. A wide gang waits until those before it are placed, and no later one overtakes it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::Machine;
use super::pending::PendingStep;
use super::rank::Timeliness;
use super::view::WorkerViews;

/// Share of the site's CPU for which gangs may have queries in flight or valid tickets at a time.
const BUDGET_SHARE: f64 = 0.7;

/// Share of the workers that may be reserved for gangs.
const MAX_RESERVED_SHARE: f64 = 0.5;

/// Factor by which the capacity of the workers reserved for a gang exceeds its tasks. Each worker
/// counts with the tasks that fit there, at least one, since some become free sooner than others.
const RESERVE_FACTOR: f64 = 3.0;

/// Limit of the gangs with queries in flight or valid tickets, by the CPU that they need in
/// thousandths of a core.
///
/// Each priority has its own limit, so that an urgent gang does not wait for the answers of less
/// urgent ones.
#[derive(Clone, Debug)]
pub(super) struct GangBudget {
    /// Limit of each priority.
    limit: u64,
    /// CPU used, by priority.
    used: BTreeMap<u32, u64>,
}

impl GangBudget {
    /// Whether nothing is left for gangs of the priority of `step`.
    pub(super) fn is_exhausted(&self, step: &PendingStep) -> bool {
        self.used.get(&step.queue.priority).is_some_and(|used| *used >= self.limit)
    }

    /// Takes the CPU that a gang needs; returns `false` if too little is left. In that case,
    /// nothing is left for later gangs either, if this gang can be on time.
    ///
    /// Late gangs do not block later ones: one that never fits would hold up those that do for as
    /// long as it waits.
    pub(super) fn try_take(&mut self, step: &PendingStep) -> bool {
        let cost = self.cost(step);
        let used = self.used.entry(step.queue.priority).or_insert(0);
        let admitted = *used + cost <= self.limit;
        if admitted {
            *used += cost;
        } else if step.rank.timeliness == Timeliness::OnTime {
            *used = self.limit;
        }
        admitted
    }

    /// Adds a gang that has a query in flight or valid tickets.
    fn add_active(&mut self, step: &PendingStep) {
        *self.used.entry(step.queue.priority).or_insert(0) += self.cost(step);
    }

    /// CPU that a gang counts with: at most half of the limit.
    fn cost(&self, step: &PendingStep) -> u64 {
        step.cpu_millis().min(self.limit / 2)
    }
}

impl Machine {
    /// Returns what is left for queries about further gangs in this round.
    pub(super) fn budget(&self, waiting: &[PendingStep], views: &WorkerViews) -> GangBudget {
        let limit = (views.cpu_millis() as f64 * BUDGET_SHARE) as u64;
        let mut budget = GangBudget { limit, used: BTreeMap::new() };
        for step in
            waiting.iter().filter(|step| step.spec().gang && self.has_query_or_tickets(step))
        {
            budget.add_active(step);
        }
        budget
    }

    /// Whether a query about the step is in flight or any of its tickets is valid.
    pub(super) fn has_query_or_tickets(&self, step: &PendingStep) -> bool {
        let tickets = self.tickets.get(&step.key);
        tickets.is_some_and(|tickets| {
            tickets.has_pending_query() || tickets.with_valid_ticket(self.now).next().is_some()
        })
    }

    /// Reserves workers for a gang that does not fit yet, so that later steps leave them free.
    pub(super) fn reserve_for_gang(
        &self,
        step: &PendingStep,
        allowed: &[usize],
        views: &mut WorkerViews,
    ) {
        if step.rank.timeliness == Timeliness::Worthless {
            return;
        }
        let spare = (views.count() as f64 * MAX_RESERVED_SHARE) as usize;
        let spare = spare.saturating_sub(views.reserved().len());
        let mut open: Vec<usize> = allowed.to_vec();
        open.retain(|&at| !views.get(at).reserved);
        open.sort_by_key(|&at| Reverse(views.get(at).free.cpu_millis));
        if let Some(min_speed) = self.min_speed(step) {
            open.sort_by_key(|&at| !min_speed.admits(views.get(at)));
        }
        let wanted = step.pending.len() as f64;
        let mut slots = 0.0;
        let mut reserved = Vec::new();
        for at in open {
            if slots >= wanted * RESERVE_FACTOR {
                break;
            }
            slots += views.get(at).slots(step).max(1.0);
            reserved.push(at);
        }
        if slots >= wanted && reserved.len() <= spare {
            reserved.into_iter().for_each(|at| views.reserve(at));
        }
    }
}
