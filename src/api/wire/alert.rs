//! JSON form of alerts.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::view::alert::Kind;
use crate::api::wire::check;
use crate::clock::Unix;

/// A condition that an operator has to acknowledge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Alert {
    /// Id of the alert.
    pub id: String,
    /// What the alert is about.
    pub kind: Kind,
    /// Failure domain that raised the alert.
    pub domain: String,
    /// Job, worker or other object that the alert concerns.
    pub subject: String,
    /// Human-readable description.
    pub message: String,
    /// When the alert was raised, in milliseconds since the Unix epoch.
    pub raised_unix_ms: u64,
    /// Number of times that the alert was raised.
    pub count: u64,
    /// When the cause ended, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// Name of the operator who acknowledged the alert.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged_by: Option<String>,
    /// When the alert was acknowledged, in milliseconds since the Unix epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged_unix_ms: Option<u64>,
}

impl From<view::alert::Alert> for Alert {
    fn from(alert: view::alert::Alert) -> Self {
        let acknowledged_unix_ms =
            alert.acknowledged.as_ref().map(|acknowledgement| acknowledgement.at.as_millis());
        Self {
            id: alert.id,
            kind: alert.kind,
            domain: alert.domain.to_string(),
            subject: alert.subject,
            message: alert.message,
            raised_unix_ms: alert.raised.as_millis(),
            count: alert.count,
            ended_unix_ms: alert.ended.map(Unix::as_millis),
            acknowledged_by: alert.acknowledged.map(|acknowledgement| acknowledgement.by),
            acknowledged_unix_ms,
        }
    }
}

/// Body of a change: the name of the operator who makes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorName {
    /// Name of the operator.
    pub by: String,
}

impl OperatorName {
    /// Validates the name and returns it.
    ///
    /// # Errors
    ///
    /// Refuses a name that [`check::name`] refuses.
    pub fn into_name(self) -> Result<String, Refusal> {
        check::name("by", &self.by)?;
        Ok(self.by)
    }
}
