//! Calls of callers, and the jobs that they submit.

use oriolefork::cell::job::{Id, Job};
use oriolefork::cell::machine::{Answer, Call, Message};

use super::{Event, Simulation};
use crate::cell::model;

/// A submitted job and what is expected of it.
pub(super) struct SubmittedJob {
    pub(super) job: Job,
    /// Time of submission, in milliseconds.
    pub(super) at: u64,
    pub(super) accepted: bool,
    /// Whether cancellation was requested; an unanswered request may or may not be executed.
    pub(super) cancel_asked: bool,
    pub(super) cancelled_at: Option<u64>,
    pub(super) fails: bool,
    /// Whether its first task crashes each worker that starts it.
    pub(super) crashes_workers: bool,
}

impl Simulation {
    pub fn submit(&mut self, job: Job, fails: bool, crashes_workers: bool) {
        let id = job.id;
        let submitted = SubmittedJob {
            job: job.clone(),
            at: self.now,
            accepted: false,
            cancel_asked: false,
            cancelled_at: None,
            fails,
            crashes_workers: crashes_workers && self.faults.crashing_tasks,
        };
        self.jobs.insert(id, submitted);
        self.call_owner(id, Call::Submit(job));
    }

    pub fn cancel(&mut self, number: u64) {
        self.cancel_job(model::id(number));
    }

    fn cancel_job(&mut self, id: Id) {
        if let Some(submitted) = self.jobs.get_mut(&id) {
            submitted.cancel_asked = true;
        }
        self.call_owner(id, Call::Cancel(id));
    }

    /// Cancels the jobs for which `is_meant` returns true.
    pub fn cancel_where(&mut self, is_meant: impl Fn(&Self, &Job) -> bool) {
        let jobs = self.jobs.iter().filter(|(_, submitted)| !submitted.cancel_asked);
        let meant = jobs.filter(|(_, submitted)| is_meant(self, &submitted.job));
        let meant: Vec<Id> = meant.map(|(id, _)| *id).collect();
        for id in meant {
            self.cancel_job(id);
        }
    }

    /// Returns the share of the jobs of which a task started within `limit` milliseconds after their
    /// submission.
    pub fn share_started_within(&self, limit: u64) -> f64 {
        let on_time = |(id, submitted): &(&Id, &SubmittedJob)| {
            self.ledger.first_start(**id).is_some_and(|at| at <= submitted.at + limit)
        };
        self.jobs.iter().filter(on_time).count() as f64 / self.jobs.len() as f64
    }

    /// Returns the number of jobs that were accepted and not cancelled.
    pub fn accepted(&self) -> u64 {
        let kept =
            |submitted: &&SubmittedJob| submitted.accepted && submitted.cancelled_at.is_none();
        self.jobs.values().filter(kept).count() as u64
    }

    fn call_owner(&mut self, id: Id, call: Call) {
        let owner = self.owners.len() - 1;
        self.next_call += 1;
        let number = self.next_call;
        self.calls.insert((owner, number), id);
        let message = Message::Call { id: number, call, caller: self.caller_of(&id) };
        self.schedule(1, Event::Owner { owner, message });
    }

    pub(super) fn handle_answer(&mut self, owner: usize, call: u64, answer: Answer) {
        let Some(id) = self.calls.remove(&(owner, call)) else { return };
        if answer == Answer::Accepted
            && let Some(submitted) = self.jobs.get_mut(&id)
        {
            submitted.accepted = true;
        }
    }
}
