//! Messages that the owner's state machine handles and effects that it requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::policy_query::PolicyQuery;
use crate::cell::activity::OwnerActivity;
use crate::cell::caller::Caller;
use crate::cell::dependencies::{
    AppendError, Eligibility, JournalSnapshot, PollReport, PollRequest, RosterUpdate, StartCommand,
    WorkerError,
};
use crate::cell::job::{Id, Job, Phase, Run};
use crate::cell::learned;
use crate::cell::queue::QueueConfig;
use crate::cell::record::WorkerId;
use crate::clock::Instant;

/// Identifies a call that waits for its answer.
pub type CallId = u64;

/// Call of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Accept a job.
    Submit(Job),
    /// Cancel a job.
    Cancel(Id),
    /// Return a job's phase.
    Show(Id),
    /// Count the jobs of a queue of which no task has started.
    Waiting(String),
}

/// Answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is accepted and stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The job's phase.
    Phase(Phase),
    /// Number of waiting jobs.
    Waiting(u64),
    /// There is no such job.
    Unknown,
    /// The owner cannot answer at present; nothing was done.
    Unavailable,
    /// No customer has the caller's key.
    Unauthorized,
    /// The ID is that of a job of another customer; nothing was done.
    IdInUse,
    /// A gang of the job is wider than its customer's cap; nothing was done.
    AboveCap,
    /// The job could not end in time; nothing was done. Sent only to instances that state that they
    /// understand it, see [`Caller::understands_busy`].
    Busy {
        /// Time after which to submit the job again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Input of the state machine.
#[derive(Debug)]
pub enum Message {
    /// A caller's call arrived.
    Call {
        /// Identifies the call.
        id: CallId,
        /// The call.
        call: Call,
        /// Who calls.
        caller: Caller,
    },
    /// An append to the journal ended.
    Appended {
        /// Sequence number of the batch.
        sequence: u64,
        /// When it was sent.
        sent: Instant,
        /// Journal offset after the batch.
        outcome: Result<u64, AppendError>,
    },
    /// A poll of a worker ended.
    Polled {
        /// The worker.
        worker: WorkerId,
        /// When the poll was sent.
        sent: Instant,
        /// The worker's report.
        outcome: Result<PollReport, WorkerError>,
    },
    /// A start command ended.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        run: Run,
        /// The worker's clock in milliseconds.
        outcome: Result<u64, WorkerError>,
    },
    /// A stop command ended.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The attempt.
        run: Run,
        /// The worker's clock in milliseconds.
        outcome: Result<u64, WorkerError>,
    },
    /// A query to the policy service ended.
    PolicyAnswered {
        /// Number of the query.
        query: u64,
        /// Workers that may run the step; `None` if no answer came.
        eligibility: Option<Eligibility>,
    },
    /// The list of workers changed.
    WorkersChanged(RosterUpdate),
    /// The configuration changed.
    ConfigChanged(Rc<QueueConfig>),
    /// The record of what an earlier owner had learned was read.
    LearnedRead(Box<learned::Record>),
    /// A snapshot of the state is to be saved as soon as possible.
    SnapshotRequested,
    /// The last snapshot of [`Effect::Save`] was saved, or could not be.
    SnapshotSaved(bool),
    /// Whether the owner's thread is overloaded, so that new jobs are refused.
    Overloaded(bool),
    /// An instance is present and can send queries to the policy service.
    InstanceSeen {
        /// Address of the instance's peer server.
        peer: SocketAddr,
        /// CPU that it may use, in thousandths of a core.
        cpu_millis: u32,
        /// Its failure domain.
        domain: Rc<str>,
    },
}

impl Message {
    /// Activity that handling it counts as.
    pub const fn activity(&self) -> OwnerActivity {
        match self {
            Self::Call { .. } | Self::Overloaded(_) => OwnerActivity::Call,
            Self::Appended { .. }
            | Self::LearnedRead(_)
            | Self::SnapshotRequested
            | Self::SnapshotSaved(_) => OwnerActivity::Append,
            Self::Polled { .. } => OwnerActivity::Report,
            Self::Started { .. } | Self::Stopped { .. } => OwnerActivity::Command,
            Self::PolicyAnswered { .. } => OwnerActivity::Policy,
            Self::WorkersChanged(_) | Self::ConfigChanged(_) => OwnerActivity::List,
            Self::InstanceSeen { .. } => OwnerActivity::Watch,
        }
    }
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append a batch to the journal.
    Append {
        /// Sequence number of the batch.
        sequence: u64,
        /// Encoded batch.
        batch: Bytes,
    },
    /// Poll a worker.
    Poll {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The request.
        poll: PollRequest,
        /// Time to wait for the answer.
        timeout: Duration,
    },
    /// Start an attempt.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The command.
        start: StartCommand,
        /// Time to wait for the answer.
        timeout: Duration,
    },
    /// Stop an attempt.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The attempt.
        run: Run,
        /// Time to wait for the answer.
        timeout: Duration,
    },
    /// Query the policy service.
    QueryPolicy(PolicyQuery),
    /// Answer a call.
    Reply {
        /// Identifies the call.
        id: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Save a snapshot of the state, and answer with [`Message::SnapshotSaved`].
    Save(JournalSnapshot),
    /// Another owner has taken the cell over; stop owning it.
    StepDown {
        /// How that was detected.
        reason: String,
    },
}

impl Effect {
    /// Activity that carrying it out counts as.
    pub const fn activity(&self) -> OwnerActivity {
        match self {
            Self::Append { .. } | Self::Save(_) | Self::StepDown { .. } => OwnerActivity::Append,
            Self::Poll { .. } => OwnerActivity::Poll,
            Self::Start { .. } | Self::Stop { .. } => OwnerActivity::Command,
            Self::QueryPolicy(_) => OwnerActivity::Policy,
            Self::Reply { .. } => OwnerActivity::Call,
        }
    }
}
