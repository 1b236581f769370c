//! Deadlines that are likely to be missed.

use std::time::Duration;

use derive_more::Display;

use super::ledger::Ledger;
use super::queue::{Queue, Waiting};
use crate::clock::{Instant, Unix, millis};
use crate::job;
use crate::task;

/// How long before its latest start a waiting job is reported.
const MARGIN: Duration = Duration::from_secs(60);

/// A deadline at risk.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("job {job} is expected to end at {} but is due at {}", expected.as_millis(), deadline.as_millis())]
pub struct DeadlineRisk {
    /// The job.
    pub job: job::Id,
    /// The running task that is likely to end late; `None` when tasks still wait.
    pub task: Option<task::Id>,
    /// The time it was to meet.
    pub deadline: Unix,
    /// When it is expected to end, waiting jobs as if they started now.
    pub expected: Unix,
}

/// Waiting jobs that must start now to end in time.
pub(super) fn waiting(queue: &Queue, unix: Unix) -> impl Iterator<Item = DeadlineRisk> {
    queue.due_before(unix.after(MARGIN)).filter_map(move |waiting| late(waiting, unix))
}

/// Running tasks that are likely to end after their deadline.
pub(super) fn running(
    ledger: &Ledger,
    now: Instant,
    unix: Unix,
) -> impl Iterator<Item = DeadlineRisk> {
    ledger.dated().filter_map(move |(task, deadline, running)| {
        let left = running.likely_end(now)?.since(now);
        let expected = unix.after(left);
        (expected > deadline).then_some(DeadlineRisk {
            job: task.job,
            task: Some(task),
            deadline,
            expected,
        })
    })
}

fn late(waiting: &Waiting, unix: Unix) -> Option<DeadlineRisk> {
    let deadline = waiting.deadline?;
    let run = waiting.estimate.map_or(Duration::ZERO, |estimate| estimate.typical);
    let expected = Unix::from_millis(unix.as_millis().saturating_add(millis(run)));
    Some(DeadlineRisk { job: waiting.job, task: None, deadline, expected })
}
