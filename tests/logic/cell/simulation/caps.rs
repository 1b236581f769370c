//! Customers whose caps change, and the check that no start exceeds them.

use std::rc::Rc;

use oriolefork::cell::caller::Caller;
use oriolefork::cell::customer::{Customer, Customers, KeyDigest};
use oriolefork::cell::job::{Id, Run};
use oriolefork::cell::machine::Message;
use oriolefork::cell::queue::QueueConfig;
use oriolefork::resource::Limit;
use rand::Rng;

use super::policy::Policy;
use super::{Event, Simulation};
use crate::cell::model;

/// Names of the customers.
const CUSTOMERS: [&str; 3] = ["museum", "orchard", "plumber"];

/// Caps in cores, from one that holds a single task to one that holds many gangs.
const CAPS: std::ops::Range<u64> = 4..40;

/// Cap of every customer once the faults have ended.
const LAST_CAP: u64 = 60;

/// Time until every owner has a new configuration, in milliseconds.
const CONFIG_MS: u64 = 400;

/// Versions of the configuration: their caps, each with the time of its publication.
#[derive(Default)]
pub(super) struct Caps {
    versions: Vec<(u64, [u64; CUSTOMERS.len()])>,
}

impl Simulation {
    /// Whether the site has customers.
    pub(super) fn has_customers(&self) -> bool {
        self.faults.cap_ms > 0
    }

    /// The present configuration.
    pub(super) fn config(&self) -> Rc<QueueConfig> {
        let base = self.policy.as_ref().map_or_else(model::queue_config, Policy::config);
        let Some((_, caps)) = self.caps.versions.last() else { return base };
        let customer = |(name, cap): (&&str, &u64)| Customer {
            name: (**name).into(),
            keys: vec![KeyDigest::of(name)],
            jobs_per_second: 1.0,
            cap: Limit { cpu_millis: Some(cap * 1_000), ..Limit::UNLIMITED },
        };
        let customers = CUSTOMERS.iter().zip(caps).map(customer).collect();
        let mut config = (*base).clone();
        config.version += self.caps.versions.len() as u64;
        Rc::new(config.with_customers(Customers::new(customers).expect("valid customers")))
    }

    /// Publishes other caps.
    pub(super) fn change_caps(&mut self) {
        let caps = if self.faults_ended {
            [LAST_CAP; CUSTOMERS.len()]
        } else {
            std::array::from_fn(|_| self.rng.random_range(CAPS))
        };
        self.caps.versions.push((self.now, caps));
        let config = self.config();
        for owner in 0..self.owners.len() {
            let delay = self.rng.random_range(5..CONFIG_MS);
            let message = Message::ConfigChanged(config.clone());
            self.schedule(delay, Event::Owner { owner, message });
        }
    }

    /// The caller of a job, as an instance with the present configuration states it.
    pub(super) fn caller_of(&self, job: &Id) -> Caller {
        if !self.has_customers() {
            return Caller::default();
        }
        let name = CUSTOMERS[customer_of(job)];
        Caller {
            config_version: self.config().version,
            customer: Some(name.into()),
            key: Some(KeyDigest::of(name)),
            ..Caller::default()
        }
    }

    /// Checks that the runs of a customer stay below its cap with `run`, whose command was sent at
    /// `sent`. A task or a gang that is alone may go beyond it by one task.
    pub(super) fn check_cap(&self, run: Run, sent: u64) {
        if !self.has_customers() {
            return;
        }
        let customer = customer_of(&run.task.step.job);
        let runs = self.workers.values().flat_map(|upstream| &upstream.runs);
        let runs: Vec<_> =
            runs.filter(|(run, _)| customer_of(&run.task.step.job) == customer).collect();
        let used: u64 = runs.iter().map(|(_, demand)| demand.cpu_millis).sum();
        let is_alone = runs.iter().all(|(other, _)| is_same_start(other, &run));
        let limit = self.highest_cap(customer, sent) * 1_000;
        let own = self.jobs[&run.task.step.job].job.steps[run.task.step.step as usize].demand;
        let beyond = if is_alone { own.cpu_millis } else { 0 };
        assert!(
            used <= limit + beyond,
            "{}: {run}, sent at {sent}, raises the usage of {} to {used}, above {limit}",
            self.now,
            CUSTOMERS[customer]
        );
    }

    /// The present cap of a customer in thousandths of a core.
    pub(super) fn cap_millis(&self, customer: usize) -> u64 {
        self.caps.versions.last().map_or(u64::MAX, |(_, caps)| caps[customer] * 1_000)
    }

    /// The highest cap of a customer that may have been in force at an owner since `sent`.
    fn highest_cap(&self, customer: usize, sent: u64) -> u64 {
        let from = sent.saturating_sub(CONFIG_MS);
        let replaced_at =
            |at: usize| self.caps.versions.get(at + 1).map_or(u64::MAX, |next| next.0);
        let versions = self.caps.versions.iter().enumerate();
        let in_force = versions.filter(|(at, _)| replaced_at(*at) >= from);
        in_force.map(|(_, (_, caps))| caps[customer]).max().expect("a version")
    }
}

/// The number of the customer of a job.
pub(super) fn customer_of(job: &Id) -> usize {
    let digits = job.to_string();
    u64::from_str_radix(&digits, 16).expect("hexadecimal digits") as usize % CUSTOMERS.len()
}

/// Whether two runs are one task, or members of one start of a gang.
fn is_same_start(one: &Run, other: &Run) -> bool {
    one == other || (one.task.step == other.task.step && one.number == other.number)
}
