//! Events about failing workers and jobs, for operators.

use std::time::Duration;

use derive_more::Display;

use crate::{job, worker};

/// A change in the health of a worker or a job.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum HealthEvent {
    /// A worker failed tasks of several distinct jobs and is quarantined.
    #[display(
        "worker {worker} failed tasks of distinct jobs; it gets no tasks for {}s",
        span.as_secs()
    )]
    Quarantined {
        /// The worker.
        worker: worker::Name,
        /// Length of the quarantine.
        span: Duration,
    },
    /// A quarantine ended; the worker gets one task at a time.
    #[display("quarantine of worker {worker} ended; it gets one task at a time")]
    Probation {
        /// The worker.
        worker: worker::Name,
    },
    /// A worker passed its probation and gets all kinds of tasks again.
    #[display("worker {worker} passed probation and gets all kinds of tasks again")]
    Restored {
        /// The worker.
        worker: worker::Name,
    },
    /// Jobs of this name failed on several distinct workers, so the job is at fault.
    #[display("job {job} ({team}/{name}) failed on several workers")]
    FailsEverywhere {
        /// The job that failed last.
        job: job::Id,
        /// Its team.
        team: String,
        /// Its name.
        name: String,
    },
}
