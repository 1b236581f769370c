//! Messages between entry instances about runners, in their form on the wire.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::proxy::Reply;
use super::request::{Refusal, UnknownCause};
use super::transport::{Answer, Call};
use super::{Name, share};
use crate::clock::{Instant, millis};
use crate::domain::Epoch;
use crate::job::Effect;

/// Most runners that one message may speak of.
const MAX_RUNNERS: usize = 4096;
/// Most slots that one line may speak of.
const MAX_SLOTS: u32 = 65_536;
/// Longest retry time that is believed.
const MAX_RETRY_MS: u64 = 600_000;

/// A message whose numbers are out of their range.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// It speaks of too many runners.
    #[display("more than {MAX_RUNNERS} runners")]
    TooManyRunners,
    /// It speaks of more slots than a runner can have.
    #[display("more than {MAX_SLOTS} slots")]
    TooManySlots,
}

/// A keeper and a reading of its clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Timestamp {
    epoch: Epoch,
    run: u64,
    at_ms: u64,
}

/// A call to the keeper of shares.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShareRequest {
    index: u32,
    run: u64,
    sequence: u64,
    #[serde(rename = "stamp")]
    timestamp: Option<Timestamp>,
    #[serde(rename = "lines")]
    runners: Vec<RunnerSlots>,
}

/// The keeper's answer; empty when a later call came first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShareResponse {
    sequence: u64,
    #[serde(rename = "stamp")]
    timestamp: Timestamp,
    #[serde(rename = "lines")]
    runners: Vec<RunnerSlots>,
}

/// One runner with three numbers of slots.
///
/// In a call: lent, held, wanted. In an answer: lent, borrowed, called for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunnerSlots {
    runner: Name,
    slots: [u32; 3],
}

/// A request passed on to another failure domain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunRequest {
    /// Service addressed.
    pub service: String,
    /// Whether a second run does harm.
    pub effect: Effect,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body as the caller sent it.
    pub body: Vec<u8>,
    /// Time left to the caller, in milliseconds.
    pub budget_ms: u64,
}

/// The end of a request that was passed on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RunResponse {
    /// The runner's whole answer.
    #[serde(rename = "Whole")]
    Complete {
        /// Status in the sense of HTTP.
        status: u16,
        /// Media type of the body.
        content_type: Option<String>,
        /// Body as the runner sent it.
        body: Vec<u8>,
    },
    /// Nothing reached a runner.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// Milliseconds after which a further try makes sense.
        retry_after_ms: u64,
    },
    /// A runner may have worked on it.
    Unknown {
        /// Why.
        #[serde(rename = "doubt")]
        cause: UnknownCause,
        /// Milliseconds after which a further try makes sense.
        retry_after_ms: u64,
    },
}

impl From<share::Timestamp> for Timestamp {
    fn from(timestamp: share::Timestamp) -> Self {
        let share::Timestamp { coordinator: share::CoordinatorId { epoch, run }, at } = timestamp;
        Self { epoch, run, at_ms: at.as_millis() }
    }
}

impl From<Timestamp> for share::Timestamp {
    fn from(timestamp: Timestamp) -> Self {
        let Timestamp { epoch, run, at_ms } = timestamp;
        Self { coordinator: share::CoordinatorId { epoch, run }, at: Instant::from_millis(at_ms) }
    }
}

impl From<&share::ShareRequest> for ShareRequest {
    fn from(request: &share::ShareRequest) -> Self {
        let line = |slot_request: &share::SlotRequest| RunnerSlots {
            runner: slot_request.runner.clone(),
            slots: [slot_request.lend, slot_request.holding, slot_request.want],
        };
        Self {
            index: request.participant.index,
            run: request.participant.run,
            sequence: request.sequence,
            timestamp: request.timestamp.map(Timestamp::from),
            runners: request.runners.iter().map(line).collect(),
        }
    }
}

impl TryFrom<ShareRequest> for share::ShareRequest {
    type Error = Error;

    fn try_from(request: ShareRequest) -> Result<Self, Error> {
        check(&request.runners)?;
        let slot_request = |RunnerSlots { runner, slots: [lend, holding, want] }| {
            share::SlotRequest { runner, lend, holding, want }
        };
        Ok(Self {
            participant: share::ParticipantId { index: request.index, run: request.run },
            sequence: request.sequence,
            timestamp: request.timestamp.map(share::Timestamp::from),
            runners: request.runners.into_iter().map(slot_request).collect(),
        })
    }
}

impl From<&share::ShareResponse> for ShareResponse {
    fn from(response: &share::ShareResponse) -> Self {
        let line = |share: &share::SlotGrant| RunnerSlots {
            runner: share.runner.clone(),
            slots: [share.lent, share.borrowed, share.wanted_by_others],
        };
        Self {
            sequence: response.sequence,
            timestamp: response.timestamp.into(),
            runners: response.runners.iter().map(line).collect(),
        }
    }
}

impl TryFrom<ShareResponse> for share::ShareResponse {
    type Error = Error;

    fn try_from(response: ShareResponse) -> Result<Self, Error> {
        check(&response.runners)?;
        let share = |RunnerSlots { runner, slots: [lent, borrowed, wanted_by_others] }| {
            share::SlotGrant { runner, lent, borrowed, wanted_by_others }
        };
        Ok(Self {
            sequence: response.sequence,
            timestamp: response.timestamp.into(),
            runners: response.runners.into_iter().map(share).collect(),
        })
    }
}

fn check(runners: &[RunnerSlots]) -> Result<(), Error> {
    if runners.len() > MAX_RUNNERS {
        return Err(Error::TooManyRunners);
    }
    let is_large = |line: &RunnerSlots| line.slots.iter().any(|slots| *slots > MAX_SLOTS);
    if runners.iter().any(is_large) { Err(Error::TooManySlots) } else { Ok(()) }
}

impl RunRequest {
    /// The form of `call` on the wire.
    pub fn new(call: &Call, effect: Effect) -> Self {
        Self {
            service: call.service.clone(),
            effect,
            content_type: call.content_type.clone(),
            body: call.body.to_vec(),
            budget_ms: millis(call.budget),
        }
    }
}

impl From<Reply> for RunResponse {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Complete(Answer { status, content_type, body }) => {
                Self::Complete { status, content_type, body: body.to_vec() }
            }
            Reply::NotRun { refusal, retry_after } => {
                Self::NotRun { refusal, retry_after_ms: millis(retry_after) }
            }
            Reply::Unknown { cause, retry_after, .. } => {
                Self::Unknown { cause, retry_after_ms: millis(retry_after) }
            }
        }
    }
}

impl From<RunResponse> for super::peer::ForwardOutcome {
    fn from(ran: RunResponse) -> Self {
        let retry_after = |ms: u64| Duration::from_millis(ms.min(MAX_RETRY_MS));
        match ran {
            RunResponse::Complete { status, content_type, body } => {
                Self::Complete(Answer { status, content_type, body: Bytes::from(body) })
            }
            RunResponse::NotRun { retry_after_ms, .. } => {
                Self::NotRun { retry_after: retry_after(retry_after_ms) }
            }
            RunResponse::Unknown { .. } => Self::Unknown,
        }
    }
}
