//! What an instance knows of each cell.

use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use crate::cell::owner::OwnerHandle;
use crate::cell::{Epoch, Id};
use crate::clock::Instant;
use crate::shutdown::Shutdown;

/// What an instance knows of one cell.
#[derive(Default)]
pub(super) struct CellView {
    pub(super) owner: Option<SocketAddr>,
    /// Latest epoch whose owner was heard of.
    pub(super) epoch: Epoch,
    /// When that epoch was first heard of.
    epoch_since: Option<Instant>,
    pub(super) owner_handle: Option<OwnerHandle>,
    /// When the owner was last heard of.
    pub(super) owner_heard_at: Option<Instant>,
    /// When an owner was last heard of that reaches the store.
    pub(super) serving_owner_heard_at: Option<Instant>,
    /// Raised while this instance owns the cell and the store keeps it waiting.
    pub(super) handover_due: Shutdown,
    /// While this instance has claimed the cell and reads its journal; raised when that ends.
    takeover: Option<Shutdown>,
}

impl Node {
    /// The owner of a cell, as far as it is known.
    pub fn owner(&self, cell: Id) -> Option<SocketAddr> {
        self.views.borrow().get(&cell).and_then(|view| view.owner)
    }

    /// The way to the cell's owner when that is this instance.
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

    pub(in crate::cell) fn set_owner_handle(&self, cell: Id, owning: Option<OwnerHandle>) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner = owning.as_ref().map(|_| self.me);
            view.owner_handle = owning;
        }
        self.end_takeover(cell);
    }

    /// Notes that this instance has claimed the cell and is about to own it.
    pub(in crate::cell) fn begin_takeover(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner = Some(self.me);
            view.takeover = Some(Shutdown::new());
        }
        self.note_owner_heard(cell);
    }

    /// Notes that this instance owns the cell, or will not.
    pub(in crate::cell) fn end_takeover(&self, cell: Id) {
        let mut views = self.views.borrow_mut();
        let Some(view) = views.get_mut(&cell) else { return };
        let Some(preparing) = view.takeover.take() else { return };
        preparing.trigger();
        if view.owner_handle.is_none() && view.owner == Some(self.me) {
            view.owner = None;
        }
    }

    /// Waits, for `limit` at most, while this instance is about to own the cell.
    pub(super) async fn wait_for_takeover(&self, cell: Id, limit: Duration) {
        let preparing = self.views.borrow().get(&cell).and_then(|view| view.takeover.clone());
        if let Some(preparing) = preparing {
            let _ = monoio::time::timeout(limit, preparing.wait()).await;
        }
    }

    /// Notes that an owner was heard of that reaches the store.
    pub(in crate::cell) fn note_serving_owner(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.serving_owner_heard_at = Some(self.deps.clock.now());
        }
    }

    /// When this instance last heard of the cell's owner.
    pub(in crate::cell) fn owner_heard_at(&self, cell: Id) -> Option<Instant> {
        self.views.borrow().get(&cell).and_then(|view| view.owner_heard_at)
    }

    pub(in crate::cell) fn note_owner_heard(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner_heard_at = Some(self.deps.clock.now());
        }
    }

    /// Latest epoch whose owner was heard of.
    pub(in crate::cell) fn epoch(&self, cell: Id) -> Epoch {
        self.views.borrow().get(&cell).map_or(Epoch(0), |view| view.epoch)
    }

    /// When the latest epoch was first heard of.
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
