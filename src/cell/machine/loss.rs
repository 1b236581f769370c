//! Workers that are gone or out of reach for too long, and what is lost with them.

use std::time::Duration;

use super::roster::lives_of;
use super::{Live, Machine, Stage};
use crate::cell::incarnation::WorkerIncarnation;
use crate::cell::job::{Run, RunOutcome};
use crate::cell::record::WorkerId;
use crate::cell::timings::{CLOCK_DRIFT, LEASE_GRANT_WINDOW, LEASE_MARGIN};
use crate::cell::worker::Worker;

impl Machine {
    /// Takes a life of a worker for gone, and all that ran on it for lost.
    pub(super) fn bury(&mut self, id: &str, reason: &str) {
        let Some(worker) = self.workers.remove(id) else { return };
        self.tell_gone(&worker, reason);
        self.dead.insert(id.into());
        self.forget_tickets(id);
        for run in &worker.runs {
            let Some(live) = self.runs.get(run) else { continue };
            let end = self.end_with(&worker, live);
            self.end_run(*run, end, String::new());
        }
    }

    /// Tells how long a worker had been silent, and how long its youngest try had been placed there by
    /// then: a task that crashes its worker is told apart from those beside it.
    fn tell_gone(&self, worker: &Worker, reason: &str) {
        let placed = worker.runs.iter().filter_map(|run| self.runs.get(run)).map(|live| live.since);
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
            shown(silent),
            shown(youngest)
        );
    }

    /// Ends what earlier owners left in lives of workers that have answered in another one since.
    fn end_former_lives(&mut self) {
        let former = |live: &Live| self.answers_in_another_life(&live.worker);
        let runs = self.unlisted.iter().copied();
        let over: Vec<Run> = runs.filter(|run| self.runs.get(run).is_some_and(former)).collect();
        for run in over {
            self.unlisted.remove(&run);
            self.end_run(run, RunOutcome::WorkerCrashed, String::new());
        }
    }

    fn answers_in_another_life(&self, worker: &str) -> bool {
        lives_of(&self.workers, WorkerIncarnation::parse(worker).listed_name).any(|(id, worker)| {
            worker.fenced && WorkerIncarnation::parse(id).started_at_ms.is_some()
        })
    }

    /// Gives up what runs on workers whose leases have surely run out.
    pub(super) fn give_up_lapsed(&mut self) {
        let lease = self.timings.lease.mul_f64(1.0 + 2.0 * CLOCK_DRIFT);
        let unfenced_end = self.claimed.after(LEASE_GRANT_WINDOW + lease + LEASE_MARGIN);
        let now = self.now;
        let lapsed = |worker: &&Worker| {
            let end = if worker.fenced { worker.lease.expires_at() } else { Some(unfenced_end) };
            !worker.runs.is_empty() && end.is_some_and(|end| now > end)
        };
        let ids: Vec<WorkerId> =
            self.workers.values().filter(lapsed).map(|worker| worker.id.clone()).collect();
        for id in ids {
            self.lapse(&id);
        }
        if now > unfenced_end {
            self.lapse_unlisted();
        } else {
            self.end_former_lives();
        }
    }

    fn lapse(&mut self, id: &str) {
        let Some(worker) = self.workers.get(id) else { return };
        // A try whose order has not been sent cannot have run there.
        let sent =
            |run: &&Run| self.runs.get(run).is_some_and(|live| live.stage != Stage::Recording);
        let runs: Vec<Run> = worker.runs.iter().filter(sent).copied().collect();
        if runs.is_empty() {
            return;
        }
        log::warn!("event=worker.lapsed worker={id} tasks={}", runs.len());
        for run in runs {
            self.end_run(run, RunOutcome::WorkerLost, String::new());
        }
    }

    /// Tries on workers that no list has named since this owner began.
    fn lapse_unlisted(&mut self) {
        for run in std::mem::take(&mut self.unlisted) {
            self.end_run(run, RunOutcome::WorkerLost, String::new());
        }
    }
}

/// Milliseconds for a log line, where the span is known.
fn shown(span: Option<Duration>) -> String {
    span.map_or_else(|| "unknown".to_owned(), |span| span.as_millis().to_string())
}
