//! Queues to which callers submit jobs, as defined by the operators' configuration.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::customer::{Customers, KeyDigest, Name};

/// The part of the operators' configuration that concerns jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueConfig {
    /// Rises with each change.
    pub version: u64,
    /// All queues.
    queues: Vec<Rc<Queue>>,
    /// All services.
    pub services: Vec<Service>,
    /// The site's customers; `None` for a site whose callers need no keys.
    pub customers: Option<Rc<Customers>>,
    by_name: HashMap<String, usize>,
    by_host: HashMap<String, HostQueues>,
}

/// The queues on one host, by path prefix.
#[derive(Clone, Debug, Default, PartialEq)]
struct HostQueues {
    /// Lengths of the prefixes, longest first.
    lengths: BTreeSet<Reverse<usize>>,
    by_prefix: HashMap<String, usize>,
}

/// Whether a caller may use a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may, for this customer; `None` without a customer.
    Granted(Option<Name>),
    /// It states no key and the queue requires one.
    KeyMissing,
    /// No customer has its key.
    KeyUnknown,
}

/// One queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Host name to which callers send requests.
    pub host: String,
    /// Prefix of the paths that belong to it.
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Number of failed attempts of one task after which its job fails.
    pub max_failures: u32,
    /// Target for the time of a job, as a multiple of its critical path.
    pub stretch: f64,
    /// Time that a job may take in addition to that, in milliseconds.
    pub target_ms: u64,
    /// Response times of the policy service, for queues whose workers it decides on.
    pub policy: Option<PolicyTiming>,
    /// Whether callers may use it without a key.
    pub anonymous: bool,
}

/// Response times and ticket validity of the policy service for a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyTiming {
    /// Base time of one answer, in milliseconds.
    pub decide_ms: f64,
    /// Additional time for each worker named in the query, in milliseconds.
    #[serde(rename = "each_ms")]
    pub per_worker_ms: f64,
    /// Validity of a ticket, in milliseconds.
    pub valid_ms: u64,
}

impl PolicyTiming {
    /// Time of one answer to a query about `workers` workers, in milliseconds.
    ///
    /// ```
    /// use oriolefork::cell::queue::PolicyTiming;
    /// let timing = PolicyTiming { decide_ms: 100.0, per_worker_ms: 2.0, valid_ms: 1_500 };
    /// assert_eq!(timing.time_ms(30), 160.0);
    /// ```
    pub fn time_ms(&self, workers: usize) -> f64 {
        self.decide_ms + self.per_worker_ms * workers as f64
    }
}

/// One service and its pool of workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its workers refuse tasks that exceed their free capacity.
    #[serde(rename = "guards")]
    pub enforces_capacity: bool,
}

impl QueueConfig {
    /// Creates a configuration of a site without customers.
    pub fn new(version: u64, queues: Vec<Rc<Queue>>, services: Vec<Service>) -> Self {
        let mut config = Self { version, services, ..Self::default() };
        for (at, queue) in queues.iter().enumerate() {
            config.by_name.entry(queue.name.clone()).or_insert(at);
            let host = config.by_host.entry(queue.host.to_ascii_lowercase()).or_default();
            host.lengths.insert(Reverse(queue.path_prefix.len()));
            host.by_prefix.insert(queue.path_prefix.clone(), at);
        }
        config.queues = queues;
        config
    }

    /// The configuration with these customers.
    #[must_use]
    pub fn with_customers(self, customers: Customers) -> Self {
        Self { customers: Some(Rc::new(customers)), ..self }
    }

    /// All queues.
    pub fn queues(&self) -> &[Rc<Queue>] {
        &self.queues
    }

    /// The queue on `host` with the longest prefix of `path`.
    ///
    /// ```
    /// use oriolefork::cell::queue::{Queue, QueueConfig};
    /// let queue = Queue { host: "a.example".into(), path_prefix: "/jobs/".into(), ..Default::default() };
    /// let config = QueueConfig::new(1, vec![queue.into()], vec![]);
    /// assert!(config.find("a.example", "/jobs/5c0e7a21d94b36f8").is_some());
    /// assert!(config.find("b.example", "/jobs/5c0e7a21d94b36f8").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = match self.by_host.get(host) {
            Some(host) => host,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let prefixes = host.lengths.iter().filter_map(|Reverse(length)| path.get(..*length));
        let found = prefixes.filter_map(|prefix| host.by_prefix.get(prefix)).next();
        found.map(|&at| &*self.queues[at])
    }

    /// Whether a caller that states `key` may use `queue`, and for which customer. A key that is
    /// stated has to be valid on an anonymous queue too.
    ///
    /// ```
    /// use oriolefork::cell::customer::{Customers, KeyDigest};
    /// use oriolefork::cell::queue::{Access, Queue, QueueConfig};
    /// let config = QueueConfig::new(1, vec![], vec![]);
    /// assert_eq!(config.access(&Queue::default(), None), Access::Granted(None));
    ///
    /// let config = config.with_customers(Customers::default());
    /// assert_eq!(config.access(&Queue::default(), None), Access::KeyMissing);
    /// let key = KeyDigest::of("unknown");
    /// assert_eq!(config.access(&Queue::default(), Some(&key)), Access::KeyUnknown);
    /// ```
    pub fn access(&self, queue: &Queue, key: Option<&KeyDigest>) -> Access {
        let Some(customers) = &self.customers else { return Access::Granted(None) };
        match key.map(|key| customers.with_key(key)) {
            Some(Some(customer)) => Access::Granted(Some(customer.name.clone())),
            Some(None) => Access::KeyUnknown,
            None if queue.anonymous => Access::Granted(None),
            None => Access::KeyMissing,
        }
    }

    /// Whether there is a service of that name.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|service| service.name == name)
    }

    /// The queue of that name.
    pub fn queue(&self, name: &str) -> Option<&Rc<Queue>> {
        self.by_name.get(name).map(|&at| &self.queues[at])
    }
}
