//! Alerts, which stay until a person acknowledges them.

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

impl Alert {
    /// An alert of the board of `domain`.
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

/// Place of an alert in lists: open ones first, then the gravest kind, then the oldest.
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
        let kind = alert::Kind::ALL.into_iter().find(|known| known.to_string() == kind)?;
        Some(Self { is_acknowledged, kind, id: alert::Id::parse(id)? })
    }
}

/// The part of a board that `cut` asks for, open alerts only unless `all` is set.
///
/// The cursor names a place rather than an alert, so that a list goes on when the alert at its cut
/// was acknowledged meanwhile.
///
/// # Errors
///
/// Names the cursor when it is none.
pub fn page(
    domain: &domain::Name,
    board: &Board,
    all: bool,
    page: &PageRequest<String>,
) -> Result<Page<Alert, String>, Refusal> {
    let malformed = || Refusal::invalid("after", "must be the `next` of the page before");
    let after = page.after.as_deref().map(|text| SortKey::parse(text).ok_or_else(malformed));
    let after = after.transpose()?;
    let seen = board.acknowledged().filter(|_| all);
    let mut alerts: Vec<&alert::Alert> = board.open().into_iter().chain(seen).collect();
    alerts.retain(|alert| after.is_none_or(|after| SortKey::new(alert) > after));
    alerts.sort_by_key(|alert| SortKey::new(alert));
    let is_last = alerts.len() <= page.limit;
    alerts.truncate(page.limit);
    let last = alerts.last().map(|alert| SortKey::new(alert).cursor());
    let next = if is_last { None } else { last };
    Ok(Page { items: alerts.into_iter().map(|alert| Alert::new(domain, alert)).collect(), next })
}
