//! Limits and delays of the deduplication.

use std::time::Duration;

/// Number of streams over which the keys are partitioned.
///
/// It determines the stream of a key: instances with different values would use different streams
/// for the same key.
pub const PARTITIONS: u16 = 2;

/// Limits and delays of the deduplication at one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Average number of appends per second.
    pub appends_per_second: u32,
    /// Number of appends that an idle instance may make at once.
    pub burst: u32,
    /// How long an intent waits for other entries to share its append.
    pub linger: Duration,
    /// How long outcomes and withdrawals wait for an intent to share its append.
    pub outcome_delay: Duration,
    /// Maximum size of a batch in the log, in bytes.
    pub max_batch_bytes: usize,
    /// Maximum number of requests that wait for an append in one partition.
    pub max_waiting: usize,
    /// Maximum number of outcomes and withdrawals that wait for an append in one partition.
    pub max_pending_records: usize,
    /// How long after its append a batch may take to be read back from the log.
    pub confirm_timeout: Duration,
    /// Pause before the next call to the log after a failed call, or after a read that did not
    /// return the batch in flight.
    pub retry_pause: Duration,
    /// Timeout of a call to the log.
    pub call_timeout: Duration,
    /// Consecutive failed calls after which requests are refused at once.
    pub max_failures: u32,
    /// Age beyond which a key is refused.
    pub max_key_age: Duration,
    /// Minimum time for which the log keeps a record; zero if unknown.
    pub retention: Duration,
    /// Maximum difference between the clocks of callers and instances.
    pub max_clock_skew: Duration,
    /// Memory limit for the keys of one partition, in bytes.
    pub max_partition_bytes: usize,
    /// Maximum number of records, counted from the newest, in an instance's first read of a
    /// partition.
    pub max_initial_records: u64,
    /// Maximum number of withdrawn attempts that a partition keeps.
    pub max_withdrawn: usize,
    /// Maximum length of a response body that is recorded in full for retries, in bytes.
    pub max_response_bytes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            appends_per_second: 20,
            burst: 20,
            linger: Duration::from_millis(2),
            outcome_delay: Duration::from_millis(250),
            max_batch_bytes: 64 * 1024,
            max_waiting: 1024,
            max_pending_records: 4096,
            confirm_timeout: Duration::from_secs(1),
            retry_pause: Duration::from_millis(20),
            call_timeout: Duration::from_secs(1),
            max_failures: 3,
            max_key_age: Duration::from_secs(24 * 60 * 60),
            retention: Duration::ZERO,
            max_clock_skew: Duration::from_secs(2),
            max_partition_bytes: 4 * 1024 * 1024,
            max_initial_records: 20_000,
            max_withdrawn: 4096,
            max_response_bytes: 4096,
        }
    }
}
