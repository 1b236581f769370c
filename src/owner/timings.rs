//! Timeouts and intervals of the owner.

use std::time::Duration;

use crate::store::Offset;

/// Timeouts and intervals of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Interval between the owner's heartbeats to the other instances of its domain.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat or record of the owner after which the first-ranked instance claims
    /// the domain; instances of a later rank wait longer.
    pub claim_timeout: Duration,
    /// Duration of the lease that each exchange grants to the tasks of a worker.
    pub lease: Duration,
    /// Added to a lease before it counts as expired, to allow for clock drift and network delay.
    pub lease_margin: Duration,
    /// Longest time a worker delays its answer to an exchange while it has no changes to report.
    pub exchange_wait: Duration,
    /// Base of the exponential pause before an unreachable worker is contacted again; the pause
    /// after the first failure is twice as long.
    pub probe_min: Duration,
    /// Upper limit of the pause before an unreachable worker is contacted again.
    pub probe_max: Duration,
    /// Minimum interval between two batches.
    pub commit_delay: Duration,
    /// How long a read at the end of the log waits for a new record.
    pub read_wait: Duration,
    /// Interval at which the owner reads the log for a rival's claim.
    pub rival_check_interval: Duration,
    /// Base of the exponential pause before a failed task is placed again.
    pub retry_min: Duration,
    /// Upper limit of the pause before a failed task is placed again.
    pub retry_max: Duration,
    /// A job is written as a whole again once its last snapshot is this many records old.
    pub snapshot_records: Offset,
    /// A job is written as a whole again once its last snapshot is this old.
    pub snapshot_age: Duration,
    /// How long an ended job stays in the table.
    pub ended_job_retention: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(400),
            claim_timeout: Duration::from_millis(1_600),
            lease: Duration::from_secs(10),
            lease_margin: Duration::from_secs(2),
            exchange_wait: Duration::from_secs(3),
            probe_min: Duration::from_millis(100),
            probe_max: Duration::from_secs(3),
            commit_delay: Duration::from_millis(20),
            read_wait: Duration::from_secs(5),
            rival_check_interval: Duration::from_secs(2),
            retry_min: Duration::from_secs(1),
            retry_max: Duration::from_secs(60),
            snapshot_records: 2_000,
            snapshot_age: Duration::from_secs(3_600),
            ended_job_retention: Duration::from_secs(3_600),
        }
    }
}
