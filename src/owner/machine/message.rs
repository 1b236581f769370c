//! What the machine hears, and what it asks to be done.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::domain::{self, Epoch, Instance};
use crate::membership::Member;
use crate::owner::Ticket;
use crate::owner::custody::Hold;
use crate::owner::journal::{Parcel, Tag};
use crate::owner::session::{Channel, Send};
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
    Beat(Beat),
    /// An instance has taken in a heartbeat and answered.
    BeatAnswered {
        /// The instance that answered.
        from: Instance,
        /// Latest epoch it knows.
        epoch: Epoch,
    },
    /// An owner without the log asks this instance to keep a batch.
    Hold(Hold),
    /// An instance keeps a batch.
    Held {
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
pub struct Beat {
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
    WorkerAnswers,
    /// The key stands for another job.
    KeyReused,
    /// No worker could ever run it.
    Impossible(placement::PendingReason),
    /// Too much waits for the log.
    Busy,
    /// The log cannot be reached.
    LogAway,
    /// Time ran out before anything was written.
    Expired,
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
    Append(Parcel),
    /// Call a worker and answer with [`Message::Exchanged`].
    Exchange {
        /// Present epoch, to be returned with the result.
        epoch: Epoch,
        /// The worker.
        worker: worker::Name,
        /// What to send.
        send: Send,
    },
    /// Send a heartbeat and answer with [`Message::BeatAnswered`] for each answer.
    Beat {
        /// Instances of the domain.
        to: Vec<SocketAddr>,
        /// Content.
        beat: Beat,
    },
    /// Ask instances to keep a batch and answer with [`Message::Held`] for each that does.
    Hold {
        /// The instances.
        to: Vec<SocketAddr>,
        /// The batch.
        hold: Hold,
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
