//! Queues to which callers submit jobs, as defined by the operators' configuration.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// The part of the operators' configuration that concerns jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Rises with each change.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Rc<Queue>>,
    /// All services.
    pub services: Vec<Service>,
}

/// One queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Host name to which callers send requests.
    pub host: String,
    /// Prefix of the paths that belong to it.
    #[serde(rename = "prefix")]
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Number of failed attempts of one task after which its job fails.
    #[serde(rename = "attempts")]
    pub max_failures: u32,
    /// Target for the time of a job, as a multiple of its critical path.
    pub stretch: f64,
    /// Time that a job may take in addition to that, in milliseconds.
    pub target_ms: u64,
    /// Response times of the policy service, for queues whose workers it decides on.
    #[serde(rename = "advice")]
    pub policy: Option<PolicyTiming>,
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
    /// The queue on `host` with the longest prefix of `path`.
    ///
    /// ```
    /// use oriolefork::cell::queue::{Queue, QueueConfig};
    /// let queue = Queue { host: "a.example".into(), path_prefix: "/jobs/".into(), ..Default::default() };
    /// let table = QueueConfig { version: 1, queues: vec![queue.into()], services: vec![] };
    /// assert!(table.find("a.example", "/jobs/5c0e7a21d94b36f8").is_some());
    /// assert!(table.find("b.example", "/jobs/5c0e7a21d94b36f8").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let matching = |queue: &&Rc<Queue>| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.path_prefix)
        };
        let found = self.queues.iter().filter(matching).max_by_key(|queue| queue.path_prefix.len());
        found.map(Rc::as_ref)
    }

    /// Whether there is a service of that name.
    pub fn has_service(&self, name: &str) -> bool {
        self.services.iter().any(|service| service.name == name)
    }

    /// The queue of that name.
    pub fn queue(&self, name: &str) -> Option<&Rc<Queue>> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
