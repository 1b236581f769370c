//! Which of the listed workers the owner polls and places tasks on.
//!
//! Each polled worker takes connections and time of the owner's thread even if nothing runs there.
//! An owner therefore polls a limited number of workers and leaves the others alone: its work grows
//! with what runs on the site, not with the number of workers listed. Workers on which something
//! runs are always polled, because polls renew their leases.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Machine;
use super::pending::PendingStep;
use super::view::{WorkerViews, matches, slots_within};
use crate::cell::dependencies::WorkerInfo;
use crate::cell::incarnation::WorkerIncarnation;
use crate::cell::job::Run;
use crate::cell::record::WorkerId;
use crate::cell::worker::Worker;
use crate::clock::Instant;
use crate::telemetry::names;

/// Time without runs after which a worker may be deactivated: longer than a policy query and the
/// tickets that it returns.
const MIN_IDLE_TIME: Duration = Duration::from_secs(5);

/// The same while steps wait for workers that no other worker can make room for, longer than a
/// ticket is valid.
const MIN_IDLE_TIME_IN_NEED: Duration = Duration::from_secs(2);

/// Maximum number of active workers without runs while steps wait, as a multiple of the number of
/// active workers without need.
const MAX_IDLE_FACTOR: usize = 2;

/// Interval between two activations of workers for steps that need them.
const EXTENSION_INTERVAL: Duration = Duration::from_millis(100);

/// Number of waiting steps, the first in rank, for which workers are activated at a time, and number
/// of other steps, which have their turns.
const MAX_EXAMINED_STEPS: usize = 6;

/// Maximum number of workers activated at a time for one step.
const MAX_ACTIVATED: usize = 128;

/// Number of a step's tasks that active workers should have free capacity for, as a multiple of
/// its tasks. Counts only workers that are expected to be eligible.
const CAPACITY_FACTOR: f64 = 3.0;

/// Free share of the active workers' CPU below which further ones are activated, and how many.
const LOW_FREE_SHARE: f64 = 0.3;
const EXTENSION: usize = 64;

/// Minimum interval between two log lines about the number of active workers.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Number of active workers as last logged.
#[derive(Debug, Default)]
pub(super) struct ActivationLog {
    logged: (usize, usize),
    next: Instant,
}

/// Capacity of a rack for tasks of one step, if all its workers were active.
#[derive(Debug, Default)]
struct RackCapacity {
    slots: f64,
    inactive: Vec<WorkerId>,
}

impl Machine {
    /// Number of workers that are polled without need; unlimited if the site sets no limit.
    fn active_limit(&self) -> usize {
        self.timings.max_active_workers.unwrap_or(usize::MAX)
    }

    /// Number of workers that may still be activated where steps need them, for a step that needs
    /// `wanted` at the same time. Workers that may not be given tasks do not count, or they would
    /// keep the place of others.
    fn spare_activations(&self, wanted: usize) -> usize {
        let is_idle = |worker: &&Worker| worker.runs.is_empty() && worker.is_promising();
        let idle = self.workers.values().filter(is_idle).count();
        let limit = self.active_limit().saturating_mul(MAX_IDLE_FACTOR);
        limit.max(wanted).saturating_sub(idle)
    }

    /// Begins to poll a worker.
    pub(super) fn activate(&mut self, id: &WorkerId) {
        let Some(inactive) = self.inactive.remove(id) else { return };
        let listed = &inactive.info;
        log::info!(
            "event=worker.listed worker={id} address={} domain={} labels={} draining={}",
            listed.address,
            crate::logging::value(&listed.domain),
            crate::logging::value(&listed.labels.join(",")),
            listed.draining
        );
        let mut worker = Worker::new(id.clone(), inactive.info, self.timings.lease, self.now);
        worker.info_at = inactive.info_at;
        self.workers.insert(id.clone(), worker);
    }

