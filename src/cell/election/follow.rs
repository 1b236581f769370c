//! Following the owner of a cell.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use futures_util::future::{self, Either};

use super::Election;
use super::priority::MAX_RANK;
use super::reason::TakeoverReason;
use crate::cell::peer::{HandoverOffer, NO_TABLE, WatchRequest, WatchResponse};
use crate::cell::timings::PROBE_TIMEOUT;
use crate::cell::watch::Hold;
use crate::peer;

/// Delay between two watch requests of an instance that shuts down.
const FOLLOW_DELAY: Duration = Duration::from_millis(50);

/// Number of consecutive refusals, within about a second, after which an owner that accepts no
/// calls counts as gone.
const MAX_REFUSALS: u32 = 20;

/// Maximum time from an instance's claim to the start of its ownership: enough for a journal of
/// some megabytes over a link of 10 Mbit/s.
const REPLAY_TIMEOUT: Duration = Duration::from_secs(4);

impl Election {
    /// Follows the known owner while it answers; returns the reason for a possible takeover.
    pub(super) async fn follow(&mut self) -> TakeoverReason {
        let mut refusals = 0;
        loop {
            let Some(owner) = self.node.owner(self.cell) else { return TakeoverReason::Unknown };
            if owner == self.node.me {
                return TakeoverReason::Unknown;
            }
            let Some(response) = self.watch_unless_replaced(owner).await else { continue };
            self.owner_unresponsive = response.as_ref().is_err_and(|error| !error.is_busy());
            match response {
                Ok(response) => {
                    refusals = 0;
                    let is_owner = response.is_owner;
                    if let Some(reason) = self.apply_response(owner, response) {
                        return reason;
                    }
                    if is_owner {
                        self.catch_up().await;
                    }
                }
                // An owner that is overloaded is not treated as gone.
                Err(error) if error.is_busy() && refusals < MAX_REFUSALS => {
                    refusals += 1;
                    self.node.deps.clock.sleep(FOLLOW_DELAY).await;
                    continue;
                }
                Err(error) => {
                    log::info!("event=owner.unanswered cell={} owner={owner} {error}", self.cell);
                    let timed_out = error.step == peer::CallPhase::Timeout;
                    return if timed_out {
                        TakeoverReason::Silent(owner)
                    } else {
                        TakeoverReason::Gone(owner)
                    };
                }
            }
            if self.node.stop.is_triggered() {
                return TakeoverReason::Unknown;
            }
        }
    }

    /// Sends a watch request to the owner; `None` if another owner becomes known during an extended
    /// hold.
    ///
    /// Guards against an owner that is frozen: an instance that does not take over soon waits longer
    /// for its response than the cell is without an owner.
    async fn watch_unless_replaced(
        &self,
        owner: SocketAddr,
    ) -> Option<Result<WatchResponse, peer::Error>> {
        let response = self.watch(owner, !self.owner_unresponsive);
        if !self.hold(owner).is_extended() {
            return Some(response.await);
        }
        let replaced = self.node.until_owner_changes(self.cell);
        match future::select(pin!(response), pin!(replaced)).await {
            Either::Left((response, _)) => Some(response),
            Either::Right(_) => None,
        }
    }

    /// Hold of the next watch request to `owner`.
    fn hold(&self, owner: SocketAddr) -> Hold {
        if self.last_owner == Some(owner) { self.watch_hold } else { Hold::SHORTEST }
    }

    /// Sends a watch request to the owner, which may delay its response if `long_poll` is true.
    pub(super) async fn watch(
        &self,
        owner: SocketAddr,
        long_poll: bool,
    ) -> Result<WatchResponse, peer::Error> {
        let (config_version, cpu_millis) = (NO_TABLE, self.node.cpu_millis);
        let (cell, follower, domain) = (self.cell, self.node.me, self.node.domain.clone());
        let is_same_owner = self.last_owner == Some(owner);
        let succession_digest = if is_same_owner { self.succession_digest } else { 0 };
        let watch = WatchRequest {
            cell,
            follower,
            domain,
            config_version,
            cpu_millis,
            long_poll,
            succession_digest,
        };
        let hold = if long_poll { self.hold(owner) } else { Hold::SHORTEST };
        let timeout = if long_poll { hold.timeout() } else { PROBE_TIMEOUT };
        let peers = &self.node.deps.peers;
        peers.set_keepalive(owner, hold.keepalive());
        peers.call(owner, &hold.method(), &watch, timeout).await
    }

