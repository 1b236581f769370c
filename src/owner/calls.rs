//! Calls to the owner, and when they are answered.

use crate::clock::{Instant, Unix};
use crate::owner::Ticket;
use crate::owner::active::{Active, PendingCall};
use crate::owner::machine::{Answer, Call, Effect, Machine, Refusal, Role};
use crate::owner::record::{Acceptance, Cancellation, Conclusion, Entry};
use crate::owner::table::Table;
use crate::{job, placement, task, worker};

impl Machine {
    pub(super) fn on_call(&mut self, ticket: Ticket, call: Call, now: Instant, unix: Unix) {
        let owner = self.owner().cloned();
        let answer = match &mut self.role {
            Role::Follower => Some(Answer::Refused(Refusal::NotOwner(owner))),
            Role::Owner(_) if self.stopping => Some(Answer::Refused(Refusal::NotOwner(None))),
            Role::Owner(active) if !active.is_established() => {
                Some(Answer::Refused(Refusal::LogUnavailable))
            }
            Role::Owner(active) => match call {
                Call::Submit { job, key, spec } => {
                    let acceptance = Acceptance { job, key, spec, at: unix };
                    active.submit(ticket, acceptance, &self.replica.table)
                }
                Call::Cancel(job) => active.cancel(ticket, job, &self.replica.table, unix),
                Call::Acknowledge { alert, by } => active.acknowledge(ticket, alert, &by, unix),
                Call::GiveUp(worker) => {
                    active.give_up(ticket, &worker, &self.replica.table, now, unix)
                }
            },
        };
        if let Some(answer) = answer {
            self.out.push(Effect::Reply { ticket, answer });
        }
    }

    pub(super) fn on_expired(&mut self, ticket: Ticket) {
        let Role::Owner(active) = &mut self.role else { return };
        let out = active.expire(ticket);
        self.out.extend(out);
    }
}

impl Active {
    fn submit(&mut self, ticket: Ticket, acceptance: Acceptance, table: &Table) -> Option<Answer> {
        let id = acceptance.job;
        if let Some(job) = table.get(id) {
            let same = job.spec == acceptance.spec;
            return Some(match same {
                true => Answer::Accepted { duplicate: true },
                false => Answer::Refused(Refusal::KeyReused),
            });
        }
        if let Some(others) = self.accepting.get_mut(&id) {
            others.push(ticket);
            return None;
        }
        if self.journal.failing_since().is_some() {
            return Some(Answer::Refused(Refusal::LogUnavailable));
        }
        if self.journal.is_full() {
            return Some(Answer::Refused(Refusal::Busy));
        }
        if let Some(reason) = self.impossible(&acceptance.spec) {
            return Some(Answer::Refused(Refusal::Impossible(reason)));
        }
        self.accepting.insert(id, Vec::new());
        self.calls.insert(ticket, PendingCall::Submit(id));
        self.journal.push(Entry::Accepted(acceptance), Some(ticket));
        None
    }

    /// Why no worker could ever run such a job. `None` until the capacity of every listed worker is
    /// known, so that a new owner does not refuse a job that a worker it has not reached yet could
    /// run.
    fn impossible(&self, spec: &job::Spec) -> Option<placement::PendingReason> {
        let tasks = usize::try_from(spec.tasks).unwrap_or(usize::MAX);
        self.has_all_capacities()
            .then(|| self.engine.infeasible_reason(&spec.demand, spec.kind, tasks))
            .flatten()
    }

    fn cancel(&mut self, ticket: Ticket, id: job::Id, table: &Table, at: Unix) -> Option<Answer> {
        let Some(job) = table.get(id) else {
            let accepting = self.accepting.contains_key(&id);
            return Some(if accepting { Answer::Unknown } else { Answer::NotFound });
        };
        if job.cancelled.is_some() || job.is_over() {
            return Some(Answer::Cancelled);
        }
        if self.journal.is_full() {
            return Some(Answer::Refused(Refusal::Busy));
        }
        self.calls.insert(ticket, PendingCall::Cancel);
        self.journal.push(Entry::Cancelled(Cancellation { job: id, at }), Some(ticket));
        None
    }

    /// Declares a worker lost on behalf of an operator, with all attempts on it.
    fn give_up(
        &mut self,
        ticket: Ticket,
        worker: &worker::Name,
        table: &Table,
        now: Instant,
        unix: Unix,
    ) -> Option<Answer> {
        let Some(session) = self.sessions.get(worker) else { return Some(Answer::NotFound) };
        if session.failing_since().is_none() {
            return Some(Answer::Refused(Refusal::WorkerReachable));
        }
        let tasks: Vec<task::Id> = table.placed_on(worker).collect();
        if let Some(session) = self.sessions.get_mut(worker) {
            session.clear();
        }
        let Some((last, others)) = tasks.split_last() else { return Some(Answer::GivenUp) };
        for task in others {
            self.abandon_attempt(*task, None, now, unix);
        }
        self.calls.insert(ticket, PendingCall::GiveUp);
        self.abandon_attempt(*last, Some(ticket), now, unix);
        None
    }

    fn abandon_attempt(&mut self, task: task::Id, ticket: Option<Ticket>, now: Instant, at: Unix) {
        let end = task::End::Lapsed;
        self.concluding.insert(task);
        self.journal.push(Entry::Ended(Conclusion { task, end, at }), ticket);
        self.engine.finish(task, end, now);
        self.release(task);
    }

    /// Answers a caller whose deadline has passed. A change that was not sent to the log is
    /// withdrawn, so that "not run" is correct. Otherwise it may have been written, and the caller
    /// has to repeat the call.
    fn expire(&mut self, ticket: Ticket) -> Vec<Effect> {
        let other_caller = self.accepting.values_mut().find_map(|tickets| {
            let at = tickets.iter().position(|other| *other == ticket)?;
            Some(tickets.swap_remove(at))
        });
        if other_caller.is_some() {
            return vec![Effect::Reply { ticket, answer: Answer::Unknown }];
        }
        if !self.calls.contains_key(&ticket) {
            return Vec::new();
        }
        let others_wait = match self.calls.get(&ticket) {
            Some(PendingCall::Submit(job)) => {
                self.accepting.get(job).is_some_and(|o| !o.is_empty())
            }
            _ => false,
        };
        let retracted = !others_wait && self.journal.retract(ticket);
        if retracted {
            let refusal = Answer::Refused(Refusal::DeadlineExceeded);
            return self
                .take_callers(ticket)
                .into_iter()
                .map(|ticket| Effect::Reply { ticket, answer: refusal.clone() })
                .collect();
        }
        self.answered_early.insert(ticket);
        vec![Effect::Reply { ticket, answer: Answer::Unknown }]
    }

    pub(super) fn answer_committed(&mut self, ticket: Ticket) -> Vec<Effect> {
        let answer = match self.calls.get(&ticket) {
            Some(PendingCall::Submit(_)) => Answer::Accepted { duplicate: false },
            Some(PendingCall::Cancel) => Answer::Cancelled,
            Some(PendingCall::Acknowledge) => Answer::Acknowledged,
            Some(PendingCall::GiveUp) => Answer::GivenUp,
            None => return Vec::new(),
        };
        self.take_callers(ticket)
            .into_iter()
            .map(|ticket| Effect::Reply { ticket, answer: answer.clone() })
            .collect()
    }
}
