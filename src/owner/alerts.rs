//! What an owner tells people: jobs that are late, lost or uncertain, workers out of reach, a log
//! that is away.
//!
//! Alerts are raised on the owner's own board at once and written to the domain's stream with the
//! other changes, so that the next owner has them even if this one dies.

use std::time::Duration;

use crate::alert::{Id, Key, Kind, Record, Subject, wire};
use crate::clock::{Instant, Unix};
use crate::job;
use crate::owner::active::Active;
use crate::owner::machine::Answer;
use crate::owner::record::{Entry, Position};
use crate::owner::table::{Job, MAX_FAILURES, Table};
use crate::owner::{Ticket, active};
use crate::placement::{HealthEvent, PendingReason};
use crate::task;
use crate::worker;

/// Silence of a worker after which a person is told.
const WORKER_SILENCE: Duration = Duration::from_secs(10);
/// Failure of the log after which a person is told.
const LOG_SILENCE: Duration = Duration::from_secs(5);
/// Interval of the checks that go over every job.
const JOBS_INTERVAL: Duration = Duration::from_secs(2);

impl Active {
    /// Raises what the passing of time has brought about.
    pub(super) fn watch(&mut self, table: &Table, now: Instant, unix: Unix) {
        self.watch_workers(now, unix);
        self.watch_log(now, unix);
        self.take_findings(unix);
        if now >= self.jobs_at {
            self.jobs_at = now.after(JOBS_INTERVAL);
            self.watch_jobs(table, now, unix);
        }
    }

    fn watch_workers(&mut self, now: Instant, unix: Unix) {
        let long = |since: Instant| now.since(since) > WORKER_SILENCE;
        let silent: Vec<(worker::Name, bool)> = self
            .sessions
            .iter()
            .map(|(name, session)| (name.clone(), session.failing_since().is_some_and(long)))
            .collect();
        for (name, silent) in silent {
            let key = Key { kind: Kind::Unfenced, subject: Subject::Worker(name) };
            match silent {
                true => self.raise(unix, key, "the worker does not answer and gets no work"),
                false => self.end(unix, &key),
            }
        }
    }

    fn watch_log(&mut self, now: Instant, unix: Unix) {
        let key = Key { kind: Kind::LogOutage, subject: Subject::Domain };
        match self.journal.failing_since() {
            Some(since) if now.since(since) > LOG_SILENCE => {
                self.raise(unix, key, "the log takes no records; nothing new can be accepted");
            }
            Some(_) => {}
            None => self.end(unix, &key),
        }
    }

    fn take_findings(&mut self, unix: Unix) {
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

    fn watch_jobs(&mut self, table: &Table, now: Instant, unix: Unix) {
        for risk in self.engine.at_risk(now, unix) {
            let key = Key { kind: Kind::AtRisk, subject: Subject::Job(risk.job) };
            self.raise(unix, key, &risk.to_string());
        }
        for job in table.jobs().filter(|job| job.ended.is_none()) {
            self.watch_deadline(job, unix);
            self.watch_room(job, unix);
        }
    }

    fn watch_deadline(&mut self, job: &Job, unix: Unix) {
        if job.spec.deadline.is_some_and(|deadline| deadline < unix) {
            let key = Key { kind: Kind::Late, subject: Subject::Job(job.id) };
            self.raise(unix, key, &format!("job {} has missed its deadline", label(job)));
        }
    }

    /// A job that was accepted may become impossible when the workers that fit it go away.
    fn watch_room(&mut self, job: &Job, unix: Unix) {
        let waits = job.tasks.iter().any(|task| task.position == Position::Pending);
        if !waits || !self.knows_all_workers() {
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

    /// Raises and ends what the end of a try has brought about.
    pub(super) fn tell_end(&mut self, job: &Job, task: task::Id, unix: Unix) {
        let resolved = job.current(task).is_none_or(|current| !is_unresolved(&current.position));
        let uncertain = Key { kind: Kind::Uncertain, subject: Subject::Task(task) };
        match resolved {
            true => self.end(unix, &uncertain),
            false => self.tell_unresolved(job, task, unix),
        }
        self.tell_flapping(job, task, unix);
        if job.ended.is_some() {
            self.tell_outcome(job, unix);
        }
    }

    fn tell_unresolved(&mut self, job: &Job, task: task::Id, unix: Unix) {
        let worker = job.current(task).and_then(|current| current.worker());
        let place = worker.map_or("a worker", |worker| worker.as_str());
        let message = format!(
            "task {task} of job {} was on {place}, which is gone; it may run only once and is not \
             started again",
            label(job)
        );
        let key = Key { kind: Kind::Uncertain, subject: Subject::Task(task) };
        self.raise(unix, key, &message);
    }

    fn tell_flapping(&mut self, job: &Job, task: task::Id, unix: Unix) {
        let failures = job.tasks.get(task.index as usize).map_or(0, |task| task.failures);
        if job.spec.kind == job::Kind::LongRunning && failures >= MAX_FAILURES {
            let key = Key { kind: Kind::AtRisk, subject: Subject::Job(job.id) };
            self.raise(unix, key, &format!("job {} fails again and again", label(job)));
        }
    }

    fn tell_outcome(&mut self, job: &Job, unix: Unix) {
        let subject = Subject::Job(job.id);
        self.end(unix, &Key { kind: Kind::AtRisk, subject: subject.clone() });
        self.end(unix, &Key { kind: Kind::Impossible, subject: subject.clone() });
        if job.spec.deadline.zip(job.ended).is_some_and(|(deadline, ended)| ended > deadline) {
            let key = Key { kind: Kind::Late, subject: subject.clone() };
            self.raise(unix, key, &format!("job {} ended after its deadline", label(job)));
        }
        if job.is_lost() {
            let key = Key { kind: Kind::Lost, subject };
            self.raise(unix, key, &format!("job {} ended without its work done", label(job)));
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
                self.calls.insert(ticket, active::Pending::Acknowledge);
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
            self.write(&record);
        }
    }

    fn end(&mut self, unix: Unix, key: &Key) {
        if let Some(record) = self.board.end(unix, key) {
            self.write(&record);
        }
    }

    fn write(&mut self, record: &Record) {
        self.journal.push(Entry::Alert(wire::Record::from(record)), None);
    }
}

fn is_unresolved(position: &Position) -> bool {
    matches!(position, Position::Unresolved { .. })
}

fn label(job: &Job) -> String {
    format!("{}/{} ({})", job.spec.team, job.spec.name, job.id)
}