    /// Deactivates the retiring workers whose last poll has ended, unless it has shown that they are
    /// still needed.
    fn finish_retirements(&mut self) {
        let ended = |worker: &&Worker| worker.retiring && worker.poll_sent_at.is_none();
        let ended = self.workers.values().filter(ended);
        let ended: Vec<(WorkerId, bool)> =
            ended.map(|worker| (worker.id.clone(), worker.may_be_deactivated())).collect();
        for (id, may_be_deactivated) in ended {
            if may_be_deactivated {
                self.deactivate(&id);
            } else if let Some(worker) = self.workers.get_mut(&id) {
                worker.retiring = false;
            }
        }
    }

    fn deactivate(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.remove(id) else { return };
        let Worker { id, info, info_at, .. } = worker;
        self.inactive.add_polled(id, info, info_at, self.now);
    }

    /// Activates the workers on which attempts of earlier owners may run, and later incarnations of
    /// them.
    pub(super) fn activate_for_recovery(&mut self) {
        if self.inactive.is_empty() {
            return;
        }
        let mut wanted: Vec<WorkerId> = Vec::new();
        for run in &self.unlisted_runs {
            let Some(active) = self.runs.get(run) else { continue };
            wanted.push(active.worker.clone());
            let incarnation = WorkerIncarnation::parse(&active.worker);
            if incarnation.started_at_ms.is_some() {
                wanted.extend(self.inactive.incarnations(incarnation.listed_name));
            }
        }
        wanted.iter().for_each(|id| self.activate(id));
    }

    /// Activates workers until as many are active as the site allows.
    pub(super) fn fill_active_workers(&mut self) {
        let limit = self.active_limit();
        let listed = self.workers.len() + self.inactive.len();
        let everything_fits = self.is_list_complete && listed <= limit;
        let is_used = |worker: &&Worker| !worker.runs.is_empty() || worker.is_promising();
        let used = self.workers.values().filter(is_used).count();
        let free = limit.saturating_sub(used);
        let usable = |info: &WorkerInfo| everything_fits || self.is_usable(info);
        let next = self.inactive.in_order().filter(|(_, info)| usable(info)).take(free);
        let next: Vec<WorkerId> = next.map(|(id, _)| id.clone()).collect();
        next.iter().for_each(|id| self.activate(id));
    }

    /// Whether tasks may be placed on a worker that is listed like this.
    fn is_usable(&self, info: &WorkerInfo) -> bool {
        !info.draining && self.config.has_service(&info.service)
    }

    /// Brings the number of active workers back to its limit.
    pub(super) fn adjust_active_workers(&mut self) {
        if self.timings.max_active_workers.is_none() {
            return;
        }
        self.fill_active_workers();
        self.finish_retirements();
        self.retire_idle();
        self.log_active_workers();
    }

