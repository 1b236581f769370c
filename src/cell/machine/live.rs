//! A try that is not known to be over.

use crate::cell::record::WorkerId;
use crate::clock::Instant;
use crate::resource::Amount;

/// How far a try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its placement is on its way to the journal.
    Recording,
    /// The order to start it has no answer yet.
    Starting {
        /// Whether an order is out.
        in_flight: bool,
    },
    /// Its worker said at that instant that it runs, or has run.
    Running(Instant),
    /// Placed by an earlier owner; its worker has not told of it yet.
    Recovered,
    /// It is to be stopped.
    Stopping {
        /// Whether an order is out.
        in_flight: bool,
        /// When the worker took the order.
        acknowledged: Option<Instant>,
    },
}

/// A try that is not known to be over.
#[derive(Clone, Debug)]
pub struct ActiveAttempt {
    /// Its worker.
    pub worker: WorkerId,
    /// Room it takes.
    pub demand: Amount,
    /// How far it is.
    pub stage: Stage,
    /// Orders to start that were sent.
    pub starts_sent: u32,
    /// Whether an order without an answer may have reached the worker.
    pub may_have_arrived: bool,
    /// Latest end of a lease that this owner's orders to start it named, on the worker's clock in
    /// milliseconds; zero before the first. The worker refuses these orders from then on.
    pub start_lease_end_ms: u64,
    /// Whether its worker has said that it runs.
    pub start_confirmed: bool,
    /// When the next order is due.
    pub next_command: Instant,
    /// When it was placed.
    pub since: Instant,
    /// Whether it is to be stopped as soon as possible.
    pub stop_requested: bool,
    /// Share of its work that is done, and when that last rose.
    pub progress: (u32, Instant),
}

impl ActiveAttempt {
    pub(super) fn new(worker: WorkerId, demand: Amount, stage: Stage, now: Instant) -> Self {
        Self {
            worker,
            demand,
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
