//! Stops tasks that can wait where a more urgent step finds no room.

use std::time::Duration;

use super::field::Fields;
use super::rank::Hope;
use super::waiting::Waiting;
use super::{Live, Machine, Stage};
use crate::cell::job::Run;
use crate::cell::preempt::{self, Place, Victim};
use crate::clock::millis;

/// Rest of a step after tasks were stopped for it: a stop takes up to 0.4 s, and the room is placed
/// on in the round after its end.
const REST: Duration = Duration::from_millis(450);

/// Time that a task must have left beyond its expected end to be stopped: its way back into work
/// takes a question to the policy service and a round, about a second, and room may be scarce.
const LEAST_SLACK_MS: f64 = 4_000.0;

/// Share of its work from which a task is left to end.
const NEARLY_DONE_PERCENT: u32 = 75;

/// Time for which a task is left to run once it has begun, so that none is stopped again and again.
const LEAST_RUN: Duration = Duration::from_millis(1_000);

/// Tries of a task from which it is left to run.
const MOST_TRIES: u32 = 4;

impl Machine {
    /// Stops tasks on `allowed` so that `count` tasks of the step find room there soon.
    pub(super) fn make_room(
        &mut self,
        step: &Waiting,
        count: usize,
        allowed: &[usize],
        fields: &Fields,
    ) {
        let rests = self.preempted.get(&step.key).is_some_and(|since| self.now.since(*since) < REST);
        if rests || step.rank.hope != Hope::OnTime {
            return;
        }
        let model = step.model();
        let demand = model.room();
        let taken = self.spread_counts(step, fields);
        let bound = |at: &usize| match model.spread {
            0 => usize::MAX,
            spread => spread.saturating_sub(taken.get(at).copied().unwrap_or(0)) as usize,
        };
        let places = allowed.iter().map(|at| Place {
            room: fields.get(*at).room,
            bound: bound(at),
            victims: self.victims(*at, step, fields),
        });
        let choice = preempt::choose(&demand, count, places.collect());
        if choice.victims.is_empty() || model.gang && choice.fitting < count {
            return;
        }
        let work = demand.cpu_millis * choice.fitting as u64 * self.expected_ms(step);
        if choice.lost > work {
            return;
        }
        log::info!(
            "event=step.preempts step={} tasks={} victims={} lost_core_ms={}",
            step.key,
            choice.fitting,
            choice.victims.len(),
            choice.lost / 1_000
        );
        self.preempted.insert(step.key, self.now);
        for run in choice.victims {
            self.stop_run(run);
        }
    }

    /// Tasks of the step that fit on a worker now or once tasks there are stopped for them.
    pub(super) fn reachable_slots(&self, at: usize, step: &Waiting, fields: &Fields) -> f64 {
        let field = fields.get(at);
        let (service, model) = (&step.queue.service, step.model());
        if step.rank.hope != Hope::OnTime || !field.suits(service, model) {
            return field.slots(service, model);
        }
        let victims = self.victims(at, step, fields);
        let room = victims.iter().fold(field.room, |room, victim| {
            room.saturating_add(&victim.demand)
        });
        field.slots_in(&room, service, model)
    }

    /// Tasks on a worker that may be stopped for the step: less urgent ones that save their progress
    /// and whose jobs still end in time.
    fn victims(&self, at: usize, step: &Waiting, fields: &Fields) -> Vec<Victim> {
        let Some(worker) = self.workers.get(&fields.get(at).id) else { return Vec::new() };
        let runs = worker.runs.iter().filter_map(|run| Some((run, self.runs.get(run)?)));
        let yielding = runs.filter(|(run, live)| self.yields(run, live, step));
        yielding.map(|(run, live)| Victim { run: *run, demand: live.demand }).collect()
    }

    fn yields(&self, run: &Run, live: &Live, step: &Waiting) -> bool {
        let Stage::Running(_) = live.stage else { return false };
        let key = run.task.step;
        let Some(entry) = self.state.jobs.get(&key.job) else { return false };
        let Some(model) = entry.job.steps.get(key.step as usize) else { return false };
        let Some(queue) = self.table.queue(&entry.job.queue) else { return false };
        let may_stop = model.checkpoints && !model.gang && !model.lasting;
        let may_stop = may_stop && queue.priority > step.queue.priority && !live.unwanted;
        may_stop
            && run.number < MOST_TRIES
            && live.progress.0 < NEARLY_DONE_PERCENT
            && self.now.since(live.since) >= LEAST_RUN
            && self.slack_ms(&entry.job, queue, &key, entry.accepted.as_millis()) >= LEAST_SLACK_MS
    }

    fn expected_ms(&self, step: &Waiting) -> u64 {
        let estimate = Duration::from_millis(step.model().estimate_ms);
        self.run_times.get(&step.queue.name).map_or(millis(estimate), |mean| *mean as u64)
    }
}
