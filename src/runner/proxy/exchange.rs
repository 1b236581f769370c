//! The regular exchange of shares, as keeper or with one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;

use super::Role;
use super::driver::{Completion, Driver};
use crate::clock::Instant;
use crate::runner::share::{CoordinatorId, LeaseDurations, Ledger, ShareRequest, ShareResponse};
use crate::runner::{Effect, Router};
use crate::telemetry::names;

/// Time between two exchanges.
const INTERVAL: Duration = Duration::from_millis(500);
/// The same while nothing is lent, held or wanted.
const QUIET_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a call to the keeper may take.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Who keeps the shares, and the ledger when it is this instance.
pub(super) struct ShareExchange {
    durations: LeaseDurations,
    role: Role,
    ledger: Option<Ledger>,
    next: Instant,
    in_flight: bool,
}

impl ShareExchange {
    pub(super) fn new(durations: LeaseDurations) -> Self {
        let next = Instant::default();
        Self { durations, role: Role::Unknown, ledger: None, next, in_flight: false }
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
            Role::Owner(coordinator) => Some(Ledger::new(coordinator, self.durations)),
            Role::Follower(..) | Role::Unknown => None,
        };
    }

    pub(super) fn grant_shares(
        &mut self,
        request: &ShareRequest,
        now: Instant,
    ) -> Option<ShareResponse> {
        self.ledger.as_mut()?.handle(request, now)
    }

    pub(super) fn finish(
        &mut self,
        router: &mut Router,
        response: Option<ShareResponse>,
        now: Instant,
    ) -> Vec<Effect> {
        self.in_flight = false;
        response.map(|response| router.apply_response(&response, now)).unwrap_or_default()
    }

    fn coordinator(&self) -> Option<(CoordinatorId, Option<SocketAddr>)> {
        match self.role {
            Role::Unknown => None,
            Role::Follower(coordinator, peer) => Some((coordinator, Some(peer))),
            Role::Owner(coordinator) => Some((coordinator, None)),
        }
    }

    /// Whether an exchange is due; the next one is due an interval later.
    fn is_due(&mut self, now: Instant) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now.after(INTERVAL);
        !self.in_flight
    }
}

impl Driver {
    /// Calls the keeper when it is time.
    pub(super) fn exchange_shares(&mut self) {
        let now = self.clock.now();
        if !self.exchange.is_due(now) {
            return;
        }
        self.report_waiting();
        let Some((coordinator, peer)) = self.exchange.coordinator() else { return };
        let request = self.router.build_share_request(coordinator, now);
        if request.runners.is_empty() {
            self.exchange.next = now.after(QUIET_INTERVAL);
        }
        match peer {
            Some(peer) => self.call_coordinator(peer, request),
            None => {
                let response = self.exchange.grant_shares(&request, now);
                let effects = self.exchange.finish(&mut self.router, response, now);
                self.carry_out(effects);
            }
        }
    }

    fn report_waiting(&self) {
        let services = self.router.services().values();
        let waiting: usize = services.map(|service| service.queue.len()).sum();
        names::REQUESTS_WAITING.set(waiting as f64, &[]);
    }

    fn call_coordinator(&mut self, peer: SocketAddr, request: ShareRequest) {
        self.exchange.in_flight = true;
        let peers = Rc::clone(&self.peers);
        let call =
            async move { Completion::Shares(peers.request_shares(peer, &request, TIMEOUT).await) };
        self.calls.push(call.boxed_local());
    }
}
