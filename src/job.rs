//! Identities and specifications of jobs.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::clock::Unix;
use crate::resource::Amount;

/// Identity of a job, derived from its team and idempotency key, so that a repeated submission gets
/// the same identity on every instance.
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

    /// Creates an identity from its numeric value.
    pub const fn from_raw(raw: u64) -> Self {
        Self(raw)
    }

    /// The numeric value of the identity.
    pub const fn raw(self) -> u64 {
        self.0
    }

    /// Parses the output of `Display`: 16 hexadecimal digits. `None` for any other text.
    pub fn parse(text: &str) -> Option<Self> {
        // `from_str_radix` also accepts a leading sign, which `Display` never writes.
        let is_id = text.len() == 16 && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        is_id.then(|| u64::from_str_radix(text, 16).ok().map(Self)).flatten()
    }
}

/// How the tasks of a job are placed and when they end.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Each task runs until it is stopped, and is restarted when it ends by itself.
    #[display("long-running")]
    LongRunning,
    /// Each task is placed on its own and runs to completion.
    #[display("batch")]
    Batch,
    /// All tasks start at once or none does.
    #[display("gang")]
    Gang,
}

/// Whether a task may be started again when an earlier attempt may have run.
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
    /// The task may be started again once the earlier attempt has certainly ended.
    #[default]
    #[display("idempotent")]
    Idempotent,
    /// The task is started at most once.
    #[display("at-most-once")]
    AtMostOnce,
}

/// Priority of a job over others.
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
    /// Starts in the order of the placement policy.
    #[default]
    #[display("normal")]
    Normal,
    /// Starts before all normal jobs and may preempt batch tasks.
    #[display("urgent")]
    Urgent,
}

/// Specification of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Name by which run times are estimated; the same for each run of a recurring job.
    pub name: String,
    /// Team whose quota the job counts against.
    pub team: String,
    /// How the tasks are placed.
    pub kind: Kind,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// Resources that each task needs.
    pub demand: Amount,
    /// Whether a task may be started again.
    pub effect: Effect,
    /// Whether it goes before normal jobs.
    pub urgency: Urgency,
    /// Expected run time of a task, if the submitter declares one.
    pub run_time: Option<Duration>,
    /// Time by which every task must have ended.
    pub deadline: Option<Unix>,
    /// Instruction for the worker, opaque to the scheduler.
    pub payload: String,
}
