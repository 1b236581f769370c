//! The order in which waiting steps are placed.

use super::Machine;
use crate::cell::job::{Job, Step, StepKey};
use crate::cell::queue::Queue;
use crate::cell::timings::MAX_POLICY_WORKERS;

/// Multiple of its objective after which a job has no value any more.
pub(super) const WORTHLESS_FACTOR: f64 = 3.0;

/// Share of the expected run time that must fit before the objective for a job to count as on time;
/// callers' estimates are off by half.
pub(super) const ON_TIME_RUN_SHARE: f64 = 0.7;

/// Quantile of the learned run time that is assumed when a task's slack is computed. Short
/// work has an early objective.
const SLACK_SHARE: f64 = 0.25;

/// Workers in the policy query that callers allow for with each step.
const TYPICAL_QUERY_WORKERS: usize = 30;

/// Order of waiting steps; the smallest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) timeliness: Timeliness,
    /// Start tag of fair queueing for a step beyond its customer's share: the customer's work before
    /// it, divided by the customer's rate. Zero for other steps, and while shares count jobs.
    pub(super) start_tag: u64,
    priority: u32,
    deadline: u64,
}

/// Value that a job can still earn: the full value when on time, less when late, none when
/// worthless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timeliness {
    OnTime,
    Late,
    /// Of any value, beyond the rate of its customer.
    Excess,
    Worthless,
}

impl Timeliness {
    /// Name in reports and log lines.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Late => "late",
            Self::Excess => "excess",
            Self::Worthless => "worthless",
        }
    }
}

impl Machine {
    /// Computes the rank of a step whose job arrived at `accepted`, in milliseconds on the wall
    /// clock. `paths` is filled at the first call and serves all steps of the job.
    pub(super) fn rank(
        &self,
        job: &Job,
        queue: &Queue,
        key: &StepKey,
        accepted: u64,
        paths: &mut Option<Paths>,
    ) -> Rank {
        let begin = job.due_at(key.occurrence).map_or(accepted, crate::clock::Unix::as_millis);
        let passed = self.unix.as_millis().saturating_sub(begin) as f64;
        let query = self.first_query_ms(job, key, queue);
        let (objective, is_late, is_worthless) = if self.has_learned_run_times(queue) {
            let limits = self.start_limits(job, queue, key);
            let earliest = passed + query;
            (limits.objective, earliest > limits.on_time, earliest > limits.of_value)
        } else {
            let expected = |step: &Step| self.expected_run_ms(step, queue);
            let paths = paths.get_or_insert_with(|| Paths::new(job, queue, expected));
            let (objective, remaining) =
                (paths.objective_ms, paths.remaining_ms[key.step as usize]);
            let end = passed + (remaining * ON_TIME_RUN_SHARE + query);
            (objective, end > objective, end > objective * WORTHLESS_FACTOR)
        };
        let timeliness = if is_worthless {
            Timeliness::Worthless
        } else if self.shares.is_excess(&key.job) {
            Timeliness::Excess
        } else if is_late {
            Timeliness::Late
        } else {
            Timeliness::OnTime
        };
        let deadline = begin.saturating_add(objective as u64);
        Rank { timeliness, start_tag: 0, priority: queue.priority, deadline }
    }

    /// Time of the policy query that a gang needs before it can start, if it has not been queried
    /// yet.
    ///
    /// Guards against useless queries: under overload, each gang was queried when it was just on
    /// time and was late when the answer arrived, while other gangs that could be on time were not
    /// queried.
    fn first_query_ms(&self, job: &Job, key: &StepKey, queue: &Queue) -> f64 {
        let unqueried = self.tickets.get(key).is_none_or(|tickets| tickets.counts().0 == 0);
        let gang = job.steps[key.step as usize].gang;
        queue
            .policy
            .filter(|_| gang && unqueried)
            .map_or(0.0, |timing| timing.time_ms(MAX_POLICY_WORKERS))
    }

    /// Time within which a job should end by its expected run times, in milliseconds.
    pub(super) fn expected_objective_ms(&self, job: &Job, queue: &Queue) -> f64 {
        objective_ms(job, queue, |step| self.expected_run_ms(step, queue))
    }

    /// Time by which a step may still be delayed without its job being late, in milliseconds;
    /// negative once the job is late.
    pub(super) fn slack_ms(&self, job: &Job, queue: &Queue, key: &StepKey, accepted: u64) -> f64 {
        let (run, left) = self.run_and_time_left_ms(job, queue, key, accepted, SLACK_SHARE);
        left - run
    }

