//! Explanations for operators: why a job waits, what became of it, and what customers and workers
//! do. Computed from the owner's state when somebody asks; only the history of ended attempts and
//! refused calls is kept for it.
//!
//! | File | Contents |
//! |---|---|
//! | `job.rs` | the report about one job |
//! | `wait.rs`, `reason.rs` | why a step waits, and the names of the reasons |
//! | `passed_over.rs` | rules that pass over a step |
//! | `capacity.rs` | workers that could run a step, and when capacity becomes free |
//! | `customers.rs`, `workers.rs` | the reports about customers and workers |
//! | `metrics.rs` | metrics by customer, queue and reason |
//! | `history.rs` | what is remembered of ended attempts and refused calls |
//! | `figures.rs` | figures of optional parts |

mod capacity;
mod customers;
mod figures;
mod history;
mod job;
mod metrics;
mod passed_over;
mod reason;
mod wait;
mod workers;

pub(super) use history::{History, RefusalReason};

use super::Machine;
use crate::cell::explain::{Office, Reply, Subject};
use crate::clock::millis;

/// Jobs that are examined for a place in the order. With more open jobs, the place is a lower
/// bound; each takes about a microsecond.
const MAX_EXAMINED_JOBS: usize = 4_096;

/// Waiting steps from which on no further jobs are examined for a report: a job has up to 256.
const MAX_EXAMINED_STEPS: usize = 8_192;

impl Machine {
    /// Explains a subject. Takes at most a few milliseconds and has no effects.
    pub fn explain(&self, subject: Subject) -> Reply {
        let report = match subject {
            Subject::Job(job) => match self.job_report(job) {
                Some(report) => serde_json::to_string(&report),
                None => return Reply::UnknownJob,
            },
            Subject::Customers => serde_json::to_string(&self.customers_report()),
            Subject::Workers => serde_json::to_string(&self.workers_report()),
        };
        // The reports have text keys only, so that they always become JSON.
        Reply::Report(report.unwrap_or_default())
    }

    fn office(&self) -> Office {
        Office { epoch: self.epoch.0, age_ms: millis(self.now.since(self.claimed)) }
    }
}
