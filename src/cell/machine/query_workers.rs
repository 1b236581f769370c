//! Which workers a query to the policy service names.

use std::cmp::Reverse;
use std::time::Duration;

use super::Machine;
use super::deferral::Rule;
use super::pending::PendingStep;
use super::view::{WorkerView, WorkerViews};
use crate::cell::queue::PolicyTiming;
use crate::cell::record::WorkerId;
use crate::cell::ticket::Tickets;
use crate::cell::timings::{MAX_POLICY_WORKERS, POLICY_RECHECK_INTERVAL};

/// Fewest workers in a query, if that many have free capacity: the fixed cost of a query is far
/// higher than the cost per worker.
const MIN_QUERY_WORKERS: usize = 10;

/// Number of tasks that the queried workers should have capacity for, as a multiple of the tasks to
/// place. Counts only workers that are expected to be eligible.
const WORKER_FACTOR: f64 = 1.5;

/// The same factor for gangs, where each worker counts for at least one task. It is higher because
/// other tasks are placed on many of the workers before the answer arrives.
const GANG_FACTOR: f64 = 3.0;

/// Factor by which a query about a gang exceeds the workers expected to suffice. Most of the time
/// of a query does not depend on the number of workers, and a second query would take that time
/// again.
const GANG_QUERY_FACTOR: f64 = 2.0;

/// Share of workers assumed to be eligible before the first answer; the lowest share observed.
const INITIAL_ELIGIBLE_SHARE: f64 = 0.25;

/// Lower bound of the assumed share: a query names at most 100 workers, so a smaller share cannot
/// be made up for by naming more.
const MIN_ELIGIBLE_SHARE: f64 = 0.05;

/// Fraction of a step's tasks, and number of tasks, from which a query about a step that is not a
/// gang is worth its time.
const MIN_USEFUL_FRACTION: f64 = 0.25;
const MIN_USEFUL_TASKS: f64 = 8.0;

/// What to query the policy service about a step now.
pub(super) enum Choice {
    /// About these workers.
    Workers(Vec<WorkerId>),
    /// Nothing: the step holds the tickets that it needs, or fits nowhere.
    Nothing,
    /// Nothing, because `rule` passes over the step, for which it sees room for `room` of its tasks
    /// and wants room for `wanted`.
    PassedOver { rule: Rule, room: Option<f64>, wanted: f64 },
}

impl Choice {
    /// A query about `workers`, if there are any.
    fn of(workers: Vec<WorkerId>) -> Self {
        if workers.is_empty() { Self::Nothing } else { Self::Workers(workers) }
    }
}

/// Workers that a query may name.
#[derive(Default)]
struct Candidates<'a> {
    workers: Vec<(&'a WorkerView, f64)>,
    /// Tasks that they have capacity for in total.
    slots: f64,
}

impl<'a> Candidates<'a> {
    fn add(&mut self, view: &'a WorkerView, slots: f64) {
        self.workers.push((view, slots));
        self.slots += slots;
    }

    /// Chooses the fewest workers with capacity for `wanted` tasks, those with the most free CPU
    /// first.
    fn choose(mut self, wanted: f64) -> Vec<WorkerId> {
        self.workers.sort_by_key(|(view, _)| Reverse(view.free.cpu_millis));
        let mut chosen = QueryTargets::new(wanted);
        for (view, here) in self.workers {
            if chosen.is_enough() {
                break;
            }
            chosen.add(view, here);
        }
        chosen.workers
    }
}

/// Workers chosen for a query, as few as suffice for the wanted tasks.
struct QueryTargets {
    workers: Vec<WorkerId>,
    /// Tasks that they have capacity for in total.
    slots: f64,
    wanted: f64,
}

impl QueryTargets {
    const fn new(wanted: f64) -> Self {
        Self { workers: Vec::new(), slots: 0.0, wanted }
    }

