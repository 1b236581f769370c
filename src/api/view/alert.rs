//! Alerts, which stay until a person acknowledges them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::domain;

/// What an alert is about.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A deadline will probably be missed.
    #[display("at-risk")]
    AtRisk,
    /// A deadline was missed.
    #[display("late")]
    Late,
    /// A job ended without its work done.
    #[display("lost")]
    Lost,
    /// It is not known whether a task still runs.
    #[display("uncertain")]
    Uncertain,
    /// A job can never run.
    #[display("impossible")]
    Impossible,
    /// A worker fails what it starts and gets no more work.
    #[display("quarantined")]
    Quarantined,
    /// A worker could not be fenced and is not used.
    #[display("unfenced")]
    Unfenced,
    /// The log does not answer.
    #[display("log-outage")]
    LogOutage,
    /// The configuration in force could not be confirmed for long.
    #[display("stale-config")]
    StaleConfig,
    /// The list of instances lost many at once and is not believed yet.
    #[display("suspect-list")]
    SuspectList,
}

/// Something that a person has to see.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alert {
    /// Its identity.
    pub id: String,
    /// What it is about.
    pub kind: Kind,
    /// Failure domain in which it arose.
    pub domain: domain::Name,
    /// Job or worker concerned.
    pub subject: String,
    /// What happened, in a sentence for people.
    pub message: String,
    /// When it was raised.
    pub raised: Unix,
    /// How often the same was raised.
    pub count: u64,
    /// When its cause went away; the alert stays until it is acknowledged.
    pub ended: Option<Unix>,
    /// Who has seen it, and when.
    pub acknowledged: Option<Acknowledgement>,
}

/// A person's word that an alert was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The person.
    pub by: String,
    /// When they said so.
    pub at: Unix,
}