    /// Retires workers on which nothing has run for a while, as far as too many are active; those
    /// that may not be given tasks go first.
    fn retire_idle(&mut self) {
        let retiring = self.workers.values().filter(|worker| worker.retiring).count();
        let excess = (self.workers.len() - retiring).saturating_sub(self.active_limit());
        if excess == 0 {
            return;
        }
        let idle_time = if self.lacks_workers { MIN_IDLE_TIME_IN_NEED } else { MIN_IDLE_TIME };
        let since = self.now.before(idle_time);
        let is_idle = |worker: &&Worker| worker.is_idle(since, self.now) || worker.is_useless();
        let idle = self.workers.values().filter(is_idle);
        let mut idle: Vec<(bool, Instant, WorkerId)> = idle
            .map(|worker| (!worker.is_useless(), worker.idle_since, worker.id.clone()))
            .collect();
        idle.sort_unstable();
        for (.., id) in idle.into_iter().take(excess) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.retiring = true;
            }
        }
    }

    fn log_active_workers(&mut self) {
        let counts = (self.workers.len(), self.inactive.len());
        if counts == self.activation_log.logged || self.now < self.activation_log.next {
            return;
        }
        self.activation_log = ActivationLog { logged: counts, next: self.now.after(LOG_INTERVAL) };
        let (active, inactive) = counts;
        names::CELL_WORKERS.set(active as f64, &[("state", "active")]);
        names::CELL_WORKERS.set(inactive as f64, &[("state", "inactive")]);
        log::info!(
            "event=workers.active active={active} inactive={inactive} limit={}",
            self.active_limit()
        );
    }

    /// Activates workers for the first of the `waiting` steps, if those that are active have too
    /// little free capacity for them.
    ///
    /// Guards against a step that waits for as long as its owner lives, because all workers with
    /// its label, its rack or its service are inactive.
    pub(super) fn extend_active_workers(&mut self, waiting: &[PendingStep], views: &WorkerViews) {
        if self.now < self.next_extension {
            return;
        }
        self.lacks_workers = false;
        if self.inactive.is_empty() {
            return;
        }
        self.next_extension = self.now.after(EXTENSION_INTERVAL);
        let unplaced = waiting.iter().filter(|step| self.has_unplaced(step));
        let unplaced: Vec<&PendingStep> = unplaced.collect();
        // Steps that no worker can run must not keep others from their turn.
        let turn = self.next_examined % unplaced.len().max(1);
        self.next_examined = turn + MAX_EXAMINED_STEPS;
        let first = unplaced.iter().take(MAX_EXAMINED_STEPS);
        let others = unplaced.iter().skip(MAX_EXAMINED_STEPS.max(turn)).take(MAX_EXAMINED_STEPS);
        for step in first.chain(others) {
            if step.spec().same_rack && step.needs_locality() {
                self.activate_rack_for(step, views);
            } else {
                self.activate_for(step, views);
            }
        }
        if views.free_share() < LOW_FREE_SHARE {
            let count = EXTENSION.min(self.spare_activations(0));
            let usable = self.inactive.in_order().filter(|(_, info)| self.is_usable(info));
            let next: Vec<WorkerId> = usable.take(count).map(|(id, _)| id.clone()).collect();
            next.iter().for_each(|id| self.activate(id));
        }
    }

    /// Whether tasks of the step have not been placed in this round.
    fn has_unplaced(&self, step: &PendingStep) -> bool {
        let placed = |index: u32| {
            let task = crate::cell::job::TaskKey { step: step.key, index };
            self.runs
                .range(Run { task, number: 0 }..)
                .next()
                .is_some_and(|(run, _)| run.task == task)
        };
        !step.pending.iter().all(placed)
    }

    /// Number of the step's tasks for which active workers should have capacity and have not.
    fn missing_slots(&self, step: &PendingStep, views: &WorkerViews, near: bool) -> f64 {
        let wanted = self.wanted_slots(step) * CAPACITY_FACTOR;
        let counts = self.spread_counts(step, views);
        let mut found = 0.0;
        for at in views.open() {
            let view = views.get(at);
            if (near && !is_near(step, &view.listed)) || self.is_refused(step, &view.id) {
                continue;
            }
            let slots = view.slots(step);
            found += match step.spec().max_per_worker {
                0 => slots,
                most => slots.min(f64::from(most.saturating_sub(*counts.get(&at).unwrap_or(&0)))),
            };
            if found >= wanted {
                return 0.0;
            }
        }
        wanted - found
    }

    /// Number of tasks that workers need capacity for, so that those of the step find eligible ones.
    fn wanted_slots(&self, step: &PendingStep) -> f64 {
        let share = if step.queue.policy.is_some() { self.eligible_share(step) } else { 1.0 };
        step.pending.len() as f64 / share
    }

    /// Whether the policy service has answered that the worker may not run the step.
    pub(super) fn is_refused(&self, step: &PendingStep, worker: &str) -> bool {
        self.tickets.get(&step.key).is_some_and(|tickets| tickets.is_refused(worker))
    }

    /// Activates the rest of the rack with the most capacity for a step that needs a single rack,
    /// unless a rack whose workers are all active has enough.
    fn activate_rack_for(&mut self, step: &PendingStep, views: &WorkerViews) {
        let (service, spec) = (&step.queue.service, step.spec());
        let mut racks: BTreeMap<Option<String>, RackCapacity> = BTreeMap::new();
        for view in views.open().map(|at| views.get(at)) {
            if !self.is_refused(step, &view.id) {
                let rack = racks.entry(view.listed.rack.clone()).or_default();
                rack.slots += view.slots(step);
            }
        }
        for (id, info) in self.inactive.in_order() {
            if info.draining || !matches(info, service, spec) || self.is_refused(step, id) {
                continue;
            }
            let rack = racks.entry(info.rack.clone()).or_default();
            rack.slots += slots_within(&info.capacity, spec);
            rack.inactive.push(id.clone());
        }
        let wanted = step.pending.len() as f64;
        if racks.values().any(|rack| rack.inactive.is_empty() && rack.slots >= wanted) {
            return;
        }
        let partly = racks.into_values().filter(|rack| !rack.inactive.is_empty());
        let best = partly.max_by(|one, other| one.slots.total_cmp(&other.slots));
        let chosen = best.map_or_else(Vec::new, |rack| rack.inactive);
        let count = self.spare_activations(chosen.len());
        chosen.iter().take(count).for_each(|id| self.activate(id));
    }

    /// Activates workers for the step as far as the active ones have too little capacity, those
    /// near its data if there are any.
    fn activate_for(&mut self, step: &PendingStep, views: &WorkerViews) {
        let missing = self.missing_slots(step, views, true);
        if missing <= 0.0 {
            return;
        }
        let mut chosen = self.inactive_for(step, missing, true);
        if chosen.is_empty() && !is_near_anywhere(step) {
            chosen = self.inactive_for(step, self.missing_slots(step, views, false), false);
        }
        self.lacks_workers = true;
        chosen.iter().for_each(|id| self.activate(id));
    }

    /// Returns inactive workers with capacity for `missing` tasks of the step.
    fn inactive_for(&self, step: &PendingStep, missing: f64, near: bool) -> Vec<WorkerId> {
        let (service, spec) = (&step.queue.service, step.spec());
        let at_once = if spec.gang { self.wanted_slots(step).ceil() as usize } else { 0 };
        let count = MAX_ACTIVATED.min(self.spare_activations(at_once));
        let mut found = 0.0;
        let mut chosen = Vec::new();
        for (id, info) in self.inactive.in_order() {
            if found >= missing || chosen.len() >= count {
                break;
            }
            let matches = !info.draining && matches(info, service, spec);
            if !matches || (near && !is_near(step, info)) || self.is_refused(step, id) {
                continue;
            }
            let slots = slots_within(&info.capacity, spec);
            if slots > 0.0 {
                found += slots;
                chosen.push(id.clone());
            }
        }
        chosen
    }

    /// Whether an inactive worker could run tasks of the step, so that none needs to be preempted.
    pub(super) fn has_inactive_for(&self, step: &PendingStep) -> bool {
        let (service, spec) = (&step.queue.service, step.spec());
        let could_run = |(id, info): (&WorkerId, &WorkerInfo)| {
            !info.draining
                && matches(info, service, spec)
                && slots_within(&info.capacity, spec) > 0.0
                && !self.is_refused(step, id)
        };
        self.inactive.in_order().any(could_run)
    }
}

/// Whether a worker is in the rack of the step's data, or it does not matter.
fn is_near(step: &PendingStep, info: &WorkerInfo) -> bool {
    is_near_anywhere(step) || info.rack == step.spec().data_rack
}

/// Whether it does not matter in which rack the step's tasks run.
fn is_near_anywhere(step: &PendingStep) -> bool {
    !step.needs_locality() || step.spec().data_rack.is_none()
}
