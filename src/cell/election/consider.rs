//! Whether the owner is to be replaced, once it seems so.

use std::net::SocketAddr;
use std::time::Duration;

use super::motive::Motive;
use super::search::Found;
use super::{Election, READ_RETRY};
use crate::cell::Epoch;
use crate::cell::peer::Offer;
use crate::cell::timings::APPEND_RETRY;

/// Time in which an owner that nobody reaches must write something to count as alive.
const SILENT_OWNER: Duration = Duration::from_millis(250);

impl Election {
    /// Reads the journal and takes the cell over, where that is called for.
    pub(super) async fn consider(&mut self, motive: Motive) {
        let before = self.reading.state.epoch.max(self.node.epoch(self.cell));
        if !self.may_claim(motive).await {
            return;
        }
        match self.read_unless_owned(before).await {
            Found::Journal => {}
            Found::Owner => return,
            Found::Nothing => {
                // Without the store nobody can take over; the owner may come back.
                self.node.borders.clock.sleep(READ_RETRY).await;
                return;
            }
        }
        if self.follows_other(motive, before) {
            return;
        }
        let goes_on = match motive {
            Motive::Offered(owner) | Motive::Struggling(owner) => self.is_recovered(owner).await,
            Motive::Silent(_) => self.is_owner_writing().await,
            Motive::Unknown | Motive::Gone(_) => false,
        };
        if !goes_on && !self.node.stop.is_triggered() {
            self.claim(motive).await;
        }
    }

    /// Whether the journal names an owner other than the one to be replaced.
    fn follows_other(&self, motive: Motive, before: Epoch) -> bool {
        let state = &self.reading.state;
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
        self.node.borders.clock.sleep(APPEND_RETRY).await;
        let watched = self.watch(owner, false).await;
        watched.is_ok_and(|watched| watched.owns && watched.offer == Offer::Kept)
    }

    /// Whether an owner that does not answer still writes to the journal.
    ///
    /// Guards against taking a cell from an owner that only this instance cannot reach.
    async fn is_owner_writing(&mut self) -> bool {
        let seen = self.reading.next;
        self.node.borders.clock.sleep(SILENT_OWNER).await;
        self.read().await && self.reading.next > seen
    }
}