    fn apply_response(
        &mut self,
        owner: SocketAddr,
        response: WatchResponse,
    ) -> Option<TakeoverReason> {
        if let Some(notice) = response.config {
            self.node.note_config_version(owner, notice.version);
        }
        if !response.is_owner {
            let elsewhere =
                response.owner.filter(|other| *other != owner && *other != self.node.me);
            if elsewhere.is_some() {
                self.node.set_owner(self.cell, elsewhere);
                return None;
            }
            self.node.set_watch_hold(self.cell, self.hold(owner));
            return self.check_takeover_progress(owner, response.owner);
        }
        self.claimant_since = None;
        self.known_journal_end = response.journal_end;
        self.owner_cpu_millis = response.cpu_millis;
        if self.last_owner.replace(owner) != Some(owner) {
            self.watch_hold = Hold::SHORTEST;
            self.postpone_catch_up();
        }
        if let Some(order) = response.succession_order {
            self.apply_succession(owner, order);
            self.succession_digest = response.succession_digest;
        }
        self.update_hold();
        // An owner that answers is in contact even while the store prevents it from serving:
        // callers' connections are kept and their calls forwarded to it, since no other instance
        // serves them better.
        self.node.note_owner_heard(self.cell);
        if response.offer != HandoverOffer::Anyone {
            self.node.note_serving_owner(self.cell);
        }
        match response.offer {
            HandoverOffer::Anyone => Some(TakeoverReason::Offered(owner)),
            HandoverOffer::IfFaster => Some(TakeoverReason::Struggling(owner)),
            HandoverOffer::NotOffered => None,
        }
    }

    /// Determines the hold of the next watch request by the order of succession.
    fn update_hold(&mut self) {
        let hold = Hold::new(self.rank, self.peers.len());
        let is_first = !self.watch_hold.is_extended();
        self.watch_hold = if is_first { hold.random_part(self.node.incarnation) } else { hold };
        self.node.set_watch_hold(self.cell, self.watch_hold);
    }

    /// Records the order in which instances would take over from `owner`.
    fn apply_succession(&mut self, owner: SocketAddr, order: Vec<SocketAddr>) {
        let mut followers = order.iter().filter(|peer| **peer != owner);
        let position = followers.position(|peer| *peer == self.node.me);
        self.rank = position.map(|position| (position as u32).min(MAX_RANK));
        if !order.is_empty() {
            self.peers = order;
        }
    }

    /// Waits, for a limited time, for an instance that has claimed the cell and replays its
    /// journal.
    fn check_takeover_progress(
        &mut self,
        peer: SocketAddr,
        owner: Option<SocketAddr>,
    ) -> Option<TakeoverReason> {
        if owner != Some(peer) {
            self.claimant_since = None;
            return Some(TakeoverReason::Unknown);
        }
        let now = self.node.deps.clock.now();
        let since = *self.claimant_since.get_or_insert(now);
        if now.since(since) > REPLAY_TIMEOUT {
            self.claimant_since = None;
            return Some(TakeoverReason::Stalled(peer));
        }
        self.node.note_owner_heard(self.cell);
        None
    }

    /// Keeps the known owner up to date, without taking over.
    pub(super) async fn follow_without_claiming(&mut self) {
        match self.node.owner(self.cell) {
            Some(owner) if owner != self.node.me => {
                if let Ok(response) = self.watch(owner, true).await {
                    let _ = self.apply_response(owner, response);
                }
            }
            _ => {
                let record = self.owner_record().await.unwrap_or_default();
                if let Some(record) = record.filter(|record| record.peer != self.node.me) {
                    self.follow_record(record);
                }
            }
        }
        self.node.deps.clock.sleep(FOLLOW_DELAY).await;
    }
}
