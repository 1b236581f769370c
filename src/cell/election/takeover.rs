//! Whether the owner is to be replaced, once it seems so.

use std::net::SocketAddr;
use std::time::Duration;

use super::reason::TakeoverReason;
use super::search::ReplayResult;
use super::{Election, READ_RETRY};
use crate::cell::Epoch;
use crate::cell::peer::HandoverOffer;
use crate::cell::timings::APPEND_RETRY;
use crate::peer;

/// Time in which an owner that nobody reaches must write something to count as alive.
const SILENT_OWNER: Duration = Duration::from_millis(250);

/// Time for which an instance may be silent after it has claimed the cell.
const SILENT_PREPARING: Duration = Duration::from_millis(1_500);

/// What an owner does whose connection broke.
enum Probe {
    /// It answers, or is about to begin.
    Answers,
    /// Its machine takes connections, and it does not answer.
    Silent,
    /// Nobody is there.
    Gone,
}

impl Election {
    /// Takes the cell over, where that is called for.
    pub(super) async fn take_over_if_needed(&mut self, motive: TakeoverReason) {
        if self.known_epoch() == Epoch(0) && !self.find_epoch(motive).await {
            return;
        }
        let known = self.known_epoch();
        if !self.wait_for_turn(motive).await {
            return;
        }
        let goes_on = match motive {
            TakeoverReason::Offered(owner) | TakeoverReason::Struggling(owner) => {
                self.is_recovered(owner).await
            }
            TakeoverReason::Silent(_) => self.is_owner_working().await,
            TakeoverReason::Gone(owner) => match self.probe(owner).await {
                Probe::Answers => true,
                Probe::Silent => self.is_owner_working().await,
                Probe::Gone => false,
            },
            TakeoverReason::Unknown | TakeoverReason::Stalled(_) => false,
        };
        if goes_on {
            self.owner_unresponsive = false;
        }
        // Whoever made an epoch known meanwhile is to be followed, not replaced.
        if !goes_on && self.known_epoch() == known && !self.node.stop.is_triggered() {
            self.claim(motive, known).await;
        }
    }

    /// Learns the last epoch from the owner's sign or, without one, from the journal; `false` if there
    /// is an owner to follow or the store does not answer.
    async fn find_epoch(&mut self, motive: TakeoverReason) -> bool {
        if let Ok(sign @ Some(_)) = self.owner_record().await
            && self.follows_record(sign, motive)
        {
            return false;
        }
        match self.read_unless_owned(Epoch(0)).await {
            ReplayResult::Journal => !self.follows_other(motive, Epoch(0)),
            ReplayResult::Owner => false,
            ReplayResult::Nothing => {
                // Without the store nobody can take over; the owner may come back.
                self.node.deps.clock.sleep(READ_RETRY).await;
                false
            }
        }
    }

    /// Whether the journal names an owner other than the one to be replaced.
    fn follows_other(&self, motive: TakeoverReason, before: Epoch) -> bool {
        let state = &self.replay.state;
        let Some(owner) = state.owner else { return false };
        let replaced = motive.replaced();
        if owner.peer == self.node.me {
            // Claimed by an earlier process at this address, or by this one before it stepped down.
            return false;
        }
        let is_new = state.epoch > before;
        if replaced == Some(owner.peer) && !is_new {
            return false;
        }
        if replaced.is_none() && !is_new && self.node.owner(self.cell) == Some(owner.peer) {
            return false;
        }
        self.node.set_owner(self.cell, Some(owner.peer));
        true
    }

    /// Whether an owner that wanted to be relieved serves its cell again.
    ///
    /// Guards against a change of owner right when the store is back for all: the owner that
    /// offered the cell tries its append again every `APPEND_RETRY`, and needs no successor.
    async fn is_recovered(&self, owner: SocketAddr) -> bool {
        self.node.deps.clock.sleep(APPEND_RETRY).await;
        let watched = self.watch(owner, false).await;
        watched.is_ok_and(|watched| watched.is_owner && watched.offer == HandoverOffer::NotOffered)
    }

    /// Asks an owner whose connection broke once more.
    ///
    /// Guards against instances that were cut off, whose connections were reset: they were the first
    /// to claim when the cut was over, from an owner that served all others.
    async fn probe(&self, owner: SocketAddr) -> Probe {
        match self.watch(owner, false).await {
            Ok(watched) if watched.is_owner || watched.owner == Some(owner) => Probe::Answers,
            Err(error) if error.sent && error.step == peer::Step::Timeout => Probe::Silent,
            _ => Probe::Gone,
        }
    }

    /// Whether an owner that does not answer is at work all the same.
    ///
    /// Guards against a busy owner that is replaced by one that begins with the same work and more: each
    /// in turn answered nobody in its first second and was replaced in the next, for as long as the
    /// site had work, and what had been accepted was never run.
    async fn is_owner_working(&self) -> bool {
        self.is_preparing() || self.is_owner_writing().await
    }

    /// Whether the silent instance has claimed the cell a moment ago: it reads the journal, and neither
    /// writes nor always answers in time while it does.
    fn is_preparing(&self) -> bool {
        let now = self.node.deps.clock.now();
        let claimed = self.node.epoch_since(self.cell);
        claimed.is_some_and(|claimed| now.since(claimed) < SILENT_PREPARING)
    }

    /// Whether an owner that does not answer still writes to the journal, or nobody can tell.
    ///
    /// Guards against taking a cell from an owner that only this instance cannot reach.
    async fn is_owner_writing(&self) -> bool {
        let Some(seen) = self.journal_end(self.known_journal_end).await else { return true };
        self.node.deps.clock.sleep(SILENT_OWNER).await;
        self.journal_end(seen).await.is_none_or(|end| end > seen)
    }

    /// Offset at which the next append goes, asked for with few of the records: those from `near` on.
    async fn journal_end(&self, near: u64) -> Option<u64> {
        match self.node.deps.journal.read(self.cell, near).await {
            Ok(page) => Some(page.end_offset),
            Err(cause) => {
                log::warn!("event=journal.unread cell={} cause={:?}", self.cell, cause.to_string());
                None
            }
        }
    }
}
