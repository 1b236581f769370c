//! One runner as the router sees it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::clock::{Instant, millis};
use crate::membership::State;
use crate::runner::health::{Health, HealthState};
use crate::runner::share::{Handle, LocalSlots};
use crate::runner::{Name, attempt};

/// A runner of the own failure domain.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Its slots at this instance.
    pub slots: Handle,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Whether it takes new work; `None` once it is off the list.
    pub state: Option<State>,
    /// What its answers say of it.
    pub health: Health,
    /// Attempts that wait for an answer, oldest first.
    pub unanswered: BTreeSet<(Instant, attempt::Id)>,
}

impl Upstream {
    /// Creates a runner without history.
    pub fn new(name: Name, slots: Handle, address: SocketAddr) -> Self {
        Self {
            name,
            slots,
            address,
            state: Some(State::Live),
            health: Health::default(),
            unanswered: BTreeSet::new(),
        }
    }

    /// Whether it may get new work at all.
    pub fn is_live(&self) -> bool {
        self.state == Some(State::Live)
    }

    /// Whether it may get new work at `now`, slots left aside.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.is_live() && !self.health.is_ejected(now)
    }

    /// Whether a request can start here at `now`.
    pub fn accepts(&self, shares: &LocalSlots, idempotent: bool, now: Instant) -> bool {
        if !self.is_live() || shares.free(self.slots, now) == 0 {
            return false;
        }
        match self.health.state(now) {
            HealthState::Healthy => true,
            HealthState::Probation => idempotent && shares.in_use(self.slots) == 0,
            HealthState::Ejected(_) => false,
        }
    }

    /// Expected cost of one more request; `usual` stands in for a latency not yet known.
    ///
    /// A runner that has stopped answering shows no bad latency. Its oldest unanswered attempt
    /// does, which is why the age of that one counts as soon as it is the larger.
    pub fn cost(&self, shares: &LocalSlots, usual: f64, now: Instant) -> f64 {
        let known = self.health.latency();
        let latency = if known > 0.0 { known } else { usual };
        let oldest = self.unanswered.first().map_or(0, |(started, _)| millis(now.since(*started)));
        let slots = f64::from(shares.allowance(self.slots, now).max(1));
        let load = f64::from(shares.in_use(self.slots) + 1) / slots;
        load * latency.max(oldest as f64).max(1.0)
    }
}
