//! Interfaces of a cell to external systems: workers, the policy service, the journal, and the
//! platform's list of workers and configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use futures_util::future::LocalBoxFuture;
use serde::{Deserialize, Serialize};

use super::job::{Run, RunOutcome, StepKey};
use super::queue::QueueConfig;
use super::record::WorkerId;
use super::{Epoch, Id};
use crate::clock::Instant;
use crate::resource::Amount;

/// Entry of a worker in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Address at which it accepts polls and commands.
    pub address: SocketAddr,
    /// Service whose tasks it runs.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Its rack.
    pub rack: Option<String>,
    /// Its labels, including the rack's.
    pub labels: Vec<String>,
    /// Its total resources.
    pub capacity: Amount,
    /// Whether it is draining and will leave.
    pub draining: bool,
    /// Minimum time until a draining worker leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// Request for a worker's report, which also renews the lease of all runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Number of the latest ended run that is recorded, so that the worker may forget it.
    pub acked_end: u64,
    /// New expiry of the lease on the worker's clock; `None` to leave it unchanged.
    pub lease_until_ms: Option<u64>,
    /// Maximum time for which the worker delays its response while no run ends.
    pub max_wait: Duration,
}

/// A worker's response to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollReport {
    /// The worker's monotonic clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Ended runs that the owner has not acknowledged yet.
    pub ended: Vec<EndedRun>,
    /// Whether runs may be missing from the report, so that the absence of one proves nothing.
    pub partial: bool,
}

/// A run in progress on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The run.
    pub run: Run,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Completed share of its work, 0 to 100. For long-running tasks it shows whether they are at
    /// work.
    pub percent: u32,
    /// For serving tasks the tail latency in milliseconds, for other tasks the processors in use.
    pub load: u64,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the ended run within this incarnation of the worker.
    pub number: u64,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
}

/// Command to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCommand {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// The run.
    pub run: Run,
    /// The job, whose payload is passed to the task.
    pub job: Rc<super::job::Job>,
    /// Expiry of the lease on the worker's clock.
    pub lease_until_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
    /// Ticket of the policy service, for queues that need one.
    pub ticket: Option<String>,
}

/// Why a call to a worker was not executed, or may not have been.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker has been called by a later owner.
    #[display("fenced")]
    Fenced,
    /// Another incarnation of the worker answers at that address.
    #[display("another life")]
    OtherIncarnation,
    /// The run, or a later one of the task, has ended there.
    #[display("try is over")]
    RunEnded,
    /// The lease in the command had expired when the command arrived.
    #[display("too late")]
    LeaseExpired,
    /// The worker has no free capacity.
    #[display("no room")]
    NoCapacity,
    /// The ticket of the policy service is not valid.
    #[display("no valid ticket")]
    InvalidTicket,
    /// The worker is unhealthy and did nothing.
    #[display("unhealthy")]
    Unhealthy,
    /// The worker rejected the call as malformed.
    #[display("refused: {_0}")]
    Refused(String),
    /// No connection, so that the call cannot have arrived.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The worker's machine refused the connection, or closed it before any response. Without `sent`
    /// the call cannot have arrived.
    #[display("connection refused: {cause}")]
    ConnectionRefused {
        /// Whether the call may have arrived nevertheless.
        sent: bool,
        /// Human-readable cause.
        cause: String,
    },
    /// No descriptor left in this process, which says nothing about the worker.
    #[display("no descriptor: {_0}")]
    NoDescriptor(String),
    /// No response; the call may be executed, also later.
    #[display("no answer: {_0}")]
    Unknown(String),
}

impl WorkerError {
    /// Whether a call without a response may be executed nevertheless.
    pub const fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::ConnectionRefused { sent: true, .. })
    }
}

/// Client for workers. Each call names the incarnation of the worker that it is meant for.
pub trait WorkerClient {
    /// Polls a worker.
    fn poll<'a>(
        &'a self,
        peer: SocketAddr,
        worker: &'a str,
        request: &'a PollRequest,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<PollReport, WorkerError>>;

    /// Starts a run and returns the worker's clock.
    fn start<'a>(
        &'a self,
        peer: SocketAddr,
        worker: &'a str,
        start: &'a StartCommand,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, WorkerError>>;

    /// Stops a run and returns the worker's clock. A run that has not started is refused
    /// afterwards.
    fn stop<'a>(
        &'a self,
        peer: SocketAddr,
        worker: &'a str,
        run: Run,
        epoch: Epoch,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, WorkerError>>;
}

/// Answer of the policy service to a query about a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eligibility {
    /// Workers that may run the step, each with its ticket.
    pub workers: Vec<(WorkerId, String)>,
    /// Validity of the tickets in milliseconds, where the answer states it.
    pub valid_ms: Option<u64>,
}

/// Client for the policy service, which decides which workers may run a step.
pub trait PolicyService {
    /// Queries which of `workers` may run `step`.
    fn eligible_workers<'a>(
        &'a self,
        step: &'a StepKey,
        workers: &'a [WorkerId],
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Eligibility, String>>;
}

/// Why an append was not written, or may not have been.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AppendError {
    /// A later owner has claimed the journal.
    #[display("fenced")]
    Fenced,
    /// Not written; it may be repeated.
    #[display("not written: {_0}")]
    NotWritten(String),
    /// It may have been written.
    #[display("unknown: {_0}")]
    Unknown(String),
}

