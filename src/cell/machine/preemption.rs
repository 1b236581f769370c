//! Stops tasks that can wait where a more urgent step finds no room.

use std::collections::BTreeMap;
use std::time::Duration;

use super::field::Fields;
use super::rank::Hope;
use super::waiting::Waiting;
use super::{Live, Machine, Stage};
use crate::cell::job::Run;
use crate::cell::preempt::{self, CandidateWorker, Victim};
use crate::cell::record::WorkerId;
use crate::cell::worker::PreemptibleRun;
use crate::clock::millis;

/// Rest of a step after tasks were stopped for it: a stop takes up to 0.4 s, and the room is placed
/// on in the round after its end.
const REST: Duration = Duration::from_millis(450);

/// Rest between two looks of one step for victims, and between two looks at all tasks for those that
/// yield: each takes up to some milliseconds on a site of 350 workers.
const TRY_REST: Duration = Duration::from_millis(60);
const LOOK_REST: Duration = Duration::from_millis(250);

/// Time that a task must have left beyond its expected end to be stopped: its way back into work
/// takes a question to the policy service and a round, about a second, and room may be scarce. With
/// 4 s, Lakeshore's retraining jobs came too late (worth of one day 0.68; 0.70 with 8 s, 0.72 without
/// preemption; three runs each).
const LEAST_SLACK_MS: f64 = 8_000.0;

/// Share of its work from which a task is left to end.
const NEARLY_DONE_PERCENT: u32 = 75;

/// Time for which a task is left to run once it has begun, so that none is stopped again and again.
const LEAST_RUN: Duration = Duration::from_millis(1_000);

/// Tries of a task from which it is left to run.
const MOST_TRIES: u32 = 3;

impl Machine {
    /// Stops tasks on `allowed` so that `count` tasks of the step find room there soon.
    pub(super) fn make_room(
        &mut self,
        step: &Waiting,
        count: usize,
        allowed: &[usize],
        fields: &Fields,
    ) {
        if step.rank.hope != Hope::OnTime || !self.may_preempt_now(step) {
            return;
        }
        let model = step.model();
        let demand = model.allocation();
        let taken = self.spread_counts(step, fields);
        let bound = |at: &usize| match model.max_per_worker {
            0 => usize::MAX,
            spread => spread.saturating_sub(taken.get(at).copied().unwrap_or(0)) as usize,
        };
        let places = allowed.iter().map(|at| CandidateWorker {
            free: fields.get(*at).room,
            max_tasks: bound(at),
            victims: self.yielding(*at, step, fields).map(|one| one.victim.clone()).collect(),
        });
        let choice = preempt::choose_victims(&demand, count, places.collect());
        if choice.victims.is_empty() || model.gang && choice.placeable < count {
            return;
        }
        let work = demand.cpu_millis * choice.placeable as u64 * self.expected_ms(step);
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
        self.preempted.insert(step.key, self.now.after(REST));
        for run in choice.victims {
            self.stop_run(run);
        }
    }

    /// Whether the step may look for victims; it looks again after a rest.
    fn may_preempt_now(&mut self, step: &Waiting) -> bool {
        let rests = self.preempted.get(&step.key).is_some_and(|until| self.now < *until);
        if !rests {
            self.preempted.insert(step.key, self.now.after(TRY_REST));
        }
        !rests
    }

    /// Tasks of the step that fit on a worker now or once tasks there are stopped for them.
    pub(super) fn reachable_slots(&self, at: usize, step: &Waiting, fields: &Fields) -> f64 {
        let field = fields.get(at);
        let (service, model) = (&step.queue.service, step.model());
        if step.rank.hope != Hope::OnTime {
            return field.slots(service, model);
        }
        let room = self
            .yielding(at, step, fields)
            .fold(field.room, |room, yielding| room.saturating_add(&yielding.victim.demand));
        field.slots_in(&room, service, model)
    }

    /// Tasks on a worker that may be stopped for the step.
    fn yielding<'a>(
        &'a self,
        at: usize,
        step: &Waiting,
        fields: &'a Fields,
    ) -> impl Iterator<Item = &'a PreemptibleRun> + use<'a> {
        let priority = step.queue.priority;
        fields.get(at).yielding.iter().filter(move |yielding| {
            let live = self.runs.get(&yielding.victim.run);
            yielding.priority > priority && live.is_some_and(|live| !live.unwanted)
        })
    }

    /// Notes on each worker which tasks may be stopped: those that save their progress and whose jobs
    /// still end in time.
    ///
    /// Looked for at times only: done for each step in each round it took so much of a grown site's
    /// owner that quick jobs started 118 ms after they came, in place of 55 ms.
    pub(super) fn look_for_yielding(&mut self) {
        if self.now < self.next_yielding {
            return;
        }
        self.next_yielding = self.now.after(LOOK_REST);
        let mut found: BTreeMap<WorkerId, Vec<PreemptibleRun>> = BTreeMap::new();
        for (run, live) in self.runs.iter() {
            if let Some(priority) = self.yields(run, live) {
                let victim = Victim { run: *run, demand: live.demand };
                found
                    .entry(live.worker.clone())
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

    /// Priority of a task's queue, if the task may be stopped for more urgent ones.
    fn yields(&self, run: &Run, live: &Live) -> Option<u32> {
        let Stage::Running(_) = live.stage else { return None };
        let key = run.task.step;
        if live.unwanted
            || run.number >= MOST_TRIES
            || live.progress.0 >= NEARLY_DONE_PERCENT
            || self.now.since(live.since) < LEAST_RUN
        {
            return None;
        }
        let entry = self.state.jobs.get(&key.job)?;
        let model = entry.job.steps.get(key.step as usize)?;
        if !model.checkpoints || model.gang || model.long_running {
            return None;
        }
        let queue = self.table.queue(&entry.job.queue)?;
        let slack = self.slack_ms(&entry.job, queue, &key, entry.accepted.as_millis());
        (slack >= LEAST_SLACK_MS).then_some(queue.priority)
    }

    fn expected_ms(&self, step: &Waiting) -> u64 {
        let estimate = Duration::from_millis(step.model().estimate_ms);
        self.run_times.get(&step.queue.name).map_or(millis(estimate), |mean| *mean as u64)
    }
}
