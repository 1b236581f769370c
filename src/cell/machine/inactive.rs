//! Listed workers that the owner does not poll, in the order in which they would be activated.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::roster::incarnations_of;
use crate::cell::dependencies::WorkerInfo;
use crate::cell::record::WorkerId;
use crate::clock::Instant;

/// Position of a worker in the order of activation. Workers that this owner has not polled come
/// first, whole racks together, then those that have been inactive longest.
type Position = (Option<Instant>, u64);

/// A listed worker that is not polled.
#[derive(Clone, Debug)]
pub(super) struct InactiveWorker {
    /// Its entry in the list.
    pub(super) info: Rc<WorkerInfo>,
    /// Time of the list's latest information about it.
    pub(super) info_at: Instant,
    position: Position,
}

/// Listed workers that are not polled.
#[derive(Debug, Default)]
pub(super) struct InactiveWorkers {
    workers: BTreeMap<WorkerId, InactiveWorker>,
    order: BTreeSet<(Position, WorkerId)>,
}

impl InactiveWorkers {
    pub(super) fn len(&self) -> usize {
        self.workers.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Adds a worker that this owner has not polled.
    pub(super) fn add_unpolled(&mut self, id: WorkerId, info: Rc<WorkerInfo>, info_at: Instant) {
        let rack = info.rack.as_deref().unwrap_or(&info.domain);
        let position = (None, xxhash_rust::xxh3::xxh3_64(rack.as_bytes()));
        self.insert(id, InactiveWorker { info, info_at, position });
    }

    /// Adds a worker that is not polled any more from `since` on.
    pub(super) fn add_polled(
        &mut self,
        id: WorkerId,
        info: Rc<WorkerInfo>,
        info_at: Instant,
        since: Instant,
    ) {
        self.insert(id, InactiveWorker { info, info_at, position: (Some(since), 0) });
    }

    fn insert(&mut self, id: WorkerId, worker: InactiveWorker) {
        self.order.insert((worker.position, id.clone()));
        self.workers.insert(id, worker);
    }

    /// Updates the entry of a worker; returns `false` if the worker is not inactive.
    pub(super) fn update(
        &mut self,
        id: &WorkerId,
        info: &Rc<WorkerInfo>,
        info_at: Instant,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        worker.info = info.clone();
        worker.info_at = info_at;
        true
    }

    pub(super) fn remove(&mut self, id: &WorkerId) -> Option<InactiveWorker> {
        let worker = self.workers.remove(id)?;
        self.order.remove(&(worker.position, id.clone()));
        Some(worker)
    }

    /// Removes all workers but those in `listed`, and returns them.
    pub(super) fn retain_listed(&mut self, listed: &BTreeSet<&WorkerId>) -> Vec<WorkerId> {
        let unlisted = self.workers.keys().filter(|id| !listed.contains(id));
        let unlisted: Vec<WorkerId> = unlisted.cloned().collect();
        for id in &unlisted {
            self.remove(id);
        }
        unlisted
    }

    /// Returns all incarnations of the worker that the list names `entry`.
    pub(super) fn incarnations(&self, entry: &str) -> Vec<WorkerId> {
        incarnations_of(&self.workers, entry).map(|(id, _)| id.clone()).collect()
    }

    /// Workers in the order of activation.
    pub(super) fn in_order(&self) -> impl Iterator<Item = (&WorkerId, &WorkerInfo)> {
        self.order.iter().map(|(_, id)| (id, &*self.workers[id].info))
    }
}
