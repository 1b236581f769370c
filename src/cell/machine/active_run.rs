//! Attempts of tasks that are not known to have ended.

use super::caps::Charge;
use crate::cell::record::WorkerId;
use crate::clock::Instant;
use crate::resource::Amount;

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its placement is being written to the journal.
    Recording,
    /// The start command has not been acknowledged.
    Starting {
        /// Whether a command has been sent and not answered.
        in_flight: bool,
    },
    /// Its worker reported at that instant that the attempt runs or has run.
    Running(Instant),
    /// Placed by an earlier owner and not yet reported by its worker.
    Recovered,
    /// The attempt is to be stopped.
    Stopping {
        /// Whether a command has been sent and not answered.
        in_flight: bool,
        /// When the worker acknowledged the command.
        acknowledged: Option<Instant>,
    },
}

/// An attempt that is not known to have ended.
#[derive(Clone, Debug)]
pub struct ActiveRun {
    /// Its worker.
    pub worker: WorkerId,
    /// Resources allocated to it.
    pub demand: Amount,
    /// What it counts for its customer's cap.
    pub(super) charge: Option<Charge>,
    /// Its state.
    pub stage: Stage,
    /// Start commands that have been sent.
    pub starts_sent: u32,
    /// Whether a start command that got no answer may have reached the worker.
    pub may_have_arrived: bool,
    /// Latest lease end named in this owner's start commands, in milliseconds on the worker's
    /// clock; zero before the first. The worker refuses these commands once that time has passed.
    pub start_lease_end_ms: u64,
    /// Whether its worker has reported that it runs.
    pub start_confirmed: bool,
    /// When the next command is due.
    pub next_command: Instant,
    /// When it was placed, its placement was stored, or its start was acknowledged, whichever came
    /// last.
    pub since: Instant,
    /// Whether it is to be stopped as soon as possible.
    pub stop_requested: bool,
    /// Percentage of its work that is done, and when that last changed.
    pub progress: (u32, Instant),
}

impl ActiveRun {
    pub(super) fn new(
        worker: WorkerId,
        demand: Amount,
        charge: Option<Charge>,
        stage: Stage,
        now: Instant,
    ) -> Self {
        Self {
            worker,
            demand,
            charge,
            stage,
            starts_sent: 0,
            may_have_arrived: false,
            start_lease_end_ms: 0,
            start_confirmed: false,
            next_command: now,
            since: now,
            stop_requested: false,
            progress: (0, now),
        }
    }
}
