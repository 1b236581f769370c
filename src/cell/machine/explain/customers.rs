//! The report about customers.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::super::Machine;
use crate::cell::customer::Name;
use crate::cell::explain::{Customer as Row, CustomersReport};
use crate::clock::millis;
use crate::resource::{Amount, Limit};

/// Customers that are listed on their own.
pub(super) const MAX_CUSTOMERS: usize = 32;

impl Machine {
    pub(super) fn customers_report(&self) -> CustomersReport {
        let capacity = self.active_capacity();
        let (mut rows, mut rest) = self.customer_rows();
        rows.sort_by_cached_key(|row| {
            let share = (dominant_share(&row.used, &capacity) * 1e6) as u64;
            (Reverse(share), Reverse(row.waiting_jobs), row.name.clone())
        });
        let others = rows.split_off(rows.len().min(MAX_CUSTOMERS));
        others.iter().for_each(|row| rest.add(row));
        CustomersReport {
            customers: rows,
            others: others.len(),
            rest,
            capacity,
            configured: self.config.customers.is_some(),
            office: self.office(),
        }
    }

    /// A row for each customer that is configured or uses resources, and one for the jobs without a
    /// customer.
    fn customer_rows(&self) -> (Vec<Row>, Row) {
        let mut rows: HashMap<Name, Row> = HashMap::new();
        for customer in self.config.customers.iter().flat_map(|customers| customers.iter()) {
            let row = Row {
                configured: true,
                cap: customer.cap,
                jobs_per_second: customer.jobs_per_second,
                ..Row::default()
            };
            rows.insert(customer.name.clone(), row);
        }
        for name in self.usage.names() {
            rows.entry(name.clone()).or_default();
        }
        let mut rest = Row { name: "rest".to_owned(), ..Row::default() };
        for (id, entry) in self.state.open.iter().filter_map(|id| self.state.jobs.get_key_value(id))
        {
            let row = match &entry.job.customer {
                Some(name) => rows.entry(name.clone()).or_default(),
                None => &mut rest,
            };
            row.open_jobs += 1;
            row.excess_jobs += usize::from(self.shares.is_excess(id));
            if !entry.started {
                row.waiting_jobs += 1;
                let waited = millis(self.unix.since(entry.accepted));
                row.oldest_wait_ms = row.oldest_wait_ms.max(waited);
            }
        }
        let finish = |(name, mut row): (Name, Row)| {
            row.used = self.usage_of(&name);
            row.cap_used = row.configured.then(|| cap_share(&row.used, &row.cap)).flatten();
            row.share = self.share_use(&name);
            row.capped_steps = self.held_back.get(&name).map_or(0, |held| held.steps());
            if let Some(counts) = self.history.customers.get(&name) {
                (row.refused, row.on_time, row.late) =
                    (counts.refused, counts.on_time, counts.late);
            }
            row.name = name.to_string();
            row
        };
        (rows.into_iter().map(finish).collect(), rest)
    }
}

impl Row {
    /// Adds another customer to those that are reported together.
    fn add(&mut self, other: &Self) {
        self.used = self.used.saturating_add(&other.used);
        self.jobs_per_second += other.jobs_per_second;
        self.open_jobs += other.open_jobs;
        self.waiting_jobs += other.waiting_jobs;
        self.excess_jobs += other.excess_jobs;
        self.capped_steps += other.capped_steps;
        self.oldest_wait_ms = self.oldest_wait_ms.max(other.oldest_wait_ms);
        self.refused += other.refused;
        self.on_time += other.on_time;
        self.late += other.late;
    }
}

/// Largest share of `capacity` that is used in any dimension.
fn dominant_share(used: &Amount, capacity: &Amount) -> f64 {
    let share = |used: u64, capacity: u64| used as f64 / capacity.max(1) as f64;
    share(used.cpu_millis, capacity.cpu_millis)
        .max(share(used.memory_mib, capacity.memory_mib))
        .max(share(used.accelerators, capacity.accelerators))
}

/// Largest share of a cap that is used in any dimension; `None` without a cap.
fn cap_share(used: &Amount, cap: &Limit) -> Option<f64> {
    let share = |used: u64, cap: Option<u64>| cap.map(|cap| used as f64 / cap.max(1) as f64);
    let shares = [
        share(used.cpu_millis, cap.cpu_millis),
        share(used.memory_mib, cap.memory_mib),
        share(used.accelerators, cap.accelerators),
    ];
    shares.into_iter().flatten().reduce(f64::max)
}
