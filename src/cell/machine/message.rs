//! What the owner is told and what it wants done.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::advice::Question;
use crate::cell::activity::OwnerActivity;
use crate::cell::dependencies::{
    AppendError, Eligibility, JournalSnapshot, PollReport, PollRequest, RosterUpdate, StartCommand,
    WorkerError,
};
use crate::cell::job::{Id, Job, Phase, Run};
use crate::cell::queue::QueueConfig;
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
        outcome: Result<u64, AppendError>,
    },
    /// A worker answered a look, or did not.
    Looked {
        /// The worker.
        worker: WorkerId,
        /// When the look was sent.
        sent: Instant,
        /// What it told.
        outcome: Result<PollReport, WorkerError>,
    },
    /// A worker answered an order to start.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The try.
        run: Run,
        /// Its clock.
        outcome: Result<u64, WorkerError>,
    },
    /// A worker answered an order to stop.
    Stopped {
        /// The worker.
        worker: WorkerId,
        /// The try.
        run: Run,
        /// Its clock.
        outcome: Result<u64, WorkerError>,
    },
    /// The policy service answered, or did not.
    Advised {
        /// Number of the question.
        question: u64,
        /// What it allows; `None` when no answer came.
        allowed: Option<Eligibility>,
    },
    /// The list of workers changed.
    Roster(RosterUpdate),
    /// The configuration changed.
    Table(Rc<QueueConfig>),
    /// The whole state is to be saved.
    SaveDue,
    /// An instance is there and can ask the policy service.
    Present {
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
    pub const fn duty(&self) -> OwnerActivity {
        match self {
            Self::Call { .. } => OwnerActivity::Call,
            Self::Appended { .. } | Self::SaveDue => OwnerActivity::Append,
            Self::Looked { .. } => OwnerActivity::Report,
            Self::Started { .. } | Self::Stopped { .. } => OwnerActivity::Command,
            Self::Advised { .. } => OwnerActivity::Policy,
            Self::Roster(_) | Self::Table(_) => OwnerActivity::List,
            Self::Present { .. } => OwnerActivity::Watch,
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
    Look {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// What to ask.
        look: PollRequest,
    },
    /// Start a try.
    Start {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        peer: SocketAddr,
        /// The order.
        start: StartCommand,
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
    Advise(Question),
    /// Answer a caller.
    Reply {
        /// Names the call.
        id: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Save the whole state.
    Save(JournalSnapshot),
    /// Another owner has taken the cell over; end.
    StepDown {
        /// How it showed.
        why: String,
    },
}

impl Effect {
    /// What carrying it out counts for.
    pub const fn duty(&self) -> OwnerActivity {
        match self {
            Self::Append { .. } | Self::Save(_) | Self::StepDown { .. } => OwnerActivity::Append,
            Self::Look { .. } => OwnerActivity::Poll,
            Self::Start { .. } | Self::Stop { .. } => OwnerActivity::Command,
            Self::Advise(_) => OwnerActivity::Policy,
            Self::Reply { .. } => OwnerActivity::Call,
        }
    }
}
