//! Cached views of workers for placement rounds.
//!
//! Views are kept between rounds, and each round refreshes only those of workers that have changed.
//! With 3,000 workers, examining each of them for each waiting step took all of the owner's time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::Machine;
use super::crash::StartingTasks;
use super::deferral::Rule;
use super::pending::PendingStep;
use super::timer_queue::TimerQueue;
use crate::cell::dependencies::WorkerInfo;
use crate::cell::job::{Run, Step};
use crate::cell::record::WorkerId;
use crate::cell::worker::{PreemptibleRun, Worker};
use crate::clock::Instant;
use crate::resource::Amount;

/// Resolution of the clock.
const CLOCK_TICK: Duration = Duration::from_millis(1);

/// Share of free CPU above which all queues are entitled to equal shares; below it, waiting steps
/// may be waiting for capacity. Without equal shares, of 40 small jobs that waited beside gangs
/// without capacity, 12 that could be on time and all late ones had no query within 3 s (in the
/// test `starvation`); with them, all have one.
const MOSTLY_FREE: f64 = 0.5;

/// State of a worker in a placement round.
#[derive(Debug)]
pub(super) struct WorkerView {
    pub(super) id: WorkerId,
    pub(super) listed: Rc<WorkerInfo>,
    pub(super) free: Amount,
    /// CPU that is free at the start of the round, in thousandths of a core.
    free_cpu_millis: u64,
    /// Whether it may be given new tasks.
    open: bool,
    /// Reserved for a step of higher rank, in this round or until it begins to place steps.
    pub(super) reserved: bool,
    /// Whether the worker left its latest commands unanswered.
    pub(super) unresponsive: bool,
    /// Attempts on the worker that may be preempted.
    pub(super) preemptible: Rc<[PreemptibleRun]>,
    /// Whether tasks on it have a response time target.
    pub(super) runs_serving: bool,
    /// Whether opportunistic tasks run on it, which use what others leave.
    pub(super) runs_opportunistic: bool,
    /// Tasks that are starting on it; filled in only while crash isolation is on.
    pub(super) starting: StartingTasks,
    /// Learned speed, relative to the mean of the site.
    pub(super) speed: f64,
    /// Class of that speed.
    pub(super) speed_class: u8,
}

/// Parts of the views that are filled in only when needed; few sites have tasks for which they
/// matter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ViewOptions {
    /// A waiting step has a response time target or is opportunistic.
    interference: bool,
    /// A waiting or running task is suspected of crashing its workers.
    crash_isolation: bool,
}

/// Views of all workers, in the order of their names, which are addressed by index.
#[derive(Debug, Default)]
pub(super) struct WorkerViews {
    all: Vec<WorkerView>,
    positions: HashMap<WorkerId, usize>,
    /// Indices ordered by free CPU, most first, as of the last call of [`WorkerViews::sort`].
    by_free_cpu: Vec<usize>,
    is_sorted: bool,
    /// Indices of reserved workers.
    reserved: Vec<usize>,
    /// Workers that have changed since the last round.
    changed: BTreeSet<WorkerId>,
    /// When the view of a worker changes although the worker does not.
    refresh_times: TimerQueue<WorkerId>,
    options: ViewOptions,
    /// Version of the speeds that the views contain.
    speed_version: u64,
    open: Totals,
}

/// Totals of all workers that may be given new tasks.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    count: usize,
    /// CPU in thousandths of a core, in total and unallocated. The sums of any numbers that workers
    /// may list fit.
    cpu_millis: u128,
    free_cpu_millis: u128,
}

impl WorkerViews {
    /// Notes that a worker was added, changed or removed.
    pub(super) fn note_changed(&mut self, id: WorkerId) {
        self.changed.insert(id);
    }

    /// Number of workers that may be given new tasks now.
    pub(super) const fn count(&self) -> usize {
        self.open.count
    }

