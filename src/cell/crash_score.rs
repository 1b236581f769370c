//! Evidence that a task crashes the workers on which it starts.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::job::RunOutcome;

/// Score of a crash at the start of the task.
const AT_START: u32 = 2;

/// Score of a later crash, for which other tasks on the worker are equally suspect.
const LATER: u32 = 1;

/// Score from which the job of the task fails: two crashes at its start, or up to four later ones.
/// Each further crash would end all runs on one more worker.
const THRESHOLD: u32 = 4;

/// Evidence that a task crashes the workers on which it starts.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashScore(u32);

impl CrashScore {
    /// Records how an attempt of the task ended. A long-running task outlives many workers, so only
    /// consecutive crashes at its start count.
    ///
    /// ```
    /// use oriolefork::cell::job::RunOutcome;
    /// use oriolefork::cell::crash_score::CrashScore;
    /// let mut score = CrashScore::default();
    /// score.record(RunOutcome::WorkerCrashedAtStart, false);
    /// assert!(score.is_suspect() && !score.is_proven_cause());
    /// score.record(RunOutcome::WorkerCrashedAtStart, false);
    /// assert!(score.is_proven_cause());
    /// ```
    pub fn record(&mut self, end: RunOutcome, long_running: bool) {
        match end {
            RunOutcome::WorkerCrashedAtStart => self.0 = self.0.saturating_add(AT_START),
            RunOutcome::WorkerCrashed | RunOutcome::Succeeded | RunOutcome::Failed
                if long_running =>
            {
                self.0 = 0
            }
            RunOutcome::WorkerCrashed => self.0 = self.0.saturating_add(LATER),
            _ => {}
        }
    }

    /// Whether the task should start apart from others: after one crash at its start, or two later
    /// ones. A single later crash affects every task on the worker.
    pub const fn is_suspect(self) -> bool {
        self.0 >= AT_START
    }

    /// Whether the task counts as the cause, so that it is not started again.
    pub const fn is_proven_cause(self) -> bool {
        self.0 >= THRESHOLD
    }
}
