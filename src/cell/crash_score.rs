//! How much speaks for a task being what crashes the workers that start it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::job::RunOutcome;

/// What a crash adds that came as the task began there.
const AT_START: u32 = 2;

/// What a crash adds that came later: others that ran there are as suspect.
const LATER: u32 = 1;

/// From how much on the task is given up: after two crashes at its start, or up to four others. Each
/// further one takes all that runs on one more worker with it.
const PROVEN: u32 = 4;

/// What speaks for a task being what crashes the workers that start it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashScore(u32);

impl CrashScore {
    /// Notes how a try of the task ended. A task that lasts outlives many workers: what counts is only
    /// that they crash at its start, time after time.
    ///
    /// ```
    /// use oriolefork::cell::job::RunOutcome;
    /// use oriolefork::cell::crash_score::CrashScore;
    /// let mut suspicion = CrashScore::default();
    /// suspicion.note(RunOutcome::WorkerCrashedAtStart, false);
    /// assert!(suspicion.is_strong() && !suspicion.is_proven());
    /// suspicion.note(RunOutcome::WorkerCrashedAtStart, false);
    /// assert!(suspicion.is_proven());
    /// ```
    pub fn record(&mut self, end: RunOutcome, lasting: bool) {
        match end {
            RunOutcome::WorkerCrashedAtStart => self.0 = self.0.saturating_add(AT_START),
            RunOutcome::WorkerCrashed | RunOutcome::Succeeded | RunOutcome::Failed if lasting => {
                self.0 = 0
            }
            RunOutcome::WorkerCrashed => self.0 = self.0.saturating_add(LATER),
            _ => {}
        }
    }

    /// Whether enough speaks for it that the task begins apart from others: a crash at its start, or two
    /// others. One alone is what any task meets that was on the worker.
    pub const fn is_suspect(self) -> bool {
        self.0 >= AT_START
    }

    /// Whether the task is to be given up.
    pub const fn is_proven_cause(self) -> bool {
        self.0 >= PROVEN
    }
}
