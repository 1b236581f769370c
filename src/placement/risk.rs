//! Deadlines that are likely to be missed.

use std::time::Duration;

use derive_more::Display;

use super::allocation::Allocations;
use super::queue::{Queue, WaitingJob};
use crate::clock::{Instant, Unix, millis};
use crate::job;
use crate::task;

/// Time before its latest start from which on a waiting job is reported.
const REPORT_MARGIN: Duration = Duration::from_secs(60);

/// A deadline that is likely to be missed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("job {job} is expected to end at {} but is due at {}", expected.as_millis(), deadline.as_millis())]
pub struct DeadlineRisk {
    /// The job.
    pub job: job::Id,
    /// The running task that is likely to end late; `None` when tasks still wait.
    pub task: Option<task::Id>,
    /// The deadline.
    pub deadline: Unix,
    /// Expected end; of a waiting job, the end if it started now.
    pub expected: Unix,
}

/// Waiting jobs whose latest start is near or has passed.
pub(super) fn waiting_jobs(queue: &Queue, unix: Unix) -> impl Iterator<Item = DeadlineRisk> {
    queue
        .due_before(unix.after(REPORT_MARGIN))
        .filter_map(move |waiting| waiting_risk(waiting, unix))
}

/// Running tasks that are likely to end after their deadline.
pub(super) fn running_tasks(
    allocations: &Allocations,
    now: Instant,
    unix: Unix,
) -> impl Iterator<Item = DeadlineRisk> {
    allocations.with_deadline().filter_map(move |(task, deadline, allocation)| {
        let remaining = allocation.likely_end(now)?.since(now);
        let expected = unix.after(remaining);
        (expected > deadline).then_some(DeadlineRisk {
            job: task.job,
            task: Some(task),
            deadline,
            expected,
        })
    })
}

fn waiting_risk(waiting: &WaitingJob, unix: Unix) -> Option<DeadlineRisk> {
    let deadline = waiting.deadline?;
    let run = waiting.estimate.map_or(Duration::ZERO, |estimate| estimate.typical);
    let expected = Unix::from_millis(unix.as_millis().saturating_add(millis(run)));
    Some(DeadlineRisk { job: waiting.job, task: None, deadline, expected })
}