    /// Indices of workers that may be given new tasks now.
    pub(super) fn open(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.all.len()).filter(|&at| self.all[at].open)
    }

    /// Share of their CPU that is free at the start of the round, 0 to 1.
    pub(super) fn free_share(&self) -> f64 {
        self.open.free_cpu_millis as f64 / self.open.cpu_millis.max(1) as f64
    }

    /// Whether most of their CPU is free at the start of the round.
    pub(super) fn is_mostly_free(&self) -> bool {
        self.free_share() > MOSTLY_FREE
    }

    /// Their CPU that is free at the start of the round, in thousandths of a core.
    pub(super) fn free_cpu_millis(&self) -> u64 {
        u64::try_from(self.open.free_cpu_millis).unwrap_or(u64::MAX)
    }

    /// Their total CPU, in thousandths of a core.
    pub(super) fn cpu_millis(&self) -> u64 {
        u64::try_from(self.open.cpu_millis).unwrap_or(u64::MAX)
    }

    pub(super) fn get(&self, at: usize) -> &WorkerView {
        &self.all[at]
    }

    /// Returns a view that may be changed for the rest of the round.
    pub(super) fn get_mut(&mut self, at: usize) -> &mut WorkerView {
        self.is_sorted = false;
        &mut self.all[at]
    }

    /// Returns the index of the worker of that name, if it may be given new tasks now.
    pub(super) fn find(&self, id: &WorkerId) -> Option<usize> {
        self.positions.get(id).copied().filter(|&at| self.all[at].open)
    }

    pub(super) fn racks(&self, positions: &[usize]) -> BTreeSet<Option<String>> {
        positions.iter().map(|&at| self.all[at].listed.rack.clone()).collect()
    }

    /// Reserves a worker until the next round places steps.
    pub(super) fn reserve(&mut self, at: usize) {
        self.all[at].reserved = true;
        self.reserved.push(at);
    }

    /// Indices of the reserved workers.
    pub(super) fn reserved(&self) -> &[usize] {
        &self.reserved
    }

    /// Sorts the workers by free CPU. They are nearly in order from the last time.
    pub(super) fn sort(&mut self) {
        if self.is_sorted {
            return;
        }
        let all = &self.all;
        self.by_free_cpu.sort_by_key(|&at| (Reverse(all[at].free.cpu_millis), at));
        self.is_sorted = true;
    }

    /// Workers that may be given new tasks now, by free CPU, most first, as of the last call of
    /// [`WorkerViews::sort`].
    pub(super) fn by_free_cpu(&self) -> impl Iterator<Item = usize> + '_ {
        self.by_free_cpu.iter().copied().filter(|&at| self.all[at].open)
    }

    /// Replaces a view and updates the totals.
    fn replace(&mut self, at: usize, view: WorkerView) {
        let before = std::mem::replace(&mut self.all[at], view);
        self.open.remove(&before);
        self.open.add(&self.all[at]);
    }

    /// Releases the reservations of the last round.
    pub(super) fn release_reserved(&mut self) {
        for at in std::mem::take(&mut self.reserved) {
            self.all[at].reserved = false;
        }
    }
}

impl Totals {
    fn add(&mut self, view: &WorkerView) {
        if view.open {
            self.count += 1;
            self.cpu_millis += u128::from(view.listed.capacity.cpu_millis);
            self.free_cpu_millis += u128::from(view.free_cpu_millis);
        }
    }

    fn remove(&mut self, view: &WorkerView) {
        if view.open {
            self.count -= 1;
            self.cpu_millis -= u128::from(view.listed.capacity.cpu_millis);
            self.free_cpu_millis -= u128::from(view.free_cpu_millis);
        }
    }
}

impl WorkerView {
    /// Whether the step's tasks and those on the worker do not disturb each other.
    ///
    /// Guards against opportunistic tasks that slow tasks with a response time target beyond that
    /// target: the two kinds run on different workers.
    pub(super) fn is_compatible(&self, step: &Step) -> bool {
        !(step.opportunistic && self.runs_serving
            || step.has_latency_target() && self.runs_opportunistic)
    }

    /// Whether a task of the step may start beside those that are starting on the worker.
    pub(super) fn admits(&self, step: &PendingStep, index: u32) -> bool {
        self.starting.admits(step.key.job, step.suspects.contains(&index))
    }

    /// Number of the step's tasks that fit on the worker now.
    pub(super) fn slots(&self, step: &PendingStep) -> f64 {
        self.slots_for(&self.free, step)
    }

    /// Number of the step's tasks that would fit if the worker had `room` free.
    pub(super) fn slots_for(&self, room: &Amount, step: &PendingStep) -> f64 {
        let (service, spec) = (&step.queue.service, step.spec());
        let usable = self.matches(service, spec) && self.is_compatible(spec);
        if !usable || self.is_withheld(step) {
            return 0.0;
        }
        slots_within(room, spec)
    }

    /// Whether the worker is reserved for another step, which still excludes this one.
    pub(super) const fn is_withheld(&self, step: &PendingStep) -> bool {
        let is_waived =
            step.overdue.contains(Rule::Reservation) || step.overdue.contains(Rule::Isolation);
        self.reserved && !is_waived
    }

    /// Whether the worker belongs to `service` and has the label that the step requires.
    pub(super) fn matches(&self, service: &str, step: &Step) -> bool {
        matches(&self.listed, service, step)
    }
}

/// Number of the step's tasks that fit into `room` on one worker.
pub(super) fn slots_within(room: &Amount, step: &Step) -> f64 {
    let demand = step.allocation();
    let fits = |room: u64, demand: u64| room.checked_div(demand).unwrap_or(u64::MAX);
    let slots = fits(room.cpu_millis, demand.cpu_millis)
        .min(fits(room.memory_mib, demand.memory_mib))
        .min(fits(room.accelerators, demand.accelerators))
        .min(u64::from(step.count));
    let bound = if step.max_per_worker == 0 { u64::MAX } else { u64::from(step.max_per_worker) };
    slots.min(bound) as f64
}

