//! Workers that are gone or unreachable for too long, and the attempts lost with them.

use std::time::Duration;

use super::roster::incarnations_of;
use super::{ActiveRun, Machine, Stage};
use crate::cell::incarnation::WorkerIncarnation;
use crate::cell::job::{Run, RunOutcome};
use crate::cell::record::WorkerId;
use crate::cell::worker::Worker;

impl Machine {
    /// Removes a worker incarnation that is gone and ends all attempts on it.
    pub(super) fn remove_dead_worker(&mut self, id: &str, reason: &str) {
        let Some(worker) = self.workers.remove(id) else { return };
        self.log_worker_gone(&worker, reason);
        self.dead_workers.insert(id.into());
        self.forget_tickets(id);
        for run in &worker.runs {
            let Some(active) = self.runs.get(run) else { continue };
            let end = self.end_on_dead_worker(&worker, active);
            self.end_run(*run, end, String::new());
        }
    }

    /// Logs how long a worker had been silent, and how long before that its youngest attempt was
    /// placed. This helps to tell a task that crashes its worker from others on it.
    fn log_worker_gone(&self, worker: &Worker, reason: &str) {
        let placed =
            worker.runs.iter().filter_map(|run| self.runs.get(run)).map(|active| active.since);
        let silent = worker.unresponsive_since.map(|since| self.now.since(since));
        let youngest = worker
            .unresponsive_since
            .zip(placed.max())
            .map(|(silent, placed)| silent.since(placed));
        log::warn!(
            "event=worker.gone worker={} reason={reason} tasks={} draining={} silent_ms={} \
             youngest_ms={}",
            worker.id,
            worker.runs.len(),
            worker.info.draining,
            millis_or_unknown(silent),
            millis_or_unknown(youngest)
        );
    }

    /// Ends attempts of earlier owners on worker incarnations that have been replaced by a later
    /// one.
    fn end_runs_of_former_incarnations(&mut self) {
        let former = |active: &ActiveRun| self.answers_as_other_incarnation(&active.worker);
        let runs = self.unlisted_runs.iter().copied();
        let over: Vec<Run> = runs.filter(|run| self.runs.get(run).is_some_and(former)).collect();
        for run in over {
            self.unlisted_runs.remove(&run);
            self.end_run(run, RunOutcome::WorkerCrashed, String::new());
        }
    }

    fn answers_as_other_incarnation(&self, worker: &str) -> bool {
        incarnations_of(&self.workers, WorkerIncarnation::parse(worker).listed_name).any(
            |(id, worker)| worker.fenced && WorkerIncarnation::parse(id).started_at_ms.is_some(),
        )
    }

    /// Ends attempts on workers whose leases have certainly expired.
    pub(super) fn expire_leases(&mut self) {
        let unfenced_end = self.former_leases_end();
        let now = self.now;
        let lapsed = |worker: &&Worker| {
            let end = if worker.fenced { worker.lease.expires_at() } else { Some(unfenced_end) };
            !worker.runs.is_empty() && end.is_some_and(|end| now > end)
        };
        let ids: Vec<WorkerId> =
            self.workers.values().filter(lapsed).map(|worker| worker.id.clone()).collect();
        for id in ids {
            self.expire_lease(&id);
        }
        if now > unfenced_end {
            self.end_unlisted_runs();
        } else {
            self.end_runs_of_former_incarnations();
        }
    }

    fn expire_lease(&mut self, id: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        // An attempt whose start command has not been sent cannot have run.
        let sent =
            |run: &&Run| self.runs.get(run).is_some_and(|active| active.stage != Stage::Recording);
        let runs: Vec<Run> = worker.runs.iter().filter(sent).copied().collect();
        if runs.is_empty() {
            return;
        }
        let silent = worker.unresponsive_since.map(|since| self.now.since(since));
        log::warn!(
            "event=worker.lapsed worker={id} tasks={} silent_ms={}",
            runs.len(),
            millis_or_unknown(silent)
        );
        for run in runs {
            self.end_run(run, RunOutcome::WorkerLost, String::new());
        }
    }

    /// Ends attempts on workers that have not been listed since this owner took over.
    fn end_unlisted_runs(&mut self) {
        for run in std::mem::take(&mut self.unlisted_runs) {
            self.end_run(run, RunOutcome::WorkerLost, String::new());
        }
    }
}

/// Formats a duration in milliseconds for a log line.
fn millis_or_unknown(span: Option<Duration>) -> String {
    span.map_or_else(|| "unknown".to_owned(), |span| span.as_millis().to_string())
}
