//! View of an instance of each cell.

use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use crate::cell::owner::OwnerHandle;
use crate::cell::{Epoch, Id};
use crate::clock::Instant;
use crate::shutdown::Shutdown;

/// State of one cell, as known to the instance.
#[derive(Default)]
pub(super) struct CellView {
    pub(super) owner: Option<SocketAddr>,
    /// Latest known epoch.
    pub(super) epoch: Epoch,
    /// Time at which that epoch became known.
    epoch_since: Option<Instant>,
    pub(super) owner_handle: Option<OwnerHandle>,
    /// Time of the latest contact with the owner.
    pub(super) owner_heard_at: Option<Instant>,
    /// Time of the latest contact with an owner that reaches the store.
    pub(super) serving_owner_heard_at: Option<Instant>,
    /// Triggered while this instance owns the cell and the store answers slowly or not at all.
    pub(super) handover_due: Shutdown,
    /// Present while this instance has claimed the cell and replays its journal; triggered at the
    /// end.
    takeover: Option<Shutdown>,
}

impl Node {
    /// The owner of a cell, if known.
    pub fn owner(&self, cell: Id) -> Option<SocketAddr> {
        self.views.borrow().get(&cell).and_then(|view| view.owner)
    }

    /// Handle to the cell's owner, if that is this instance.
    pub fn owner_handle(&self, cell: Id) -> Option<OwnerHandle> {
        self.views.borrow().get(&cell).and_then(|view| view.owner_handle.clone())
    }

    pub(in crate::cell) fn set_owner(&self, cell: Id, owner: Option<SocketAddr>) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            if view.owner != owner {
                let name = owner.map_or_else(|| "none".to_owned(), |owner| owner.to_string());
                log::info!("event=owner.known cell={cell} owner={name}");
            }
            view.owner = owner;
        }
    }

    pub(in crate::cell) fn set_owner_handle(&self, cell: Id, handle: Option<OwnerHandle>) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner = handle.as_ref().map(|_| self.me);
            view.owner_handle = handle;
        }
        self.end_takeover(cell);
    }

    /// Records that this instance has claimed the cell and will own it after the replay.
    pub(in crate::cell) fn begin_takeover(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner = Some(self.me);
            view.takeover = Some(Shutdown::new());
        }
        self.note_owner_heard(cell);
    }

    /// Records that this instance owns the cell, or will not own it.
    pub(in crate::cell) fn end_takeover(&self, cell: Id) {
        let mut views = self.views.borrow_mut();
        let Some(view) = views.get_mut(&cell) else { return };
        let Some(takeover) = view.takeover.take() else { return };
        takeover.trigger();
        if view.owner_handle.is_none() && view.owner == Some(self.me) {
            view.owner = None;
        }
    }

    /// Waits, for `limit` at most, while this instance prepares to own the cell.
    pub(super) async fn wait_for_takeover(&self, cell: Id, limit: Duration) {
        let takeover = self.views.borrow().get(&cell).and_then(|view| view.takeover.clone());
        if let Some(takeover) = takeover {
            let _ = monoio::time::timeout(limit, takeover.wait()).await;
        }
    }

    /// Records a contact with an owner that reaches the store.
    pub(in crate::cell) fn note_serving_owner(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.serving_owner_heard_at = Some(self.deps.clock.now());
        }
    }

    /// Time of this instance's latest contact with the cell's owner.
    pub(in crate::cell) fn owner_heard_at(&self, cell: Id) -> Option<Instant> {
        self.views.borrow().get(&cell).and_then(|view| view.owner_heard_at)
    }

    pub(in crate::cell) fn note_owner_heard(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner_heard_at = Some(self.deps.clock.now());
        }
    }

    /// Latest known epoch of the cell.
    pub(in crate::cell) fn epoch(&self, cell: Id) -> Epoch {
        self.views.borrow().get(&cell).map_or(Epoch(0), |view| view.epoch)
    }

    /// Time at which the latest epoch became known.
    pub(in crate::cell) fn epoch_since(&self, cell: Id) -> Option<Instant> {
        self.views.borrow().get(&cell).and_then(|view| view.epoch_since)
    }

    pub(in crate::cell) fn note_epoch(&self, cell: Id, epoch: Epoch) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell)
            && epoch > view.epoch
        {
            view.epoch = epoch;
            view.epoch_since = Some(self.deps.clock.now());
        }
    }
}
