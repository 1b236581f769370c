//! Jobs, steps and attempts by their keys.

use super::{ActiveRun, Machine};
use crate::cell::job::{Id, Phase, Run, Step, StepKey};
use crate::cell::job_state::JobState;
use crate::resource::Amount;

impl Machine {
    pub(super) fn demand(&self, run: &Run) -> Amount {
        self.spec(&run.task.step).map_or(Amount::ZERO, Step::allocation)
    }

    /// Returns the step as submitted.
    pub(super) fn spec(&self, key: &StepKey) -> Option<&Step> {
        self.state.jobs.get(&key.job)?.job.steps.get(key.step as usize)
    }

    /// Attempts of a job that are not known to have ended.
    pub(super) fn runs_of_job(&self, job: Id) -> impl Iterator<Item = &Run> {
        let from = self.runs.range(Run::first(StepKey::first(job))..);
        from.map(|(run, _)| run).take_while(move |run| run.task.step.job == job)
    }

    /// Attempts of a step that are not known to have ended, with their state.
    pub(super) fn runs_of_step(&self, step: StepKey) -> impl Iterator<Item = (&Run, &ActiveRun)> {
        self.runs.range(Run::first(step)..).take_while(move |(run, _)| run.task.step == step)
    }

    pub(super) fn phase_of(&self, job: Id) -> Option<Phase> {
        self.state.jobs.get(&job).map(JobState::phase)
    }
}
