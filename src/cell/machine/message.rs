//! What the owner is told and what it wants done.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::advice::PolicyQuery;
use crate::cell::duty::Duty;
use crate::cell::job::{Id, Job, Phase, Run};
use crate::cell::link::{Allowed, Base, Fault, Look, Rejected, Report, Roster, Start};
use crate::cell::queue::Table;
use crate::cell::record::WorkerId;
use crate::clock::Instant;

/// Names a call that waits for its answer.
pub type CallId = u64;

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Accept a job.
    Submit(Job),
    /// Cancel a job.
    Cancel(Id),
    /// Tell a job's phase.
    Show(Id),
    /// Count the jobs of a queue for which no task has started.
    Waiting(String),
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The job's phase.
    Phase(Phase),
    /// Jobs that wait.
    Waiting(u64),
    /// No such job.
    Unknown,
    /// The owner cannot tell at present; nothing was done.
    Unavailable,
}

/// What the machine is told.
#[derive(Debug)]
pub enum Message {
    /// A caller asks.
    Call {
        /// Names the call.
        id: CallId,
        /// What is asked.
        call: Call,
    },
    /// An append ended.
    Appended {
        /// Number of the batch.
        sequence: u64,
        /// When it was sent.
        sent: Instant,
        /// Offset after it.
        outcome: Result<u64, Rejected>,
    },
    /// A worker answered a look, or did not.
    Polled {
        /// The worker.
        worker: WorkerId,
        /// When the look was sent.
        sent: Instant,
        /// What it told.
        outcome: Result<Report, Fault>,
    },
    /// A worker answered an order to start.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The try.
        run: Run,
        /// Its clock.
        outcome: Result<u64, Fault>,
    },
    /// A worker answered an order to stop.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The try.
        run: Run,
        /// Its clock.
        outcome: Result<u64, Fault>,
    },
    /// The policy service answered, or did not.
    PolicyAnswered {
        /// Number of the question.
        query: u64,
        /// What it allows; `None` when no answer came.
        allowed: Option<Allowed>,
    },
    /// The list of workers changed.
    Roster(Roster),
    /// The configuration changed.
    Table(Rc<Table>),
    /// The whole state is to be saved.
    SnapshotDue,
    /// An instance is there and can ask the policy service.
    InstanceSeen {
        /// Where it is reached.
        peer: SocketAddr,
        /// Processor that it may use, in thousandths of a core.
        strength: u32,
        /// Its failure domain.
        domain: Rc<str>,
    },
}

impl Message {
    /// What taking it in counts for.
    pub const fn duty(&self) -> Duty {
        match self {
            Self::Call { .. } => Duty::Call,
            Self::Appended { .. } | Self::SnapshotDue => Duty::Append,
            Self::Polled { .. } => Duty::Report,
            Self::Started { .. } | Self::Stopped { .. } => Duty::Order,
            Self::PolicyAnswered { .. } => Duty::Advice,
            Self::Roster(_) | Self::Table(_) => Duty::List,
            Self::InstanceSeen { .. } => Duty::Watch,
        }
    }
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append a batch to the journal.
    Append {
        /// Its number.
        sequence: u64,
        /// Its content.
        batch: Bytes,
    },
    /// Look at a worker.
    Poll {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// What to ask.
        poll: Look,
    },
    /// Start a try.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The order.
        start: Start,
    },
    /// Stop a try.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The try.
        run: Run,
    },
    /// Ask the policy service.
    QueryPolicy(PolicyQuery),
    /// Answer a caller.
    Reply {
        /// Names the call.
        id: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Save the whole state.
    Save(Base),
    /// Another owner has taken the cell over; end.
    StepDown {
        /// How it showed.
        reason: String,
    },
}

impl Effect {
    /// What carrying it out counts for.
    pub const fn duty(&self) -> Duty {
        match self {
            Self::Append { .. } | Self::Save(_) | Self::StepDown { .. } => Duty::Append,
            Self::Poll { .. } => Duty::Look,
            Self::Start { .. } | Self::Stop { .. } => Duty::Order,
            Self::QueryPolicy(_) => Duty::Advice,
            Self::Reply { .. } => Duty::Call,
        }
    }
}
