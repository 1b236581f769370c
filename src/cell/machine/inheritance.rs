//! What an owner takes over from those before it.

use super::{ActiveAttempt, Machine, Stage};
use crate::cell::job::{Phase, Run};
use crate::cell::record::WorkerId;

impl Machine {
    /// Takes over the tries that the journal says may run.
    pub(super) fn inherit(&mut self) {
        let live: Vec<(Run, WorkerId)> =
            self.state.live.iter().map(|(run, worker)| (*run, worker.clone())).collect();
        for (run, worker) in live {
            let demand = self.demand(&run);
            if self.is_suspect(&run) {
                self.suspects.insert(run);
            }
            self.runs.insert(run, ActiveAttempt::new(worker, demand, Stage::Recovered, self.now));
            self.unlisted.insert(run);
        }
        let stop_requested: Vec<Run> = self
            .runs
            .keys()
            .filter(|run| {
                let phase = self.phase_of(run.task.step.job);
                phase.is_none_or(Phase::is_final) || self.is_torn(run)
            })
            .copied()
            .collect();
        for run in stop_requested {
            if let Some(live) = self.runs.get_mut(&run) {
                live.stop_requested = true;
            }
        }
    }

    /// Whether a try of a gang lacks members, which can only wait for each other.
    ///
    /// Guards against an owner that died between the end of one member and its orders to stop the
    /// others: they ran on for as long as their leases were renewed.
    fn is_torn(&self, run: &Run) -> bool {
        let key = run.task.step;
        let Some(model) = self.model(&key) else { return false };
        let members = self.runs_of_step(key).filter(|(member, _)| member.number == run.number);
        model.gang && members.count() < model.count as usize
    }
}