    fn is_enough(&self) -> bool {
        let suffices = self.slots >= self.wanted && self.workers.len() >= MIN_QUERY_WORKERS;
        suffices || self.workers.len() >= MAX_POLICY_WORKERS
    }

    fn add(&mut self, view: &WorkerView, slots: f64) {
        self.slots += slots;
        self.workers.push(view.id.clone());
    }
}

/// Number of tasks of a step that is not a gang, with `pending` tasks to place, from which a query
/// about it is worth its time.
pub(super) fn useful_tasks(pending: usize) -> f64 {
    (pending as f64 * MIN_USEFUL_FRACTION).min(MIN_USEFUL_TASKS)
}

impl Machine {
    /// Chooses the workers to query: those with capacity whose eligibility may let the step start.
    /// With `waived`, renewing the ticket for a single task is worthwhile.
    ///
    /// A query about further workers also renews the tickets that expire. Guards against eligible
    /// workers that stay free while others are queried about, one after another as they become free.
    ///
    /// Guards against needless load on the policy service. On a large site without free capacity,
    /// steps that could not be placed renewed their tickets all the time; 29 of 30 instances always
    /// had a query in flight, and new jobs waited for their first answer although capacity became
    /// free.
    pub(super) fn query_workers(
        &self,
        step: &PendingStep,
        timing: &PolicyTiming,
        views: &WorkerViews,
        waived: bool,
    ) -> Choice {
        let Some(tickets) = self.tickets.get(&step.key) else { return Choice::Nothing };
        if step.spec().gang {
            return self.gang_query_workers(step, views, tickets, waived);
        }
        let wanted = step.pending.len() as f64;
        let (queried, eligible) = tickets.counts();
        let expected = timing.time_ms(eligible);
        let soon = self.now.after(Duration::from_millis(expected.max(0.0) as u64));
        // Room that is free, and room that tasks on the workers may make for the step.
        let (mut free, mut room) = (0.0, 0.0);
        let relies_on_preemption = !(waived && step.overdue.contains(Rule::ExpectedRoom));
        let mut expiring = Candidates::default();
        for (worker, until) in tickets.eligible() {
            let Some(at) = views.find(worker) else { continue };
            free += views.get(at).slots(step);
            let slots = if relies_on_preemption {
                self.slots_with_preemption(at, step, views)
            } else {
                views.get(at).slots(step)
            };
            room += slots;
            if until <= soon && slots > 0.0 {
                expiring.add(views.get(at), slots);
            }
        }
        if room - expiring.slots >= wanted {
            if free >= 1.0 {
                return Choice::Nothing;
            }
            return Choice::PassedOver { rule: Rule::ExpectedRoom, room: Some(free), wanted };
        }
        if room < wanted && queried < self.workers.len() + self.inactive.len() {
            let mut workers = self.unqueried_workers(step, views, (wanted - room) * WORKER_FACTOR);
            if !workers.is_empty() {
                workers.extend(expiring.choose(wanted * WORKER_FACTOR));
                workers.truncate(MAX_POLICY_WORKERS);
                return Choice::Workers(workers);
            }
        }
        let useful = useful_tasks(step.pending.len());
        if room >= useful || waived && expiring.slots >= 1.0 {
            return Choice::of(expiring.choose(wanted * WORKER_FACTOR));
        }
        if expiring.slots < 1.0 {
            return Choice::Nothing;
        }
        Choice::PassedOver { rule: Rule::QueryNotWorthwhile, room: Some(room), wanted: useful }
    }

