//! Limits and delays.

use std::time::Duration;

/// Number of streams that share the keys.
///
/// It is part of where a key's record lies: two instances with different numbers would not meet.
pub const PARTITIONS: u16 = 2;

/// Limits and delays of the intents of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Appends a second that the instance may make for intents, on average.
    pub appends_per_second: u32,
    /// Appends that a quiet instance may make at once.
    pub burst: u32,
    /// How long an intent waits for others to share its append.
    pub linger: Duration,
    /// How long outcomes wait for an intent to share its append.
    pub outcome_delay: Duration,
    /// Size of one record in the log.
    pub max_batch_bytes: usize,
    /// Requests that may wait for their append in one partition.
    pub max_waiting: usize,
    /// Outcomes and withdrawals that may wait for their append in one partition.
    pub max_pending_records: usize,
    /// How long a batch whose append was answered badly is looked for.
    pub confirm_timeout: Duration,
    /// Pause before the log is read or appended to again after it failed or had nothing new.
    pub retry_pause: Duration,
    /// How long one call to the log may take.
    pub call_timeout: Duration,
    /// Failed calls in a row after which requests are refused at once.
    pub max_failures: u32,
    /// Age beyond which a key is refused.
    pub max_key_age: Duration,
    /// Time for which the log surely keeps a record; zero when that is not known.
    pub retention: Duration,
    /// How far the clocks of callers and instances may lie apart.
    pub max_clock_skew: Duration,
    /// Memory for the keys of one partition.
    pub max_partition_bytes: usize,
    /// Newest records that an instance reads of a partition when it first needs it.
    pub max_initial_records: u64,
    /// Withdrawn attempts that a partition remembers.
    pub max_withdrawn: usize,
    /// Longest answer that is kept whole for retries.
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
