//! Customers' shares: jobs that a customer submits beyond its rate yield to those of others.
//!
//! Pattern of load: one customer submits several times its usual while the workers are full. Without
//! shares its jobs and those of all others wait in one order, and everybody is late. Jobs within
//! their customer's rate go before the others; where capacity is free, all are served.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::Machine;
use crate::cell::customer::Name;
use crate::cell::job::{Id, Job};
use crate::clock::Unix;

/// Time over which a customer's rate is averaged: so much of it may arrive at once.
const WINDOW: Duration = Duration::from_secs(5);

/// Which jobs are beyond the rates of their customers.
#[derive(Debug, Default)]
pub(super) struct CustomerShares {
    buckets: HashMap<Name, Bucket>,
    /// Jobs that arrived while the bucket of their customer was empty.
    excess: BTreeSet<Id>,
}

/// Token bucket of a customer; each job takes one token.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Unix,
}

impl CustomerShares {
    /// Counts a job that was accepted at `at`, of a customer with this rate in jobs a second.
    fn admit(&mut self, job: Id, customer: &Name, rate: f64, at: Unix) {
        let full = (rate * WINDOW.as_secs_f64()).max(1.0);
        let bucket = self.buckets.entry(customer.clone());
        let bucket = bucket.or_insert(Bucket { tokens: full, filled: at });
        let elapsed = at.since(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(full);
        bucket.filled = bucket.filled.max(at);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
        } else {
            self.excess.insert(job);
        }
    }

    /// Whether a job is beyond the rate of its customer.
    pub(super) fn is_excess(&self, job: &Id) -> bool {
        self.excess.contains(job)
    }

    pub(super) fn forget(&mut self, job: &Id) {
        self.excess.remove(job);
    }
}

impl Machine {
    /// Counts a job for the rate of its customer.
    pub(super) fn count_for_share(&mut self, id: Id, job: &Job, at: Unix) {
        let Some(name) = &job.customer else { return };
        let Some(customer) = self.customer(Some(name)) else { return };
        let rate = customer.jobs_per_second;
        if rate > 0.0 {
            self.shares.admit(id, name, rate, at);
        }
    }

    /// Counts the jobs that earlier owners accepted, in the order of their arrival.
    pub(super) fn recover_shares(&mut self) {
        let entries = self.state.jobs.iter().filter(|(_, entry)| entry.job.customer.is_some());
        let mut jobs: Vec<_> =
            entries.map(|(id, entry)| (entry.accepted, *id, entry.job.clone())).collect();
        jobs.sort_by_key(|(accepted, id, _)| (*accepted, *id));
        self.shares = CustomerShares::default();
        for (accepted, id, job) in jobs {
            self.count_for_share(id, &job, accepted);
        }
    }
}
