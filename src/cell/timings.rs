//! Timeouts, intervals and limits of a cell. The table in docs/design/platform.md names the
//! measurement behind each value.

use std::time::Duration;

use super::features::Features;

/// Durations and limits that a site's platform sets, converted from its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Time for which an ended job is retained.
    pub status_retention: Duration,
    /// How long the store keeps the records of a journal.
    pub retention: Retention,
    /// Time that the process has for its shutdown.
    pub stop_grace: Duration,
    /// Lease granted with each poll of a worker.
    pub lease: Duration,
    /// Maximum number of workers that an owner polls while nothing needs more of them; `None` for
    /// no limit.
    pub max_active_workers: Option<usize>,
    /// Maximum age of a worker's entry in the list for its capacity to count as current; `None`
    /// where the list reports each change at once.
    pub capacity_max_age: Option<Duration>,
    /// Maximum encoded size of all open jobs, in bytes; `None` for no limit. Further jobs are
    /// refused.
    pub max_job_bytes: Option<usize>,
    /// Maximum memory of the states of all open jobs and of their runs, in bytes; `None` for no
    /// limit. Further jobs are refused, and further runs wait.
    pub max_state_bytes: Option<usize>,
    /// Optional parts of the owner's decisions.
    pub features: Features,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            status_retention: Duration::from_secs(120),
            retention: Retention::default(),
            stop_grace: Duration::from_secs(6),
            lease: LEASE,
            max_active_workers: None,
            capacity_max_age: None,
            max_job_bytes: None,
            max_state_bytes: None,
            features: Features::default(),
        }
    }
}

/// How long the store keeps the records of a journal: those that exceed either limit are removed,
/// oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Age from which a record may be removed.
    pub time: Duration,
    /// Size of the journal in bytes from which its oldest records may be removed.
    pub bytes: u64,
}

impl Retention {
    /// Number of snapshots that are due before the store removes a record. One is enough; the others
    /// leave time for attempts that fail and for a change of owner.
    const SNAPSHOTS: u32 = 4;

    /// Age of the oldest record in no snapshot from which the next snapshot is due.
    ///
    /// ```
    /// use oriolefork::cell::timings::Retention;
    /// use std::time::Duration;
    /// let retention = Retention { time: Duration::from_secs(20), ..Retention::default() };
    /// assert_eq!(retention.snapshot_age(), Duration::from_secs(5));
    /// ```
    pub fn snapshot_age(&self) -> Duration {
        (self.time / Self::SNAPSHOTS).min(MAX_SNAPSHOT_AGE)
    }

    /// Size of the records in no snapshot, in bytes, from which the next snapshot is due.
    ///
    /// ```
    /// use oriolefork::cell::timings::Retention;
    /// let retention = Retention { bytes: 200_000_000, ..Retention::default() };
    /// assert_eq!(retention.snapshot_bytes(), 50_000_000);
    /// ```
    pub fn snapshot_bytes(&self) -> u64 {
        self.bytes / u64::from(Self::SNAPSHOTS)
    }
}

impl Default for Retention {
    /// The shortest retention of the sites, for stores that state none.
    fn default() -> Self {
        Self { time: Duration::from_secs(20), bytes: 200_000_000 }
    }
}

/// Maximum lease granted with each poll of a worker. It is longer than the six-second network cuts
/// of a whole failure domain that the sites experience; a shorter one would lose a third of the
/// work in progress.
pub const LEASE: Duration = Duration::from_secs(8);

/// Time for which an owner keeps renewing leases after its last journal write. Together with a
/// lease it lets runs survive an outage of the store of ten seconds. A new owner that cannot reach
/// a worker waits as long before it counts the worker's runs as lost.
pub const LEASE_GRANT_WINDOW: Duration = Duration::from_secs(4);

/// Maximum fraction by which a worker's monotonic clock runs slow.
pub const CLOCK_DRIFT: f64 = 0.02;

/// Margin added to every computed lease expiry, for network and wake-up delays.
pub const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Maximum time for which a worker delays its response to a poll while no run ends.
pub const POLL_WAIT: Duration = Duration::from_millis(1_500);

/// Timeout of a poll, in addition to that delay.
pub const POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval between polls of a worker that does not answer.
pub const POLL_RETRY: Duration = Duration::from_millis(300);

/// Timeout of a command. A network round trip takes at most 10 ms; commands that workers execute
/// late get no response at all.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay before a command without a response is sent again.
pub const COMMAND_RETRY: Duration = Duration::from_millis(30);

/// Number of attempts to send a start command before the run is stopped there and the task is
/// placed elsewhere.
pub const MAX_START_ATTEMPTS: u32 = 4;

/// Timeout of an append: 60 times the store's usual response time of 4 ms, and a margin as large
/// again.
pub const APPEND_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before a failed append is repeated.
pub const APPEND_RETRY: Duration = Duration::from_millis(50);

