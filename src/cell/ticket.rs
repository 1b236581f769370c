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
    text: String,
    until: Instant,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    eligible: BTreeMap<WorkerId, Ticket>,
    refused: BTreeSet<WorkerId>,
    /// Workers that a question under way names.
    asked: BTreeSet<WorkerId>,
    /// End of the ticket that holds longest, so that a step without any is passed over at once.
    last_until: Instant,
    /// When a question is to be thought about again.
    rests_until: Instant,
}

impl Tickets {
    /// Notes that a question about `workers` is under way.
    pub fn ask(&mut self, workers: &[WorkerId]) {
        self.asked.extend(workers.iter().cloned());
    }

    /// Takes in the answer to a question about `workers`; `None` when none came.
    pub fn answer(
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
        self.last_until = self.last_until.max(until);
        for (worker, text) in &allowed.workers {
            self.eligible.insert(worker.clone(), Ticket { text: text.clone(), until });
        }
        for worker in workers {
            if !self.eligible.contains_key(worker) {
                self.refused.insert(worker.clone());
            }
        }
    }

    /// Whether the service said that the worker may run the step.
    pub fn allows(&self, worker: &str) -> bool {
        self.eligible.contains_key(worker)
    }

    /// Whether nothing is known of the worker, and no question about it is under way.
    pub fn is_unasked(&self, worker: &str) -> bool {
        !self.allows(worker) && !self.refused.contains(worker) && !self.asked.contains(worker)
    }

    /// Whether a question is under way.
    pub fn is_asking(&self) -> bool {
        !self.asked.is_empty()
    }

    /// Workers that a question under way is the first to name.
    pub fn awaited(&self) -> impl Iterator<Item = &WorkerId> {
        self.asked.iter().filter(|worker| !self.allows(worker))
    }

    /// The ticket for a worker, while it holds.
    pub fn valid(&self, worker: &str, now: Instant) -> Option<&str> {
        let ticket = self.eligible.get(worker)?;
        (now < ticket.until).then_some(ticket.text.as_str())
    }

    /// Workers whose tickets hold.
    pub fn holding(&self, now: Instant) -> impl Iterator<Item = &WorkerId> {
        let any = now < self.last_until;
        let holding = self.eligible.iter().filter(move |(_, ticket)| any && now < ticket.until);
        holding.map(|(worker, _)| worker)
    }

    /// Workers that may run the step, with the end of their tickets.
    pub fn eligible(&self) -> impl Iterator<Item = (&WorkerId, Instant)> {
        self.eligible.iter().map(|(worker, ticket)| (worker, ticket.until))
    }

    /// Whether tickets were given out and the last expired no longer than `span` ago.
    pub fn expired_within(&self, span: Duration, now: Instant) -> bool {
        !self.eligible.is_empty() && now >= self.last_until && now < self.last_until.after(span)
    }

    /// Whether it is time to think about a question again.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.rests_until
    }

    /// Thinks about no question before `until`.
    pub fn rest(&mut self, until: Instant) {
        self.rests_until = until;
    }

    /// Forgets a life of a worker that is over.
    pub fn forget(&mut self, worker: &str) {
        self.eligible.remove(worker);
        self.refused.remove(worker);
    }

    /// Forgets a ticket that the worker did not take.
    pub fn expire(&mut self, worker: &str) {
        if let Some(ticket) = self.eligible.get_mut(worker) {
            ticket.until = Instant::default();
        }
    }

    /// Workers asked about and those among them that may run the step.
    pub fn tally(&self) -> (usize, usize) {
        (self.eligible.len() + self.refused.len(), self.eligible.len())
    }
}
