//! Bringing what the log states and what workers report into agreement.

use std::collections::BTreeSet;

use crate::clock::{Instant, Unix};
use crate::domain::Epoch;
use crate::owner::Timings;
use crate::owner::active::{Active, stray};
use crate::owner::effect::start;
use crate::owner::machine::{Machine, Role};
use crate::owner::record::{Entry, Placement, Position};
use crate::owner::replica::Replica;
use crate::owner::session::{Channel, Findings};
use crate::owner::table::{Table, Task};
use crate::task::{self, End, Phase};
use crate::worker::{self, Command, Observation};

/// Interval at which what the log places on workers is compared with their word.
const ACCOUNT: std::time::Duration = std::time::Duration::from_secs(5);

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
                let findings = session.answered(channel, &report);
                active.sync_worker(worker);
                if let Some(findings) = findings.filter(|_| active.is_settled()) {
                    active.reconcile(worker, &findings, &self.replica.table, now, unix);
                }
                None
            }
            Err(error) => {
                let fenced_by = session.failed(channel, now, &error, &self.timings);
                log::debug!("event=owner.exchange_failed worker={worker} {error}");
                active.sync_worker(worker);
                fenced_by
            }
        };
        if let Some(rival) = fenced_by.filter(|rival| *rival > epoch) {
            self.election.heard(now);
            log::warn!("event=owner.fenced worker={worker} epoch={epoch} rival={rival}");
            self.step_down("fenced_at_worker");
        }
    }
}

