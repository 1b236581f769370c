//! Rules that pass over a step, as reported.

use serde::{Deserialize, Serialize};

/// A rule that passes over a step to save queries or placements, although the step could run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Deferral {
    /// Name of the rule.
    pub rule: String,
    /// Time for which it has passed over the step, until it last did so.
    pub since_ms: u64,
    /// Number of the step's tasks that could run, as the rule saw it; absent if it is not known.
    pub room: Option<f64>,
    /// Number that the rule wanted.
    pub wanted: f64,
    /// Whether the rule has passed over the step for as long as it may, so that it has to end.
    pub overdue: bool,
}
