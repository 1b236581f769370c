//! Calls of callers: submit, cancel, show and count jobs.

use std::time::Duration;

use super::explain::RefusalReason as Reason;
use super::journal_queue::Deferred;
use super::{Answer, Call, CallId, Effect, Machine, StoreHealth};
use crate::cell::caller::Caller;
use crate::cell::customer::Name;
use crate::cell::job::{Id, Job, Phase};
use crate::cell::record::Record;
use crate::cell::timings::MAX_STORE_STALENESS;
use crate::clock::millis;
use crate::planted::{Fault, is_planted};
use crate::telemetry::names;

/// Time after which a caller may return whose job was refused for want of memory.
const MEMORY_RETRY: Duration = Duration::from_secs(1);

impl Machine {
    pub(super) fn call(&mut self, id: CallId, call: Call, caller: &Caller) {
        if let Some(answer) = self.refusal(&call, caller) {
            if let Call::Submit(job) = &call {
                self.note_refusal(job.id, caller.customer.as_ref(), answer);
            }
            return self.reply(id, answer);
        }
        match call {
            Call::Submit(job) => {
                self.submit(id, Job { customer: caller.customer.clone(), ..job }, caller)
            }
            Call::Cancel(job) => self.cancel(id, job),
            Call::Show(job) => {
                let answer = self.show(job);
                self.reply(id, answer);
            }
            Call::Waiting(queue) => {
                let answer = Answer::Waiting(self.count_waiting(&queue));
                self.reply(id, answer);
            }
        }
    }

    /// Notes why the caller of a job was refused.
    fn note_refusal(&mut self, job: Id, customer: Option<&Name>, answer: Answer) {
        let reason = match answer {
            Answer::AboveCap => Reason::AboveCap,
            Answer::Unauthorized => Reason::Key,
            Answer::IdInUse => Reason::IdInUse,
            _ => Reason::Unchecked,
        };
        self.history.note_refusal(job, customer, reason, None, self.now);
    }

    fn reply(&mut self, id: CallId, answer: Answer) {
        self.effects.push(Effect::Reply { id, answer });
    }

    /// Accepts a job. A job that is already known is accepted again, because its caller may not
    /// have received the first answer.
    ///
    /// While the store is slow, new jobs wait outside the journal; once an append has been
    /// pending for longer than a slow store takes, they are refused. Guards against an outage that
    /// leaves every caller's job in an unknown state: a job that is queued for the journal is still
    /// written when the store returns, so it can no longer be refused.
    ///
    /// An overloaded owner refuses new jobs too: it could only start them late. So does one whose
    /// open jobs take all the memory that they may take. Jobs that cannot end
    /// in time are refused where the feature `admission` is on.
    fn submit(&mut self, id: CallId, job: Job, caller: &Caller) {
        if self.state.jobs.contains_key(&job.id) {
            return self.defer(Deferred::Reply(id, Answer::Accepted));
        }
        if self.overloaded || self.journal.is_stuck(self.now) {
            names::CELL_JOBS.increment(&[("outcome", "refused")]);
            let reason = if self.overloaded { Reason::Overloaded } else { Reason::Store };
            let customer = job.customer.as_ref();
            self.history.note_refusal(job.id, customer, reason, None, self.now);
            if is_planted(Fault::RefusedJobKept) {
                self.keep_refused(job);
            }
            return self.reply(id, Answer::Unavailable);
        }
        if !self.has_memory_for(&job) {
            names::CELL_JOBS.increment(&[("outcome", "refused")]);
            let customer = job.customer.as_ref();
            let retry_after_ms = millis(MEMORY_RETRY);
            let retry = Some(retry_after_ms);
            self.history.note_refusal(job.id, customer, Reason::Memory, retry, self.now);
            // Another attempt at once would be refused as well.
            let answer = if caller.understands_busy {
                Answer::Busy { retry_after_ms }
            } else {
                Answer::Unavailable
            };
            return self.reply(id, answer);
        }
        if self.journal.is_slow(self.now) {
            self.delayed_jobs.push((id, job));
            return;
        }
        // A delayed job is accepted later, whatever its repeated call is answered.
        let is_delayed = self.delayed_jobs.iter().any(|(_, delayed)| delayed.id == job.id);
        if !is_delayed && let Some(answer) = self.refuse_hopeless(&job, caller) {
            let retry_after_ms = match answer {
                Answer::Busy { retry_after_ms } => Some(retry_after_ms),
                _ => None,
            };
            let customer = job.customer.as_ref();
            self.history.note_refusal(job.id, customer, Reason::Late, retry_after_ms, self.now);
            return self.reply(id, answer);
        }
        self.admit(id, job);
    }

