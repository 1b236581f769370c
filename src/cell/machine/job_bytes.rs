//! Limit of the memory that open jobs and their runs take at the owner.
//!
//! Accepted jobs are kept until they end, so that callers who submit jobs without a pause would
//! exhaust the owner's memory, and that of each instance that takes over. Jobs beyond the limits are
//! refused; they are not accepted. What has been accepted grows with what happens to it: with its
//! runs, with the policy service's answers, and with the tasks whose states differ from those of
//! their neighbours. It is counted too, and runs beyond the limit wait.

use std::collections::HashMap;

use super::Machine;
use super::journal_queue::job_size;
use super::pending::{PendingStep, max_waiting_occurrences};
use crate::cell::customer::Name;
use crate::cell::job::{Job, Step};
use crate::cell::job_state::JobState;
use crate::cell::ticket::Tickets;
use crate::logging::Repeats;
use crate::telemetry::names;

/// Memory of an open job without its texts and steps, in bytes.
const JOB_BYTES: usize = 1_200;

/// Memory of a step as submitted, in bytes, without its texts.
const STEP_BYTES: usize = 256;

/// Memory of a step of an open occurrence, in bytes, with its entry in placement rounds.
const STEP_STATE_BYTES: usize = 544;

/// Memory of a run that has not ended, in bytes.
const RUN_BYTES: usize = 1_000;

/// Part of the limit up to which new jobs are accepted. The rest is left to runs and to what
/// accepted jobs grow by.
const ADMITTED_SHARE: (usize, usize) = (2, 3);

/// Part of a limit that any job may fill. The rest is left to small jobs of customers who hold
/// little, so that nobody's jobs turn away all those of others.
const COMMON_SHARE: (usize, usize) = (3, 4);

/// Part of a limit from which on a customer no longer holds little.
const MODEST_SHARE: (usize, usize) = (1, 4);

/// Size from which on a job counts as large, in bytes.
const LARGE_JOB_BYTES: usize = 16 * 1024;

/// Runs that an owner may have whatever its jobs take: accepted work ends, and leaves room, only if
/// it runs.
const MIN_RUNS: usize = 1_024;

/// Memory of open jobs and limits on it.
#[derive(Debug, Default)]
pub(super) struct JobBytes {
    /// Upper bound of their encoded size, in bytes.
    encoded: usize,
    /// What they take in memory, in bytes, without their runs.
    state: usize,
    /// The same by customer.
    by_customer: HashMap<Name, usize>,
    refused: Repeats,
}

impl Machine {
    /// Counts the open jobs anew, without those that have ended.
    pub(super) fn count_job_bytes(&mut self) {
        let mut count = std::mem::take(&mut self.job_bytes);
        count.clear();
        let open = self.state.open.iter().filter_map(|id| self.state.jobs.get(id));
        open.for_each(|entry| count.add(&entry.job, open_job_bytes(entry)));
        let delayed = self.delayed_jobs.iter().map(|(_, job)| job);
        delayed.for_each(|job| count.add(job, new_job_bytes(job)));
        count.state += self.tickets.values().map(Tickets::heap_bytes).sum::<usize>();
        self.job_bytes = count;
        names::CELL_JOB_BYTES.set(self.state_bytes() as f64, &[]);
        if self.free_runs() == 0 {
            let (runs, bytes) = (self.runs.len(), self.state_bytes());
            log::warn!("event=run.withheld cause=memory runs={runs} bytes={bytes}");
        }
    }

    /// Whether there is memory for one more job, which is counted then.
    pub(super) fn has_memory_for(&mut self, job: &Job) -> bool {
        let (encoded, state) = (job_size(job), new_job_bytes(job));
        let max_state = self.timings.max_state_bytes.map(|limit| part(limit, ADMITTED_SHARE));
        let held = job.customer.as_ref().map(|name| self.job_bytes.of_customer(name));
        let refusal = exceeded(self.job_bytes.encoded, encoded, held, self.timings.max_job_bytes)
            .or_else(|| exceeded(self.state_bytes(), state, held, max_state));
        let Some((bytes, limit)) = refusal else {
            self.job_bytes.add(job, state);
            return true;
        };
        if let Some(count) = self.job_bytes.refused.due() {
            log::warn!("event=job.refused cause=memory count={count} bytes={bytes} limit={limit}");
        }
        false
    }

    /// Number of the pending tasks of a step for whose runs there is memory: all or none of a gang.
    pub(super) fn runs_with_memory(&self, step: &PendingStep) -> usize {
        let (wanted, free) = (step.pending.len(), self.free_runs());
        if step.spec().gang && free < wanted { 0 } else { free.min(wanted) }
    }

    /// Number of further runs for which there is memory.
    fn free_runs(&self) -> usize {
        let Some(limit) = self.timings.max_state_bytes else { return usize::MAX };
        let runs = limit.saturating_sub(self.job_bytes.state) / RUN_BYTES;
        runs.max(MIN_RUNS).saturating_sub(self.runs.len())
    }

    /// What open jobs and their runs take, in bytes.
    fn state_bytes(&self) -> usize {
        self.job_bytes.state + self.runs.len() * RUN_BYTES
    }
}

impl JobBytes {
    fn clear(&mut self) {
        (self.encoded, self.state) = (0, 0);
        self.by_customer.clear();
    }

    fn add(&mut self, job: &Job, state: usize) {
        self.encoded += job_size(job);
        self.state += state;
        if let Some(name) = &job.customer {
            *self.by_customer.entry(name.clone()).or_default() += state;
        }
    }

    fn of_customer(&self, name: &Name) -> usize {
        self.by_customer.get(name).copied().unwrap_or_default()
    }
}

/// Returns the sum of `present` and `added` and the limit if the sum exceeds it. `held` is what the
/// customer's jobs take in memory.
fn exceeded(
    present: usize,
    added: usize,
    held: Option<usize>,
    limit: Option<usize>,
) -> Option<(usize, usize)> {
    let limit = limit?;
    let is_large = added >= LARGE_JOB_BYTES;
    let is_modest = held.is_none_or(|held| held <= part(limit, MODEST_SHARE));
    let limit = if is_large || !is_modest { part(limit, COMMON_SHARE) } else { limit };
    let total = present.saturating_add(added);
    (total > limit).then_some((total, limit))
}

const fn part(whole: usize, (numerator, denominator): (usize, usize)) -> usize {
    whole / denominator * numerator
}

/// What a new job takes as soon as all is open of it that may wait at once.
fn new_job_bytes(job: &Job) -> usize {
    let occurrences = max_waiting_occurrences(job).min(job.occurrences() as usize);
    fixed_bytes(job) + occurrences * occurrence_bytes(job)
}

/// What an open job takes, at least as much as when it was new.
fn open_job_bytes(entry: &JobState) -> usize {
    let grown = fixed_bytes(&entry.job)
        + entry.open.len() * occurrence_bytes(&entry.job)
        + entry.heap_bytes();
    grown.max(new_job_bytes(&entry.job))
}

/// What a job takes without its occurrences.
fn fixed_bytes(job: &Job) -> usize {
    let texts = job.payload.len() + job.queue.len();
    let steps = job.steps.iter().map(|step| STEP_BYTES + Step::heap_bytes(step));
    JOB_BYTES + texts + steps.sum::<usize>()
}

/// What an open occurrence takes of which nothing has begun.
fn occurrence_bytes(job: &Job) -> usize {
    job.steps.len() * STEP_STATE_BYTES
}
