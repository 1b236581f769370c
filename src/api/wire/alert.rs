//! Alerts.

use serde::{Deserialize, Serialize};

use crate::api::refusal::Refusal;
use crate::api::view;
use crate::api::view::alert::Kind;
use crate::api::wire::check;
use crate::clock::Unix;

/// Something that a person has to see.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Alert {
    /// Its identity.
    pub id: String,
    /// What it is about.
    pub kind: Kind,
    /// Failure domain in which it arose.
    pub domain: String,
    /// Job or worker concerned.
    pub subject: String,
    /// What happened, in a sentence for people.
    pub message: String,
    /// When it was raised.
    pub raised_unix_ms: u64,
    /// How often the same was raised.
    pub count: u64,
    /// When its cause went away.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_unix_ms: Option<u64>,
    /// Who has seen it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub acknowledged_by: Option<String>,
    /// When they said so.
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

/// A person's signature under an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct OperatorName {
    /// The person.
    pub by: String,
}

impl OperatorName {
    /// The person's name, checked.
    ///
    /// # Errors
    ///
    /// Names the field when the name breaks the rules for names.
    pub fn into_name(self) -> Result<String, Refusal> {
        check::name("by", &self.by)?;
        Ok(self.by)
    }
}
