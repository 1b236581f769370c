//! Changes of the worker list and of the configuration.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::rc::Rc;

use super::Machine;
use crate::cell::dependencies::{RosterUpdate, WorkerInfo};
use crate::cell::incarnation::WorkerIncarnation;
use crate::cell::queue::QueueConfig;
use crate::cell::record::WorkerId;
use crate::cell::worker::Worker;
use crate::clock::Instant;

impl Machine {
    pub(super) fn update_workers(&mut self, roster: RosterUpdate) {
        if roster.is_complete {
            let present: BTreeSet<&WorkerId> = roster.changed.iter().map(|(id, _)| id).collect();
            let missing: Vec<WorkerId> =
                self.workers.keys().filter(|id| !present.contains(id)).cloned().collect();
            missing.iter().for_each(|id| self.mark_unlisted(id));
            for id in self.inactive.retain_listed(&present) {
                self.forget_tickets(&id);
            }
            self.dead_workers.retain(|id| present.contains(id));
        }
        self.is_list_complete = !roster.has_more;
        let mut any_new = false;
        // The answer may have waited for the owner's thread.
        let info_at = roster.sent.unwrap_or(self.now);
        for (id, listed) in roster.changed {
            any_new |= self.add_listed(id, listed, info_at);
        }
        for entry in roster.removed {
            self.mark_incarnations_unlisted(&entry);
        }
        if any_new {
            self.activate_for_recovery();
            self.fill_active_workers();
            self.allocate_recovered();
        }
    }

    /// Adds or updates a worker's entry; returns `true` if the worker was not known.
    fn add_listed(&mut self, id: WorkerId, listed: Rc<WorkerInfo>, info_at: Instant) -> bool {
        if self.dead_workers.contains(&id) {
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
                self.needs_placement = true;
            }
            self.needs_placement |=
                !worker.is_capacity_current(self.timings.capacity_max_age, self.now);
            worker.info = listed;
            worker.info_at = info_at;
            return false;
        }
        if self.inactive.update(&id, &listed, info_at) {
            return false;
        }
        if WorkerIncarnation::parse(&id).started_at_ms.is_some() {
            self.mark_incarnations_unlisted(WorkerIncarnation::parse(&id).listed_name);
        }
        self.inactive.add_unpolled(id, listed, info_at);
        true
    }

    /// Allocates capacity to the attempts of earlier owners on workers that have just been listed.
    fn allocate_recovered(&mut self) {
        for run in std::mem::take(&mut self.unlisted_runs) {
            let Some(active) = self.runs.get(&run) else { continue };
            match self.workers.get_mut(&active.worker) {
                Some(worker) => {
                    worker.allocate(run, &active.demand);
                    if !worker.fenced && worker.poll_sent_at.is_none() {
                        // Polls that renew leases go before those of workers without runs.
                        worker.next_poll = Instant::default();
                    }
                }
                None => {
                    self.unlisted_runs.insert(run);
                }
            }
        }
    }

    /// Marks all incarnations of a worker that the list no longer names.
    fn mark_incarnations_unlisted(&mut self, entry: &str) {
        let incarnations: Vec<WorkerId> =
            incarnations_of(&self.workers, entry).map(|(id, _)| id.clone()).collect();
        incarnations.iter().for_each(|id| self.mark_unlisted(id));
        for id in self.inactive.incarnations(entry) {
            self.inactive.remove(&id);
            self.forget_tickets(&id);
        }
        self.dead_workers.retain(|id| WorkerIncarnation::parse(id).listed_name != entry);
    }

    /// Marks a worker as missing from the list. This alone does not mean that it is gone: entries
    /// expire while the store is unavailable. Its attempts count as running until its lease has
    /// certainly expired.
    fn mark_unlisted(&mut self, id: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.unlisted_since.is_none() {
            log::info!("event=worker.unlisted worker={id} tasks={}", worker.runs.len());
            worker.unlisted_since = Some(now);
        }
    }

    pub(super) fn configure(&mut self, config: Rc<QueueConfig>) {
        if config.version > self.config.version {
            log::info!("event=config.in_force version={}", config.version);
            let had_customers = std::mem::replace(&mut self.config, config).customers.is_some();
            if !had_customers {
                self.recover_shares();
            }
            self.forget_removed_queues();
            self.workers.mark_all_changed();
            self.needs_placement = true;
        }
    }

    /// Removes workers that are no longer listed, do not answer, and have no attempts.
    pub(super) fn remove_unlisted_workers(&mut self) {
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

    /// Drops the tickets for a worker incarnation that has ended.
    pub(super) fn forget_tickets(&mut self, worker: &str) {
        self.tickets.values_mut().for_each(|tickets| tickets.forget(worker));
    }
}

/// Returns the incarnations of the worker that the list names `entry`.
pub(super) fn incarnations_of<'a, T>(
    workers: &'a BTreeMap<WorkerId, T>,
    entry: &'a str,
) -> impl Iterator<Item = (&'a WorkerId, &'a T)> {
    workers
        .range::<str, _>((Bound::Included(entry), Bound::Unbounded))
        .take_while(move |(id, _)| id.starts_with(entry))
        .filter(move |(id, _)| WorkerIncarnation::parse(id).listed_name == entry)
}
