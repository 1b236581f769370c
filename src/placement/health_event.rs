//! What placement finds out that a person should see.

use std::time::Duration;

use derive_more::Display;

use crate::{job, worker};

/// A finding about a worker or a job.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum HealthEvent {
    /// A worker fails the tasks of distinct jobs and takes no work for a while.
    #[display("worker {worker} fails distinct jobs; it takes no work for {}s", span.as_secs())]
    Quarantined {
        /// The worker.
        worker: worker::Name,
        /// How long it takes no work.
        span: Duration,
    },
    /// A quarantined worker is tried with one task at a time.
    #[display("worker {worker} is tried again with one task at a time")]
    Probation {
        /// The worker.
        worker: worker::Name,
    },
    /// A worker has passed its probation.
    #[display("worker {worker} takes all work again")]
    Restored {
        /// The worker.
        worker: worker::Name,
    },
    /// A job name fails on distinct workers; the fault is the job's.
    #[display("job {job} ({team}/{name}) fails on every worker it is tried on")]
    FailsEverywhere {
        /// The job that failed last.
        job: job::Id,
        /// Its team.
        team: String,
        /// Its name.
        name: String,
    },
}
