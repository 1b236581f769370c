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
    pub batch_bytes: usize,
    /// Requests that may wait for their append in one partition.
    pub waiting: usize,
    /// Outcomes and withdrawals that may wait for their append in one partition.
    pub owed: usize,
    /// How long a batch whose append was answered badly is looked for.
    pub settle: Duration,
    /// Pause before the log is read or appended to again after it failed or had nothing new.
    pub pause: Duration,
    /// How long one call to the log may take.
    pub call_timeout: Duration,
    /// Failed calls in a row after which requests are refused at once.
    pub failures: u32,
    /// Age beyond which a key is refused.
    pub window: Duration,
    /// Time for which the log surely keeps a record; zero when that is not known.
    pub retention: Duration,
    /// How far the clocks of callers and instances may lie apart.
    pub skew: Duration,
    /// Memory for the keys of one partition.
    pub partition_bytes: usize,
    /// Newest records that an instance reads of a partition when it first needs it.
    pub cold_records: u64,
    /// Withdrawn attempts that a partition remembers.
    pub withdrawn: usize,
    /// Longest answer that is kept whole for retries.
    pub answer_bytes: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            appends_per_second: 20,
            burst: 20,
            linger: Duration::from_millis(2),
            outcome_delay: Duration::from_millis(250),
            batch_bytes: 64 * 1024,
            waiting: 1024,
            owed: 4096,
            settle: Duration::from_secs(1),
            pause: Duration::from_millis(20),
            call_timeout: Duration::from_secs(1),
            failures: 3,
            window: Duration::from_secs(24 * 60 * 60),
            retention: Duration::ZERO,
            skew: Duration::from_secs(2),
            partition_bytes: 4 * 1024 * 1024,
            cold_records: 20_000,
            withdrawn: 4096,
            answer_bytes: 4096,
        }
    }
}
