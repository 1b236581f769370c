//! Reconciliation of the log with the reports of workers.

use std::collections::BTreeSet;

use crate::clock::{Instant, Unix};
use crate::domain::Epoch;
use crate::owner::Timings;
use crate::owner::active::{Active, stray_task};
use crate::owner::machine::{Machine, Role};
use crate::owner::on_commit::start_command;
use crate::owner::record::{AttemptState, Entry, Placement};
use crate::owner::replica::Replica;
use crate::owner::session::{Channel, ReportSummary};
use crate::owner::table::{Table, Task};
use crate::task::{self, End, Phase};
use crate::worker::{self, Command, Observation};

/// Interval at which the placements in the log are compared with the reports of workers.
const RESYNC_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

impl Machine {
    pub(super) fn on_exchanged(
        &mut self,
        epoch: Epoch,
        worker: &worker::Name,
        channel: Channel,
        result: Result<worker::Report, worker::Error>,
        now: Instant,
        unix: Unix,
    ) {
        let Role::Owner(active) = &mut self.role else { return };
        if epoch != active.epoch {
            return;
        }
        let Some(session) = active.sessions.get_mut(worker) else { return };
        let fenced_by = match result {
            Ok(report) => {
                let summary = session.on_report(channel, &report);
                active.sync_worker(worker);
                if let Some(summary) = summary.filter(|_| active.is_established()) {
                    active.reconcile(worker, &summary, &self.replica.table, now, unix);
                }
                None
            }
            Err(error) => {
                let fenced_by = session.on_failure(channel, now, &error, &self.timings);
                log::debug!("event=owner.exchange_failed worker={worker} {error}");
                active.sync_worker(worker);
                fenced_by
            }
        };
        if let Some(rival) = fenced_by.filter(|rival| *rival > epoch) {
            self.election.record_owner_alive(now);
            log::warn!("event=owner.fenced worker={worker} epoch={epoch} rival={rival}");
            self.step_down("fenced_at_worker");
        }
    }
}

impl Active {
    fn reconcile(
        &mut self,
        worker: &worker::Name,
        summary: &ReportSummary,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) {
        for observation in &summary.tasks {
            self.on_observed(worker, observation, table, now, unix);
        }
        if summary.resynced {
            self.on_full_report(worker, summary, table, now, unix);
        }
        let usage = self.sessions.get(worker).map(|session| session.usage()).unwrap_or_default();
        self.engine.observe_worker_usage(worker, usage);
    }

    fn on_observed(
        &mut self,
        worker: &worker::Name,
        observation: &Observation,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) {
        let id = observation.task;
        let current = table.get(id.job).and_then(|job| job.current(id));
        let is_here = current.is_some_and(|task| task.worker() == Some(worker));
        match observation.phase {
            Phase::Ended(end) if is_here => {
                let end = self.effective_end(worker, current, end);
                self.conclude(id, end, now, unix);
            }
            Phase::Ended(end) if self.is_adoptable(current, id) => {
                self.record_placement(worker, id);
                self.conclude(id, end, now, unix);
            }
            Phase::Ended(_) => {
                self.release(id);
                self.send_command(worker, Command::Forget(id));
            }
            Phase::Running if is_here => {
                let unresolved =
                    current.is_some_and(|t| matches!(t.state, AttemptState::Unresolved { .. }));
                let cancelled = table.get(id.job).is_some_and(|job| job.cancelled.is_some());
                if cancelled {
                    // The stop command may have been lost with an earlier owner or connection.
                    self.send_command(worker, Command::Stop(id));
                }
                if unresolved && let Some(job) = table.get(id.job) {
                    self.adopt(id, worker, job, now);
                    self.record_placement(worker, id);
                }
            }
            Phase::Running if self.is_adoptable(current, id) => {
                if let Some(job) = table.get(id.job) {
                    self.placing.insert(id);
                    self.adopt(id, worker, job, now);
                    self.record_placement(worker, id);
                }
            }
            Phase::Running => {
                // An attempt that the log does not place here must not run beside the recorded one.
                self.reserve_for_stray(worker, observation, now);
                self.send_command(worker, Command::Stop(id));
            }
            Phase::Stopping if is_here => {}
            Phase::Stopping => self.reserve_for_stray(worker, observation, now),
        }
    }

