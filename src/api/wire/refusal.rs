//! JSON form of refusals.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::api::refusal::{self, ExecutionStatus, Reason};
use crate::clock;

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Refusal {
    /// Whether the work may have run.
    pub ran: ExecutionStatus,
    /// Why the call was refused.
    pub reason: Reason,
    /// Human-readable description of the error.
    pub message: String,
    /// Milliseconds after which the caller should retry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Invalid field or header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
}

impl From<refusal::Refusal> for Refusal {
    fn from(refusal: refusal::Refusal) -> Self {
        let refusal::Refusal { ran, reason, message, retry_after, field } = refusal;
        Self { ran, reason, message, retry_after_ms: retry_after.map(clock::millis), field }
    }
}

impl From<Refusal> for refusal::Refusal {
    fn from(refusal: Refusal) -> Self {
        let Refusal { ran, reason, message, retry_after_ms, field } = refusal;
        Self { ran, reason, message, retry_after: retry_after_ms.map(Duration::from_millis), field }
    }
}
