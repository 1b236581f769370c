//! What alerts are about.

use derive_more::Display;

use crate::{job, task, worker};

/// What went wrong; the gravest comes first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A job ended without its work done.
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
    /// A worker fails what it starts and gets no more work.
    #[display("quarantined")]
    Quarantined,
    /// A worker could not be fenced and is not used.
    #[display("unfenced")]
    Unfenced,
    /// The log does not answer.
    #[display("log-outage")]
    LogOutage,
    /// The settings in force could not be confirmed for long.
    #[display("stale-config")]
    StaleConfig,
    /// The list of instances lost many at once and is not believed yet.
    #[display("suspect-list")]
    SuspectList,
}

impl Kind {
    /// Every kind, the gravest first.
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

/// Whom an alert concerns.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// A job.
    #[display("job {_0}")]
    Job(job::Id),
    /// One try at a task.
    #[display("task {_0}")]
    Task(task::Id),
    /// A worker of the domain.
    #[display("worker {_0}")]
    Worker(worker::Name),
    /// The failure domain itself.
    #[display("the failure domain")]
    Domain,
    /// Many at once: those that came when too many alerts of the kind were open already.
    #[display("many")]
    Many,
}

/// What makes two alerts the same.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{kind}: {subject}")]
pub struct Key {
    /// What went wrong.
    pub kind: Kind,
    /// Whom it concerns.
    pub subject: Subject,
}

/// Identity of one alert, unique in its failure domain and rising with each one raised.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:x}")]
pub struct Id(u64);

impl Id {
    /// Rebuilds an identity from its number.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// The identity's number.
    pub const fn raw(self) -> u64 {
        self.0
    }

    /// Reads the form that `Display` writes; `None` when `text` is not such a form.
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
