//! Removes the state of jobs that ended a while ago, and of steps that are over.

use std::collections::BTreeMap;

use super::Machine;
use crate::cell::job::{Id, StepKey};

impl Machine {
    /// Removes what is kept for jobs whose retention is over.
    pub(super) fn forget(&mut self) {
        let gone = self.state.remove_expired(self.unix, self.timings.status_retention);
        self.admission.forget_gone(self.now);
        for id in gone {
            remove_job(&mut self.tickets, id);
            remove_job(&mut self.failed_workers, id);
            remove_job(&mut self.next_preemption, id);
            self.shares.forget(&id);
            self.deferrals.forget_job(id);
        }
        self.deferrals.forget_ended(self.now);
    }

    /// Removes what is kept for a step once nothing of it will run any more.
    ///
    /// Guards against a repeated job that holds more with each of its occurrences until it ends,
    /// which may be never.
    pub(super) fn forget_step_if_over(&mut self, key: &StepKey) {
        let step = self.state.step(key);
        if step.is_some_and(|step| !step.is_done() || step.is_live()) {
            return;
        }
        self.tickets.remove(key);
        self.failed_workers.remove(key);
        self.next_preemption.remove(key);
    }
}

/// Removes the entries of a job's steps.
pub(super) fn remove_job<T>(kept: &mut BTreeMap<StepKey, T>, job: Id) {
    let steps = kept.range(StepKey::first(job)..).map(|(step, _)| *step);
    let steps: Vec<StepKey> = steps.take_while(|step| step.job == job).collect();
    for step in steps {
        kept.remove(&step);
    }
}