/// Records of a journal, starting at some offset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<Bytes>,
    /// Offset after the last record of the page.
    pub next_offset: u64,
    /// Offset of the next append.
    pub end_offset: u64,
}

/// Why a journal could not be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ReadError {
    /// The requested records have been removed; reading restarts at the snapshot.
    #[display("records before {first_offset} have been removed")]
    Truncated {
        /// Offset of the first record that is left.
        first_offset: u64,
    },
    /// The store did not answer; the records read so far are valid.
    #[display("{_0}")]
    Failed(String),
}

/// Why a snapshot could not be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SnapshotError {
    /// The store did not answer, or the snapshot was replaced meanwhile; reading may be repeated.
    #[display("{_0}")]
    Unread(String),
    /// Its form is not known to this version.
    #[display("unknown form: {_0}")]
    Unsupported(String),
    /// What is stored is not what was saved, so that no instance can use it.
    #[display("damaged: {_0}")]
    Damaged(String),
}

/// Starting point for reading a journal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalSnapshot {
    /// Encoded state up to `offset`; `None` for the empty state.
    pub state: Option<Bytes>,
    /// Offset of the first record that is not part of the state.
    pub offset: u64,
}

/// Record that names the owner of a cell. The owner writes it beside the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Address at which other instances reach it.
    pub peer: SocketAddr,
    /// CPU that it may use, in thousandths of a core; zero if unknown.
    #[serde(default)]
    #[serde(rename = "strength")]
    pub cpu_millis: u32,
}

/// Journals of the cells in the platform's store.
pub trait Journal {
    /// Appends a batch as number `sequence` of its epoch; a repeated number is written only once.
    /// Returns the offset after the batch.
    ///
    /// The first batch of an epoch is a claim: from then on the journal refuses smaller epochs. The
    /// sequence number of a claim differs between claimants. If two claimants used the same number,
    /// the second would look like a repetition of the first, and the store would report success to
    /// both.
    fn append<'a>(
        &'a self,
        cell: Id,
        epoch: Epoch,
        sequence: u64,
        batch: Bytes,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, AppendError>>;

    /// Reads records starting at offset `from`.
    fn read(&self, cell: Id, from: u64) -> LocalBoxFuture<'_, Result<Page, ReadError>>;

    /// Reads the latest snapshot, which has been saved whole.
    fn snapshot(&self, cell: Id) -> LocalBoxFuture<'_, Result<JournalSnapshot, SnapshotError>>;

    /// Returns the latest snapshot that this process has read or saved, in case the stored one cannot
    /// be used any more.
    ///
    /// The default is for journals that keep none.
    fn known_snapshot(&self, _cell: Id) -> Option<JournalSnapshot> {
        None
    }

    /// Saves a snapshot of the owner that claimed `epoch` with the sequence number `claim`, so that
    /// the store may remove older records. An owner saves one snapshot at a time.
    ///
    /// Success means that this snapshot is stored, whatever became of earlier ones.
    fn save_snapshot<'a>(
        &'a self,
        cell: Id,
        epoch: Epoch,
        claim: u64,
        snapshot: &'a JournalSnapshot,
    ) -> LocalBoxFuture<'a, Result<(), String>>;

    /// Writes the owner record of the cell as number `sequence` of the owner's epoch.
    fn publish_owner(
        &self,
        cell: Id,
        sequence: u64,
        sign: OwnerRecord,
    ) -> LocalBoxFuture<'_, Result<(), AppendError>>;

    /// Reads the latest owner record; `None` before the first one. The record has a few bytes,
    /// regardless of the length of the journal.
    fn owner_record(&self, cell: Id) -> LocalBoxFuture<'_, Result<Option<OwnerRecord>, String>>;

    /// Saves the encoded record of what the owner has learned. The write is not fenced: the record
    /// is advisory, and the next save of the present owner replaces one of a former owner.
    ///
    /// The default is for journals that keep no such record.
    fn save_learned(&self, _cell: Id, _record: Bytes) -> LocalBoxFuture<'_, Result<(), String>> {
        Box::pin(std::future::ready(Err("not supported".to_owned())))
    }

    /// Reads the latest record saved by [`Journal::save_learned`]; `None` if there is none.
    fn learned(&self, _cell: Id) -> LocalBoxFuture<'_, Result<Option<Bytes>, String>> {
        Box::pin(std::future::ready(Ok(None)))
    }
}

/// Changes in the platform's list of workers, as found by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterUpdate {
    /// Workers that were added or changed.
    pub changed: Vec<(WorkerId, Rc<WorkerInfo>)>,
    /// Listed names of the workers that were removed.
    pub removed: Vec<Rc<str>>,
    /// Whether `changed` is the complete list.
    pub is_complete: bool,
    /// Whether further workers are listed that the next read returns.
    pub has_more: bool,
    /// When the read was sent, if that is known; the list may have changed since.
    pub sent: Option<Instant>,
}

/// The platform's list of workers and its configuration.
pub trait Discovery {
    /// Makes the next call to [`Discovery::roster_update`] return the complete list.
    fn reset(&self);

    /// Returns the changes to the list of workers since the last call. The first calls return the
    /// complete list, page by page, and so do calls after the platform has removed changes not yet
    /// read.
    fn roster_update(&self) -> LocalBoxFuture<'_, Result<RosterUpdate, String>>;

    /// Waits up to `wait` for a configuration newer than `version` and returns it; `None` if there
    /// is none.
    fn newer_config(
        &self,
        version: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<QueueConfig>, String>>;
}