/// Whether a listed worker belongs to `service` and has the label that the step requires.
pub(super) fn matches(listed: &WorkerInfo, service: &str, step: &Step) -> bool {
    let label = step.required_label.as_ref().is_none_or(|label| listed.labels.contains(label));
    listed.service == service && label
}

impl Machine {
    /// Refreshes the views for a round that places the `waiting` steps. What runs on each worker
    /// matters only if one of them has a response time target or is opportunistic.
    pub(super) fn refresh_views(&self, views: &mut WorkerViews, waiting: &[PendingStep]) {
        let shares =
            |step: &PendingStep| step.spec().opportunistic || step.spec().has_latency_target();
        let interference = waiting.iter().any(shares);
        let crash_isolation =
            waiting.iter().any(|step| !step.suspects.is_empty()) || !self.suspects.is_empty();
        let options = ViewOptions { interference, crash_isolation };
        // The set of starting tasks changes with time alone.
        let all = crash_isolation || options != views.options;
        views.options = options;
        self.refresh_view_speeds(views);
        let changed = std::mem::take(&mut views.changed);
        if changed
            .iter()
            .any(|id| views.positions.contains_key(id) != self.workers.contains_key(id))
        {
            return self.rebuild_views(views);
        }
        let mut stale = changed;
        stale.extend(views.refresh_times.due(self.now, usize::MAX));
        if all {
            stale.extend(self.workers.keys().cloned());
        }
        for id in &stale {
            if let Some((worker, &at)) = self.workers.get(id).zip(views.positions.get(id)) {
                views.replace(at, self.view(worker, options));
                views.refresh_times.set(id, self.next_refresh(worker));
            }
        }
        views.is_sorted &= stale.is_empty();
    }

    /// Takes over the workers' speeds into the views if they have changed.
    fn refresh_view_speeds(&self, views: &mut WorkerViews) {
        let version = self.worker_speeds().version();
        if views.speed_version == version {
            return;
        }
        views.speed_version = version;
        for view in &mut views.all {
            (view.speed, view.speed_class) = self.speed_of(&view.listed);
        }
    }

    fn rebuild_views(&self, views: &mut WorkerViews) {
        let all = self.workers.values().map(|worker| self.view(worker, views.options));
        views.all = all.collect();
        views.reserved.clear();
        let positions = self.workers.keys().cloned().enumerate();
        views.positions = positions.map(|(at, id)| (id, at)).collect();
        views.by_free_cpu = (0..views.all.len()).collect();
        views.is_sorted = false;
        views.open = Totals::default();
        views.all.iter().for_each(|view| views.open.add(view));
        views.refresh_times = TimerQueue::default();
        for worker in self.workers.values() {
            views.refresh_times.set(&worker.id, self.next_refresh(worker));
        }
    }

    /// Returns when the view of a worker changes although the worker does not.
    fn next_refresh(&self, worker: &Worker) -> Option<Instant> {
        let rest = worker.next_backoff_change(self.now);
        let known = worker.capacity_valid_until(self.timings.capacity_max_age);
        let lapse = known.map(|until| until.after(CLOCK_TICK)).filter(|lapse| *lapse > self.now);
        rest.into_iter().chain(lapse).min()
    }

    fn view(&self, worker: &Worker, options: ViewOptions) -> WorkerView {
        let ViewOptions { interference, crash_isolation } = options;
        let runs_any = |is: fn(&Step) -> bool| worker.runs.iter().any(|run| self.runs_as(run, is));
        let known_for = self.timings.capacity_max_age;
        let free = worker.free_capacity();
        let (speed, speed_class) = self.speed_of(&worker.info);
        WorkerView {
            id: worker.id.clone(),
            listed: worker.info.clone(),
            free,
            free_cpu_millis: free.cpu_millis,
            open: worker.accepts_tasks(self.now) && worker.is_capacity_current(known_for, self.now),
            reserved: false,
            unresponsive: worker.command_backoff.is_deprioritized(self.now),
            // Capacity released on an overcommitted worker cannot be used.
            preemptible: if worker.is_overcommitted() {
                Rc::default()
            } else {
                worker.preemptible.clone()
            },
            runs_serving: interference && runs_any(Step::has_latency_target),
            runs_opportunistic: interference && runs_any(|step| step.opportunistic),
            starting: if crash_isolation {
                self.starting(worker)
            } else {
                StartingTasks::default()
            },
            speed,
            speed_class,
        }
    }

    fn runs_as(&self, run: &Run, is: fn(&Step) -> bool) -> bool {
        self.spec(&run.task.step).is_some_and(is)
    }
}
