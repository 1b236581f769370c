//! An instance that follows the owner, and learns from it how it is.

use std::net::SocketAddr;
use std::time::Duration;

use super::Election;
use super::priority::LOWEST_RANK;
use super::reason::TakeoverReason;
use crate::cell::peer::{HandoverOffer, WATCH, WatchRequest, WatchResponse};
use crate::cell::timings::{PROBE_TIMEOUT, WATCH_TIMEOUT};
use crate::peer;

/// Rest between two looks of an instance that is about to end.
const FOLLOW_REST: Duration = Duration::from_millis(50);

/// Refusals in a row from which an owner counts as gone that takes no calls: a second.
const MAX_REFUSALS: u32 = 20;

/// Time that an instance may take from its claim to the begin of its work: a journal of some megabytes
/// over a link of 10 Mbit/s.
const PREPARE_LIMIT: Duration = Duration::from_secs(4);

impl Election {
    /// Follows the known owner while it answers; returns why the instance should act.
    pub(super) async fn follow(&mut self) -> TakeoverReason {
        let mut refusals = 0;
        loop {
            let Some(owner) = self.node.owner(self.cell) else { return TakeoverReason::Unknown };
            if owner == self.node.me {
                return TakeoverReason::Unknown;
            }
            let watched = self.watch(owner, !self.owner_unresponsive).await;
            self.owner_unresponsive = watched.as_ref().is_err_and(|error| !error.is_busy());
            match watched {
                Ok(watched) => {
                    refusals = 0;
                    let owns = watched.is_owner;
                    if let Some(motive) = self.apply_response(owner, watched) {
                        return motive;
                    }
                    if owns {
                        self.catch_up().await;
                    }
                }
                // Guards against an owner that is taken for gone because it has too much to do.
                Err(error) if error.is_busy() && refusals < MAX_REFUSALS => {
                    refusals += 1;
                    self.node.deps.clock.sleep(FOLLOW_REST).await;
                    continue;
                }
                Err(error) => {
                    log::info!("event=owner.unanswered cell={} owner={owner} {error}", self.cell);
                    let silent = error.step == peer::Step::Timeout;
                    return if silent {
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

    /// Asks the owner how it is; a `patient` question may be held back by it.
    pub(super) async fn watch(
        &self,
        owner: SocketAddr,
        patient: bool,
    ) -> Result<WatchResponse, peer::Error> {
        let (version, strength) = (self.node.config().version, self.node.cpu_millis);
        let (cell, from, domain) = (self.cell, self.node.me, self.node.domain.clone());
        let told_by_it = self.last_owner == Some(owner);
        let succession = if told_by_it { self.succession_digest } else { 0 };
        let watch = WatchRequest {
            cell,
            follower: from,
            domain,
            config_version: version,
            cpu_millis: strength,
            long_poll: patient,
            succession_digest: succession,
        };
        let timeout = if patient { WATCH_TIMEOUT } else { PROBE_TIMEOUT };
        self.node.deps.peers.call(owner, WATCH, &watch, timeout).await
    }

    fn apply_response(
        &mut self,
        owner: SocketAddr,
        watched: WatchResponse,
    ) -> Option<TakeoverReason> {
        if let Some(table) = watched.config {
            self.node.apply_config(table);
        }
        if !watched.is_owner {
            let elsewhere = watched.owner.filter(|other| *other != owner && *other != self.node.me);
            if elsewhere.is_some() {
                self.node.set_owner(self.cell, elsewhere);
                return None;
            }
            return self.check_takeover_progress(owner, watched.owner);
        }
        self.preparing_since = None;
        self.known_journal_end = watched.journal_end;
        self.owner_cpu_millis = watched.cpu_millis;
        if self.last_owner.replace(owner) != Some(owner) {
            self.postpone_catch_up();
        }
        if let Some(present) = watched.succession_order {
            self.apply_succession(owner, present);
            self.succession_digest = watched.succession_digest;
        }
        // An owner that answers is in contact, also while the store keeps it from serving: callers
        // are passed on to it and keep their connections, since they fare no better elsewhere.
        self.node.note_owner_heard(self.cell);
        if watched.offer != HandoverOffer::Anyone {
            self.node.note_serving_owner(self.cell);
        }
        match watched.offer {
            HandoverOffer::Anyone => Some(TakeoverReason::Offered(owner)),
            HandoverOffer::IfFaster => Some(TakeoverReason::Struggling(owner)),
            HandoverOffer::NotOffered => None,
        }
    }

    /// Takes in the order in which instances would take over from `owner`.
    fn apply_succession(&mut self, owner: SocketAddr, order: Vec<SocketAddr>) {
        let mut followers = order.iter().filter(|peer| **peer != owner);
        let place = followers.position(|peer| *peer == self.node.me);
        self.rank = place.map(|place| (place as u32).min(LOWEST_RANK));
        if !order.is_empty() {
            self.peers = order;
        }
    }

    /// Waits for an instance that has claimed the cell and reads its journal, within bounds.
    fn check_takeover_progress(
        &mut self,
        peer: SocketAddr,
        owner: Option<SocketAddr>,
    ) -> Option<TakeoverReason> {
        if owner != Some(peer) {
            self.preparing_since = None;
            return Some(TakeoverReason::Unknown);
        }
        let now = self.node.deps.clock.now();
        let since = *self.preparing_since.get_or_insert(now);
        if now.since(since) > PREPARE_LIMIT {
            self.preparing_since = None;
            return Some(TakeoverReason::Stalled(peer));
        }
        self.node.note_owner_heard(self.cell);
        None
    }

    /// Passes on what is known of the owner, without taking over.
    pub(super) async fn follow_without_claiming(&mut self) {
        match self.node.owner(self.cell) {
            Some(owner) if owner != self.node.me => {
                if let Ok(watched) = self.watch(owner, true).await {
                    let _ = self.apply_response(owner, watched);
                }
            }
            _ => {
                let sign = self.owner_record().await.unwrap_or_default();
                if let Some(sign) = sign.filter(|sign| sign.peer != self.node.me) {
                    self.follow_record(sign);
                }
            }
        }
        self.node.deps.clock.sleep(FOLLOW_REST).await;
    }
}
