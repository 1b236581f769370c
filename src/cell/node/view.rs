//! View of an instance of each cell.

use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use crate::cell::owner::OwnerHandle;
use crate::cell::watch::Hold;
use crate::cell::{Epoch, Id};
use crate::clock::Instant;
use crate::shutdown::Shutdown;

/// State of one cell, as known to the instance.
#[derive(Default)]
pub(super) struct CellView {
    pub(super) owner: Option<SocketAddr>,
    /// Triggered when another owner becomes known.
    owner_changed: Shutdown,
    /// Latest known epoch.
    pub(super) epoch: Epoch,
    /// Time at which that epoch became known.
    epoch_since: Option<Instant>,
    pub(super) owner_handle: Option<OwnerHandle>,
    /// Time by which the next response of the owner may come later than with the shortest hold.
    contact_extension: Duration,
    /// Time of the latest contact with the owner, moved forward by the extension at that time.
    pub(super) owner_heard_at: Option<Instant>,
    /// The same for an owner that reaches the store.
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
                std::mem::take(&mut view.owner_changed).trigger();
            }
            view.owner = owner;
        }
    }

    pub(in crate::cell) fn set_owner_handle(&self, cell: Id, handle: Option<OwnerHandle>) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner = handle.as_ref().map(|_| self.me);
            view.contact_extension = Duration::ZERO;
            view.owner_handle = handle;
        }
        self.end_takeover(cell);
    }

    /// Records that this instance has claimed the cell and will own it after the replay.
    pub(in crate::cell) fn begin_takeover(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.owner = Some(self.me);
            view.contact_extension = Duration::ZERO;
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

    /// Completes when an owner other than the present one becomes known.
    pub(in crate::cell) async fn until_owner_changes(&self, cell: Id) {
        let changed = self.views.borrow().get(&cell).map(|view| view.owner_changed.clone());
        match changed {
            Some(changed) => changed.wait().await,
            None => std::future::pending().await,
        }
    }

    /// Records the hold of the next watch request, during which the instance counts as in contact.
    pub(in crate::cell) fn set_watch_hold(&self, cell: Id, hold: Hold) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            view.contact_extension = hold.extension();
        }
    }

    /// Records a contact with an owner that reaches the store.
    pub(in crate::cell) fn note_serving_owner(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            let now = self.deps.clock.now();
            view.serving_owner_heard_at = Some(now.after(view.contact_extension));
        }
    }

    /// Time of this instance's latest contact with the cell's owner; now while an extended hold
    /// lasts.
    pub(in crate::cell) fn owner_heard_at(&self, cell: Id) -> Option<Instant> {
        let heard_at = self.views.borrow().get(&cell).and_then(|view| view.owner_heard_at);
        heard_at.map(|at| at.min(self.deps.clock.now()))
    }

    pub(in crate::cell) fn note_owner_heard(&self, cell: Id) {
        if let Some(view) = self.views.borrow_mut().get_mut(&cell) {
            let now = self.deps.clock.now();
            view.owner_heard_at = Some(now.after(view.contact_extension));
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
