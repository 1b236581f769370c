//! Run-time estimates from earlier runs of the same job.
//!
//! Declared run times are often far off, so measured ones replace them once there are enough.
//! The typical estimate is the median, which tolerates single outliers; the upper bound is the
//! longest recent run plus a quarter.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Runs stored for each job name.
const MAX_RUNS: usize = 15;
/// Job names stored; the one that was recorded least recently is evicted.
const MAX_JOB_NAMES: usize = 8_192;
/// Measured runs from which on the declared run time is ignored.
const MIN_MEASURED_RUNS: usize = 3;

/// Expected run time of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTimeEstimate {
    /// Median run time.
    pub typical: Duration,
    /// Run time that few runs exceed.
    pub upper_bound: Duration,
}

#[derive(Debug, Default)]
struct History {
    runs: VecDeque<Duration>,
    last_used: u64,
}

/// Estimates run times by team and job name.
///
/// ```
/// use oriolefork::placement::RunTimeEstimator;
/// use std::time::Duration;
/// let mut estimator = RunTimeEstimator::default();
/// for minutes in [9, 10, 300] {
///     estimator.record_run("mail", "rebuild", Duration::from_secs(60 * minutes));
/// }
/// let estimate = estimator.estimate("mail", "rebuild", None).unwrap();
/// assert_eq!(estimate.typical, Duration::from_secs(600));
/// ```
#[derive(Debug, Default)]
pub struct RunTimeEstimator {
    histories: HashMap<(Rc<str>, Rc<str>), History>,
    use_count: u64,
}

impl RunTimeEstimator {
    /// Records the run time of a task that succeeded.
    pub fn record_run(&mut self, team: &str, name: &str, run: Duration) {
        self.use_count += 1;
        let key = (team.into(), name.into());
        if !self.histories.contains_key(&key) && self.histories.len() >= MAX_JOB_NAMES {
            self.evict();
        }
        let history = self.histories.entry(key).or_default();
        history.last_used = self.use_count;
        history.runs.push_back(run);
        if history.runs.len() > MAX_RUNS {
            history.runs.pop_front();
        }
    }

    /// Estimate for the next run; `None` when no run time is declared or measured.
    pub fn estimate(
        &self,
        team: &str,
        name: &str,
        declared: Option<Duration>,
    ) -> Option<RunTimeEstimate> {
        let history = self.histories.get(&(team.into(), name.into()));
        let mut runs: Vec<_> =
            history.map(|history| history.runs.iter().copied().collect()).unwrap_or_default();
        if runs.len() < MIN_MEASURED_RUNS {
            runs.extend(declared);
        }
        runs.sort_unstable();
        let longest = *runs.last()?;
        let typical = runs[runs.len() / 2];
        Some(RunTimeEstimate { typical, upper_bound: longest + longest / 4 })
    }

    fn evict(&mut self) {
        let oldest = self.histories.iter().min_by_key(|(_, history)| history.last_used);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.histories.remove(&key);
        }
    }
}
