//! Ends of attempts, and their consequences for jobs.

use super::Machine;
use crate::cell::job::{Id, Phase, Run, RunOutcome};
use crate::cell::record::Record;
use crate::clock::millis;
use crate::telemetry::names;

impl Machine {
    /// Records the end of an attempt and releases its resources.
    pub(super) fn end_run(&mut self, run: Run, end: RunOutcome, saved: String) {
        let Some(active) = self.runs.remove(&run) else { return };
        self.suspects.remove(&run);
        self.usage.release(active.charge.as_ref());
        if let Some(worker) = self.workers.get_mut(&active.worker) {
            worker.release(&run, &active.demand, self.now);
        }
        self.needs_placement = true;
        self.round_jobs.add(run.task.step.job);
        let took_ms = self.now.since(active.since).as_millis();
        log::info!(
            "event=task.ended task={run} worker={} end={end} took_ms={took_ms}",
            active.worker
        );
        names::CELL_TRIES.increment(&[("end", end.name())]);
        let job = run.task.step.job;
        let was_final = self.phase_of(job).is_none_or(Phase::is_final);
        let objective_ms = self.present_objective_ms(&job);
        let took = self.now.since(active.since);
        self.history.note_end(run, &active.worker, end, took, self.now);
        self.update_stats(&run, &active, end);
        self.record(Record::Ended { run, worker: active.worker, outcome: end, checkpoint: saved });
        self.forget_step_if_over(&run.task.step);
        if was_final {
            return;
        }
        if self.phase_of(job).is_some_and(Phase::is_final) {
            self.note_success(job, objective_ms);
            self.finish_job(job);
        } else {
            self.react_to_end(run, end);
        }
    }

    /// Objective of an open job by what is expected now; `None` for a repeated one.
    ///
    /// Computed before an end is counted: the job drops its steps when it ends, and its own run time
    /// would change what is expected of it.
    fn present_objective_ms(&self, id: &Id) -> Option<u64> {
        let job = &self.state.jobs.get(id)?.job;
        let queue = self.config.queue(&job.queue).filter(|_| job.schedule.is_none())?;
        Some(self.expected_objective_ms(job, queue) as u64)
    }

    /// Notes how long a job took that has succeeded, beside its objective.
    fn note_success(&mut self, id: Id, objective_ms: Option<u64>) {
        let Some((entry, objective_ms)) = self.state.jobs.get(&id).zip(objective_ms) else {
            return;
        };
        if entry.phase() == Phase::Completed {
            let took_ms = millis(self.unix.since(entry.accepted));
            let (queue, customer) = (&entry.job.queue, entry.job.customer.as_ref());
            self.history.note_success(id, queue, customer, took_ms, objective_ms);
        }
    }

    /// Handles an end that does not end the job.
    fn react_to_end(&mut self, run: Run, end: RunOutcome) {
        let key = run.task.step;
        let Some(entry) = self.state.jobs.get(&key.job) else { return };
        let Some(spec) = entry.job.steps.get(key.step as usize) else { return };
        if end == RunOutcome::Succeeded && !spec.long_running {
            return;
        }
        self.log_failed_attempt(&run, end);
        if spec.gang {
            self.stop_gang(&run);
        }
        if let Some(reason) = self.failure_reason(&run.task) {
            self.fail_job(&run.task, reason);
        }
    }

    /// Stops all attempts of a job.
    pub(super) fn stop_job(&mut self, job: Id) {
        let runs: Vec<Run> = self.runs_of_job(job).copied().collect();
        for run in runs {
            self.stop_run(run);
        }
        self.needs_placement = true;
    }

    /// Stops the members of a gang that has lost one: they cannot work without it and would only
    /// hold resources.
    fn stop_gang(&mut self, gone: &Run) {
        let runs = self.runs_of_step(gone.task.step).map(|(run, _)| *run);
        let members: Vec<Run> = runs.filter(|run| run.number == gone.number).collect();
        for member in members {
            self.stop_run(member);
        }
    }
}
