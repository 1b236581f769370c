//! Kinds, subjects and identities of alerts.

use derive_more::Display;

use crate::{job, task, worker};

/// Kind of an alert, ordered from the most to the least severe.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A job ended without completing its work.
    #[display("lost")]
    Lost,
    /// It is not known whether a task still runs.
    #[display("uncertain")]
    Uncertain,
    /// A deadline was missed.
    #[display("late")]
    Late,
    /// A deadline will probably be missed.
    #[display("at-risk")]
    AtRisk,
    /// A job can never run.
    #[display("impossible")]
    Impossible,
    /// A worker was quarantined because tasks fail on it; it gets no new tasks.
    #[display("quarantined")]
    Quarantined,
    /// A worker could not be fenced and gets no tasks.
    #[display("unfenced")]
    Unfenced,
    /// The log does not respond.
    #[display("log-outage")]
    LogOutage,
    /// The settings in force have not been confirmed for too long.
    #[display("stale-config")]
    StaleConfig,
    /// Many instances vanished from the instance list at once; the list is not trusted yet.
    #[display("suspect-list")]
    SuspectList,
}

impl Kind {
    /// All kinds, from the most to the least severe.
    pub const ALL: [Self; 10] = [
        Self::Lost,
        Self::Uncertain,
        Self::Late,
        Self::AtRisk,
        Self::Impossible,
        Self::Quarantined,
        Self::Unfenced,
        Self::LogOutage,
        Self::StaleConfig,
        Self::SuspectList,
    ];
}

/// Subject of an alert.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A job.
    #[display("job {_0}")]
    Job(job::Id),
    /// An attempt to run a task.
    #[display("task {_0}")]
    Task(task::Id),
    /// A worker of the domain.
    #[display("worker {_0}")]
    Worker(worker::Name),
    /// The failure domain itself.
    #[display("the failure domain")]
    Domain,
    /// All subjects whose alerts are counted in one summary alert, because too many alerts of the
    /// kind were open already.
    #[display("many")]
    Many,
}

/// Key by which alerts are deduplicated: at most one alert with a key is open.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{kind}: {subject}")]
pub struct Key {
    /// Kind of the alert.
    pub kind: Kind,
    /// Subject of the alert.
    pub subject: Subject,
}

/// Identity of an alert, unique in its failure domain; later alerts have larger identities.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:x}")]
pub struct Id(u64);

impl Id {
    /// Creates an identity from its number.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// Returns the identity as a number.
    pub const fn raw(self) -> u64 {
        self.0
    }

    /// Parses the hexadecimal form that `Display` writes; returns `None` if `text` is invalid.
    ///
    /// ```
    /// use oriolefork::alert::Id;
    /// let id = Id::from_raw(0x19a_bcde);
    /// assert_eq!(Id::parse(&id.to_string()), Some(id));
    /// assert_eq!(Id::parse("no id"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }
}
