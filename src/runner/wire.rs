//! Messages between entry instances about runners, in their form on the wire.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::link::{Answer, Call};
use super::proxy::Reply;
use super::request::{Doubt, Refusal};
use super::{Name, share};
use crate::clock::{Instant, millis};
use crate::domain::Epoch;
use crate::job::Effect;

/// Most runners that one message may speak of.
const MAX_LINES: usize = 4096;
/// Most slots that one line may speak of.
const MAX_SLOTS: u32 = 65_536;
/// Longest retry time that is believed.
const MAX_RETRY_MS: u64 = 600_000;

/// A message whose numbers are out of their range.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// It speaks of too many runners.
    #[display("more than {MAX_LINES} runners")]
    Lines,
    /// It speaks of more slots than a runner can have.
    #[display("more than {MAX_SLOTS} slots")]
    Slots,
}

/// A keeper and a reading of its clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Stamp {
    epoch: Epoch,
    run: u64,
    at_ms: u64,
}

/// A call to the keeper of shares.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ask {
    index: u32,
    run: u64,
    sequence: u64,
    stamp: Option<Stamp>,
    lines: Vec<Line>,
}

/// The keeper's answer; empty when a later call came first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Grant {
    sequence: u64,
    stamp: Stamp,
    lines: Vec<Line>,
}

/// One runner with three numbers of slots.
///
/// In a call: lent, held, wanted. In an answer: lent, borrowed, called for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Line {
    runner: Name,
    slots: [u32; 3],
}

/// A request passed on to another failure domain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Run {
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
pub enum Ran {
    /// The runner's whole answer.
    Whole {
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
        doubt: Doubt,
        /// Milliseconds after which a further try makes sense.
        retry_after_ms: u64,
    },
}

impl From<share::Stamp> for Stamp {
    fn from(stamp: share::Stamp) -> Self {
        let share::Stamp { keeper: share::Keeper { epoch, run }, at } = stamp;
        Self { epoch, run, at_ms: at.as_millis() }
    }
}

impl From<Stamp> for share::Stamp {
    fn from(stamp: Stamp) -> Self {
        let Stamp { epoch, run, at_ms } = stamp;
        Self { keeper: share::Keeper { epoch, run }, at: Instant::from_millis(at_ms) }
    }
}

impl From<&share::Ask> for Ask {
    fn from(ask: &share::Ask) -> Self {
        let line = |need: &share::Need| Line {
            runner: need.runner.clone(),
            slots: [need.lend, need.holding, need.want],
        };
        Self {
            index: ask.party.index,
            run: ask.party.run,
            sequence: ask.sequence,
            stamp: ask.stamp.map(Stamp::from),
            lines: ask.lines.iter().map(line).collect(),
        }
    }
}

impl TryFrom<Ask> for share::Ask {
    type Error = Error;

    fn try_from(ask: Ask) -> Result<Self, Error> {
        check(&ask.lines)?;
        let need = |Line { runner, slots: [lend, holding, want] }| share::Need {
            runner,
            lend,
            holding,
            want,
        };
        Ok(Self {
            party: share::Party { index: ask.index, run: ask.run },
            sequence: ask.sequence,
            stamp: ask.stamp.map(share::Stamp::from),
            lines: ask.lines.into_iter().map(need).collect(),
        })
    }
}

impl From<&share::Grant> for Grant {
    fn from(grant: &share::Grant) -> Self {
        let line = |share: &share::Share| Line {
            runner: share.runner.clone(),
            slots: [share.lent, share.borrowed, share.called],
        };
        Self {
            sequence: grant.sequence,
            stamp: grant.stamp.into(),
            lines: grant.lines.iter().map(line).collect(),
        }
    }
}

impl TryFrom<Grant> for share::Grant {
    type Error = Error;

    fn try_from(grant: Grant) -> Result<Self, Error> {
        check(&grant.lines)?;
        let share = |Line { runner, slots: [lent, borrowed, called] }| share::Share {
            runner,
            lent,
            borrowed,
            called,
        };
        Ok(Self {
            sequence: grant.sequence,
            stamp: grant.stamp.into(),
            lines: grant.lines.into_iter().map(share).collect(),
        })
    }
}

fn check(lines: &[Line]) -> Result<(), Error> {
    if lines.len() > MAX_LINES {
        return Err(Error::Lines);
    }
    let is_large = |line: &Line| line.slots.iter().any(|slots| *slots > MAX_SLOTS);
    if lines.iter().any(is_large) { Err(Error::Slots) } else { Ok(()) }
}

impl Run {
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

impl From<Reply> for Ran {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Whole(Answer { status, content_type, body }) => {
                Self::Whole { status, content_type, body: body.to_vec() }
            }
            Reply::NotRun { refusal, retry_after } => {
                Self::NotRun { refusal, retry_after_ms: millis(retry_after) }
            }
            Reply::Unknown { doubt, retry_after, .. } => {
                Self::Unknown { doubt, retry_after_ms: millis(retry_after) }
            }
        }
    }
}

impl From<Ran> for super::peer::Ended {
    fn from(ran: Ran) -> Self {
        let retry_after = |ms: u64| Duration::from_millis(ms.min(MAX_RETRY_MS));
        match ran {
            Ran::Whole { status, content_type, body } => {
                Self::Whole(Answer { status, content_type, body: Bytes::from(body) })
            }
            Ran::NotRun { retry_after_ms, .. } => {
                Self::NotRun { retry_after: retry_after(retry_after_ms) }
            }
            Ran::Unknown { .. } => Self::Unknown,
        }
    }
}
