//! Jobs as operators and services describe them.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::resource::Amount;

/// Identity of a job, derived from its team and idempotency key, so that a repeated submission
/// names the same job whichever instance receives it.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Id(u64);

impl Id {
    /// Derives the identity from a team and an idempotency key.
    ///
    /// ```
    /// use oriolefork::job::Id;
    /// assert_eq!(Id::derive("shop", "k1"), Id::derive("shop", "k1"));
    /// assert_ne!(Id::derive("shop", "k1"), Id::derive("shop", "k2"));
    /// ```
    pub fn derive(team: &str, key: &str) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(key.as_bytes());
        Self(hasher.digest())
    }

    /// Rebuilds an identity from its number.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// The identity's number.
    pub const fn raw(self) -> u64 {
        self.0
    }

    /// Reads the form that `Display` writes; `None` when `text` is not such a form.
    pub fn parse(text: &str) -> Option<Self> {
        // `from_str_radix` also reads a leading sign, which `Display` never writes.
        let is_id = text.len() == 16 && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        is_id.then(|| u64::from_str_radix(text, 16).ok().map(Self)).flatten()
    }
}

/// How the tasks of a job are placed and how long they live.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Runs until stopped; replaced when it ends by itself.
    #[display("long-running")]
    LongRunning,
    /// Each task runs to its end on its own.
    #[display("batch")]
    Batch,
    /// All tasks start together or none does.
    #[display("gang")]
    Gang,
}

/// Whether a task that may have run can be started again.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// A second run does no harm once the first has surely ended.
    #[default]
    #[display("idempotent")]
    Idempotent,
    /// At most one run is ever started.
    #[display("at-most-once")]
    AtMostOnce,
}

/// How soon a job should start.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Urgency {
    /// Starts when its turn comes.
    #[default]
    #[display("normal")]
    Normal,
    /// Goes before all normal work and may preempt batch tasks.
    #[display("urgent")]
    Urgent,
}

/// What a job asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Name under which run times are learned, the same each night.
    pub name: String,
    /// Team whose quota the job counts against.
    pub team: String,
    /// How the tasks are placed.
    pub kind: Kind,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// What each task needs.
    pub demand: Amount,
    /// Whether a task may be started again.
    pub effect: Effect,
    /// How soon it should start.
    pub urgency: Urgency,
    /// Expected run time of a task, when the submitter knows it.
    pub run_time: Option<Duration>,
    /// Time by which every task must have ended.
    pub deadline: Option<Unix>,
    /// Opaque instruction for the worker.
    pub payload: String,
}
