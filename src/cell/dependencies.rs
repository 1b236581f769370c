//! Borders of a cell to the outside: workers, the policy service, the journal and the lists that
//! the platform keeps.

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
use crate::resource::Amount;

/// What the platform's list says of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Service whose tasks it runs.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Its rack.
    pub rack: Option<String>,
    /// Its labels, the rack's included.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: Amount,
    /// Whether it is about to leave.
    pub draining: bool,
    /// Time that is left at least, while it drains, in milliseconds.
    pub remaining_ms: Option<u64>,
}

/// One look at a worker, which renews the lease of all that runs there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Latest end that the worker may forget.
    pub acked_end: u64,
    /// New end of the lease on the worker's clock; `None` to leave it.
    pub lease_until_ms: Option<u64>,
    /// Longest time the worker holds its answer back while nothing ends.
    pub max_wait: Duration,
}

/// What a worker tells when looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PollReport {
    /// Its steady clock.
    pub clock_ms: u64,
    /// What runs there.
    pub running: Vec<RunStatus>,
    /// Ends that it has not been told to forget.
    pub ended: Vec<EndedRun>,
    /// Whether ends or tries may be missing, so that a try that is not listed proves nothing.
    pub partial: bool,
}

/// A try that runs on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunStatus {
    /// The try.
    pub run: Run,
    /// Latest saved progress; empty for none.
    pub checkpoint: String,
    /// Share of its work that is done, 0 to 100; for lasting tasks, whether they are at work.
    pub percent: u32,
    /// Tail of the response times in milliseconds for a serving task, else processors in use.
    pub load: u64,
}

/// A try that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end within this life of the worker.
    pub number: u64,
    /// The try.
    pub run: Run,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Saved progress; empty for none.
    pub checkpoint: String,
}

/// An order to start a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartCommand {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// The try.
    pub run: Run,
    /// Text of the job.
    pub job: Rc<super::job::Job>,
    /// End of the lease on the worker's clock.
    pub lease_until_ms: u64,
    /// Progress to go on from; empty for none.
    pub checkpoint: String,
    /// Word of the policy service, where the queue needs it.
    pub ticket: Option<String>,
}

/// Why a call to a worker was not carried out, or may not have been.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum WorkerError {
    /// A later owner has called it.
    #[display("fenced")]
    Fenced,
    /// Another life of the worker answers at that address.
    #[display("another life")]
    OtherIncarnation,
    /// The try, or a later one, has ended there.
    #[display("try is over")]
    RunEnded,
    /// The lease named had run out before the order arrived.
    #[display("too late")]
    LeaseExpired,
    /// It has no room.
    #[display("no room")]
    NoCapacity,
    /// The policy service's word does not hold.
    #[display("no valid ticket")]
    InvalidTicket,
    /// It is unwell and did nothing.
    #[display("unhealthy")]
    Unhealthy,
    /// It cannot read the call.
    #[display("refused: {_0}")]
    Refused(String),
    /// No connection, so that the call surely did not arrive.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// No answer; the call may be carried out, also later.
    #[display("no answer: {_0}")]
    Unknown(String),
}

/// Way to workers. Each call names the life of the worker that it is meant for.
pub trait WorkerClient {
    /// Looks at a worker.
    fn poll<'a>(
        &'a self,
        peer: SocketAddr,
        worker: &'a str,
        look: &'a PollRequest,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<PollReport, WorkerError>>;

    /// Starts a try and returns the worker's clock.
    fn start<'a>(
        &'a self,
        peer: SocketAddr,
        worker: &'a str,
        start: &'a StartCommand,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, WorkerError>>;

    /// Stops a try and returns the worker's clock. A try that is not there is refused afterwards.
    fn stop<'a>(
        &'a self,
        peer: SocketAddr,
        worker: &'a str,
        run: Run,
        epoch: Epoch,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, WorkerError>>;
}

/// What the policy service allows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eligibility {
    /// Workers that may run the step, each with its ticket.
    pub workers: Vec<(WorkerId, String)>,
    /// How long the tickets hold, where the answer says so, in milliseconds.
    pub valid_ms: Option<u64>,
}

