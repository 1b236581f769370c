//! Alerts that the owner raises: jobs that are late, lost or uncertain, unreachable workers,
//! outages of the log.
//!
//! An alert is raised on the owner's board at once, and written to the domain's stream with the
//! other changes so that the next owner has it too.

use std::time::Duration;

use crate::alert::{Id, Key, Kind, Record, Subject, wire};
use crate::clock::{Instant, Unix};
use crate::job;
use crate::owner::active::Active;
use crate::owner::machine::Answer;
use crate::owner::record::{AttemptState, Entry};
use crate::owner::table::{Job, MAX_FAILURES, Table};
use crate::owner::{Ticket, active};
use crate::placement::{HealthEvent, PendingReason};
use crate::task;
use crate::worker;

/// Time a worker has to be unreachable before an alert is raised.
const WORKER_SILENCE: Duration = Duration::from_secs(10);
/// Time the log has to fail before an alert is raised.
const LOG_SILENCE: Duration = Duration::from_secs(5);
/// Interval of the checks that visit every job.
const JOBS_INTERVAL: Duration = Duration::from_secs(2);

impl Active {
    /// Raises and ends the alerts that depend on time.
    pub(super) fn check_alerts(&mut self, table: &Table, now: Instant, unix: Unix) {
        self.check_workers(now, unix);
        self.check_log(now, unix);
        self.raise_engine_events(unix);
        if now >= self.next_job_check_at {
            self.next_job_check_at = now.after(JOBS_INTERVAL);
            self.check_jobs(table, now, unix);
        }
    }

    fn check_workers(&mut self, now: Instant, unix: Unix) {
        let too_long = |since: Instant| now.since(since) > WORKER_SILENCE;
        let silent: Vec<(worker::Name, bool)> = self
            .sessions
            .iter()
            .map(|(name, session)| (name.clone(), session.failing_since().is_some_and(too_long)))
            .collect();
        for (name, silent) in silent {
            let key = Key { kind: Kind::Unfenced, subject: Subject::Worker(name) };
            match silent {
                true => {
                    self.raise(unix, key, "the worker is unreachable; no tasks are placed on it")
                }
                false => self.end(unix, &key),
            }
        }
    }

    fn check_log(&mut self, now: Instant, unix: Unix) {
        let key = Key { kind: Kind::LogOutage, subject: Subject::Domain };
        match self.journal.failing_since() {
            Some(since) if now.since(since) > LOG_SILENCE => {
                self.raise(unix, key, "the log accepts no records; no new job can be accepted");
            }
            Some(_) => {}
            None => self.end(unix, &key),
        }
    }

    fn raise_engine_events(&mut self, unix: Unix) {
        for event in self.engine.take_events() {
            let message = event.to_string();
            match event {
                HealthEvent::Quarantined { worker, .. } => {
                    let subject = Subject::Worker(worker);
                    self.raise(unix, Key { kind: Kind::Quarantined, subject }, &message);
                }
                HealthEvent::Restored { worker } => {
                    let subject = Subject::Worker(worker);
                    self.end(unix, &Key { kind: Kind::Quarantined, subject });
                }
                HealthEvent::FailsEverywhere { job, .. } => {
                    let key = Key { kind: Kind::AtRisk, subject: Subject::Job(job) };
                    self.raise(unix, key, &message);
                }
                HealthEvent::Probation { .. } => {}
            }
        }
    }

    fn check_jobs(&mut self, table: &Table, now: Instant, unix: Unix) {
        for risk in self.engine.at_risk(now, unix) {
            let key = Key { kind: Kind::AtRisk, subject: Subject::Job(risk.job) };
            self.raise(unix, key, &risk.to_string());
        }
        for job in table.jobs().filter(|job| job.ended.is_none()) {
            self.check_deadline(job, unix);
            self.check_feasible(job, unix);
        }
    }

    fn check_deadline(&mut self, job: &Job, unix: Unix) {
        if job.spec.deadline.is_some_and(|deadline| deadline < unix) {
            let key = Key { kind: Kind::Late, subject: Subject::Job(job.id) };
            self.raise(unix, key, &format!("job {} has missed its deadline", label(job)));
        }
    }

