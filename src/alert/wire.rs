//! Serialized form of alerts in the failure domain's stream and in its snapshots.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::kind::{self, Id};
use super::record::{self, Acknowledgement};
use super::{Key, Kind, board};
use crate::clock::Unix;
use crate::{job, task, worker};

/// The serialized alert has a kind that this version does not define.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("step=alert.decode cause=unknown kind {kind:?}")]
pub struct Error {
    /// Name of the unknown kind.
    pub kind: String,
}

/// Serialized form of a [`record::Record`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Record {
    /// An alert was raised.
    Raised {
        /// Identity of the alert.
        id: u64,
        /// Kind of the alert, as [`Kind`] displays it.
        kind: String,
        /// Subject of the alert.
        subject: Subject,
        /// Description of the event for operators.
        message: String,
        /// Time at which the alert was raised.
        at: Unix,
    },
    /// The cause of an alert has gone.
    Ended {
        /// Identity of the alert.
        id: u64,
        /// Time at which the cause was found to be gone.
        at: Unix,
    },
    /// An operator acknowledged the alert.
    Acknowledged {
        /// Identity of the alert.
        id: u64,
        /// Name of the operator.
        by: String,
        /// Time of the acknowledgement.
        at: Unix,
    },
}

/// Serialized form of a [`kind::Subject`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Subject {
    /// A job.
    Job(job::Id),
    /// An attempt to run a task.
    Task(task::Id),
    /// A worker.
    Worker(worker::Name),
    /// The failure domain itself.
    Domain,
    /// The subjects that a summary alert counts.
    Many,
}

/// Serialized form of a [`board::Alert`] in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Alert {
    id: u64,
    kind: String,
    subject: Subject,
    message: String,
    raised: Unix,
    last: Unix,
    count: u64,
    ended: Option<Unix>,
    acknowledged: Option<(String, Unix)>,
}

/// Serialized form of a [`board::BoardSnapshot`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoardSnapshot {
    alerts: Vec<Alert>,
    members: BTreeMap<String, Vec<u64>>,
    latest: u64,
    forgotten: u64,
}

impl From<&record::Record> for Record {
    fn from(record: &record::Record) -> Self {
        match record {
            record::Record::Raised { id, key, message, at } => Self::Raised {
                id: id.raw(),
                kind: key.kind.to_string(),
                subject: (&key.subject).into(),
                message: message.clone(),
                at: *at,
            },
            record::Record::Ended { id, at } => Self::Ended { id: id.raw(), at: *at },
            record::Record::Acknowledged { id, acknowledgement } => Self::Acknowledged {
                id: id.raw(),
                by: acknowledgement.by.clone(),
                at: acknowledgement.at,
            },
        }
    }
}

impl TryFrom<Record> for record::Record {
    type Error = Error;

    fn try_from(record: Record) -> Result<Self, Error> {
        Ok(match record {
            Record::Raised { id, kind, subject, message, at } => {
                let key = Key { kind: parse_kind(kind)?, subject: subject.into() };
                Self::Raised { id: Id::from_raw(id), key, message, at }
            }
            Record::Ended { id, at } => Self::Ended { id: Id::from_raw(id), at },
            Record::Acknowledged { id, by, at } => {
                let acknowledgement = Acknowledgement { by, at };
                Self::Acknowledged { id: Id::from_raw(id), acknowledgement }
            }
        })
    }
}

impl From<&kind::Subject> for Subject {
    fn from(subject: &kind::Subject) -> Self {
        match subject {
            kind::Subject::Job(job) => Self::Job(*job),
            kind::Subject::Task(task) => Self::Task(*task),
            kind::Subject::Worker(worker) => Self::Worker(worker.clone()),
            kind::Subject::Domain => Self::Domain,
            kind::Subject::Many => Self::Many,
        }
    }
}

impl From<Subject> for kind::Subject {
    fn from(subject: Subject) -> Self {
        match subject {
            Subject::Job(job) => Self::Job(job),
            Subject::Task(task) => Self::Task(task),
            Subject::Worker(worker) => Self::Worker(worker),
            Subject::Domain => Self::Domain,
            Subject::Many => Self::Many,
        }
    }
}

impl From<&board::Alert> for Alert {
    fn from(alert: &board::Alert) -> Self {
        let acknowledged = alert.acknowledged.as_ref();
        Self {
            id: alert.id.raw(),
            kind: alert.key.kind.to_string(),
            subject: (&alert.key.subject).into(),
            message: alert.message.clone(),
            raised: alert.raised,
            last: alert.last_raised,
            count: alert.count,
            ended: alert.ended,
            acknowledged: acknowledged.map(|seen| (seen.by.clone(), seen.at)),
        }
    }
}

impl TryFrom<Alert> for board::Alert {
    type Error = Error;

    fn try_from(alert: Alert) -> Result<Self, Error> {
        let key = Key { kind: parse_kind(alert.kind)?, subject: alert.subject.into() };
        Ok(Self {
            id: Id::from_raw(alert.id),
            key,
            message: alert.message,
            raised: alert.raised,
            last_raised: alert.last,
            count: alert.count,
            ended: alert.ended,
            acknowledged: alert.acknowledged.map(|(by, at)| Acknowledgement { by, at }),
        })
    }
}

impl From<&board::BoardSnapshot> for BoardSnapshot {
    fn from(snapshot: &board::BoardSnapshot) -> Self {
        let members = snapshot.counted_subjects.iter();
        Self {
            alerts: snapshot.alerts.iter().map(Alert::from).collect(),
            members: members
                .map(|(kind, members)| (kind.to_string(), members.iter().copied().collect()))
                .collect(),
            latest: snapshot.latest_id.raw(),
            forgotten: snapshot.latest_evicted.raw(),
        }
    }
}

impl TryFrom<BoardSnapshot> for board::BoardSnapshot {
    type Error = Error;

    fn try_from(snapshot: BoardSnapshot) -> Result<Self, Error> {
        let alerts: Result<_, _> =
            snapshot.alerts.into_iter().map(board::Alert::try_from).collect();
        let members: Result<_, Error> = snapshot
            .members
            .into_iter()
            .map(|(kind, members)| Ok((parse_kind(kind)?, members.into_iter().collect())))
            .collect();
        let (latest_id, latest_evicted) =
            (Id::from_raw(snapshot.latest), Id::from_raw(snapshot.forgotten));
        Ok(Self { alerts: alerts?, counted_subjects: members?, latest_id, latest_evicted })
    }
}

fn parse_kind(kind: String) -> Result<Kind, Error> {
    let known = Kind::ALL.into_iter().find(|known| known.to_string() == kind);
    known.ok_or(Error { kind })
}