    /// The end to record for an attempt, given the end that the worker reports.
    ///
    /// A new worker process rejects a repeated start, although the previous process may have run
    /// the task: the answer to the first start was lost and that process ended. If the rejection
    /// were recorded, a task that may run only once would run again.
    fn effective_end(&self, worker: &worker::Name, task: Option<&Task>, end: End) -> End {
        let run = self.sessions.get(worker).map_or(0, |session| session.run);
        match task.map(|task| &task.state) {
            Some(AttemptState::Placed { run: placed, .. })
                if end == End::Rejected && *placed != run =>
            {
                End::Lapsed
            }
            _ => end,
        }
    }

    /// Whether a worker's report about an attempt that is pending in the log is accepted: an
    /// earlier owner started the attempt without the log, and this owner has not placed it itself.
    fn is_adoptable(&self, current: Option<&Task>, id: task::Id) -> bool {
        let is_pending = current.is_some_and(|task| task.state == AttemptState::Pending);
        is_pending
            && self.awaiting_reports
            && !self.placing.contains(&id)
            && !self.concluding.contains(&id)
    }

    /// Requests a full report from each worker that has not reported an attempt placed on it in two
    /// successive checks.
    ///
    /// A start or a report can be lost in a way that no other rule covers, and the attempt would
    /// then stay placed on that worker forever. A full report resolves it in the same way as after
    /// a takeover.
    pub(super) fn resync_unreported(&mut self, table: &Table, now: Instant) {
        if now < self.next_resync_at {
            return;
        }
        self.next_resync_at = now.after(RESYNC_INTERVAL);
        let mut missing = BTreeSet::new();
        for (worker, session) in &mut self.sessions {
            let missing_here: Vec<task::Id> = placed_on(table, worker)
                .into_iter()
                .map(|(id, _)| id)
                .filter(|id| !session.running.contains_key(id) && !session.is_starting(*id))
                .filter(|id| !self.concluding.contains(id) && !self.deferred_starts.contains(id))
                .collect();
            if session.is_open() && missing_here.iter().any(|id| self.unreported.contains(id)) {
                log::warn!(
                    "event=owner.worker_resynced worker={worker} tasks={}",
                    missing_here.len()
                );
                session.resync();
            }
            missing.extend(missing_here);
        }
        self.unreported = missing;
    }

    /// Reserves the resources of an attempt that the log does not place on this worker, until the
    /// worker has stopped it. Otherwise they would be assigned to another task while still in use.
    fn reserve_for_stray(
        &mut self,
        worker: &worker::Name,
        observation: &Observation,
        now: Instant,
    ) {
        if !self.reserved.contains_key(&observation.task) {
            self.engine.adopt(observation.task, worker, &stray_task(observation.demand, now));
            self.reserved.insert(observation.task, worker.clone());
        }
    }

    fn record_placement(&mut self, worker: &worker::Name, task: task::Id) {
        let run = self.sessions.get(worker).map_or(0, |session| session.run);
        let placement = Placement { task, worker: worker.clone(), run };
        self.journal.push(Entry::Placed(vec![placement]), None);
    }

