//! The list of workers and the configuration, as they change.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

use super::Machine;
use crate::cell::dependencies::{RosterUpdate, WorkerInfo};
use crate::cell::incarnation::WorkerIncarnation;
use crate::cell::queue::QueueConfig;
use crate::cell::record::WorkerId;
use crate::cell::worker::Worker;

impl Machine {
    pub(super) fn roster(&mut self, roster: RosterUpdate) {
        if roster.is_complete {
            let present: BTreeSet<&WorkerId> = roster.changed.iter().map(|(id, _)| id).collect();
            let missing: Vec<WorkerId> =
                self.workers.keys().filter(|id| !present.contains(id)).cloned().collect();
            missing.iter().for_each(|id| self.miss(id));
            self.dead.retain(|id| present.contains(id));
        }
        let mut any_new = false;
        for (id, listed) in roster.changed {
            any_new |= self.list(id, listed);
        }
        if any_new {
            self.reserve_inherited();
        }
        for entry in roster.removed {
            self.miss_lives(&entry);
        }
    }

    /// Takes in a worker's entry; `true` when the worker was not known.
    fn list(&mut self, id: WorkerId, listed: Rc<WorkerInfo>) -> bool {
        if self.dead.contains(&id) {
            return false;
        }
        if let Some(worker) = self.workers.get_mut(&id) {
            if worker.unlisted_since.take().is_some() || worker.info != listed {
                log::info!(
                    "event=worker.changed worker={id} draining={} capacity={:?} used={:?}",
                    listed.draining,
                    listed.capacity.to_string(),
                    worker.allocated.to_string()
                );
                self.dirty = true;
            }
            self.dirty |= !worker.is_capacity_current(self.timings.capacity_max_age, self.now);
            worker.info = listed;
            worker.info_at = self.now;
            return false;
        }
        log::info!(
            "event=worker.listed worker={id} address={} domain={} labels={} draining={}",
            listed.address,
            crate::logging::value(&listed.domain),
            crate::logging::value(&listed.labels.join(",")),
            listed.draining
        );
        if WorkerIncarnation::parse(&id).started_at_ms.is_some() {
            self.miss_lives(WorkerIncarnation::parse(&id).listed_name);
        }
        self.workers.insert(id.clone(), Worker::new(id, listed, self.timings.lease, self.now));
        true
    }

    /// Reserves room for the tries that an earlier owner placed, on workers that are new here.
    fn reserve_inherited(&mut self) {
        for run in std::mem::take(&mut self.unlisted) {
            let Some(live) = self.runs.get(&run) else { continue };
            match self.workers.get_mut(&live.worker) {
                Some(worker) => worker.allocate(run, &live.demand),
                None => {
                    self.unlisted.insert(run);
                }
            }
        }
    }

    /// The list no longer names any life of a worker that is known here.
    fn miss_lives(&mut self, entry: &str) {
        let lives: Vec<WorkerId> =
            lives_of(&self.workers, entry).map(|(id, _)| id.clone()).collect();
        lives.iter().for_each(|id| self.miss(id));
        self.dead.retain(|id| WorkerIncarnation::parse(id).listed_name != entry);
    }

    /// Absence from the list says little: entries lapse while the store is away. What runs there
    /// counts until its lease has surely run out.
    fn miss(&mut self, id: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.unlisted_since.is_none() {
            log::info!("event=worker.unlisted worker={id} tasks={}", worker.runs.len());
            worker.unlisted_since = Some(now);
        }
    }

    pub(super) fn configure(&mut self, table: Rc<QueueConfig>) {
        if table.version > self.table.version {
            log::info!("event=config.in_force version={}", table.version);
            self.table = table;
            self.workers.change_all();
            self.dirty = true;
        }
    }

    /// Forgets workers that are off the list and hold nothing any more.
    pub(super) fn drop_unlisted(&mut self) {
        let now = self.now;
        let over = |worker: &&Worker| {
            let gone = worker.unlisted_since.is_some_and(|since| {
                now.since(since) > crate::cell::timings::UNLISTED_AFTER && worker.missed_polls > 0
            });
            gone && worker.runs.is_empty()
        };
        let over: Vec<WorkerId> =
            self.workers.values().filter(over).map(|worker| worker.id.clone()).collect();
        for id in over {
            self.workers.remove(&id);
            self.forget_tickets(&id);
        }
    }

    /// Forgets what the policy service said of a life that is over.
    pub(super) fn forget_tickets(&mut self, worker: &str) {
        self.tickets.values_mut().for_each(|tickets| tickets.forget(worker));
    }
}

/// Workers by name, as far as they are lives of the one that the list names `entry`.
pub(super) fn lives_of<'a>(
    workers: &'a BTreeMap<WorkerId, Worker>,
    entry: &'a str,
) -> impl Iterator<Item = (&'a WorkerId, &'a Worker)> {
    workers
        .range::<str, _>((Bound::Included(entry), Bound::Unbounded))
        .take_while(move |(id, _)| id.starts_with(entry))
        .filter(move |(id, _)| WorkerIncarnation::parse(id).listed_name == entry)
}
