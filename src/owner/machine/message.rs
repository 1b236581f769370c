//! Inputs and outputs of the state machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::domain::{self, Epoch, Instance};
use crate::membership::Member;
use crate::owner::Ticket;
use crate::owner::journal::{AppendRequest, Tag};
use crate::owner::peer_commit::BatchCopy;
use crate::owner::session::{Channel, ExchangeRequest};
use crate::placement::Policy;
use crate::store::{self, Offset, Page};
use crate::{alert, config, job, placement, worker};

/// Input of the state machine.
#[derive(Debug)]
pub enum Message {
    /// Time passed.
    Tick,
    /// A read of the stream finished.
    Read(Result<Page, store::Error>),
    /// An append to the stream finished.
    Appended {
        /// What was appended.
        tag: Tag,
        /// Offset of the record, or the failure.
        result: Result<Offset, store::Error>,
    },
    /// An exchange with a worker finished.
    Exchanged {
        /// Epoch in which it was sent.
        epoch: Epoch,
        /// The worker.
        worker: worker::Name,
        /// Call to the worker that carried it.
        channel: Channel,
        /// Its result.
        result: Result<worker::Report, worker::Error>,
    },
    /// The list of instances was read.
    Members(Vec<Member>),
    /// Heartbeat of another instance of the domain, which claims to be the owner.
    Heartbeat(Heartbeat),
    /// An instance processed a heartbeat of this owner and answered.
    HeartbeatAnswered {
        /// The instance that answered.
        from: Instance,
        /// Latest epoch known to it.
        epoch: Epoch,
    },
    /// Request of an owner that cannot reach the log to store a batch.
    StoreBatch(BatchCopy),
    /// An instance confirms that it stores a batch.
    BatchStored {
        /// The instance.
        from: Instance,
        /// Epoch of the batch.
        epoch: Epoch,
        /// Sequence number of the batch in that epoch.
        sequence: u64,
    },
    /// A call to the owner.
    Call {
        /// Ticket under which the call is answered.
        ticket: Ticket,
        /// What is requested.
        call: Call,
    },
    /// The deadline of a call has passed; it is answered at once.
    Expired(Ticket),
    /// A different placement policy is in force.
    Policy(Policy),
    /// Different operators' settings are in force.
    Settings(Rc<config::Value>),
    /// Request of the owner of the given epoch to take over.
    Handover(Epoch),
    /// The process is shutting down.
    Shutdown,
}

/// Heartbeat of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Failure domain it owns.
    pub domain: domain::Name,
    /// The owner.
    pub owner: Instance,
    /// Its epoch.
    pub epoch: Epoch,
    /// Whether the owner cannot reach the log.
    pub without_log: bool,
    /// Instances that store batches while the log is unreachable.
    pub enrolled: Vec<Instance>,
}

/// Request of a caller to the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Accept a job.
    Submit {
        /// Identity of the job.
        job: job::Id,
        /// Idempotency key.
        key: String,
        /// What is requested.
        spec: job::Spec,
    },
    /// Stop a job.
    Cancel(job::Id),
    /// Acknowledge an alert.
    Acknowledge {
        /// The alert.
        alert: alert::Id,
        /// Person who acknowledges it.
        by: String,
    },
    /// Declare an unreachable worker lost, with all tasks that ran on it.
    GiveUp(worker::Name),
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is in the log.
    Accepted {
        /// Whether the job had already been accepted.
        duplicate: bool,
    },
    /// The cancellation is in the log.
    Cancelled,
    /// The acknowledgement is in the log.
    Acknowledged,
    /// The end of every task on the worker is in the log.
    GivenUp,
    /// No such job, alert or worker.
    NotFound,
    /// The call was refused: nothing was written and nothing will run because of it.
    Refused(Refusal),
    /// The call may have taken effect. The caller finds out by repeating it with the same identity.
    Unknown,
}

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This instance does not own the domain; the owner, if known, is given.
    NotOwner(Option<Instance>),
    /// The worker is reachable, so it cannot be declared lost.
    WorkerReachable,
    /// The idempotency key was used for a different job.
    KeyReused,
    /// No worker could ever run the job.
    Impossible(placement::PendingReason),
    /// Too many changes wait for the log.
    Busy,
    /// The log cannot be reached.
    LogUnavailable,
    /// The deadline passed before anything was written.
    DeadlineExceeded,
}

/// Output of the state machine: an action for its driver.
#[derive(Debug)]
pub enum Effect {
    /// Read the stream and return [`Message::Read`].
    Read {
        /// First offset to read.
        from: Offset,
        /// How long to wait for a record at the end of the stream.
        wait: Duration,
    },
    /// Append to the stream and return [`Message::Appended`].
    Append(AppendRequest),
    /// Call a worker and return [`Message::Exchanged`].
    Exchange {
        /// Epoch of the owner, to be returned with the result.
        epoch: Epoch,
        /// The worker.
        worker: worker::Name,
        /// The exchange to send.
        request: ExchangeRequest,
    },
    /// Send a heartbeat and return [`Message::HeartbeatAnswered`] for each answer.
    Heartbeat {
        /// Instances of the domain.
        to: Vec<SocketAddr>,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Send a batch to instances and return [`Message::BatchStored`] for each that stores it.
    StoreBatch {
        /// The instances.
        to: Vec<SocketAddr>,
        /// The batch.
        copy: BatchCopy,
    },
    /// Request an instance to take over.
    Handover {
        /// The instance.
        to: SocketAddr,
        /// Epoch that ends.
        epoch: Epoch,
    },
    /// Answer a call.
    Reply {
        /// Ticket of the call.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// The machine has stopped; the process may end.
    Stopped,
}
