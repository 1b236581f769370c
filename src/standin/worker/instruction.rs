//! What a task's payload tells the stand-in to do.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::resource::Amount;

/// Instruction in a task's payload; an empty payload succeeds at once.
///
/// ```
/// use oriolefork::standin::worker::{End, Instruction};
/// let payload = r#"{"run_ms": 500, "end": "failed"}"#;
/// let instruction: Instruction = payload.parse().unwrap();
/// assert_eq!(instruction.end, End::Failed);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Instruction {
    /// Length of the run in milliseconds.
    pub run_ms: u64,
    /// How the run ends.
    pub end: End,
    /// What the task uses, when that differs from what it declares.
    pub usage: Option<Amount>,
}

/// How a run ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// With success.
    #[default]
    Succeeded,
    /// With a failure.
    Failed,
    /// Only when stopped.
    Never,
}

impl FromStr for Instruction {
    type Err = serde_json::Error;

    fn from_str(payload: &str) -> Result<Self, serde_json::Error> {
        if payload.is_empty() {
            return Ok(Self::default());
        }
        serde_json::from_str(payload)
    }
}
