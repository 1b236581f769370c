//! Tickets of the policy service: which workers may run a step.
//!
//! Whether a worker may run a step never changes; only its ticket, which proves it, expires.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::dependencies::Eligibility;
use super::record::WorkerId;
use super::timings::TICKET_MARGIN;
use crate::clock::Instant;

/// Proof that a worker may run a step, until it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Ticket {
    token: String,
    expires_at: Instant,
}

/// Answers of the policy service about one step.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    eligible: BTreeMap<WorkerId, Ticket>,
    refused: BTreeSet<WorkerId>,
    /// Workers named in a pending query.
    queried: BTreeSet<WorkerId>,
    /// Latest expiry of all tickets. It allows a step without valid tickets to be skipped quickly.
    last_expiry: Instant,
    /// Earliest time at which another query is considered.
    next_query_at: Instant,
}

/// Memory of what is kept about one worker, in bytes.
const WORKER_BYTES: usize = 160;

impl Tickets {
    /// Memory that they take, in bytes.
    pub fn heap_bytes(&self) -> usize {
        (self.eligible.len() + self.refused.len() + self.queried.len()) * WORKER_BYTES
    }

    /// Records that a query about `workers` is pending.
    pub fn mark_queried(&mut self, workers: &[WorkerId]) {
        self.queried.extend(workers.iter().cloned());
    }

    /// Records the answer to a query about `workers`; `None` when there was none. Nothing is kept
    /// about workers that were forgotten in the meantime.
    ///
    /// Guards against answers about departed workers that are counted with those about listed ones:
    /// all workers would seem queried, and the step would never be queried about a new one.
    pub fn record_answer(
        &mut self,
        workers: &[WorkerId],
        eligibility: Option<&Eligibility>,
        valid: Duration,
        now: Instant,
    ) {
        let mut known: BTreeSet<&WorkerId> = BTreeSet::new();
        known.extend(workers.iter().filter(|worker| self.queried.remove(*worker)));
        let Some(eligibility) = eligibility else { return };
        let valid = eligibility.valid_ms.map_or(valid, Duration::from_millis);
        let until = now.after(valid).before(TICKET_MARGIN);
        self.last_expiry = self.last_expiry.max(until);
        for (worker, text) in eligibility.workers.iter().filter(|(id, _)| known.contains(id)) {
            self.eligible.insert(worker.clone(), Ticket { token: text.clone(), expires_at: until });
        }
        for worker in known {
            if !self.eligible.contains_key(worker) {
                self.refused.insert(worker.clone());
            }
        }
    }

    /// Whether the service answered that the worker may run the step.
    pub fn is_eligible(&self, worker: &str) -> bool {
        self.eligible.contains_key(worker)
    }

    /// Whether the service answered that the worker may not run the step.
    pub fn is_refused(&self, worker: &str) -> bool {
        self.refused.contains(worker)
    }

    /// Whether there is neither an answer nor a pending query about the worker.
    pub fn is_unqueried(&self, worker: &str) -> bool {
        !self.is_eligible(worker) && !self.is_refused(worker) && !self.queried.contains(worker)
    }

    /// Whether a query is pending.
    pub fn has_pending_query(&self) -> bool {
        !self.queried.is_empty()
    }

    /// Workers named in a pending query that are not known to be eligible.
    pub fn awaiting_answer(&self) -> impl Iterator<Item = &WorkerId> {
        self.queried.iter().filter(|worker| !self.is_eligible(worker))
    }

    /// The ticket of a worker, if it is valid.
    pub fn valid_ticket(&self, worker: &str, now: Instant) -> Option<&str> {
        let ticket = self.eligible.get(worker)?;
        (now < ticket.expires_at).then_some(ticket.token.as_str())
    }

    /// Workers with valid tickets.
    pub fn with_valid_ticket(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        let any = now < self.last_expiry;
        let holding =
            self.eligible.iter().filter(move |(_, ticket)| any && now < ticket.expires_at);
        holding.map(|(worker, _)| worker)
    }

    /// Workers that may run the step, with the expiry of their tickets.
    pub fn eligible(&self) -> impl Iterator<Item = (&WorkerId, Instant)> {
        self.eligible.iter().map(|(worker, ticket)| (worker, ticket.expires_at))
    }

    /// Whether there are tickets, and the last one expired at most `span` ago.
    pub fn expired_within(&self, span: Duration, now: Instant) -> bool {
        !self.eligible.is_empty() && now >= self.last_expiry && now < self.last_expiry.after(span)
    }

    /// Whether another query may be considered.
    pub fn may_query(&self, now: Instant) -> bool {
        now >= self.next_query_at
    }

    /// Considers no query before `until`.
    pub fn postpone(&mut self, until: Instant) {
        self.next_query_at = until;
    }

    /// Removes a worker incarnation that has ended.
    pub fn forget(&mut self, worker: &str) {
        self.queried.remove(worker);
        self.eligible.remove(worker);
        self.refused.remove(worker);
    }

    /// Invalidates a ticket that the worker refused.
    pub fn expire(&mut self, worker: &str) {
        if let Some(ticket) = self.eligible.get_mut(worker) {
            ticket.expires_at = Instant::default();
        }
    }

    /// Number of workers that the service answered about, and how many of them may run the step.
    pub fn counts(&self) -> (usize, usize) {
        (self.eligible.len() + self.refused.len(), self.eligible.len())
    }
}
