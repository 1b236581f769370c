//! Run times learned from earlier runs of the same job.
//!
//! Declared run times are often far off, so measured ones replace them as soon as there are any.
//! The median withstands single outliers; the safe estimate leans on the longest recent run.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Runs kept of each job name.
const RUNS: usize = 15;
/// Job names kept; the one unused for longest makes room.
const NAMES: usize = 8_192;
/// Runs from which the declared run time is no longer asked.
const ENOUGH: usize = 3;

/// How long a task is expected to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunTimeEstimate {
    /// As many runs take longer as take less.
    pub typical: Duration,
    /// Few runs take longer.
    pub upper_bound: Duration,
}

#[derive(Debug, Default)]
struct History {
    runs: VecDeque<Duration>,
    used: u64,
}

/// Learns how long tasks run by team and job name.
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
    uses: u64,
}

impl RunTimeEstimator {
    /// Takes in a run that ended well.
    pub fn record_run(&mut self, team: &str, name: &str, run: Duration) {
        self.uses += 1;
        let key = (team.into(), name.into());
        if !self.histories.contains_key(&key) && self.histories.len() >= NAMES {
            self.evict();
        }
        let history = self.histories.entry(key).or_default();
        history.used = self.uses;
        history.runs.push_back(run);
        if history.runs.len() > RUNS {
            history.runs.pop_front();
        }
    }

    /// What is expected of the next run; `None` when nothing is declared or learned.
    pub fn estimate(
        &self,
        team: &str,
        name: &str,
        declared: Option<Duration>,
    ) -> Option<RunTimeEstimate> {
        let history = self.histories.get(&(team.into(), name.into()));
        let mut runs: Vec<_> =
            history.map(|history| history.runs.iter().copied().collect()).unwrap_or_default();
        if runs.len() < ENOUGH {
            runs.extend(declared);
        }
        runs.sort_unstable();
        let longest = *runs.last()?;
        let typical = runs[runs.len() / 2];
        Some(RunTimeEstimate { typical, upper_bound: longest + longest / 4 })
    }

    fn evict(&mut self) {
        let oldest = self.histories.iter().min_by_key(|(_, history)| history.used);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.histories.remove(&key);
        }
    }
}
