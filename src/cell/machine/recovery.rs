//! Recovery of the attempts of earlier owners after a takeover.

use super::{ActiveRun, Machine, Stage};
use crate::cell::job::{Phase, Run};
use crate::cell::record::WorkerId;

impl Machine {
    /// Takes over the attempts that may run according to the journal.
    pub(super) fn recover_runs(&mut self) {
        let active: Vec<(Run, WorkerId)> =
            self.state.live.iter().map(|(run, worker)| (*run, worker.clone())).collect();
        for (run, worker) in active {
            let demand = self.demand(&run);
            if self.is_suspect(&run) {
                self.suspects.insert(run);
            }
            let charge = self.charge(&run.task.step);
            self.usage.add(charge.as_ref());
            let active = ActiveRun::new(worker, demand, charge, Stage::Recovered, self.now);
            self.runs.insert(run, active);
            self.unlisted_runs.insert(run);
        }
        let stop_requested: Vec<Run> = self
            .runs
            .keys()
            .filter(|run| {
                let phase = self.phase_of(run.task.step.job);
                phase.is_none_or(Phase::is_final) || self.has_missing_members(run)
            })
            .copied()
            .collect();
        for run in stop_requested {
            if let Some(active) = self.runs.get_mut(&run) {
                active.stop_requested = true;
            }
        }
    }

    /// Whether members are missing from an attempt of a gang, so that the others cannot work.
    ///
    /// Guards against an owner that died between the end of one member and its commands to stop the
    /// others: they kept running for as long as their leases were renewed.
    fn has_missing_members(&self, run: &Run) -> bool {
        let key = run.task.step;
        let Some(spec) = self.spec(&key) else { return false };
        let members = self.runs_of_step(key).filter(|(member, _)| member.number == run.number);
        spec.gang && members.count() < spec.count as usize
    }
}
