//! Optional parts of an owner's decisions, switched on by `--features`.

use std::str::FromStr;

use derive_more::{Display, Error};

/// Which optional parts are on; all are off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Run times are learned by queue.
    pub run_times: bool,
    /// Speeds of workers are learned.
    pub worker_speeds: bool,
    /// Customers' shares count work instead of jobs.
    pub fair_shares: bool,
    /// Jobs that cannot end in time are refused.
    pub admission: bool,
}

impl Features {
    /// Whether an owner learns something that its successor can use.
    pub const fn any_learned(&self) -> bool {
        self.run_times || self.worker_speeds
    }
}

/// Error for a word that names no feature.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("there is no feature {name:?}; the features are {}", NAMES.join(", "))]
pub struct UnknownFeature {
    /// The word.
    pub name: String,
}

/// Names of the features on the command line, for the error message.
const NAMES: [&str; 4] = ["run-times", "worker-speeds", "fair-shares", "admission"];

impl FromStr for Features {
    type Err = UnknownFeature;

    /// Parses names separated by commas.
    ///
    /// ```
    /// use oriolefork::cell::features::Features;
    /// let features: Features = "run-times,admission".parse()?;
    /// assert!(features.run_times && features.admission && !features.fair_shares);
    /// assert!("run-time".parse::<Features>().is_err());
    /// # Ok::<(), oriolefork::cell::features::UnknownFeature>(())
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut features = Self::default();
        for name in text.split(',').map(str::trim).filter(|name| !name.is_empty()) {
            match name {
                "run-times" => features.run_times = true,
                "worker-speeds" => features.worker_speeds = true,
                "fair-shares" => features.fair_shares = true,
                "admission" => features.admission = true,
                _ => return Err(UnknownFeature { name: name.to_owned() }),
            }
        }
        Ok(features)
    }
}
