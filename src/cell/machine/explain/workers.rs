//! The report about workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::super::Machine;
use crate::cell::explain::{Worker as Row, WorkersReport};
use crate::cell::worker::Worker;
use crate::clock::millis;
use crate::resource::Amount;

/// Workers that are listed.
const MAX_WORKERS: usize = 64;

/// Speeds below and above which a report counts a worker as slow and fast. The classes in
/// `workers.speeds` are those of the fit.
const SLOW: f64 = 0.8;
const FAST: f64 = 1.25;

impl Machine {
    pub(super) fn workers_report(&self) -> WorkersReport {
        let mut report = WorkersReport {
            active: self.workers.len(),
            inactive: self.inactive.len(),
            office: self.office(),
            ..WorkersReport::default()
        };
        for worker in self.workers.values() {
            report.capacity = report.capacity.saturating_add(&worker.info.capacity);
            report.allocated = report.allocated.saturating_add(&worker.allocated);
        }
        report.conditions = self.condition_counts();
        report.speeds = self.speed_counts();
        let mut workers: Vec<&Worker> = self.workers.values().collect();
        let urgency = |worker: &&Worker| {
            let speed = self.learned_speed(&worker.id).unwrap_or(1.0);
            let has_condition = !self.conditions(worker).is_empty();
            (!has_condition, (speed.clamp(0.0, 1e6) * 1e3) as u64, Reverse(worker.failures.len()))
        };
        workers.sort_by_cached_key(urgency);
        report.others = workers.len().saturating_sub(MAX_WORKERS);
        report.workers =
            workers.into_iter().take(MAX_WORKERS).map(|worker| self.worker_row(worker)).collect();
        report
    }

    /// Number of workers by condition; `ok` counts those without any.
    pub(super) fn condition_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for worker in self.workers.values() {
            let conditions = self.conditions(worker);
            let conditions = if conditions.is_empty() { vec!["ok"] } else { conditions };
            for condition in conditions {
                *counts.entry(condition.to_owned()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Number of workers by learned speed.
    pub(super) fn speed_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for speed in self.workers.keys().filter_map(|id| self.learned_speed(id)) {
            let class = match speed {
                slow if slow < SLOW => "slow",
                fast if fast > FAST => "fast",
                _ => "mean",
            };
            *counts.entry(class.to_owned()).or_insert(0) += 1;
        }
        counts
    }

    /// Conditions of a worker that keep tasks off it or delay them; none for a healthy one.
    pub(super) fn conditions(&self, worker: &Worker) -> Vec<&'static str> {
        let known_for = self.timings.capacity_max_age;
        let is_quarantined = worker.quarantined_until.is_some_and(|until| self.now < until);
        let conditions = [
            (worker.info.draining, "draining"),
            (is_quarantined, "quarantined"),
            (worker.missed_polls > 0, "unresponsive"),
            (worker.refused_polls > 0, "connections_refused"),
            (worker.command_backoff.is_active(self.now), "commands_unanswered"),
            (worker.responsiveness.is_lossy(self.now), "lossy"),
            (worker.is_overcommitted(), "overcommitted"),
            (worker.unlisted_since.is_some(), "unlisted"),
            (!worker.fenced && worker.missed_polls == 0, "not_answered_yet"),
            (!worker.is_capacity_current(known_for, self.now), "outdated"),
        ];
        conditions.into_iter().filter(|(holds, _)| *holds).map(|(_, name)| name).collect()
    }

    fn worker_row(&self, worker: &Worker) -> Row {
        let until = worker.quarantined_until.filter(|until| self.now < *until);
        Row {
            name: worker.id.to_string(),
            rack: worker.info.rack.clone(),
            conditions: self.conditions(worker).into_iter().map(str::to_owned).collect(),
            speed: self.learned_speed(&worker.id),
            capacity: worker.info.capacity,
            allocated: worker.allocated,
            tasks: worker.runs.len(),
            failures: worker.failures.len(),
            silent_ms: worker.unresponsive_since.map(|since| self.age_ms(since)),
            quarantine_ms: until.map(|until| millis(until.since(self.now))),
            remaining_ms: worker.info.remaining_ms,
            list_age_ms: self.age_ms(worker.info_at),
        }
    }

    /// Capacity of the active workers.
    pub(super) fn active_capacity(&self) -> Amount {
        let capacities = self.workers.values().map(|worker| worker.info.capacity);
        capacities.fold(Amount::ZERO, |sum, capacity| sum.saturating_add(&capacity))
    }
}
