//! How long tasks take on a worker in proportion to what their payload states.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::task;

/// A positive finite number.
///
/// ```
/// use oriolefork::standin::worker::Factor;
/// assert!("1.6".parse::<Factor>().is_ok());
/// for text in ["0", "-1", "NaN", "inf", "fast"] {
///     assert!(text.parse::<Factor>().is_err(), "{text}");
/// }
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64")]
pub struct Factor(f64);

/// Error for a number that is not positive and finite.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{value} is not a positive finite number")]
pub struct InvalidFactor {
    value: String,
}

impl TryFrom<f64> for Factor {
    type Error = InvalidFactor;

    fn try_from(value: f64) -> Result<Self, InvalidFactor> {
        if value.is_finite() && value > 0.0 {
            return Ok(Self(value));
        }
        Err(InvalidFactor { value: value.to_string() })
    }
}

impl FromStr for Factor {
    type Err = InvalidFactor;

    fn from_str(text: &str) -> Result<Self, InvalidFactor> {
        let invalid = || InvalidFactor { value: format!("{text:?}") };
        text.parse::<f64>().map_err(|_| invalid())?.try_into()
    }
}

/// How long tasks take on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Speed of the worker; run times are divided by it.
    pub speed: Factor,
    /// Share of the tasks that take [`Pace::tail_factor`] times as long; `None` for none.
    pub tail_share: Option<Factor>,
    /// How many times as long they take.
    pub tail_factor: Factor,
    /// Factor by which tasks that start now take longer; 1 for a healthy worker.
    pub slowdown: Factor,
}

impl Default for Pace {
    fn default() -> Self {
        let one = Factor(1.0);
        Self { speed: one, tail_share: None, tail_factor: Factor(7.0), slowdown: one }
    }
}

impl Pace {
    /// Returns the time that a task takes here whose payload states `stated`. The same attempt
    /// belongs to the tail on every worker.
    pub fn run_time(&self, id: task::Id, stated: Duration) -> Duration {
        let name = format!("{id:?}");
        let drawn = xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64;
        let in_tail = self.tail_share.is_some_and(|share| drawn < share.0);
        let tail = if in_tail { self.tail_factor.0 } else { 1.0 };
        let factor = self.slowdown.0 * tail / self.speed.0;
        Duration::try_from_secs_f64(stated.as_secs_f64() * factor).unwrap_or(Duration::MAX)
    }
}
