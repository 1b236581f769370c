//! Metrics by customer, queue, reason and rule, in the Prometheus text format.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::super::Machine;
use super::history::RefusalReason;
use crate::cell::explain::{Customer, CustomersReport};
use crate::clock::millis;
use crate::telemetry::{Gauge, names};

/// Queues with series of their own, those with the most waiting jobs.
const MAX_QUEUES: usize = 8;

/// Figures of a queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueFigures {
    waiting: usize,
    oldest_wait_ms: u64,
    on_time: u64,
    late: u64,
    run_time_error: Option<f64>,
}

impl Machine {
    /// Writes the metrics of the cell by customer, queue, reason and rule. The number of series is
    /// bounded, whatever the number of customers and queues.
    pub fn metrics(&self) -> String {
        let mut out = String::new();
        self.write_customers(&mut out);
        self.write_queues(&mut out);
        let refusals = RefusalReason::ALL.map(|reason| (reason.to_string(), reason));
        let refusals = refusals
            .iter()
            .map(|(name, reason)| (&**name, self.history.refusals[*reason as usize] as f64));
        names::CELL_REFUSED.write(&mut out, "reason", refusals);
        let returned = self.history.returned as f64;
        names::CELL_RETURNED.write(&mut out, "outcome", [("accepted", returned)]);
        self.write_passed_over(&mut out);
        let counts = |gauge: Gauge, label, counts: BTreeMap<String, usize>, out: &mut String| {
            gauge.write(out, label, counts.iter().map(|(name, count)| (&**name, *count as f64)));
        };
        counts(names::CELL_WORKER_CONDITION, "condition", self.condition_counts(), &mut out);
        counts(names::CELL_WORKER_SPEED, "speed", self.speed_counts(), &mut out);
        out
    }

    fn write_passed_over(&self, out: &mut String) {
        let by_rule = self.passed_over_by_rule();
        let by_rule = by_rule.map(|(rule, total)| (rule.to_string(), total));
        let steps = by_rule.iter().map(|(rule, total)| (&**rule, total.steps as f64));
        names::CELL_PASSED_OVER.write(out, "rule", steps);
        let longest = by_rule.iter().map(|(_, total)| total.longest).max().unwrap_or_default();
        names::CELL_PASSED_OVER_LONGEST.write(out, "rule", [("any", longest.as_secs_f64())]);
    }

    fn write_customers(&self, out: &mut String) {
        let CustomersReport { customers, rest, configured, .. } = self.customers_report();
        if !configured {
            return;
        }
        let rows = || customers.iter().chain([&rest]);
        let mut write = |gauge: Gauge, value: fn(&Customer) -> Option<f64>| {
            let samples = rows().filter_map(|row| Some((&*row.name, value(row)?)));
            gauge.write(out, "customer", samples);
        };
        write(names::CELL_CUSTOMER_CPU, |row| Some(row.used.cpu_millis as f64 / 1e3));
        write(names::CELL_CUSTOMER_CAP, |row| row.cap_used);
        write(names::CELL_CUSTOMER_SHARE, |row| row.share.map(|share| share.used));
        write(names::CELL_CUSTOMER_WAITING, |row| Some(row.waiting_jobs as f64));
        write(names::CELL_CUSTOMER_REFUSED, |row| Some(row.refused as f64));
        write(names::CELL_CUSTOMER_LATE, |row| Some(row.late as f64));
    }

    fn write_queues(&self, out: &mut String) {
        let queues = self.queue_figures();
        let mut write = |gauge: Gauge, value: fn(&QueueFigures) -> Option<f64>| {
            let samples = queues.iter().filter_map(|(name, row)| Some((&**name, value(row)?)));
            gauge.write(out, "queue", samples);
        };
        write(names::CELL_QUEUE_WAITING, |row| Some(row.waiting as f64));
        write(names::CELL_QUEUE_OLDEST_WAIT, |row| Some(row.oldest_wait_ms as f64 / 1e3));
        write(names::CELL_QUEUE_ON_TIME, |row| Some(row.on_time as f64));
        write(names::CELL_QUEUE_LATE, |row| Some(row.late as f64));
        write(names::CELL_QUEUE_RUN_TIME_ERROR, |row| row.run_time_error);
    }

    /// Figures of the queues with the most waiting jobs, and of the others together.
    fn queue_figures(&self) -> Vec<(String, QueueFigures)> {
        let mut queues: BTreeMap<&str, QueueFigures> = BTreeMap::new();
        for queue in self.config.queues() {
            queues.entry(&queue.name).or_default();
        }
        for entry in self.state.open.iter().filter_map(|id| self.state.jobs.get(id)) {
            let figures = queues.entry(&entry.job.queue).or_default();
            if !entry.started {
                figures.waiting += 1;
                let waited = millis(self.unix.since(entry.accepted));
                figures.oldest_wait_ms = figures.oldest_wait_ms.max(waited);
            }
        }
        for (name, figures) in &mut queues {
            let counts = self.history.queues.get(*name).copied().unwrap_or_default();
            (figures.on_time, figures.late) = (counts.on_time, counts.late);
            figures.run_time_error = self.run_time_error(name);
        }
        let mut queues: Vec<(String, QueueFigures)> =
            queues.into_iter().map(|(name, figures)| (name.to_owned(), figures)).collect();
        queues.sort_by_key(|(_, figures)| Reverse(figures.waiting));
        let others = queues.split_off(queues.len().min(MAX_QUEUES));
        if !others.is_empty() {
            let rest = others.iter().fold(QueueFigures::default(), |rest, (_, one)| QueueFigures {
                waiting: rest.waiting + one.waiting,
                oldest_wait_ms: rest.oldest_wait_ms.max(one.oldest_wait_ms),
                on_time: rest.on_time + one.on_time,
                late: rest.late + one.late,
                run_time_error: None,
            });
            queues.push(("rest".to_owned(), rest));
        }
        queues
    }
}
