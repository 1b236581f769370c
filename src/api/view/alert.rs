//! Alerts, which stay listed until an operator acknowledges them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::alert::{self, Board};
use crate::api::refusal::Refusal;
use crate::api::view::{Page, PageRequest};
use crate::clock::Unix;
use crate::domain;

/// What an alert is about.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A job will probably miss its deadline.
    #[display("at-risk")]
    AtRisk,
    /// A job missed its deadline.
    #[display("late")]
    Late,
    /// A job ended without completing its work.
    #[display("lost")]
    Lost,
    /// It is not known whether a task still runs.
    #[display("uncertain")]
    Uncertain,
    /// A job can never run.
    #[display("impossible")]
    Impossible,
    /// Tasks fail on a worker, which therefore gets no new tasks.
    #[display("quarantined")]
    Quarantined,
    /// A worker could not be fenced and is therefore not used.
    #[display("unfenced")]
    Unfenced,
    /// The log does not respond.
    #[display("log-outage")]
    LogOutage,
    /// The current configuration has not been confirmed by the log for a long time.
    #[display("stale-config")]
    StaleConfig,
    /// Many instances vanished from the list at once; the new list is not applied yet.
    #[display("suspect-list")]
    SuspectList,
}

impl From<alert::Kind> for Kind {
    fn from(kind: alert::Kind) -> Self {
        match kind {
            alert::Kind::Lost => Self::Lost,
            alert::Kind::Uncertain => Self::Uncertain,
            alert::Kind::Late => Self::Late,
            alert::Kind::AtRisk => Self::AtRisk,
            alert::Kind::Impossible => Self::Impossible,
            alert::Kind::Quarantined => Self::Quarantined,
            alert::Kind::Unfenced => Self::Unfenced,
            alert::Kind::LogOutage => Self::LogOutage,
            alert::Kind::StaleConfig => Self::StaleConfig,
            alert::Kind::SuspectList => Self::SuspectList,
        }
    }
}

/// A condition that an operator has to acknowledge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alert {
    /// Id of the alert.
    pub id: String,
    /// What the alert is about.
    pub kind: Kind,
    /// Failure domain that raised the alert.
    pub domain: domain::Name,
    /// Job, worker or other object that the alert concerns.
    pub subject: String,
    /// Human-readable description.
    pub message: String,
    /// When the alert was raised.
    pub raised: Unix,
    /// Number of times that the alert was raised.
    pub count: u64,
    /// When the cause ended; the alert stays listed until it is acknowledged.
    pub ended: Option<Unix>,
    /// Who acknowledged the alert, and when.
    pub acknowledged: Option<Acknowledgement>,
}

/// Acknowledgement of an alert by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Name of the operator.
    pub by: String,
    /// When the alert was acknowledged.
    pub at: Unix,
}

impl Alert {
    /// Creates the view of an alert on the board of `domain`.
    pub fn new(domain: &domain::Name, alert: &alert::Alert) -> Self {
        let acknowledged = alert.acknowledged.as_ref();
        Self {
            id: alert.id.to_string(),
            kind: alert.key.kind.into(),
            domain: domain.clone(),
            subject: alert.key.subject.to_string(),
            message: alert.message.clone(),
            raised: alert.raised,
            count: alert.count,
            ended: alert.ended,
            acknowledged: acknowledged.map(|acknowledgement| Acknowledgement {
                by: acknowledgement.by.clone(),
                at: acknowledgement.at,
            }),
        }
    }
}

/// Position of an alert in lists: unacknowledged alerts first, then by severity of kind, then by
/// age, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SortKey {
    is_acknowledged: bool,
    kind: alert::Kind,
    id: alert::Id,
}

impl SortKey {
    fn new(alert: &alert::Alert) -> Self {
        let is_acknowledged = alert.acknowledged.is_some();
        Self { is_acknowledged, kind: alert.key.kind, id: alert.id }
    }

    fn cursor(self) -> String {
        let list = if self.is_acknowledged { "seen" } else { "open" };
        format!("{list}.{}.{}", self.kind, self.id)
    }

    fn parse(cursor: &str) -> Option<Self> {
        let mut parts = cursor.split('.');
        let (list, kind, id) = (parts.next()?, parts.next()?, parts.next()?);
        let is_acknowledged = match list {
            "open" => false,
            "seen" => true,
            _ => return None,
        };
        let kind = alert::Kind::ALL.into_iter().find(|candidate| candidate.to_string() == kind)?;
        Some(Self { is_acknowledged, kind, id: alert::Id::parse(id)? })
    }
}

/// Returns the requested page of a board's alerts; acknowledged ones only if `all` is set.
///
/// The cursor is a sort key, not an alert id. Paging therefore continues correctly if the last
/// alert of a page is acknowledged before the next page is requested.
///
/// # Errors
///
/// Refuses a malformed cursor.
pub fn page(
    domain: &domain::Name,
    board: &Board,
    all: bool,
    request: &PageRequest<String>,
) -> Result<Page<Alert, String>, Refusal> {
    let malformed = || Refusal::invalid("after", "must be the `next` value of the previous page");
    let after = request.after.as_deref().map(|text| SortKey::parse(text).ok_or_else(malformed));
    let after = after.transpose()?;
    let seen = board.acknowledged().filter(|_| all);
    let mut alerts: Vec<&alert::Alert> = board.open().into_iter().chain(seen).collect();
    alerts.retain(|alert| after.is_none_or(|after| SortKey::new(alert) > after));
    alerts.sort_by_key(|alert| SortKey::new(alert));
    let is_last_page = alerts.len() <= request.limit;
    alerts.truncate(request.limit);
    let last = alerts.last().map(|alert| SortKey::new(alert).cursor());
    let next = if is_last_page { None } else { last };
    Ok(Page { items: alerts.into_iter().map(|alert| Alert::new(domain, alert)).collect(), next })
}
