//! Callers' calls.

use super::commit::Deferred;
use super::{Answer, Call, CallId, Effect, Machine};
use crate::cell::job::{Id, Job, Phase};
use crate::cell::record::Record;
use crate::cell::timings::MAX_STORE_STALENESS;
use crate::telemetry::names;

impl Machine {
    pub(super) fn call(&mut self, id: CallId, call: Call) {
        match call {
            Call::Submit(job) => self.submit(id, job),
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

    fn reply(&mut self, id: CallId, answer: Answer) {
        self.effects.push(Effect::Reply { id, answer });
    }

    /// A job that is known already is accepted again: the caller has lost the first answer.
    ///
    /// While the store is slow, new jobs wait outside the journal, and are refused once it is stuck.
    /// Guards against an outage that turns every caller's job into one that may or may not run:
    /// what has been queued for the journal is written when the store is back, so that its caller
    /// cannot be told that it was not taken.
    fn submit(&mut self, id: CallId, job: Job) {
        if self.state.jobs.contains_key(&job.id) {
            return self.defer(Deferred::Reply(id, Answer::Accepted));
        }
        if self.commit.is_stuck(self.now) {
            return self.reply(id, Answer::Unavailable);
        }
        if self.commit.is_slow(self.now) {
            self.admission.push((id, job));
            return;
        }
        self.admit(id, job);
    }

    /// Takes in or refuses the jobs that waited for the journal.
    pub(super) fn review_admission(&mut self) {
        if self.admission.is_empty() {
            return;
        }
        let stuck = self.commit.is_stuck(self.now);
        if !stuck && self.commit.is_slow(self.now) {
            return;
        }
        for (id, job) in std::mem::take(&mut self.admission) {
            if stuck {
                self.reply(id, Answer::Unavailable);
            } else {
                self.admit(id, job);
            }
        }
    }

    fn admit(&mut self, id: CallId, job: Job) {
        if !self.state.jobs.contains_key(&job.id) {
            log::info!(
                "event=job.accepted job={} queue={} steps={} tasks={}",
                job.id,
                crate::logging::value(&job.queue),
                job.steps.len(),
                job.steps.iter().map(|step| step.count).sum::<u32>()
            );
            names::CELL_JOBS.increment(&[("outcome", "accepted")]);
            self.hopeful.add(job.id);
            self.record(Record::Accepted { at: self.unix, job });
            self.dirty = true;
        }
        self.defer(Deferred::Reply(id, Answer::Accepted));
    }

    fn cancel(&mut self, id: CallId, job: Id) {
        let Some(phase) = self.phase_of(job) else {
            let answer = self.unknown();
            return self.reply(id, answer);
        };
        if !phase.is_final() && self.commit.is_stuck(self.now) {
            return self.reply(id, Answer::Unavailable);
        }
        if !phase.is_final() {
            log::info!("event=job.cancelled job={job}");
            self.record(Record::Cancelled { job });
            self.settle(job);
            self.stop_job(job);
        }
        self.defer(Deferred::Reply(id, Answer::Cancelled));
    }

    fn show(&self, job: Id) -> Answer {
        match self.phase_of(job) {
            Some(phase) if phase.is_final() && self.unsettled.contains(&job) => {
                Answer::Phase(Phase::Running)
            }
            Some(phase) => Answer::Phase(phase),
            None => self.unknown(),
        }
    }

    /// Says that a job is unknown only while this instance surely still owns the cell.
    ///
    /// Guards against an owner that was cut from the store and replaced: it knows nothing of what
    /// its successor accepted, and a caller would take its job for lost.
    fn unknown(&self) -> Answer {
        if self.now.since(self.commit.written()) < MAX_STORE_STALENESS {
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