    /// Raises an alert if a pending job can no longer run because the workers that fit it are gone.
    fn check_feasible(&mut self, job: &Job, unix: Unix) {
        let has_pending = job.tasks.iter().any(|task| task.state == AttemptState::Pending);
        if !has_pending || !self.has_all_capacities() {
            return;
        }
        let reason = self.engine.explain(job.id);
        if let Some(
            reason @ (PendingReason::TooLarge { .. } | PendingReason::TooManyTasks { .. }),
        ) = reason
        {
            let key = Key { kind: Kind::Impossible, subject: Subject::Job(job.id) };
            self.raise(unix, key, &format!("job {} cannot run: {reason}", label(job)));
        }
    }

    /// Raises and ends the alerts that depend on the end of an attempt.
    pub(super) fn update_alerts_on_end(&mut self, job: &Job, task: task::Id, unix: Unix) {
        let resolved = job.current(task).is_none_or(|current| !is_unresolved(&current.state));
        let uncertain = Key { kind: Kind::Uncertain, subject: Subject::Task(task) };
        match resolved {
            true => self.end(unix, &uncertain),
            false => self.raise_uncertain(job, task, unix),
        }
        self.check_repeated_failure(job, task, unix);
        if job.ended.is_some() {
            self.update_job_alerts(job, unix);
        }
    }

    fn raise_uncertain(&mut self, job: &Job, task: task::Id, unix: Unix) {
        let worker = job.current(task).and_then(|current| current.worker());
        let place = worker.map_or("a worker", |worker| worker.as_str());
        let message = format!(
            "task {task} of job {} was on {place}, which is lost; it may run only once and is not \
             started again",
            label(job)
        );
        let key = Key { kind: Kind::Uncertain, subject: Subject::Task(task) };
        self.raise(unix, key, &message);
    }

    fn check_repeated_failure(&mut self, job: &Job, task: task::Id, unix: Unix) {
        let failures = job.tasks.get(task.index as usize).map_or(0, |task| task.failures);
        if job.spec.kind == job::Kind::LongRunning && failures >= MAX_FAILURES {
            let key = Key { kind: Kind::AtRisk, subject: Subject::Job(job.id) };
            self.raise(unix, key, &format!("job {} has failed repeatedly", label(job)));
        }
    }

    fn update_job_alerts(&mut self, job: &Job, unix: Unix) {
        let subject = Subject::Job(job.id);
        self.end(unix, &Key { kind: Kind::AtRisk, subject: subject.clone() });
        self.end(unix, &Key { kind: Kind::Impossible, subject: subject.clone() });
        if job.spec.deadline.zip(job.ended).is_some_and(|(deadline, ended)| ended > deadline) {
            let key = Key { kind: Kind::Late, subject: subject.clone() };
            self.raise(unix, key, &format!("job {} ended after its deadline", label(job)));
        }
        if job.ended_without_success() {
            let key = Key { kind: Kind::Lost, subject };
            self.raise(unix, key, &format!("job {} ended without success", label(job)));
        }
    }

    pub(super) fn acknowledge(
        &mut self,
        ticket: Ticket,
        id: Id,
        by: &str,
        unix: Unix,
    ) -> Option<Answer> {
        match self.board.acknowledge(unix, id, by) {
            Err(_) => Some(Answer::NotFound),
            Ok(None) => Some(Answer::Acknowledged),
            Ok(Some(record)) => {
                self.calls.insert(ticket, active::PendingCall::Acknowledge);
                self.journal.push(Entry::Alert(wire::Record::from(&record)), Some(ticket));
                None
            }
        }
    }

    fn raise(&mut self, unix: Unix, key: Key, message: &str) {
        let (kind, subject) = (key.kind, key.subject.to_string());
        if let Some(record) = self.board.raise(unix, key, message) {
            let message = crate::logging::value(message);
            log::warn!("event=alert.raised kind={kind} subject=\"{subject}\" message={message}");
            self.record_alert(&record);
        }
    }

    fn end(&mut self, unix: Unix, key: &Key) {
        if let Some(record) = self.board.end(unix, key) {
            self.record_alert(&record);
        }
    }

    fn record_alert(&mut self, record: &Record) {
        self.journal.push(Entry::Alert(wire::Record::from(record)), None);
    }
}

fn is_unresolved(state: &AttemptState) -> bool {
    matches!(state, AttemptState::Unresolved { .. })
}

fn label(job: &Job) -> String {
    format!("{}/{} ({})", job.spec.team, job.spec.name, job.id)
}
