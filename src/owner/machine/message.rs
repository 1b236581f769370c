//! What the machine hears, and what it asks to be done.

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

/// Something that happened.
#[derive(Debug)]
pub enum Message {
    /// Time passed.
    Tick,
    /// A read of the stream ended.
    Read(Result<Page, store::Error>),
    /// An append to the stream ended.
    Appended {
        /// What was appended.
        tag: Tag,
        /// Its offset, or what went wrong.
        result: Result<Offset, store::Error>,
    },
    /// An exchange with a worker ended.
    Exchanged {
        /// Epoch in which it was sent.
        epoch: Epoch,
        /// The worker.
        worker: worker::Name,
        /// Call it belonged to.
        channel: Channel,
        /// Its result.
        result: Result<worker::Report, worker::Error>,
    },
    /// The list of instances was read.
    Members(Vec<Member>),
    /// Another instance of the domain says that it is the owner.
    Heartbeat(Heartbeat),
    /// An instance has taken in a heartbeat and answered.
    HeartbeatAnswered {
        /// The instance that answered.
        from: Instance,
        /// Latest epoch it knows.
        epoch: Epoch,
    },
    /// An owner without the log asks this instance to keep a batch.
    StoreBatch(BatchCopy),
    /// An instance keeps a batch.
    BatchStored {
        /// The instance.
        from: Instance,
        /// Epoch of the batch.
        epoch: Epoch,
        /// Place of the batch in that epoch.
        sequence: u64,
    },
    /// A caller asks for something.
    Call {
        /// Number to answer to.
        ticket: Ticket,
        /// What it asks for.
        call: Call,
    },
    /// A caller's time is up; it is answered at once.
    Expired(Ticket),
    /// Another policy is in force.
    Policy(Policy),
    /// Other settings of operators are in force.
    Settings(Rc<config::Value>),
    /// The owner asks this instance to take over.
    Handover(Epoch),
    /// The process is to stop.
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
    /// Whether it cannot reach the log.
    pub without_log: bool,
    /// Instances that keep its batches when the log is away.
    pub enrolled: Vec<Instance>,
}

/// What a caller asks of the owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Accept a job.
    Submit {
        /// Identity of the job.
        job: job::Id,
        /// Idempotency key.
        key: String,
        /// What it asks for.
        spec: job::Spec,
    },
    /// Stop a job.
    Cancel(job::Id),
    /// Mark an alert as seen.
    Acknowledge {
        /// The alert.
        alert: alert::Id,
        /// Who saw it.
        by: String,
    },
    /// Take a worker that does not answer for gone, with all that it ran.
    GiveUp(worker::Name),
}

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is in the log.
    Accepted {
        /// Whether it was there before.
        duplicate: bool,
    },
    /// The cancellation is in the log.
    Cancelled,
    /// The acknowledgement is in the log.
    Acknowledged,
    /// The end of all that the worker ran is in the log.
    GivenUp,
    /// The job, alert or worker is not known.
    NotFound,
    /// Nothing was written and nothing will run because of the call.
    Refused(Refusal),
    /// The call may have taken effect; asking again with the same identity tells.
    Unknown,
}

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This instance does not own the domain.
    NotOwner(Option<Instance>),
    /// The worker answers, so it is not gone.
    WorkerReachable,
    /// The key stands for another job.
    KeyReused,
    /// No worker could ever run it.
    Impossible(placement::PendingReason),
    /// Too much waits for the log.
    Busy,
    /// The log cannot be reached.
    LogUnavailable,
    /// Time ran out before anything was written.
    DeadlineExceeded,
}

/// Something to do.
#[derive(Debug)]
pub enum Effect {
    /// Read the stream and answer with [`Message::Read`].
    Read {
        /// First offset wanted.
        from: Offset,
        /// How long to wait for a record.
        wait: Duration,
    },
    /// Append to the stream and answer with [`Message::Appended`].
    Append(AppendRequest),
    /// Call a worker and answer with [`Message::Exchanged`].
    Exchange {
        /// Present epoch, to be returned with the result.
        epoch: Epoch,
        /// The worker.
        worker: worker::Name,
        /// What to send.
        request: ExchangeRequest,
    },
    /// Send a heartbeat and answer with [`Message::HeartbeatAnswered`] for each answer.
    Heartbeat {
        /// Instances of the domain.
        to: Vec<SocketAddr>,
        /// Content.
        heartbeat: Heartbeat,
    },
    /// Ask instances to keep a batch and answer with [`Message::BatchStored`] for each that does.
    StoreBatch {
        /// The instances.
        to: Vec<SocketAddr>,
        /// The batch.
        copy: BatchCopy,
    },
    /// Ask an instance to take over.
    Handover {
        /// The instance.
        to: SocketAddr,
        /// Epoch that ends.
        epoch: Epoch,
    },
    /// Answer a caller.
    Reply {
        /// Number of the call.
        ticket: Ticket,
        /// Answer.
        answer: Answer,
    },
    /// Nothing is left to do before the process ends.
    Stopped,
}
