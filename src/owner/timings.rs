//! Timeouts and intervals of the owner.

use std::time::Duration;

use crate::store::Offset;

/// Timeouts and intervals of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Interval of the owner's heartbeats to the instances of its domain.
    pub heartbeat_interval: Duration,
    /// Silence after which an instance claims the domain; later ranks wait longer.
    pub claim_timeout: Duration,
    /// Lease that each exchange grants to the tasks of a worker.
    pub lease: Duration,
    /// Added to lapsed leases for clocks and transit.
    pub lease_margin: Duration,
    /// Longest time a worker holds an exchange back while it has nothing new.
    pub exchange_wait: Duration,
    /// First pause before an unreachable worker is tried again.
    pub probe_min: Duration,
    /// Longest pause before an unreachable worker is tried again.
    pub probe_max: Duration,
    /// Shortest interval between two appends.
    pub commit_delay: Duration,
    /// How long a read of the log waits for a record.
    pub read_wait: Duration,
    /// Interval at which an owner that appends nothing looks for a rival's claim.
    pub rival_check_interval: Duration,
    /// First pause before a task that failed is placed again.
    pub retry_min: Duration,
    /// Longest pause before a task that failed is placed again.
    pub retry_max: Duration,
    /// Records after which a job is stated anew.
    pub snapshot_records: Offset,
    /// Age after which a job is stated anew.
    pub snapshot_age: Duration,
    /// How long an ended job is remembered.
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
