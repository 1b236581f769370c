//! Limit of the memory that open jobs take at the owner.
//!
//! Accepted jobs are kept until they end, so that callers who submit large jobs without a pause
//! would exhaust the owner's memory. Jobs beyond the limit are refused; they are not accepted.

use super::Machine;
use super::journal_queue::job_size;
use crate::cell::job::Job;
use crate::logging::Repeats;

/// Size of the open jobs.
#[derive(Debug, Default)]
pub(super) struct JobBytes {
    /// Sum of their sizes, and of all jobs accepted since the last count.
    total: usize,
    refused: Repeats,
}

impl Machine {
    /// Counts the open jobs anew, without those that have ended.
    pub(super) fn count_job_bytes(&mut self) {
        let open = self.state.open.iter().filter_map(|id| self.state.jobs.get(id));
        let open: usize = open.map(|entry| job_size(&entry.job)).sum();
        let delayed: usize = self.delayed_jobs.iter().map(|(_, job)| job_size(job)).sum();
        self.job_bytes.total = open + delayed;
    }

    /// Whether there is memory for one more job, which is counted then.
    pub(super) fn has_memory_for(&mut self, job: &Job) -> bool {
        let total = self.job_bytes.total + job_size(job);
        let Some(limit) = self.timings.max_job_bytes.filter(|limit| total > *limit) else {
            self.job_bytes.total = total;
            return true;
        };
        if let Some(count) = self.job_bytes.refused.due() {
            log::warn!("event=job.refused cause=memory count={count} bytes={total} limit={limit}");
        }
        false
    }
}
