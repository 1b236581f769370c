//! Stops tasks that can wait if a more urgent step finds no free capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pending::PendingStep;
use super::rank::Timeliness;
use super::view::WorkerViews;
use super::{ActiveRun, Machine, Stage};
use crate::cell::job::Run;
use crate::cell::preempt::{self, CandidateWorker, Victim};
use crate::cell::record::WorkerId;
use crate::cell::worker::PreemptibleRun;
use crate::clock::millis;

/// Pause of a step after it has preempted tasks: a stop takes up to 0.4 s, and the released
/// capacity is used in the round after it.
const COOLDOWN: Duration = Duration::from_millis(450);

/// Interval between two searches of one step for victims, and between two scans of all attempts for
/// preemptible ones. Each takes up to a few milliseconds on a site of 350 workers.
const SEARCH_INTERVAL: Duration = Duration::from_millis(60);
const SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a task must have left beyond its expected end to be preempted. Restarting it takes a
/// policy query and a round, about a second, and capacity may be scarce. With 4 s, Lakeshore's
/// retraining jobs were late (value of one day 0.68; 0.70 with 8 s, 0.72 without preemption; three
/// runs each).
const MIN_SLACK_MS: f64 = 8_000.0;

/// Percentage of its work from which a task is no longer preempted.
const NEARLY_DONE_PERCENT: u32 = 75;

/// Time for which a task is not preempted after its start, so that none is stopped again and again.
const MIN_RUN_TIME: Duration = Duration::from_millis(1_000);

/// Number of a task's attempt from which it is no longer preempted.
const MAX_RUNS: u32 = 3;

impl Machine {
    /// Preempts tasks on the `allowed` workers so that `count` tasks of the step soon fit there.
    pub(super) fn preempt_for(
        &mut self,
        step: &PendingStep,
        count: usize,
        allowed: &[usize],
        views: &WorkerViews,
    ) {
        if step.rank.timeliness != Timeliness::OnTime || !self.may_preempt_now(step) {
            return;
        }
        let spec = step.spec();
        let demand = spec.allocation();
        let taken = self.spread_counts(step, views);
        let bound = |at: &usize| match spec.max_per_worker {
            0 => usize::MAX,
            spread => spread.saturating_sub(taken.get(at).copied().unwrap_or(0)) as usize,
        };
        let places = allowed.iter().map(|at| CandidateWorker {
            free: views.get(*at).free,
            max_tasks: bound(at),
            victims: self.preemptible(*at, step, views).map(|one| one.victim.clone()).collect(),
        });
        let choice = preempt::choose_victims(&demand, count, places.collect());
        if choice.victims.is_empty() || spec.gang && choice.placeable < count {
            return;
        }
        let placeable = demand.cpu_millis.saturating_mul(choice.placeable as u64);
        let work = placeable.saturating_mul(self.expected_ms(step));
        if choice.lost_work > work {
            return;
        }
        log::info!(
            "event=step.preempts step={} tasks={} victims={} lost_core_ms={}",
            step.key,
            choice.placeable,
            choice.victims.len(),
            choice.lost_work / 1_000
        );
        self.next_preemption.insert(step.key, self.now.after(COOLDOWN));
        for run in choice.victims {
            self.history.note_preempted(run, step.key);
            self.stop_run(run);
        }
    }

    /// Whether the step may search for victims now; it then pauses until the next search.
    fn may_preempt_now(&mut self, step: &PendingStep) -> bool {
        let cooling_down =
            self.next_preemption.get(&step.key).is_some_and(|until| self.now < *until);
        if !cooling_down {
            self.next_preemption.insert(step.key, self.now.after(SEARCH_INTERVAL));
        }
        !cooling_down
    }

    /// Returns how many tasks of the step fit on a worker now or after preempting others there.
    pub(super) fn slots_with_preemption(
        &self,
        at: usize,
        step: &PendingStep,
        views: &WorkerViews,
    ) -> f64 {
        let view = views.get(at);
        if step.rank.timeliness != Timeliness::OnTime {
            return view.slots(step);
        }
        let room = self
            .preemptible(at, step, views)
            .fold(view.free, |room, yielding| room.saturating_add(&yielding.victim.demand));
        view.slots_for(&room, step)
    }

    /// Returns the attempts on a worker that may be preempted for the step.
    fn preemptible<'a>(
        &'a self,
        at: usize,
        step: &PendingStep,
        views: &'a WorkerViews,
    ) -> impl Iterator<Item = &'a PreemptibleRun> + use<'a> {
        let priority = step.queue.priority;
        views.get(at).preemptible.iter().filter(move |yielding| {
            let active = self.runs.get(&yielding.victim.run);
            yielding.priority > priority && active.is_some_and(|active| !active.stop_requested)
        })
    }

    /// Updates the list of preemptible attempts of each worker: those of tasks that save
    /// checkpoints and whose jobs would still end in time.
    ///
    /// Done only at intervals: when it was done for each step in each round, it took so much time
    /// of a large site's owner that short jobs started 118 ms after their arrival instead of 55 ms.
    pub(super) fn refresh_preemptible(&mut self) {
        if self.now < self.next_preemptible_scan {
            return;
        }
        self.next_preemptible_scan = self.now.after(SCAN_INTERVAL);
        let mut found: BTreeMap<WorkerId, Vec<PreemptibleRun>> = BTreeMap::new();
        for (run, active) in self.runs.iter() {
            if let Some(priority) = self.preemptible_priority(run, active) {
                let victim = Victim { run: *run, demand: active.demand };
                found
                    .entry(active.worker.clone())
                    .or_default()
                    .push(PreemptibleRun { priority, victim });
            }
        }
        let before = self.workers.values().filter(|worker| !worker.preemptible.is_empty());
        let before: Vec<WorkerId> = before.map(|worker| worker.id.clone()).collect();
        for id in before {
            found.entry(id).or_default();
        }
        for (id, yielding) in found {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.preemptible = yielding.into();
            }
        }
    }

    /// Returns the priority of an attempt's queue if the attempt may be preempted.
    fn preemptible_priority(&self, run: &Run, active: &ActiveRun) -> Option<u32> {
        let Stage::Running(_) = active.stage else { return None };
        let key = run.task.step;
        if active.stop_requested
            || run.number >= MAX_RUNS
            || active.progress.0 >= NEARLY_DONE_PERCENT
            || self.now.since(active.since) < MIN_RUN_TIME
        {
            return None;
        }
        let entry = self.state.jobs.get(&key.job)?;
        let spec = entry.job.steps.get(key.step as usize)?;
        if !spec.checkpoints || spec.gang || spec.long_running {
            return None;
        }
        let queue = self.config.queue(&entry.job.queue)?;
        let slack = self.slack_ms(&entry.job, queue, &key, entry.accepted.as_millis());
        (slack >= MIN_SLACK_MS).then_some(queue.priority)
    }

    fn expected_ms(&self, step: &PendingStep) -> u64 {
        if self.has_learned_run_times(&step.queue) {
            return self.expected_run_ms(step.spec(), &step.queue) as u64;
        }
        let estimate = Duration::from_millis(step.spec().estimate_ms);
        self.mean_run_times_ms.get(&step.queue.name).map_or(millis(estimate), |mean| *mean as u64)
    }
}