    /// Returns the workers to query for a gang: unqueried ones until the known ones have capacity
    /// for several times its tasks, even while another query is in flight, so that all tickets are
    /// valid at the same time. After that, it returns the known workers once no ticket is valid any
    /// more.
    ///
    /// Guards against querying a wide gang in small parts: a query takes as long as a ticket is
    /// valid, so that the gang never had tickets for all its tasks at once.
    fn gang_query_workers(
        &self,
        step: &PendingStep,
        views: &WorkerViews,
        tickets: &Tickets,
        waived: bool,
    ) -> Choice {
        // Steps that rank behind it are queried first. Otherwise a gang that never fits has its
        // tickets renewed for as long as it waits, while narrow gangs find no idle instance.
        if !tickets.has_pending_query() && tickets.expired_within(POLICY_RECHECK_INTERVAL, self.now)
        {
            return Choice::Nothing;
        }
        let pending = step.pending.len() as f64;
        let wanted = pending * GANG_FACTOR;
        let least = if waived && step.overdue.contains(Rule::ExpectedRoom) { 0.0 } else { 1.0 };
        let expected_slots = |at: usize| self.slots_with_preemption(at, step, views).max(least);
        let mut known = Candidates::default();
        let mut free = 0.0;
        for at in tickets.eligible().filter_map(|(worker, _)| views.find(worker)) {
            free += views.get(at).slots(step);
            known.add(views.get(at), expected_slots(at));
        }
        let awaited = tickets.awaiting_answer().filter_map(|worker| views.find(worker));
        let expected =
            known.slots + awaited.map(expected_slots).sum::<f64>() * self.eligible_share(step);
        if expected < wanted {
            let unqueried =
                self.unqueried_workers(step, views, (wanted - expected) * GANG_QUERY_FACTOR);
            if !unqueried.is_empty() {
                return Choice::Workers(unqueried);
            }
        }
        if self.has_query_or_tickets(step) {
            if expected >= wanted && free < pending {
                return Choice::PassedOver { rule: Rule::ExpectedRoom, room: Some(free), wanted };
            }
            return Choice::Nothing;
        }
        Choice::of(known.choose(wanted))
    }

    /// Returns the share of workers that are expected to be eligible for the step.
    pub(super) fn eligible_share(&self, step: &PendingStep) -> f64 {
        let share =
            self.eligible_shares.get(&step.queue.name).copied().unwrap_or(INITIAL_ELIGIBLE_SHARE);
        share.max(MIN_ELIGIBLE_SHARE)
    }

    /// Returns workers that have not been queried for the step, those with the most free CPU first,
    /// until enough of them are expected to be eligible and to have capacity.
    fn unqueried_workers(
        &self,
        step: &PendingStep,
        views: &WorkerViews,
        wanted: f64,
    ) -> Vec<WorkerId> {
        let Some(tickets) = self.tickets.get(&step.key) else { return Vec::new() };
        let spec = step.spec();
        let service = &step.queue.service;
        let wanted = if spec.same_rack || spec.data_rack.is_some() {
            f64::INFINITY
        } else {
            wanted / self.eligible_share(step)
        };
        let mut chosen = QueryTargets::new(wanted);
        let mut order: Box<dyn Iterator<Item = usize>> = Box::new(views.by_free_cpu());
        if let Some(min_speed) = self.min_speed(step) {
            // Those on which the step can be on time come first. A gang needs many workers of like
            // speed, so that the free capacity decides among them.
            let mut by_speed: Vec<usize> = order.collect();
            if spec.gang {
                by_speed.sort_by_key(|&at| !min_speed.admits(views.get(at)));
            } else {
                by_speed.sort_by_key(|&at| min_speed.preference(views.get(at)));
            }
            order = Box::new(by_speed.into_iter());
        }
        for at in order {
            if chosen.is_enough() {
                break;
            }
            let view = views.get(at);
            if !tickets.is_unqueried(&view.id) {
                continue;
            }
            let slots = self.slots_with_preemption(at, step, views);
            // Capacity for a gang's tasks becomes free on all its workers while they are reserved
            // for it.
            if spec.gang && view.matches(service, spec) {
                chosen.add(view, slots.max(1.0));
            } else if slots > 0.0 {
                chosen.add(view, slots);
            }
        }
        chosen.workers
    }
}