/// Time without a response after which an append is sent a second time, in parallel.
pub const APPEND_HEDGE_DELAY: Duration = Duration::from_millis(200);

/// Maximum number of parallel appends of one batch.
pub const MAX_CONCURRENT_APPENDS: u32 = 5;

/// Interval between two saves of what the owner has learned.
pub const LEARNED_INTERVAL: Duration = Duration::from_secs(10);

/// Timeout for reading what an earlier owner had learned, from the claim on. The usual read takes
/// 5 ms.
pub const LEARNED_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of the oldest record in no snapshot from which the next snapshot is due, however long the
/// store keeps records: a new owner replays what no snapshot contains.
pub const MAX_SNAPSHOT_AGE: Duration = Duration::from_secs(60);

/// Delay after a snapshot that could not be saved.
pub const SNAPSHOT_RETRY: Duration = Duration::from_secs(1);

/// Maximum size of one append in bytes.
pub const MAX_APPEND_BYTES: usize = 200_000;

/// Time without appends after which the owner appends an empty batch to show that it is working.
pub const IDLE_APPEND_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time without a successful append of one batch after which the owner offers its cell to any
/// instance that reaches the store. A store that is 60 times slower than usual takes about 400 ms.
pub const OFFER_TO_ANYONE_AFTER: Duration = Duration::from_millis(600);

/// Time without a successful append of one batch after which the owner offers its cell to instances
/// that reach the store faster: thirty times the usual 8 ms.
pub const OFFER_TO_FASTER_AFTER: Duration = Duration::from_millis(250);

/// Maximum time of a small read of the store that counts as faster than the owner's append. It
/// usually takes 5 ms, and 240 ms when the store is 60 times slower.
pub const FAST_STORE_READ: Duration = Duration::from_millis(100);

/// Timeout for a read of the owner record by an instance that searches for an owner. It is above
/// the 240 ms of a store that is 60 times slower, and short because a read that was sent before the
/// store's recovery may hang.
pub const OWNER_RECORD_TIMEOUT: Duration = Duration::from_millis(400);

/// Duration of one append from which new jobs wait outside the journal: ten times the usual 8 ms.
pub const SLOW_APPEND: Duration = Duration::from_millis(80);

/// Time for which an owner delays its response to one of up to 300 followers; see `watch.rs`.
pub const WATCH_HOLD: Duration = Duration::from_millis(200);

/// Timeout of a watch request, including that delay.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of a watch request to an owner that has just failed to answer. The other instances of a
/// site usually answer in 3 ms.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay between the claims of instances of neighbouring rank. A claim takes 20 to 40 ms with the
/// read before it; with two claims at once, one of the instances has to read the journal again.
pub const RANK_DELAY: Duration = Duration::from_millis(40);

/// Time without a message after which a peer no longer counts as present, with the shortest hold.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum interval between two steps of the owner's state machine.
pub const TICK: Duration = Duration::from_millis(20);

/// Interval between reads of the list of workers.
pub const ROSTER_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which an entry may be missing from the list before the worker counts as unlisted.
/// Entries that expired while the store was unreachable return within two seconds of its recovery.
pub const UNLISTED_AFTER: Duration = Duration::from_millis(2_500);

/// Margin subtracted from a ticket's validity, for the transmission of the start command.
pub const TICKET_MARGIN: Duration = Duration::from_millis(150);

/// Margin added to the policy service's stated response time.
pub const POLICY_TIMEOUT_MARGIN: Duration = Duration::from_millis(2_500);

/// Pause in queries through an instance whose query got no answer, for each consecutive failure. An
/// instance that is gone counts as present for up to `PEER_TIMEOUT`; three pauses of 0.5, 1 and 1.5
/// s outlast that.
pub const PROXY_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum multiple of that pause: 2 s, so that an instance is used again soon after the service
/// has recovered.
pub const PROXY_MAX_BACKOFFS: u32 = 4;

/// Delay before a step for which no query is worthwhile is examined again. On a full site this
/// holds for most steps, and each examination iterates over all workers.
pub const POLICY_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of workers named in one query to the policy service.
pub const MAX_POLICY_WORKERS: usize = 100;

/// Time for which an instance holds a call after its last contact with a working owner: twice the
/// time of a change of owner. Longer holds cost the caller an attempt (value of the work done on
/// days with a store outage: 0.64 with 0.7 s, 0.69 without any hold; one run each).
pub const NO_OWNER_WAIT: Duration = Duration::from_millis(700);

/// Timeout of one attempt to reach the owner. It is longer than an append to a slow store, and
/// shorter than a caller's deadline, so that time remains to reach the next owner.
pub const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Margin subtracted from a caller's deadline for the transmission of the response.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// Deadline of a call that specifies none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// Age of the store's last response from which an owner no longer reports a job as unknown, because
/// another instance may own the cell by then.
pub const MAX_STORE_STALENESS: Duration = Duration::from_millis(1_500);
