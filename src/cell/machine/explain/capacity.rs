//! Workers that could run a step, and when capacity for it becomes free.

use std::collections::HashMap;
use std::time::Duration;

use super::super::pending::PendingStep;
use super::super::view::{matches, slots_within};
use super::super::{ActiveRun, Machine, Stage};
use crate::cell::explain::Capacity;
use crate::cell::job::{Run, StepKey};
use crate::cell::ticket::Tickets;
use crate::cell::worker::Worker;
use crate::clock::{Instant, millis};
use crate::resource::Amount;

/// Attempts whose ends are estimated for the earliest start.
const MAX_EXAMINED_RUNS: usize = 8_192;

/// Whether a worker may be given tasks, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    Open,
    Leaving,
    Unavailable,
}

impl Machine {
    /// Figures of the workers that could run a step, which starts once `needed` tasks fit.
    pub(super) fn capacity_for(&self, step: &PendingStep, needed: usize) -> Capacity {
        let mut capacity = Capacity { needed: needed as u64, ..Capacity::default() };
        let (service, spec) = (&step.queue.service, step.spec());
        let tickets = self.tickets.get(&step.key);
        let inactive = self.inactive.in_order().filter(|(_, info)| matches(info, service, spec));
        capacity.inactive = inactive.count();
        let mut oldest = None;
        for worker in self.workers.values().filter(|one| matches(&one.info, service, spec)) {
            capacity.matching += 1;
            if !self.may_be_eligible(step, tickets, worker) {
                continue;
            }
            let fits = slots_within(&worker.free_capacity(), spec) as u64;
            match self.availability(worker) {
                Availability::Leaving => {
                    capacity.leaving += 1;
                    capacity.fits_leaving += fits;
                }
                Availability::Unavailable => {
                    capacity.unavailable += 1;
                    capacity.fits_unavailable += fits;
                }
                Availability::Open => {
                    capacity.open += 1;
                    capacity.fits += fits;
                    let ticket = tickets.and_then(|all| all.valid_ticket(&worker.id, self.now));
                    if step.queue.policy.is_none() || ticket.is_some() {
                        capacity.fits_ticketed += fits;
                    }
                    let free = worker.free_capacity().cpu_millis;
                    capacity.free_cpu_millis = capacity.free_cpu_millis.saturating_add(free);
                    oldest = Some(oldest.unwrap_or(worker.info_at).min(worker.info_at));
                }
            }
        }
        capacity.list_age_ms = oldest.map_or(0, |at: Instant| millis(self.now.since(at)));
        capacity
    }

    /// Whether any listed worker has the service, the label and the size for a task of the step.
    pub(super) fn any_worker_is_suitable(&self, step: &PendingStep) -> bool {
        let (service, spec) = (&step.queue.service, step.spec());
        let active = self.workers.values().map(|worker| &*worker.info);
        let inactive = self.inactive.in_order().map(|(_, info)| info);
        active
            .chain(inactive)
            .any(|info| matches(info, service, spec) && slots_within(&info.capacity, spec) > 0.0)
    }

    /// Whether the policy service allows the worker, or allows all.
    fn may_be_eligible(
        &self,
        step: &PendingStep,
        tickets: Option<&Tickets>,
        worker: &Worker,
    ) -> bool {
        step.queue.policy.is_none() || tickets.is_some_and(|all| all.is_eligible(&worker.id))
    }

    fn availability(&self, worker: &Worker) -> Availability {
        let known_for = self.timings.capacity_max_age;
        if worker.info.draining {
            Availability::Leaving
        } else if worker.accepts_tasks(self.now) && worker.is_capacity_current(known_for, self.now)
        {
            Availability::Open
        } else {
            Availability::Unavailable
        }
    }

    /// Time until `needed` tasks of the step fit on its workers if attempts end as expected and
    /// nothing else takes the capacity; `None` if that cannot be foreseen.
    pub(super) fn capacity_free_in(&self, step: &PendingStep, needed: usize) -> Option<Duration> {
        let (service, spec) = (&step.queue.service, step.spec());
        let tickets = self.tickets.get(&step.key);
        let mut free: HashMap<&str, Amount> = HashMap::new();
        let mut fits = 0;
        for worker in self.workers.values() {
            let is_candidate = matches(&worker.info, service, spec)
                && self.availability(worker) == Availability::Open
                && (tickets.is_none_or(|all| all.counts().0 == 0)
                    || self.may_be_eligible(step, tickets, worker));
            if is_candidate {
                fits += slots_within(&worker.free_capacity(), spec) as usize;
                free.insert(&worker.id, worker.free_capacity());
            }
        }
        if fits >= needed {
            return Some(Duration::ZERO);
        }
        let runs = self.runs.iter().filter(|(_, active)| free.contains_key(&*active.worker));
        let ends = runs
            .take(MAX_EXAMINED_RUNS)
            .filter_map(|(run, active)| Some((self.expected_end_in(run, active)?, active)));
        let mut ends: Vec<(Duration, &ActiveRun)> = ends.collect();
        ends.sort_by_key(|(end, _)| *end);
        for (end, active) in ends {
            let Some(room) = free.get_mut(&*active.worker) else { continue };
            let before = slots_within(room, spec) as usize;
            *room = room.saturating_add(&active.demand);
            fits += (slots_within(room, spec) as usize).saturating_sub(before);
            if fits >= needed {
                return Some(end);
            }
        }
        None
    }

    /// Time until attempts of a customer have ended so that its cap lets a task of the step start.
    pub(super) fn cap_free_in(&self, step: &PendingStep, needed: usize) -> Option<Duration> {
        let name = step.job.customer.as_ref()?;
        let cap = self.customer(Some(name))?.cap;
        let own = self.runs.iter().filter(|(_, active)| {
            active.charge.as_ref().is_some_and(|charge| charge.customer() == name)
        });
        let own = own.take(MAX_EXAMINED_RUNS);
        let ends =
            own.filter_map(|(run, active)| Some((self.expected_end_in(run, active)?, active)));
        let mut ends: Vec<(Duration, &ActiveRun)> = ends.collect();
        ends.sort_by_key(|(end, _)| *end);
        let mut used = self.usage_of(name);
        for (end, active) in ends {
            let Some(charge) = &active.charge else { continue };
            used = used.saturating_sub(charge.demand());
            if cap.count(&used, &step.spec().demand) >= needed as u64 {
                return Some(end);
            }
        }
        None
    }

    /// Time until an attempt is expected to end; `None` for long-running tasks.
    pub(super) fn expected_end_in(&self, run: &Run, active: &ActiveRun) -> Option<Duration> {
        let expected = self.expected_run(&run.task.step)?;
        let elapsed = match active.stage {
            Stage::Running(_) => self.now.since(active.since),
            _ => Duration::ZERO,
        };
        Some(expected.saturating_sub(elapsed))
    }

    /// Expected run time of a task of a step.
    fn expected_run(&self, key: &StepKey) -> Option<Duration> {
        let entry = self.state.jobs.get(&key.job)?;
        let spec = entry.job.steps.get(key.step as usize)?;
        let queue = self.config.queue(&entry.job.queue)?;
        let expected = self.expected_run_ms(spec, queue);
        (!spec.long_running).then(|| Duration::from_millis(expected as u64))
    }
}