impl Active {
    fn reconcile(
        &mut self,
        worker: &worker::Name,
        findings: &Findings,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) {
        for observation in &findings.tasks {
            self.on_observed(worker, observation, table, now, unix);
        }
        if findings.joined {
            self.on_joined(worker, findings, table, now, unix);
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
        let here = current.is_some_and(|task| task.worker() == Some(worker));
        match observation.phase {
            Phase::Ended(end) if here => {
                let end = self.true_end(worker, current, end);
                self.conclude(id, end, now, unix);
            }
            Phase::Ended(end) if self.is_adoptable(current, id) => {
                self.resolve(worker, id);
                self.conclude(id, end, now, unix);
            }
            Phase::Ended(_) => {
                self.release(id);
                self.tell(worker, Command::Forget(id));
            }
            Phase::Running if here => {
                let unresolved =
                    current.is_some_and(|t| matches!(t.position, Position::Unresolved { .. }));
                let cancelled = table.get(id.job).is_some_and(|job| job.cancelled.is_some());
                if cancelled {
                    // The order to stop may have gone down with an earlier owner or connection.
                    self.tell(worker, Command::Stop(id));
                }
                if unresolved && let Some(job) = table.get(id.job) {
                    self.adopt(id, worker, job, now);
                    self.resolve(worker, id);
                }
            }
            Phase::Running if self.is_adoptable(current, id) => {
                if let Some(job) = table.get(id.job) {
                    self.placing.insert(id);
                    self.adopt(id, worker, job, now);
                    self.resolve(worker, id);
                }
            }
            Phase::Running => {
                // A try that the log does not place here must not run beside the one that counts.
                self.hold_stray(worker, observation, now);
                self.tell(worker, Command::Stop(id));
            }
            Phase::Stopping if here => {}
            Phase::Stopping => self.hold_stray(worker, observation, now),
        }
    }

    /// The end that counts for a try, given the one that the worker reports.
    ///
    /// A worker's new process rejects a start that was repeated to it, though the process before
    /// may have run the task: the start's answer was lost and the process ended. Taken at its word,
    /// a task that may run only once would run again.
    fn true_end(&self, worker: &worker::Name, task: Option<&Task>, end: End) -> End {
        let run = self.sessions.get(worker).map_or(0, |session| session.run);
        match task.map(|task| &task.position) {
            Some(Position::Placed { run: placed, .. })
                if end == End::Rejected && *placed != run =>
            {
                End::Lapsed
            }
            _ => end,
        }
    }

    /// Whether a worker's word on a try that the log has waiting is the truth: an owner before this
    /// one started it without the log, and this one has not placed it itself.
    fn is_adoptable(&self, current: Option<&Task>, id: task::Id) -> bool {
        let waits = current.is_some_and(|task| task.position == Position::Pending);
        waits && self.cautious && !self.placing.contains(&id) && !self.concluding.contains(&id)
    }

    /// Asks workers anew for all they run where the log has placed a try that they have not named
    /// for a while.
    ///
    /// The failure: a start or a report is lost in a way that no rule foresees, and the try waits
    /// on a worker that has nothing to say of it, for ever. A full report settles it like a
    /// takeover does.
    pub(super) fn account(&mut self, table: &Table, now: Instant) {
        if now < self.account_at {
            return;
        }
        self.account_at = now.after(ACCOUNT);
        let mut missing = BTreeSet::new();
        for (worker, session) in &mut self.sessions {
            let here: Vec<task::Id> = placed_on(table, worker)
                .into_iter()
                .map(|(id, _)| id)
                .filter(|id| !session.running.contains_key(id) && !session.is_starting(*id))
                .filter(|id| !self.concluding.contains(id) && !self.deferred.contains(id))
                .collect();
            if session.is_open() && here.iter().any(|id| self.unaccounted.contains(id)) {
                log::warn!("event=owner.worker_resynced worker={worker} tasks={}", here.len());
                session.resync();
            }
            missing.extend(here);
        }
        self.unaccounted = missing;
    }

    /// Counts what a try holds that the log does not place there, until the worker has stopped it.
    /// Otherwise its room would be given away while it is still in use.
    fn hold_stray(&mut self, worker: &worker::Name, observation: &Observation, now: Instant) {
        if !self.held.contains_key(&observation.task) {
            self.engine.adopt(observation.task, worker, &stray(observation.demand, now));
            self.held.insert(observation.task, worker.clone());
        }
    }

    fn resolve(&mut self, worker: &worker::Name, task: task::Id) {
        let run = self.sessions.get(worker).map_or(0, |session| session.run);
        let placement = Placement { task, worker: worker.clone(), run };
        self.journal.push(Entry::Placed(vec![placement]), None);
    }

    fn tell(&mut self, worker: &worker::Name, command: Command) {
        if let Some(session) = self.sessions.get_mut(worker) {
            session.push(command);
        }
    }

    /// Settles what the log places on a worker that did not name it in a full report.
    ///
    /// The worker refuses earlier owners by now, so a task it does not know will not start there
    /// any more. If its process is the one seen when placing, the task was never started, because
    /// ended tasks stay known until their end is in the log; it is started now. Otherwise the
    /// process that may have run it is gone and the try ended with it.
    fn on_joined(
        &mut self,
        worker: &worker::Name,
        findings: &Findings,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) {
        let run = self.sessions.get(worker).map_or(0, |session| session.run);
        log::info!(
            "event=owner.worker_fenced worker={worker} epoch={} restarted={} tasks={}",
            self.epoch,
            findings.restarted,
            findings.tasks.len()
        );
        for id in unresolved_on(table, worker) {
            if !findings.tasks.iter().any(|observation| observation.task == id) {
                self.conclude(id, End::Lapsed, now, unix);
            }
        }
        let known = |id| findings.tasks.iter().any(|observation| observation.task == id);
        for (id, placed_run) in placed_on(table, worker) {
            if known(id) || self.concluding.contains(&id) {
                continue;
            }
            // What peers alone keep the record of waits for the log, also at a worker that is back.
            let deferred = self.deferred.contains(&id);
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
                    None => start(job, id),
                };
                self.restart(worker, id, command, now, unix);
            }
        }
    }

    fn restart(
        &mut self,
        worker: &worker::Name,
        id: task::Id,
        command: Command,
        now: Instant,
        unix: Unix,
    ) {
        match command {
            Command::Stop(_) => self.conclude(id, End::Stopped, now, unix),
            command => self.tell(worker, command),
        }
    }

    /// Ends the tries of workers that have been out of reach for so long that their leases have
    /// surely lapsed, and places at once what never reached its worker.
    ///
    /// On a worker that this owner has never reached, an earlier owner may still renew leases
    /// without knowing that it was superseded. Its tries end only once every earlier owner is
    /// known to be gone, and a lease has passed since.
    pub(super) fn expire_leases(
        &mut self,
        replica: &Replica,
        timings: &Timings,
        now: Instant,
        unix: Unix,
    ) {
        let table = &replica.table;
        let alone = replica.formers().is_empty()
            && now.since(self.alone_since) > timings.lease + timings.margin;
        let silent: Vec<worker::Name> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.failing_since().is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for worker in silent {
            self.expire_unsent(&worker, table, now, unix);
            let lapsed = self.sessions.get(&worker).is_some_and(|session| {
                let ours = session.has_lapsed(now, timings);
                let theirs = alone && !session.was_leased();
                if session.is_fenced() { ours } else { theirs }
            });
            if lapsed {
                self.expire_worker(&worker, table, now, unix);
            }
        }
    }

    fn expire_unsent(&mut self, worker: &worker::Name, table: &Table, now: Instant, unix: Unix) {
        for (id, _) in placed_on(table, worker) {
            let Some(session) = self.sessions.get_mut(worker) else { return };
            if session.withdraw(id) {
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

/// Present tries that may still run on `worker`.
fn unresolved_on(table: &Table, worker: &worker::Name) -> Vec<task::Id> {
    let unresolved = |id: &task::Id| {
        let current = table.get(id.job).and_then(|job| job.current(*id));
        current.is_some_and(|task| matches!(task.position, Position::Unresolved { .. }))
    };
    table.placed_on(worker).filter(unresolved).collect()
}

/// Present tries that the log places on `worker`, with the worker's process when placing.
fn placed_on(table: &Table, worker: &worker::Name) -> Vec<(task::Id, u64)> {
    let run = |id: task::Id| match &table.get(id.job)?.current(id)?.position {
        Position::Placed { run, .. } => Some((id, *run)),
        _ => None,
    };
    table.placed_on(worker).filter_map(run).collect()
}
