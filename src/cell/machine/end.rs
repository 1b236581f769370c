//! Ends of tries, and what follows from them for their jobs.

use super::Machine;
use crate::cell::job::{Id, Phase, Run, RunOutcome};
use crate::cell::record::Record;
use crate::telemetry::names;

impl Machine {
    /// Records the end of a try and gives its room back.
    pub(super) fn end_run(&mut self, run: Run, end: RunOutcome, saved: String) {
        let Some(live) = self.runs.remove(&run) else { return };
        self.suspects.remove(&run);
        if let Some(worker) = self.workers.get_mut(&live.worker) {
            worker.release(&run, &live.demand);
        }
        self.dirty = true;
        self.hopeful.add(run.task.step.job);
        let took_ms = self.now.since(live.since).as_millis();
        log::info!(
            "event=task.ended task={run} worker={} end={end} took_ms={took_ms}",
            live.worker
        );
        names::CELL_TRIES.increment(&[("end", end.name())]);
        let job = run.task.step.job;
        let was_final = self.phase_of(job).is_none_or(Phase::is_final);
        self.judge(&run, &live, end);
        self.record(Record::Ended { run, worker: live.worker, outcome: end, checkpoint: saved });
        if was_final {
            return;
        }
        if self.phase_of(job).is_some_and(Phase::is_final) {
            self.settle(job);
        } else {
            self.after_end(run, end);
        }
    }

    /// Draws the conclusions from an end that does not close its job.
    fn after_end(&mut self, run: Run, end: RunOutcome) {
        let key = run.task.step;
        let Some(entry) = self.state.jobs.get(&key.job) else { return };
        let Some(model) = entry.job.steps.get(key.step as usize) else { return };
        if end == RunOutcome::Succeeded && !model.long_running {
            return;
        }
        if model.gang {
            self.break_gang(&run);
        }
        let reason = match end {
            RunOutcome::Failed if !self.may_try_again(&run) => "attempts",
            RunOutcome::WorkerCrashed | RunOutcome::WorkerCrashedAtStart
                if self.is_given_up(&run) =>
            {
                "crashes"
            }
            _ => return,
        };
        log::warn!("event=job.failed job={} task={run} reason={reason}", key.job);
        self.record(Record::Failed { job: key.job });
        self.settle(key.job);
        self.stop_job(key.job);
    }

    fn may_try_again(&self, run: &Run) -> bool {
        let key = run.task.step;
        let Some(entry) = self.state.jobs.get(&key.job) else { return false };
        let Some(model) = entry.job.steps.get(key.step as usize) else { return false };
        if model.long_running {
            return true;
        }
        let attempts =
            self.table.queue(&entry.job.queue).map_or(u32::MAX, |queue| queue.max_failures);
        let Some(step) = self.state.step(&key) else { return false };
        let failures = if model.gang {
            u32::try_from(step.failed_runs.len()).unwrap_or(u32::MAX)
        } else {
            step.tasks[run.task.index as usize].failures
        };
        failures < attempts.max(1)
    }

    /// Stops all tries of a job.
    pub(super) fn stop_job(&mut self, job: Id) {
        let runs: Vec<Run> = self.runs_of_job(job).copied().collect();
        for run in runs {
            self.stop_run(run);
        }
        self.dirty = true;
    }

    /// The members of a gang only work together: when one is gone, the others only take up room.
    fn break_gang(&mut self, gone: &Run) {
        let runs = self.runs_of_step(gone.task.step).map(|(run, _)| *run);
        let members: Vec<Run> = runs.filter(|run| run.number == gone.number).collect();
        for member in members {
            self.stop_run(member);
        }
    }
}