    fn send_command(&mut self, worker: &worker::Name, command: Command) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.push(command);
        }
    }

    /// Resolves attempts that the log places on a worker but its full report does not contain.
    ///
    /// The worker refuses earlier owners by now, so a task missing from the report cannot start
    /// there any more. If the worker process is the one seen at placement, the task was never
    /// started, because ended tasks stay in reports until their end is in the log; it is started
    /// now. Otherwise the process that may have run it is gone, and the attempt has ended with it.
    fn on_full_report(
        &mut self,
        worker: &worker::Name,
        summary: &ReportSummary,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) {
        let run = self.sessions.get(worker).map_or(0, |session| session.run);
        log::info!(
            "event=owner.worker_fenced worker={worker} epoch={} restarted={} tasks={}",
            self.epoch,
            summary.restarted,
            summary.tasks.len()
        );
        for id in unresolved_on(table, worker) {
            if !summary.tasks.iter().any(|observation| observation.task == id) {
                self.conclude(id, End::Lapsed, now, unix);
            }
        }
        let is_reported = |id| summary.tasks.iter().any(|observation| observation.task == id);
        for (id, placed_run) in placed_on(table, worker) {
            if is_reported(id) || self.concluding.contains(&id) {
                continue;
            }
            // A placement that only peers have recorded starts once it is in the log, also on a
            // worker that has returned.
            let deferred = self.deferred_starts.contains(&id);
            if deferred && placed_run == run {
                continue;
            }
            let session = self.sessions.get(worker);
            let unsent = deferred || session.is_some_and(|session| session.is_unsent(id));
            if placed_run != run {
                let end = if unsent { End::Rejected } else { End::Lapsed };
                self.conclude(id, end, now, unix);
            } else if let Some(job) = table.get(id.job) {
                let command = match job.cancelled {
                    Some(_) => Command::Stop(id),
                    None => start_command(job, id),
                };
                self.start_or_conclude(worker, id, command, now, unix);
            }
        }
    }

    fn start_or_conclude(
        &mut self,
        worker: &worker::Name,
        id: task::Id,
        command: Command,
        now: Instant,
        unix: Unix,
    ) {
        match command {
            Command::Stop(_) => self.conclude(id, End::Stopped, now, unix),
            command => self.send_command(worker, command),
        }
    }

    /// Ends the attempts of workers that have been unreachable for so long that their leases have
    /// certainly expired. Starts that never reached their worker are placed elsewhere at once.
    ///
    /// On a worker that this owner has never reached, an earlier owner that has not learned that it
    /// was superseded may still renew leases. Attempts there end only once every earlier owner is
    /// known to be gone and a lease has passed since.
    pub(super) fn expire_leases(
        &mut self,
        replica: &Replica,
        timings: &Timings,
        now: Instant,
        unix: Unix,
    ) {
        let table = &replica.table;
        let sole_owner = replica.former_owners().is_empty()
            && now.since(self.sole_owner_since) > timings.lease + timings.lease_margin;
        let silent: Vec<worker::Name> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.failing_since().is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for worker in silent {
            self.expire_unsent(&worker, table, now, unix);
            let lapsed = self.sessions.get(&worker).is_some_and(|session| {
                let lease_lapsed = session.has_lapsed(now, timings);
                let never_leased = sole_owner && !session.was_leased();
                if session.is_fenced() { lease_lapsed } else { never_leased }
            });
            if lapsed {
                self.expire_worker(&worker, table, now, unix);
            }
        }
    }

    fn expire_unsent(&mut self, worker: &worker::Name, table: &Table, now: Instant, unix: Unix) {
        for (id, _) in placed_on(table, worker) {
            let Some(session) = self.sessions.get_mut(worker) else { return };
            if session.withdraw_start(id) {
                self.conclude(id, End::Rejected, now, unix);
            }
        }
    }

    fn expire_worker(&mut self, worker: &worker::Name, table: &Table, now: Instant, unix: Unix) {
        let placed = placed_on(table, worker);
        if !placed.is_empty() {
            log::warn!("event=owner.worker_lapsed worker={worker} epoch={}", self.epoch);
        }
        for (id, _) in placed {
            self.conclude(id, End::Lapsed, now, unix);
        }
        if let Some(session) = self.sessions.get_mut(worker) {
            session.clear();
        }
        self.sync_worker(worker);
    }
}

/// Current attempts that are unresolved and may still run on `worker`.
fn unresolved_on(table: &Table, worker: &worker::Name) -> Vec<task::Id> {
    let unresolved = |id: &task::Id| {
        let current = table.get(id.job).and_then(|job| job.current(*id));
        current.is_some_and(|task| matches!(task.state, AttemptState::Unresolved { .. }))
    };
    table.placed_on(worker).filter(unresolved).collect()
}

/// Current attempts that the log places on `worker`, with the run number of the worker process at
/// placement.
fn placed_on(table: &Table, worker: &worker::Name) -> Vec<(task::Id, u64)> {
    let run = |id: task::Id| match &table.get(id.job)?.current(id)?.state {
        AttemptState::Placed { run, .. } => Some((id, *run)),
        _ => None,
    };
    table.placed_on(worker).filter_map(run).collect()
}
