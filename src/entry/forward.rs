//! Calls that only the owner of a failure domain can answer, as passed on between instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::api::{Call, Refusal, view};
use crate::{domain, job, worker};

/// Peer method that carries a call to the owner.
pub const CALL: &str = "owner/call";

/// Most instances a call passes through. A call meets a second hop when the owner has just
/// changed; more would let two instances with stale views pass it back and forth.
pub const MAX_HOPS: u8 = 2;

/// A call on its way to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Failure domain whose owner is asked. An address may have gone to an instance of another
    /// domain, which must not accept the job a second time.
    pub domain: domain::Name,
    /// Instances it may still pass through.
    pub hops: u8,
    /// The caller's circumstances.
    pub call: Call,
    /// What is asked.
    #[serde(rename = "ask")]
    pub request: OwnerRequest,
}

/// What is asked of the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OwnerRequest {
    /// Accept a job.
    Submit(view::job::Submission),
    /// Stop a job.
    Cancel(job::Id),
    /// Show a job.
    Job(job::Id),
    /// List jobs.
    Jobs(view::job::Filter, view::Cut<job::Id>),
    /// Say why a job waits.
    Explain(job::Id),
    /// List workers.
    Workers,
    /// Show a worker.
    Worker(worker::Name),
    /// Take a worker for gone.
    GiveUp(worker::Name),
    /// List alerts, acknowledged ones too when the flag is set.
    Alerts(bool, view::Cut<String>),
    /// Mark an alert as seen.
    Acknowledge(String),
    /// Report the domain's state.
    Status,
}

impl OwnerRequest {
    /// Whether the call changes anything.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Submit(_) | Self::Cancel(_) | Self::GiveUp(_) | Self::Acknowledge(_))
    }
}

/// What the owner answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OwnerResponse {
    /// To [`OwnerRequest::Submit`].
    Accepted(view::job::Accepted),
    /// To [`OwnerRequest::Cancel`] and [`OwnerRequest::Job`].
    Job(Box<view::job::Job>),
    /// To [`OwnerRequest::Jobs`].
    Jobs(view::Page<view::job::Summary, job::Id>),
    /// To [`OwnerRequest::Explain`].
    Explanation(view::job::Explanation),
    /// To [`OwnerRequest::Workers`].
    Workers(Vec<view::worker::Worker>),
    /// To [`OwnerRequest::Worker`] and [`OwnerRequest::GiveUp`].
    Worker(view::worker::Worker),
    /// To [`OwnerRequest::Alerts`].
    Alerts(view::Page<view::alert::Alert, String>),
    /// To [`OwnerRequest::Acknowledge`].
    Alert(view::alert::Alert),
    /// To [`OwnerRequest::Status`].
    Status(Box<view::status::Domain>),
}

/// Result of a call to the owner.
pub type Reply = Result<OwnerResponse, Refusal>;

/// Time kept back for the way home, so that the caller hears the owner's answer in time.
pub fn owner_timeout(left: Duration) -> Duration {
    left.saturating_sub(left / 10)
}
