//! Checks before a takeover.

use std::net::SocketAddr;
use std::time::Duration;

use super::reason::TakeoverReason;
use super::search::ReplayResult;
use super::{Election, READ_RETRY_DELAY};
use crate::cell::Epoch;
use crate::cell::dependencies::ReadError;
use crate::cell::peer::HandoverOffer;
use crate::cell::timings::APPEND_RETRY;
use crate::cell::watch::{Hold, SUCCESSORS};
use crate::peer;

/// Time within which an owner that does not answer must append to the journal to count as working.
const APPEND_WINDOW: Duration = Duration::from_millis(250);

/// Time for which an instance may not answer after it has claimed the cell.
const REPLAY_GRACE: Duration = Duration::from_millis(1_500);

/// State of an owner whose connection broke.
enum Probe {
    /// It answers as the owner, or prepares to own the cell.
    Answers,
    /// Its host accepts connections, but it does not answer.
    Unresponsive,
    /// The process is gone.
    Gone,
}

impl Election {
    /// Takes the cell over if the checks for `reason` show that it is necessary.
    pub(super) async fn take_over_if_needed(&mut self, reason: TakeoverReason) {
        if self.known_epoch() == Epoch(0) && !self.find_epoch(reason).await {
            return;
        }
        let known = self.known_epoch();
        if !self.wait_for_turn(reason).await {
            return;
        }
        let is_alive = match reason {
            TakeoverReason::Offered(owner) | TakeoverReason::Struggling(owner) => {
                self.is_recovered(owner).await
            }
            TakeoverReason::Silent(_) => self.is_owner_working().await,
            TakeoverReason::Gone(owner) => match self.probe(owner).await {
                Probe::Answers => true,
                Probe::Unresponsive => self.is_owner_working().await,
                Probe::Gone => false,
            },
            TakeoverReason::Unknown | TakeoverReason::Stalled(_) => false,
        };
        if is_alive {
            self.owner_unresponsive = false;
        }
        // An instance that has announced a newer epoch meanwhile is followed, not replaced.
        if !is_alive && self.known_epoch() == known && !self.node.stop.is_triggered() {
            self.claim(reason, known).await;
        }
    }

    /// Reads the last epoch from the owner record or, without one, from the journal; `false` if
    /// there is an owner to follow or the store does not answer.
    async fn find_epoch(&mut self, reason: TakeoverReason) -> bool {
        if let Ok(record @ Some(_)) = self.owner_record().await
            && self.try_follow_record(record, reason)
        {
            return false;
        }
        match self.read_unless_owned(Epoch(0)).await {
            ReplayResult::Complete => !self.try_follow_other(reason, Epoch(0)),
            ReplayResult::OwnerFound => false,
            ReplayResult::StoreUnavailable => {
                // Without the store no instance can take over; the owner may return.
                self.node.deps.clock.sleep(READ_RETRY_DELAY).await;
                false
            }
        }
    }

    /// Whether the journal names an owner other than the one to be replaced; follows it if so.
    fn try_follow_other(&self, reason: TakeoverReason, before: Epoch) -> bool {
        let state = &self.replay.state;
        let Some(owner) = state.owner else { return false };
        let replaced = reason.replaced();
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

    /// Whether an owner that offered its cell no longer does.
    ///
    /// Guards against a change of owner right after an outage of the store. The owner that offered
    /// the cell retries its append every `APPEND_RETRY`, and then needs no successor.
    async fn is_recovered(&self, owner: SocketAddr) -> bool {
        self.node.deps.clock.sleep(APPEND_RETRY).await;
        let response = self.watch(owner, false).await;
        response
            .is_ok_and(|response| response.is_owner && response.offer == HandoverOffer::NotOffered)
    }

    /// Sends another watch request to an owner whose connection broke.
    ///
    /// Guards against instances that were cut off and whose connections were reset: after the cut
    /// they were the first to claim, from an owner that served all other instances.
    async fn probe(&self, owner: SocketAddr) -> Probe {
        match self.watch(owner, false).await {
            Ok(response) if response.is_owner || response.owner == Some(owner) => Probe::Answers,
            Err(error) if error.sent && error.step == peer::CallPhase::Timeout => {
                Probe::Unresponsive
            }
            _ => Probe::Gone,
        }
    }

    /// Whether an owner that does not answer is working nevertheless.
    ///
    /// Guards against repeated replacement of busy owners. Each new owner began with the same work
    /// and more, answered no requests in its first second, and was replaced in the next. This
    /// lasted as long as the site had work, and accepted jobs never ran.
    async fn is_owner_working(&self) -> bool {
        self.is_replaying() || self.is_owner_writing().await
    }

    /// Whether the instance that does not answer claimed the cell a moment ago. While it replays
    /// the journal, it does not append and may answer late.
    fn is_replaying(&self) -> bool {
        let now = self.node.deps.clock.now();
        let claimed = self.node.epoch_since(self.cell);
        claimed.is_some_and(|claimed| now.since(claimed) < REPLAY_GRACE)
    }

    /// Whether an owner that does not answer still appends to the journal, or the journal cannot be
    /// read.
    ///
    /// Guards against taking a cell from an owner that only this instance cannot reach.
    async fn is_owner_writing(&self) -> bool {
        let Some(seen) = self.journal_end(self.known_journal_end).await else { return true };
        self.node.deps.clock.sleep(self.append_window()).await;
        self.journal_end(seen).await.is_none_or(|end| end > seen)
    }

    /// Time within which a working owner appends. An owner with many followers has longer pieces of
    /// work.
    fn append_window(&self) -> Duration {
        APPEND_WINDOW + Hold::new(Some(SUCCESSORS), self.peers.len()).extension() * 2
    }

    /// Offset of the next append. The read starts at `near`, so that few records are transferred, or
    /// at the first record that the store has left.
    async fn journal_end(&self, near: u64) -> Option<u64> {
        let mut from = near;
        loop {
            match self.node.deps.journal.read(self.cell, from).await {
                Ok(page) => return Some(page.end_offset),
                Err(ReadError::Truncated { first_offset }) if first_offset > from => {
                    from = first_offset;
                }
                Err(cause) => {
                    let (cell, cause) = (self.cell, cause.to_string());
                    log::warn!("event=journal.unread cell={cell} cause={cause:?}");
                    return None;
                }
            }
        }
    }
}
