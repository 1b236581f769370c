//! Placement rounds: which task runs on which worker.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::Duration;

use super::journal_queue::Deferred;
use super::pending::PendingStep;
use super::rank::Timeliness;
use super::speeds::MinSpeed;
use super::view::{WorkerView, WorkerViews};
use super::{ActiveRun, Machine, Stage};
use crate::cell::job::{Run, StepKey, TaskKey};
use crate::cell::record::{Record, WorkerId};
use crate::cell::worker_speed::Model;
use crate::resource::Amount;

/// Shortest interval between two rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(8);

/// Time from the start of a round to the next, as a multiple of the round's duration, so that
/// rounds take at most a quarter of the thread's time.
const ROUND_BACKOFF_FACTOR: u32 = 4;

/// Longest interval between two rounds while nothing changes: tickets expire and jobs become due.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(60);

/// Cost of a worker on which the step has failed before, in units of a whole worker's capacity.
const FAILED_BEFORE_COST: f64 = 4.0;

/// Cost of a worker that left its latest commands unanswered, in the same unit: it gets tasks only
/// where no other worker has capacity. With a pause alone, two such workers held one gang
/// alternately, for a lease each, although ten healthy ones were free.
const UNRESPONSIVE_COST: f64 = 4.0;

/// Tasks of a step by index, with the index of the worker that each is placed on.
type Plan = Vec<(u32, usize)>;

impl Machine {
    /// Places the tasks that fit, in order of rank.
    pub(super) fn place(&mut self) {
        self.needs_placement = false;
        self.next_round = self.now.after(MIN_ROUND_INTERVAL);
        self.round_by = self.now.after(MAX_ROUND_INTERVAL);
        if self.has_doubts() {
            return;
        }
        let full_scan = self.round_jobs.is_full_scan_due(self.now);
        let mut waiting = self.pending_steps();
        self.hold_back_capped(&mut waiting);
        self.note_waiting_work(&waiting);
        if waiting.is_empty() {
            return;
        }
        self.refresh_preemptible();
        self.refresh_changed_workers();
        self.refresh_speeds();
        let mut views = std::mem::take(&mut self.views);
        self.refresh_views(&mut views, &waiting);
        self.limit_overrides(&mut waiting, &views);
        self.place_steps(&waiting, &mut views, full_scan);
        self.extend_active_workers(&waiting, &views);
        self.views = views;
    }

    /// Delays the next round after one that took `took`, so that the thread mostly serves other
    /// activities.
    ///
    /// Guards against back-to-back rounds while many tasks wait: reports and calls are handled only
    /// between rounds, so that workers and instances would wait for the owner.
    pub fn delay_next_round(&mut self, took: Duration) {
        self.next_round = self.next_round.max(self.now.after(took * ROUND_BACKOFF_FACTOR));
    }

    fn place_steps(&mut self, waiting: &[PendingStep], views: &mut WorkerViews, full_scan: bool) {
        self.log_backlog(waiting, views, full_scan);
        let mut budget = self.budget(waiting, views);
        let mut shares = self.proxy_shares(waiting, views);
        self.query_overdue(waiting, views, &mut shares, &mut budget);
        views.release_reserved();
        self.reserve_for_suspects(waiting, views);
        for step in waiting {
            let Some(step) = self.startable_part(step) else { continue };
            let step = &*step;
            // Jobs that will be late query the policy service after all that can be on time.
            if step.rank.timeliness != Timeliness::OnTime && shares.on_time_first() {
                self.send_deferred(&mut shares);
            }
            if let Some(timing) = &step.queue.policy {
                let spare = shares.has_spare_for(step);
                let waived = spare && self.waives_query_rules(step, views);
                self.query_policy(step, timing, views, &mut shares, &mut budget, waived);
            }
            self.place_step(step, views);
        }
        self.send_deferred(&mut shares);
    }

