//! Timeouts and intervals of the owner.

use std::time::Duration;

use crate::store::Offset;

/// Timeouts and intervals of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Interval of the owner's heartbeats to the instances of its domain.
    pub heartbeat_interval: Duration,
    /// Silence after which an instance claims the domain; later ranks wait longer.
    pub claim: Duration,
    /// Lease that each exchange grants to the tasks of a worker.
    pub lease: Duration,
    /// Added to lapsed leases for clocks and transit.
    pub margin: Duration,
    /// Longest time a worker holds an exchange back while it has nothing new.
    pub watch: Duration,
    /// First pause before an unreachable worker is tried again.
    pub probe_min: Duration,
    /// Longest pause before an unreachable worker is tried again.
    pub probe_max: Duration,
    /// Shortest interval between two appends.
    pub commit: Duration,
    /// How long a read of the log waits for a record.
    pub follow: Duration,
    /// Interval at which an owner that appends nothing looks for a rival's claim.
    pub check: Duration,
    /// First pause before a task that failed is placed again.
    pub retry_min: Duration,
    /// Longest pause before a task that failed is placed again.
    pub retry_max: Duration,
    /// Records after which a job is stated anew.
    pub restate_records: Offset,
    /// Age after which a job is stated anew.
    pub restate_age: Duration,
    /// How long an ended job is remembered.
    pub history: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(400),
            claim: Duration::from_millis(1_600),
            lease: Duration::from_secs(10),
            margin: Duration::from_secs(2),
            watch: Duration::from_secs(3),
            probe_min: Duration::from_millis(100),
            probe_max: Duration::from_secs(3),
            commit: Duration::from_millis(20),
            follow: Duration::from_secs(5),
            check: Duration::from_secs(2),
            retry_min: Duration::from_secs(1),
            retry_max: Duration::from_secs(60),
            restate_records: 2_000,
            restate_age: Duration::from_secs(3_600),
            history: Duration::from_secs(3_600),
        }
    }
}
