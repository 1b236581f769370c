//! The regular exchange of shares, as keeper or with one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;

use super::Role;
use super::driver::{Done, Driver};
use crate::clock::Instant;
use crate::runner::share::{Ask, Grant, Keeper, Ledger, Terms};
use crate::runner::{Effect, Router};
use crate::telemetry::names;

/// Time between two exchanges.
const INTERVAL: Duration = Duration::from_millis(500);
/// The same while nothing is lent, held or wanted.
const QUIET_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a call to the keeper may take.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Who keeps the shares, and the ledger when it is this instance.
pub(super) struct Exchange {
    terms: Terms,
    role: Role,
    ledger: Option<Ledger>,
    next: Instant,
    is_out: bool,
}

impl Exchange {
    pub(super) fn new(terms: Terms) -> Self {
        let next = Instant::default();
        Self { terms, role: Role::Unknown, ledger: None, next, is_out: false }
    }

    pub(super) fn next(&self) -> Instant {
        self.next
    }

    pub(super) fn set_role(&mut self, role: Role, now: Instant) {
        if role == self.role {
            return;
        }
        self.role = role;
        self.next = now;
        self.ledger = match role {
            Role::Owner(keeper) => Some(Ledger::new(keeper, self.terms)),
            Role::Follower(..) | Role::Unknown => None,
        };
    }

    pub(super) fn keep(&mut self, ask: &Ask, now: Instant) -> Option<Grant> {
        self.ledger.as_mut()?.ask(ask, now)
    }

    pub(super) fn end(
        &mut self,
        router: &mut Router,
        grant: Option<Grant>,
        now: Instant,
    ) -> Vec<Effect> {
        self.is_out = false;
        grant.map(|grant| router.granted(&grant, now)).unwrap_or_default()
    }

    fn keeper(&self) -> Option<(Keeper, Option<SocketAddr>)> {
        match self.role {
            Role::Unknown => None,
            Role::Follower(keeper, peer) => Some((keeper, Some(peer))),
            Role::Owner(keeper) => Some((keeper, None)),
        }
    }

    /// Whether an exchange is due; the next one is due an interval later.
    fn is_due(&mut self, now: Instant) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now.after(INTERVAL);
        !self.is_out
    }
}

impl Driver {
    /// Calls the keeper when it is time.
    pub(super) fn exchange_shares(&mut self) {
        let now = self.clock.now();
        if !self.exchange.is_due(now) {
            return;
        }
        self.show_waiting();
        let Some((keeper, peer)) = self.exchange.keeper() else { return };
        let ask = self.router.ask(keeper, now);
        if ask.lines.is_empty() {
            self.exchange.next = now.after(QUIET_INTERVAL);
        }
        match peer {
            Some(peer) => self.call_keeper(peer, ask),
            None => {
                let grant = self.exchange.keep(&ask, now);
                let effects = self.exchange.end(&mut self.router, grant, now);
                self.carry_out(effects);
            }
        }
    }

    fn show_waiting(&self) {
        let services = self.router.services().values();
        let waiting: usize = services.map(|service| service.queue.len()).sum();
        names::REQUESTS_WAITING.set(waiting as f64, &[]);
    }

    fn call_keeper(&mut self, peer: SocketAddr, ask: Ask) {
        self.exchange.is_out = true;
        let peers = Rc::clone(&self.peers);
        let call = async move { Done::Shares(peers.ask(peer, &ask, TIMEOUT).await) };
        self.calls.push(call.boxed_local());
    }
}
