//! Refusal of new jobs that cannot end in time, see `cell/admission.rs`.
//!
//! Only jobs beyond their customers' shares are refused. What ranks before a job within the share
//! either starts or turns late before the job itself does, so that it can never be proven hopeless.

use std::time::Duration;

use super::pending::PendingStep;
use super::rank::{
    ON_TIME_RUN_SHARE, Timeliness, WORTHLESS_FACTOR, objective_ms, remaining_path_ms,
};
use super::{Answer, Machine};
use crate::cell::admission::{Candidate, WaitingWork};
use crate::cell::caller::Caller;
use crate::cell::job::{Job, Step};
use crate::cell::queue::Queue;
use crate::telemetry::names;

/// Time since the claim during which nothing is refused: the owner has no evidence yet.
const MIN_TENURE: Duration = Duration::from_secs(2);

/// Quantile of the learned run time that is assumed when a job's longest wait is computed.
const LONG_RUN_SHARE: f64 = 0.9;

/// Age of a job from which its waiting steps count as passed over.
const PASSED_OVER_AFTER: Duration = Duration::from_secs(1);

impl Machine {
    /// Returns the answer to a new job that cannot end within three times its objective; `None` to
    /// accept it.
    pub(super) fn refuse_hopeless(&mut self, job: &Job, caller: &Caller) -> Option<Answer> {
        if !self.timings.features.admission || self.now.since(self.claimed) < MIN_TENURE {
            return None;
        }
        let customer = job.customer.as_ref().filter(|name| self.rate_of(name) > 0.0)?;
        let is_repeated = job.schedule.is_some();
        if is_repeated || job.steps.iter().any(|step| step.long_running) {
            return None;
        }
        let was_refused = self.admission.is_promised(&job.id);
        let queue = self.config.queue(&job.queue)?.clone();
        let is_excess = self.would_exceed_share(customer, queue.priority);
        if !was_refused && !is_excess {
            return None;
        }
        let (objective, path) = self.expected_objective_and_path_ms(job, &queue);
        let may_wait_ms = self.may_wait_ms(job, &queue);
        let candidate = Candidate {
            job: job.id,
            queue: &job.queue,
            customer,
            work: self.job_work(job, &queue),
            may_wait_ms: if is_excess { may_wait_ms } else { f64::INFINITY },
        };
        let config = self.config.clone();
        let weight = |name: &str| {
            let customer = config.customers.as_ref().and_then(|all| all.named(name));
            customer.map_or(0.0, |customer| customer.jobs_per_second)
        };
        let Some(refusal) = self.admission.refuse(candidate, &weight, self.now) else {
            if was_refused {
                names::CELL_JOBS.increment(&[("outcome", "returned")]);
            }
            return None;
        };
        let reason = if refusal.is_early { "early_return" } else { "no_time" };
        names::CELL_JOBS.increment(&[("outcome", "refused")]);
        names::CELL_REFUSALS.increment(&[("reason", reason)]);
        log::info!(
            "event=job.refused job={} queue={} customer={} reason={reason} wait_ms={} \
             expected_end_ms={} objective_ms={} retry_after_ms={} understood={}",
            job.id,
            crate::logging::value(&job.queue),
            crate::logging::value(customer),
            refusal.wait_ms,
            refusal.wait_ms.saturating_add(path as u64),
            objective as u64,
            refusal.retry_after_ms,
            caller.understands_busy
        );
        Some(if caller.understands_busy {
            Answer::Busy { retry_after_ms: refusal.retry_after_ms }
        } else {
            Answer::Unavailable
        })
    }

    /// Notes the waiting work that a placement round found.
    pub(super) fn note_waiting_work(&mut self, waiting: &[PendingStep]) {
        let is_on = self.timings.features.admission && self.config.customers.is_some();
        if !is_on || !self.admission.is_round_due(self.now) {
            return;
        }
        let mut admission = std::mem::take(&mut self.admission);
        let with_value = waiting.iter().filter(|step| {
            step.rank.timeliness != Timeliness::Worthless && !step.spec().long_running
        });
        let work = with_value.map(|step| {
            let is_excess = step.rank.timeliness == Timeliness::Excess;
            let accepted = self.state.jobs.get(&step.key.job).map(|entry| entry.accepted);
            WaitingWork {
                queue: &step.queue.name,
                excess_of: step.job.customer.as_ref().filter(|_| is_excess),
                work: self.work(step.spec(), step.pending.len(), &step.queue),
                is_passed_over: accepted.is_some_and(|at| self.unix.since(at) >= PASSED_OVER_AFTER),
            }
        });
        admission.note_round(work, self.now);
        self.admission = admission;
    }

    /// Notes that `tasks` tasks of a step are placed.
    pub(super) fn note_queue_start(&mut self, step: &PendingStep, tasks: usize) {
        if self.timings.features.admission && self.config.customers.is_some() {
            let work = self.work(step.spec(), tasks, &step.queue);
            self.admission.note_start(&step.queue.name, work, self.now);
        }
    }

    /// Notes a job that is accepted.
    pub(super) fn note_admitted(&mut self, job: &Job) {
        if !self.timings.features.admission || self.config.customers.is_none() {
            return;
        }
        self.admission.forget_promise(&job.id);
        if let Some(queue) = self.config.queue(&job.queue).cloned() {
            let work = self.job_work(job, &queue);
            let excess_of = job.customer.as_ref().filter(|_| self.is_beyond_share(&job.id));
            self.admission.note_accepted(&job.queue, excess_of, work);
        }
    }

    fn job_work(&self, job: &Job, queue: &Queue) -> f64 {
        job.steps.iter().map(|step| self.work(step, step.count as usize, queue)).sum()
    }

    fn expected_objective_and_path_ms(&self, job: &Job, queue: &Queue) -> (f64, f64) {
        let run = |step: &Step| self.expected_run_ms(step, queue);
        (self.expected_objective_ms(job, queue), remaining_path_ms(job, 0, run))
    }

    /// Time for which a job may wait and still end within three times its objective, if its work is
    /// such that it may wait long.
    fn may_wait_ms(&self, job: &Job, queue: &Queue) -> f64 {
        if self.has_learned_run_times(queue) {
            // The objective grows with the work, so that long work is the optimistic case.
            let run = |step: &Step| self.run_time_quantile_ms(step, queue, LONG_RUN_SHARE);
            return objective_ms(job, queue, run) * WORTHLESS_FACTOR
                - remaining_path_ms(job, 0, run);
        }
        let run = |step: &Step| self.expected_run_ms(step, queue);
        objective_ms(job, queue, run) * WORTHLESS_FACTOR
            - remaining_path_ms(job, 0, run) * ON_TIME_RUN_SHARE
    }
}
