//! Calls that only the owner of a failure domain can answer, as passed on between instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::api::{CallContext, Refusal, view};
use crate::{domain, job, worker};

/// Peer method that carries a call to the owner.
pub const CALL: &str = "owner/call";

/// Most instances a call passes through. A call meets a second hop when the owner has just
/// changed; more would let two instances with stale views pass it back and forth.
pub const MAX_HOPS: u8 = 2;

/// A call on its way to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// Failure domain whose owner is asked. An address may have gone to an instance of another
    /// domain, which must not accept the job a second time.
    pub domain: domain::Name,
    /// Instances it may still pass through.
    pub hops: u8,
    /// The caller's circumstances.
    pub call: CallContext,
    /// What is asked.
    pub ask: Ask,
}

/// What is asked of the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Ask {
    /// Accept a job.
    Submit(view::job::Submission),
    /// Stop a job.
    Cancel(job::Id),
    /// Show a job.
    Job(job::Id),
    /// List jobs.
    Jobs(view::job::Filter, view::PageRequest<job::Id>),
    /// Say why a job waits.
    Explain(job::Id),
    /// List workers.
    Workers,
    /// Show a worker.
    Worker(worker::Name),
    /// Take a worker for gone.
    GiveUp(worker::Name),
    /// List alerts, acknowledged ones too when the flag is set.
    Alerts(bool, view::PageRequest<String>),
    /// Mark an alert as seen.
    Acknowledge(String),
    /// Report the domain's state.
    Status,
}

impl Ask {
    /// Whether the call changes anything.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Submit(_) | Self::Cancel(_) | Self::GiveUp(_) | Self::Acknowledge(_))
    }
}

/// What the owner answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Tell {
    /// To [`Ask::Submit`].
    Accepted(view::job::Accepted),
    /// To [`Ask::Cancel`] and [`Ask::Job`].
    Job(Box<view::job::Job>),
    /// To [`Ask::Jobs`].
    Jobs(view::Page<view::job::Summary, job::Id>),
    /// To [`Ask::Explain`].
    Explanation(view::job::Explanation),
    /// To [`Ask::Workers`].
    Workers(Vec<view::worker::Worker>),
    /// To [`Ask::Worker`] and [`Ask::GiveUp`].
    Worker(view::worker::Worker),
    /// To [`Ask::Alerts`].
    Alerts(view::Page<view::alert::Alert, String>),
    /// To [`Ask::Acknowledge`].
    Alert(view::alert::Alert),
    /// To [`Ask::Status`].
    Status(Box<view::status::Domain>),
}

/// Result of a call to the owner.
pub type Reply = Result<Tell, Refusal>;

/// Time kept back for the way home, so that the caller hears the owner's answer in time.
pub fn within(left: Duration) -> Duration {
    left.saturating_sub(left / 10)
}
