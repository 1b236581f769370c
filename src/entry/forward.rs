//! Calls to the owner of a failure domain, as forwarded between instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::api::{CallContext, Refusal, view};
use crate::{domain, job, worker};

/// Peer method that carries a call to the owner.
pub const CALL: &str = "owner/call";

/// Maximum number of instances that a call is forwarded through. A second hop occurs when the owner
/// has just changed; with more, two instances with stale views could forward it back and forth.
pub const MAX_HOPS: u8 = 2;

/// A call that is forwarded to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Failure domain whose owner is called. The address may have been reassigned to an instance of
    /// another domain, which must not accept the job a second time.
    pub domain: domain::Name,
    /// Number of further hops allowed.
    pub hops: u8,
    /// Timeout and identity of the caller.
    pub call: CallContext,
    /// Request to the owner.
    #[serde(rename = "ask")]
    pub request: OwnerRequest,
}

/// Request to the owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OwnerRequest {
    /// Accept a job.
    Submit(view::job::Submission),
    /// Stop a job.
    Cancel(job::Id),
    /// Show a job.
    Job(job::Id),
    /// List jobs.
    Jobs(view::job::Filter, view::PageRequest<job::Id>),
    /// Explain why a job waits.
    Explain(job::Id),
    /// List workers.
    Workers,
    /// Show a worker.
    Worker(worker::Name),
    /// Declare a worker lost.
    GiveUp(worker::Name),
    /// List alerts, including acknowledged ones if the flag is set.
    Alerts(bool, view::PageRequest<String>),
    /// Acknowledge an alert.
    Acknowledge(String),
    /// Return the domain's status.
    Status,
}

impl OwnerRequest {
    /// Whether the request changes state.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Submit(_) | Self::Cancel(_) | Self::GiveUp(_) | Self::Acknowledge(_))
    }
}

/// The owner's response.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum OwnerResponse {
    /// Response to [`OwnerRequest::Submit`].
    Accepted(view::job::Accepted),
    /// Response to [`OwnerRequest::Cancel`] and [`OwnerRequest::Job`].
    Job(Box<view::job::Job>),
    /// Response to [`OwnerRequest::Jobs`].
    Jobs(view::Page<view::job::Summary, job::Id>),
    /// Response to [`OwnerRequest::Explain`].
    Explanation(view::job::Explanation),
    /// Response to [`OwnerRequest::Workers`].
    Workers(Vec<view::worker::Worker>),
    /// Response to [`OwnerRequest::Worker`] and [`OwnerRequest::GiveUp`].
    Worker(view::worker::Worker),
    /// Response to [`OwnerRequest::Alerts`].
    Alerts(view::Page<view::alert::Alert, String>),
    /// Response to [`OwnerRequest::Acknowledge`].
    Alert(view::alert::Alert),
    /// Response to [`OwnerRequest::Status`].
    Status(Box<view::status::Domain>),
}

/// Result of a call to the owner.
pub type Reply = Result<OwnerResponse, Refusal>;

/// Timeout of a forwarded call: nine tenths of the time left, so that the response reaches the
/// caller in time.
pub fn owner_timeout(left: Duration) -> Duration {
    left.saturating_sub(left / 10)
}
