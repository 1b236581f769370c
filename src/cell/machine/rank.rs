//! Which waiting step goes first.

use super::Machine;
use crate::cell::job::{Job, Step, StepKey};
use crate::cell::queue::Queue;
use crate::cell::timings::MAX_POLICY_WORKERS;

/// Times its objective after which a job earns nothing any more.
const WORTHLESS_AFTER: f64 = 3.0;

/// Part of the expected run time that must fit before the objective for a job to count as on time;
/// callers' estimates are off by half.
const HOPE: f64 = 0.7;

/// Workers in the question to the policy service that callers allow for with each step.
const USUAL_QUESTION: usize = 30;

/// Order of waiting steps; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) hope: Hope,
    priority: u32,
    deadline: u64,
}

/// What a job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Hope {
    OnTime,
    Late,
    Worthless,
}

impl Machine {
    /// Rank of a step whose job came at `accepted`, on the wall clock in milliseconds.
    pub(super) fn rank(&self, job: &Job, queue: &Queue, key: &StepKey, accepted: u64) -> Rank {
        let begin = job.due_at(key.occurrence).map_or(accepted, crate::clock::Unix::as_millis);
        let objective = self.objective(job, queue);
        let left =
            self.chain_from(job, key.step as usize, queue) * HOPE + self.asking_ms(job, key, queue);
        let end = (self.unix.as_millis().saturating_sub(begin)) as f64 + left;
        let hope = if end <= objective {
            Hope::OnTime
        } else if end <= objective * WORTHLESS_AFTER {
            Hope::Late
        } else {
            Hope::Worthless
        };
        Rank { hope, priority: queue.priority, deadline: begin + objective as u64 }
    }

    /// Time that the policy service takes before a gang can begin that nobody has asked about.
    ///
    /// Guards against questions in vain: in a flood each gang was asked about when it was just on time, and
    /// was late when its answer came, while others behind it that could be on time were not asked about.
    fn asking_ms(&self, job: &Job, key: &StepKey, queue: &Queue) -> f64 {
        let unasked = self.tickets.get(key).is_none_or(|tickets| tickets.counts().0 == 0);
        let gang = job.steps[key.step as usize].gang;
        queue
            .policy
            .filter(|_| gang && unasked)
            .map_or(0.0, |advice| advice.time_ms(MAX_POLICY_WORKERS))
    }

    /// Time that a step of a job may still be held up, in milliseconds; negative once it is late.
    pub(super) fn slack_ms(&self, job: &Job, queue: &Queue, key: &StepKey, accepted: u64) -> f64 {
        let begin = job.due_at(key.occurrence).map_or(accepted, crate::clock::Unix::as_millis);
        let passed = self.unix.as_millis().saturating_sub(begin) as f64;
        let left = self.chain_from(job, key.step as usize, queue);
        self.objective(job, queue) - passed - left
    }

    /// Time within which a job should end, in milliseconds.
    fn objective(&self, job: &Job, queue: &Queue) -> f64 {
        self.chain(job, 0, queue) * queue.stretch.max(1.0) + queue.target_ms as f64
    }

    /// Expected time of the longest chain of steps of a job, from `first` on, in milliseconds.
    fn chain(&self, job: &Job, first: usize, queue: &Queue) -> f64 {
        let asking = queue.policy.map_or(0.0, |advice| advice.time_ms(USUAL_QUESTION));
        let mut ends = vec![0.0_f64; job.steps.len()];
        for (number, step) in job.steps.iter().enumerate().skip(first) {
            let begin = step.depends_on.iter().map(|&earlier| ends[earlier]).fold(0.0, f64::max);
            ends[number] = begin + asking + self.expected(step, queue);
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// The same for the steps that wait for `step`, itself included.
    fn chain_from(&self, job: &Job, step: usize, queue: &Queue) -> f64 {
        let mut ends = vec![0.0_f64; job.steps.len()];
        ends[step] = self.expected(&job.steps[step], queue);
        for (number, later) in job.steps.iter().enumerate().skip(step + 1) {
            let begin = later.depends_on.iter().map(|&earlier| ends[earlier]).fold(0.0, f64::max);
            if begin > 0.0 {
                ends[number] = begin + self.expected(later, queue);
            }
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Expected run time of a task: the caller's estimate, drawn towards what the queue's tasks took.
    fn expected(&self, step: &Step, queue: &Queue) -> f64 {
        let estimate = step.estimate_ms as f64;
        match self.run_times.get(&queue.name) {
            Some(mean) if step.estimate_ms > 0 => f64::midpoint(estimate, *mean),
            Some(mean) => *mean,
            None => estimate,
        }
    }
}

/// Rank of tasks that run until their job is cancelled: one that ran before serves users who miss
/// it now, and goes before all that waits; a new one keeps its queue's place.
pub(super) fn lasting_rank(
    step: &crate::cell::state::StepState,
    queue: &Queue,
    accepted: u64,
) -> Rank {
    let ran = step.tasks.iter().any(|task| task.last_run > 0 && task.live == 0);
    if ran {
        return Rank { hope: Hope::OnTime, priority: 0, deadline: 0 };
    }
    Rank { hope: Hope::OnTime, priority: queue.priority, deadline: accepted + queue.target_ms }
}