/// Way to the policy service that knows which workers may run a step.
pub trait PolicyService {
    /// Asks about `workers` for `step`.
    fn eligible_workers<'a>(
        &'a self,
        step: &'a StepKey,
        workers: &'a [WorkerId],
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Eligibility, String>>;
}

/// Why an append was not done, or may not have been.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum AppendError {
    /// A later owner writes the journal.
    #[display("fenced")]
    Fenced,
    /// Surely not done; may be repeated.
    #[display("not written: {_0}")]
    NotWritten(String),
    /// May have been done.
    #[display("unknown: {_0}")]
    Unknown(String),
}

/// Records of a journal from some offset on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Each record.
    pub records: Vec<Bytes>,
    /// Offset after the last record of the page.
    pub next_offset: u64,
    /// Offset at which the next append goes.
    pub end_offset: u64,
}

/// Why a journal was not read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ReadError {
    /// The records asked for are no longer kept; reading begins again with the saved state.
    #[display("records have been dropped")]
    Truncated,
    /// The store did not answer; what has been read so far holds.
    #[display("{_0}")]
    Failed(String),
}

/// Where reading a journal begins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalSnapshot {
    /// Whole state up to `offset`, encoded; `None` to begin with an empty one.
    pub state: Option<Bytes>,
    /// First record that the state does not hold.
    pub offset: u64,
}

/// Who owns a cell, as the owner itself says beside the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The owner's epoch.
    pub epoch: Epoch,
    /// Address at which other instances reach it.
    pub peer: SocketAddr,
    /// Processor that it may use, in thousandths of a core; zero where it did not say.
    #[serde(default)]
    #[serde(rename = "strength")]
    pub cpu_millis: u32,
}

/// Journals of cells in the platform's store.
pub trait Journal {
    /// Appends a batch as number `sequence` of its epoch; a repeat of the same number is done once.
    /// Returns the offset after it.
    ///
    /// The first batch of an epoch is a claim: it takes the journal over and makes it refuse smaller
    /// epochs from then on. Its number differs between claimants: two that claim the same epoch with
    /// the same number would look like one that repeats itself, and both be told that they won.
    fn append<'a>(
        &'a self,
        cell: Id,
        epoch: Epoch,
        sequence: u64,
        batch: Bytes,
        timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, AppendError>>;

    /// Reads records from `from` on.
    fn read(&self, cell: Id, from: u64) -> LocalBoxFuture<'_, Result<Page, ReadError>>;

    /// Reads the last saved state.
    fn snapshot(&self, cell: Id) -> LocalBoxFuture<'_, Result<JournalSnapshot, String>>;

    /// Saves the state up to an offset as number `sequence` of the owner's epoch, so that older
    /// records may go.
    fn save_snapshot<'a>(
        &'a self,
        cell: Id,
        epoch: Epoch,
        sequence: u64,
        base: &'a JournalSnapshot,
    ) -> LocalBoxFuture<'a, Result<(), String>>;

    /// Says who owns the cell, as number `sequence` of the owner's epoch.
    fn publish_owner(
        &self,
        cell: Id,
        sequence: u64,
        sign: OwnerRecord,
    ) -> LocalBoxFuture<'_, Result<(), AppendError>>;

    /// What an owner said last; `None` before the first one. A few bytes, however long the journal.
    fn owner_record(&self, cell: Id) -> LocalBoxFuture<'_, Result<Option<OwnerRecord>, String>>;
}

/// Workers that the platform lists, as one read of the list found them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RosterUpdate {
    /// Workers that appeared or changed.
    pub changed: Vec<(WorkerId, Rc<WorkerInfo>)>,
    /// Names, as in the list, of workers that are gone from it.
    pub removed: Vec<Rc<str>>,
    /// Whether `present` is the whole list.
    pub is_complete: bool,
}

/// The platform's lists.
pub trait Discovery {
    /// Makes the next call to [`Discovery::roster`] return the whole list.
    fn reset(&self);

    /// What changed among the workers since the last call; the whole list at the first call and
    /// whenever the platform has dropped what came between.
    fn roster_update(&self) -> LocalBoxFuture<'_, Result<RosterUpdate, String>>;

    /// Waits up to `wait` for a configuration newer than `version`, and returns it with its text.
    fn newer_config(
        &self,
        version: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<QueueConfig>, String>>;
}
