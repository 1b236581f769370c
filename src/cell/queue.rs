//! Queues that callers hand jobs to, as the operators' configuration defines them.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// The operators' configuration, as far as jobs are concerned.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QueueConfig {
    /// Rises with each change.
    pub version: u64,
    /// Every queue.
    pub queues: Vec<Rc<Queue>>,
    /// Every service.
    pub services: Vec<Service>,
}

/// One queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Start of the paths that belong to it.
    #[serde(rename = "prefix")]
    pub path_prefix: String,
    /// Service whose workers run its tasks.
    pub service: String,
    /// Zero goes first.
    pub priority: u32,
    /// Failed tries of a task after which its job has failed.
    #[serde(rename = "attempts")]
    pub max_failures: u32,
    /// Multiple of the longest chain of work within which a job should end.
    pub stretch: f64,
    /// Time that a job may take beyond that, in milliseconds.
    pub target_ms: u64,
    /// The policy service's terms, where it decides which workers may run a step.
    #[serde(rename = "advice")]
    pub policy: Option<PolicyTiming>,
}

/// How the policy service answers for a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyTiming {
    /// Time of one answer, in milliseconds.
    pub decide_ms: f64,
    /// Time more for each worker named, in milliseconds.
    #[serde(rename = "each_ms")]
    pub per_worker_ms: f64,
    /// How long a ticket holds, in milliseconds.
    pub valid_ms: u64,
}

impl PolicyTiming {
    /// Time of one answer about `workers` workers, in milliseconds.
    ///
    /// ```
    /// use oriolefork::cell::queue::PolicyTiming;
    /// let advice = PolicyTiming { decide_ms: 100.0, each_ms: 2.0, valid_ms: 1_500 };
    /// assert_eq!(advice.time_ms(30), 160.0);
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
    /// Whether its workers refuse what does not fit.
    #[serde(rename = "guards")]
    pub enforces_capacity: bool,
}

impl QueueConfig {
    /// The queue with the longest prefix that `path` begins with, on `host`.
    ///
    /// ```
    /// use oriolefork::cell::queue::{Queue, QueueConfig};
    /// let queue = Queue { host: "a.example".into(), prefix: "/jobs/".into(), ..Default::default() };
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