    /// Accepts or refuses the jobs that were delayed by a slow store.
    pub(super) fn admit_delayed_jobs(&mut self) {
        if self.delayed_jobs.is_empty() {
            return;
        }
        let stuck = self.journal.is_stuck(self.now);
        if !stuck && self.journal.is_slow(self.now) {
            return;
        }
        for (id, job) in std::mem::take(&mut self.delayed_jobs) {
            if stuck {
                let (job, customer) = (job.id, job.customer.as_ref());
                self.history.note_refusal(job, customer, Reason::Store, None, self.now);
                self.reply(id, Answer::Unavailable);
            } else {
                self.admit(id, job);
            }
        }
    }

    /// Records a job that is refused, as a planted fault.
    fn keep_refused(&mut self, job: Job) {
        self.round_jobs.add(job.id);
        self.record(Record::Accepted { at: self.unix, job });
    }

    fn admit(&mut self, id: CallId, job: Job) {
        if !self.state.jobs.contains_key(&job.id) {
            log::info!(
                "event=job.accepted job={} queue={} customer={} steps={} tasks={} occurrences={}",
                job.id,
                crate::logging::value(&job.queue),
                crate::logging::value(job.customer.as_deref().unwrap_or("-")),
                job.steps.len(),
                job.steps.iter().map(|step| step.count).sum::<u32>(),
                job.occurrences()
            );
            names::CELL_JOBS.increment(&[("outcome", "accepted")]);
            self.round_jobs.add(job.id);
            self.history.note_accepted(&job.id);
            self.count_for_share(job.id, &job, self.unix);
            self.note_admitted(&job);
            self.record(Record::Accepted { at: self.unix, job });
            self.needs_placement = true;
        }
        self.defer(Deferred::Reply(id, Answer::Accepted));
    }

    fn cancel(&mut self, id: CallId, job: Id) {
        let Some(phase) = self.phase_of(job) else {
            let answer = self.unknown();
            return self.reply(id, answer);
        };
        if !phase.is_final() && self.journal.is_stuck(self.now) {
            return self.reply(id, Answer::Unavailable);
        }
        if !phase.is_final() {
            log::info!("event=job.cancelled job={job}");
            self.record(Record::Cancelled { job });
            self.finish_job(job);
            self.stop_job(job);
        }
        self.defer(Deferred::Reply(id, Answer::Cancelled));
    }

    fn show(&self, job: Id) -> Answer {
        match self.phase_of(job) {
            Some(phase) if phase.is_final() && self.unstored_ends.contains(&job) => {
                Answer::Phase(Phase::Running)
            }
            Some(phase) => Answer::Phase(phase),
            None => self.unknown(),
        }
    }

    /// Answers that a job is unknown only while this instance is certain to own the cell.
    ///
    /// Guards against an owner that lost its connection to the store and was replaced: it has no
    /// record of the jobs that its successor accepted, and the caller would take its job for lost.
    pub(super) fn unknown(&self) -> Answer {
        // With a stuck store the cell is offered to any instance, which may have taken it over.
        let is_stuck = self.store_health(self.now) == StoreHealth::Stuck;
        if !is_stuck && self.now.since(self.journal.last_write_sent()) < MAX_STORE_STALENESS {
            Answer::Unknown
        } else {
            Answer::Unavailable
        }
    }

    fn count_waiting(&self, queue: &str) -> u64 {
        let waits = |id: &&Id| {
            let entry = self.state.jobs.get(id);
            entry.is_some_and(|entry| entry.job.queue == queue && !entry.started)
        };
        self.state.open.iter().filter(waits).count() as u64
    }
}