    /// Returns the step with those of its pending tasks that may start now by its customer's cap and
    /// by the memory for runs.
    pub(super) fn startable_part<'a>(&self, step: &'a PendingStep) -> Option<Cow<'a, PendingStep>> {
        match self.startable(step).min(self.runs_with_memory(step)) {
            0 => None,
            count if count < step.pending.len() => Some(Cow::Owned(step.first(count))),
            _ => Some(Cow::Borrowed(step)),
        }
    }

    fn place_step(&mut self, step: &PendingStep, views: &mut WorkerViews) {
        let allowed = self.usable_workers(step, views);
        let plan = self.plan(step, &allowed, views);
        let left = step.pending.len() - plan.len();
        if !plan.is_empty() {
            self.apply_plan(step, &plan, views);
        }
        if plan.is_empty() {
            self.note_withheld_room(step, views);
        }
        if left > 0 && !self.has_inactive_for(step) {
            self.preempt_for(step, left, &allowed, views);
        }
        if plan.is_empty() && step.spec().gang {
            self.reserve_for_gang(step, &allowed, views);
        }
    }

    /// Returns the workers on which the step may be placed now: they match its constraints and hold
    /// a valid ticket if the queue needs one.
    pub(super) fn usable_workers(&self, step: &PendingStep, views: &WorkerViews) -> Vec<usize> {
        let mut allowed = self.admitted_workers(step, views);
        if let Some(rack) = &step.spec().data_rack
            && step.needs_locality()
        {
            let near = |at: &usize| views.get(*at).listed.rack.as_ref() == Some(rack);
            if allowed.iter().any(near) {
                allowed.retain(near);
            }
        }
        allowed
    }

    /// The same wherever the step's data is.
    pub(super) fn admitted_workers(&self, step: &PendingStep, views: &WorkerViews) -> Vec<usize> {
        let spec = step.spec();
        let workers: Vec<usize> = match step.queue.policy {
            Some(_) => self.ticketed_workers(&step.key, views),
            None => views.open().collect(),
        };
        let fits =
            |view: &WorkerView| view.matches(&step.queue.service, spec) && view.is_compatible(spec);
        workers.into_iter().filter(|&at| fits(views.get(at))).collect()
    }

    /// Returns the workers that may run the step, including those whose ticket has expired.
    pub(super) fn eligible_workers(&self, step: &PendingStep, views: &WorkerViews) -> Vec<usize> {
        let matches = |at: &usize| views.get(*at).matches(&step.queue.service, step.spec());
        if step.queue.policy.is_none() {
            return views.open().filter(matches).collect();
        }
        let Some(tickets) = self.tickets.get(&step.key) else { return Vec::new() };
        let workers = tickets.eligible().filter_map(|(worker, _)| views.find(worker));
        workers.filter(matches).collect()
    }

    /// Returns the workers for which the step has a valid ticket.
    fn ticketed_workers(&self, step: &StepKey, views: &WorkerViews) -> Vec<usize> {
        let Some(tickets) = self.tickets.get(step) else { return Vec::new() };
        tickets.with_valid_ticket(self.now).filter_map(|worker| views.find(worker)).collect()
    }

    fn plan(&self, step: &PendingStep, allowed: &[usize], views: &WorkerViews) -> Plan {
        let spec = step.spec();
        let min_speed = self.min_speed(step);
        if !spec.gang {
            return self.best_fit(step, allowed, views, min_speed);
        }
        if spec.same_rack {
            for rack in views.racks(allowed) {
                let near: Vec<usize> = allowed
                    .iter()
                    .copied()
                    .filter(|&at| views.get(at).listed.rack == rack)
                    .collect();
                let plan = self.fit_gang(step, &near, views, min_speed);
                if !plan.is_empty() {
                    return plan;
                }
            }
            if step.needs_locality() {
                return Plan::new();
            }
        }
        self.fit_gang(step, allowed, views, min_speed)
    }

    /// Returns a plan for all members of a gang, or an empty one.
    ///
    /// A gang ends with its slowest member, so its members get workers of one speed class, the
    /// slowest that is fast enough. If no class has room for all of them, they get workers that are
    /// fast enough, or else the fastest that have room.
    fn fit_gang(
        &self,
        step: &PendingStep,
        allowed: &[usize],
        views: &WorkerViews,
        min_speed: Option<MinSpeed>,
    ) -> Plan {
        let fit = |workers: &[usize]| {
            let plan = self.best_fit(step, workers, views, None);
            if plan.len() == step.pending.len() { plan } else { Plan::new() }
        };
        let Some(min_speed) = min_speed else { return fit(allowed) };
        let slots = |at: &usize| views.get(*at).slots(step);
        let narrowed = |is: &dyn Fn(&WorkerView) -> bool| {
            let workers: Vec<usize> =
                allowed.iter().copied().filter(|&at| is(views.get(at))).collect();
            let room: f64 = workers.iter().map(slots).sum();
            if room < step.pending.len() as f64 { Plan::new() } else { fit(&workers) }
        };
        let classes = 1..Model::CLASSES as u8;
        let one_class = classes
            .clone()
            .map(|class| narrowed(&|view| view.speed_class == class && min_speed.admits(view)));
        let fast_enough = std::iter::once_with(|| narrowed(&|view| min_speed.admits(view)));
        let fastest = classes.rev().map(|class| narrowed(&|view| view.speed_class >= class));
        let narrow = one_class.chain(fast_enough).chain(fastest).find(|plan| !plan.is_empty());
        narrow.unwrap_or_else(|| fit(allowed))
    }

    /// Places each task in turn on the worker that is left with the least free capacity.
    /// Workers are preferred by `min_speed` first.
    fn best_fit(
        &self,
        step: &PendingStep,
        allowed: &[usize],
        views: &WorkerViews,
        min_speed: Option<MinSpeed>,
    ) -> Plan {
        let spec = step.spec();
        let demand = spec.allocation();
        let failed = self.failed_workers.get(&step.key);
        let mut free: BTreeMap<usize, Amount> = allowed
            .iter()
            .filter(|&&at| !views.get(at).is_withheld(step))
            .map(|&at| (at, views.get(at).free))
            .collect();
        let mut counts = self.spread_counts(step, views);
        let mut plan = Plan::new();
        let mut suspects_fit = true;
        for index in step.pending.iter() {
            let is_suspect = step.suspects.contains(&index);
            if is_suspect && !suspects_fit {
                continue;
            }
            let best = free
                .iter()
                .filter(|(at, room)| {
                    let taken = counts.get(*at).copied().unwrap_or(0);
                    demand.fits(room)
                        && (spec.max_per_worker == 0 || taken < spec.max_per_worker)
                        && views.get(**at).admits(step, index)
                })
                .map(|(&at, room)| {
                    let view = views.get(at);
                    let before = failed.is_some_and(|failed| failed.contains(&view.id));
                    let failed_cost = if before { FAILED_BEFORE_COST } else { 0.0 };
                    let unresponsive_cost = if view.unresponsive { UNRESPONSIVE_COST } else { 0.0 };
                    let left = leftover(room, &demand, &view.listed.capacity);
                    // Prefers the emptiest worker, because a crash also loses what runs beside the
                    // task.
                    let left = if is_suspect { -left } else { left };
                    let penalty = failed_cost + unresponsive_cost;
                    // With speeds, a worker with a penalty comes after those of all speeds.
                    let order =
                        min_speed.map_or((0.0, 0), |speed| (penalty, speed.preference(view)));
                    (order, left + penalty, at)
                })
                .min_by(|one, other| {
                    let (penalty, preference) = other.0;
                    one.0
                        .0
                        .total_cmp(&penalty)
                        .then(one.0.1.cmp(&preference))
                        .then(one.1.total_cmp(&other.1))
                });
            let Some((_, _, at)) = best else {
                // Workers on which other tasks are starting admit no suspected ones.
                if is_suspect {
                    suspects_fit = false;
                    continue;
                }
                break;
            };
            if let Some(room) = free.get_mut(&at) {
                *room = room.saturating_sub(&demand);
            }
            // One task is enough for a step that may use workers reserved for others.
            if !spec.gang && views.get(at).reserved {
                free.retain(|&at, _| !views.get(at).reserved);
            }
            *counts.entry(at).or_insert(0) += 1;
            plan.push((index, at));
        }
        plan
    }

    /// Returns the number of the step's tasks on each worker, if the step limits it.
    pub(super) fn spread_counts(
        &self,
        step: &PendingStep,
        views: &WorkerViews,
    ) -> BTreeMap<usize, u32> {
        let mut counts = BTreeMap::new();
        if step.spec().max_per_worker == 0 {
            return counts;
        }
        for (_, active) in self.runs_of_step(step.key) {
            if let Some(at) = views.find(&active.worker) {
                *counts.entry(at).or_insert(0) += 1;
            }
        }
        counts
    }

    fn apply_plan(&mut self, step: &PendingStep, plan: &Plan, views: &mut WorkerViews) {
        let demand = step.spec().allocation();
        let numbers = self.run_numbers(step, plan);
        self.note_started_work(step, plan.len());
        self.note_queue_start(step, plan.len());
        self.deferrals.end(step.key);
        let mut by_worker: BTreeMap<WorkerId, Vec<Run>> = BTreeMap::new();
        let mut all = Vec::new();
        for (&(index, at), number) in plan.iter().zip(numbers) {
            let view = views.get_mut(at);
            view.free = view.free.saturating_sub(&demand);
            view.runs_serving |= step.spec().has_latency_target();
            view.runs_opportunistic |= step.spec().opportunistic;
            let suspect = step.suspects.contains(&index);
            view.starting.add(step.key.job, suspect);
            let run = Run { task: TaskKey { step: step.key, index }, number };
            if let Some(worker) = self.workers.get_mut(&view.id) {
                worker.allocate(run, &demand);
            }
            let charge = step.charge();
            self.usage.add(charge.as_ref());
            let active =
                ActiveRun::new(view.id.clone(), demand, charge, Stage::Recording, self.now);
            self.runs.insert(run, active);
            if suspect {
                self.suspects.insert(run);
            }
            by_worker.entry(view.id.clone()).or_default().push(run);
            all.push(run);
        }
        for (worker, runs) in by_worker {
            log::info!(
                "event=task.placed step={} run={} tasks={} worker={worker} rank={:?}",
                step.key,
                runs[0].number,
                runs.len(),
                step.rank.timeliness
            );
            self.record(Record::Placed { worker, runs });
        }
        self.defer(Deferred::Start(all));
    }

    /// Returns the numbers of the next attempts; the members of a gang share theirs.
    fn run_numbers(&self, step: &PendingStep, plan: &Plan) -> Vec<u32> {
        let Some(state) = self.state.step(&step.key) else { return vec![1; plan.len()] };
        if step.spec().gang {
            let next = state.tasks.groups().map(|(_, task)| task.last_run).max().unwrap_or(0) + 1;
            return vec![next; plan.len()];
        }
        let last_run = |index: u32| state.tasks.get(index).map_or(0, |task| task.last_run);
        plan.iter().map(|(index, _)| last_run(*index) + 1).collect()
    }
}

/// Capacity left on a worker as a share of its total, summed over CPU, memory and accelerators.
fn leftover(room: &Amount, demand: &Amount, capacity: &Amount) -> f64 {
    let share = |room: u64, demand: u64, capacity: u64| {
        room.saturating_sub(demand) as f64 / capacity.max(1) as f64
    };
    share(room.cpu_millis, demand.cpu_millis, capacity.cpu_millis)
        + share(room.memory_mib, demand.memory_mib, capacity.memory_mib)
        + share(room.accelerators, demand.accelerators, capacity.accelerators)
}
