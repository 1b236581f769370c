//! Which workers may run a step, by the word of the policy service.
//!
//! Whether a worker may run a step never changes; only the ticket that proves it expires.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::dependencies::Eligibility;
use super::record::WorkerId;
use super::timings::TICKET_MARGIN;
use crate::clock::Instant;

/// Proof that a worker may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ticket {
    token: String,
    expires_at: Instant,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    eligible: BTreeMap<WorkerId, Ticket>,
    refused: BTreeSet<WorkerId>,
    /// Workers that a question under way names.
    asked: BTreeSet<WorkerId>,
    /// End of the ticket that holds longest, so that a step without any is passed over at once.
    last_expiry: Instant,
    /// When a question is to be thought about again.
    next_question_at: Instant,
}

impl Tickets {
    /// Notes that a question about `workers` is under way.
    pub fn mark_asked(&mut self, workers: &[WorkerId]) {
        self.asked.extend(workers.iter().cloned());
    }

    /// Takes in the answer to a question about `workers`; `None` when none came.
    pub fn record_answer(
        &mut self,
        workers: &[WorkerId],
        allowed: Option<&Eligibility>,
        valid: Duration,
        now: Instant,
    ) {
        for worker in workers {
            self.asked.remove(worker);
        }
        let Some(allowed) = allowed else { return };
        let valid = allowed.valid_ms.map_or(valid, Duration::from_millis);
        let until = now.after(valid).before(TICKET_MARGIN);
        self.last_expiry = self.last_expiry.max(until);
        for (worker, text) in &allowed.workers {
            self.eligible.insert(worker.clone(), Ticket { token: text.clone(), expires_at: until });
        }
        for worker in workers {
            if !self.eligible.contains_key(worker) {
                self.refused.insert(worker.clone());
            }
        }
    }

    /// Whether the service said that the worker may run the step.
    pub fn is_eligible(&self, worker: &str) -> bool {
        self.eligible.contains_key(worker)
    }

    /// Whether nothing is known of the worker, and no question about it is under way.
    pub fn is_unasked(&self, worker: &str) -> bool {
        !self.is_eligible(worker) && !self.refused.contains(worker) && !self.asked.contains(worker)
    }

    /// Whether a question is under way.
    pub fn has_pending_question(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Workers that a question under way is the first to name.
    pub fn awaiting_answer(&self) -> impl Iterator<Item = &WorkerId> {
        self.asked.iter().filter(|worker| !self.is_eligible(worker))
    }

    /// The ticket for a worker, while it holds.
    pub fn valid_ticket(&self, worker: &str, now: Instant) -> Option<&str> {
        let ticket = self.eligible.get(worker)?;
        (now < ticket.expires_at).then_some(ticket.token.as_str())
    }

    /// Workers whose tickets hold.
    pub fn with_valid_ticket(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        let any = now < self.last_expiry;
        let holding =
            self.eligible.iter().filter(move |(_, ticket)| any && now < ticket.expires_at);
        holding.map(|(worker, _)| worker)
    }

    /// Workers that may run the step, with the end of their tickets.
    pub fn eligible(&self) -> impl Iterator<Item = (&WorkerId, Instant)> {
        self.eligible.iter().map(|(worker, ticket)| (worker, ticket.expires_at))
    }

    /// Whether tickets were given out and the last expired no longer than `span` ago.
    pub fn expired_within(&self, span: Duration, now: Instant) -> bool {
        !self.eligible.is_empty() && now >= self.last_expiry && now < self.last_expiry.after(span)
    }

    /// Whether it is time to think about a question again.
    pub fn may_ask(&self, now: Instant) -> bool {
        now >= self.next_question_at
    }

    /// Thinks about no question before `until`.
    pub fn postpone(&mut self, until: Instant) {
        self.next_question_at = until;
    }

    /// Forgets a life of a worker that is over.
    pub fn forget(&mut self, worker: &str) {
        self.eligible.remove(worker);
        self.refused.remove(worker);
    }

    /// Forgets a ticket that the worker did not take.
    pub fn expire(&mut self, worker: &str) {
        if let Some(ticket) = self.eligible.get_mut(worker) {
            ticket.expires_at = Instant::default();
        }
    }

    /// Workers asked about and those among them that may run the step.
    pub fn counts(&self) -> (usize, usize) {
        (self.eligible.len() + self.refused.len(), self.eligible.len())
    }
}
