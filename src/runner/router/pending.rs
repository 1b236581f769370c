//! A request that has no verdict yet.

use crate::clock::Instant;
use crate::domain;
use crate::job::Effect;
use crate::runner::Name;
use crate::runner::attempt::{self, Attempt, Target};
use crate::runner::request::Request;

/// A request without an answer.
#[derive(Clone, Debug)]
pub struct Pending {
    pub request: Request,
    pub submitted: Instant,
    pub in_flight: Vec<attempt::Id>,
    pub attempts: usize,
    pub tried_runners: Vec<Name>,
    pub tried_domains: Vec<domain::Name>,
    pub hedged: bool,
    /// Its place in the queue, while it waits there.
    pub queued: Option<Instant>,
    pub may_have_run: bool,
    pub failed_answer: Option<attempt::Id>,
}

impl Pending {
    pub fn new(request: Request, submitted: Instant) -> Self {
        Self {
            request,
            submitted,
            in_flight: Vec::new(),
            attempts: 0,
            tried_runners: Vec::new(),
            tried_domains: Vec::new(),
            hedged: false,
            queued: None,
            may_have_run: false,
            failed_answer: None,
        }
    }

    pub fn is_idempotent(&self) -> bool {
        self.request.effect == Effect::Idempotent
    }

    pub fn add_attempt(&mut self, id: attempt::Id) {
        self.in_flight.push(id);
        self.attempts += 1;
    }

    pub fn attempt(&self, target: Target, now: Instant) -> Attempt {
        Attempt {
            request: self.request.id,
            service: self.request.service.clone(),
            target,
            started: now,
            outcome_unknown: false,
        }
    }
}