    /// Run time of a step that the given share of such tasks does not exceed, and the time that
    /// tasks of that share leave for it within the job's objective, both in milliseconds.
    pub(super) fn run_and_time_left_ms(
        &self,
        job: &Job,
        queue: &Queue,
        key: &StepKey,
        accepted: u64,
        share: f64,
    ) -> (f64, f64) {
        let begin = job.due_at(key.occurrence).map_or(accepted, crate::clock::Unix::as_millis);
        let passed = self.unix.as_millis().saturating_sub(begin) as f64;
        let run = |step: &Step| self.run_time_quantile_ms(step, queue, share);
        let number = key.step as usize;
        let own = run(&job.steps[number]);
        let later = remaining_path_ms(job, number, run) - own;
        (own, objective_ms(job, queue, run) - passed - later)
    }
}

/// Times of a job and of all its steps, in one pass over them. Computed for each step by itself they
/// would take a round the square of the number of steps.
pub(super) struct Paths {
    /// Time within which the job should end, in milliseconds.
    objective_ms: f64,
    /// Duration of the longest chain of dependent steps that starts with each step, in milliseconds.
    remaining_ms: Vec<f64>,
}

impl Paths {
    fn new(job: &Job, queue: &Queue, run_ms: impl Fn(&Step) -> f64) -> Self {
        let objective_ms = objective_ms(job, queue, &run_ms);
        let mut remaining_ms = vec![0.0_f64; job.steps.len()];
        for (number, step) in job.steps.iter().enumerate().rev() {
            remaining_ms[number] += run_ms(step);
            for &earlier in &step.depends_on {
                remaining_ms[earlier] = remaining_ms[earlier].max(remaining_ms[number]);
            }
        }
        Self { objective_ms, remaining_ms }
    }
}

/// Time within which a job should end, in milliseconds, if each step takes `run_ms`.
pub(super) fn objective_ms(job: &Job, queue: &Queue, run_ms: impl Fn(&Step) -> f64) -> f64 {
    critical_path_ms(job, queue, run_ms) * queue.stretch.max(1.0) + queue.target_ms as f64
}

/// Duration of a job's longest chain of dependent steps, policy queries included, in milliseconds.
fn critical_path_ms(job: &Job, queue: &Queue, run_ms: impl Fn(&Step) -> f64) -> f64 {
    let query_ms = queue.policy.map_or(0.0, |timing| timing.time_ms(TYPICAL_QUERY_WORKERS));
    let mut ends = vec![0.0_f64; job.steps.len()];
    for (number, step) in job.steps.iter().enumerate() {
        let begin = step.depends_on.iter().map(|&earlier| ends[earlier]).fold(0.0, f64::max);
        ends[number] = begin + query_ms + run_ms(step);
    }
    ends.into_iter().fold(0.0, f64::max)
}

/// Duration of the longest chain of dependent steps that starts with `step`, without policy
/// queries, in milliseconds.
pub(super) fn remaining_path_ms(job: &Job, step: usize, run_ms: impl Fn(&Step) -> f64) -> f64 {
    let mut ends = vec![0.0_f64; job.steps.len()];
    ends[step] = run_ms(&job.steps[step]);
    for (number, later) in job.steps.iter().enumerate().skip(step + 1) {
        let begin = later.depends_on.iter().map(|&earlier| ends[earlier]).fold(0.0, f64::max);
        if begin > 0.0 {
            ends[number] = begin + run_ms(later);
        }
    }
    ends.into_iter().fold(0.0, f64::max)
}

/// Rank of long-running tasks. One that ran before is placed before all others, because its users
/// are without it now; a new one is ranked by its queue.
pub(super) fn long_running_rank(
    step: &crate::cell::job_state::StepState,
    queue: &Queue,
    accepted: u64,
) -> Rank {
    let ran_before = step.tasks.any(|task| task.last_run > 0 && task.live == 0);
    if ran_before {
        return Rank { timeliness: Timeliness::OnTime, start_tag: 0, priority: 0, deadline: 0 };
    }
    Rank {
        timeliness: Timeliness::OnTime,
        start_tag: 0,
        priority: queue.priority,
        deadline: accepted.saturating_add(queue.target_ms),
    }
}
