//! Latest starts with which steps are on time or of value, by learned run times.
//!
//! They change only with what is learned, so they are kept for a while: each takes a dozen
//! predictions, and a round ranks thousands of steps.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use super::Machine;
use super::rank::{WORTHLESS_FACTOR, objective_ms, remaining_path_ms};
use crate::cell::job::{Job, Step, StepKey};
use crate::cell::queue::Queue;
use crate::clock::Instant;

/// Probabilities above which a job counts as still on time, and as still of value. A job that is
/// wrongly taken for worthless is placed after all others and loses what it could still earn, so
/// that the second one is smaller.
const ON_TIME_PROBABILITY: f64 = 0.25;
const VALUE_PROBABILITY: f64 = 0.1;

/// Time for which computed limits are used.
const LIFETIME: Duration = Duration::from_secs(1);

/// Limits of one step, in milliseconds since the arrival of its job.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartLimits {
    /// Time within which the job should end.
    pub(super) objective: f64,
    /// Latest start with which the job may still be on time.
    pub(super) on_time: f64,
    /// Latest start with which it may still be of value.
    pub(super) of_value: f64,
}

/// Limits computed within [`LIFETIME`].
#[derive(Debug, Default)]
pub(super) struct StartLimitCache {
    computed: RefCell<(Instant, HashMap<StepKey, StartLimits>)>,
}

impl Machine {
    /// Returns the limits of a step of a queue whose run times are learned.
    pub(super) fn start_limits(&self, job: &Job, queue: &Queue, key: &StepKey) -> StartLimits {
        let mut computed = self.start_limit_cache.computed.borrow_mut();
        if self.now >= computed.0.after(LIFETIME) {
            *computed = (self.now, HashMap::new());
        }
        *computed.1.entry(*key).or_insert_with(|| StartLimits {
            objective: self.expected_objective_ms(job, queue),
            on_time: self.latest_start_ms(job, queue, key, 1.0, ON_TIME_PROBABILITY),
            of_value: self.latest_start_ms(job, queue, key, WORTHLESS_FACTOR, VALUE_PROBABILITY),
        })
    }

    /// Latest start of a step with which its job ends within `factor` times its objective with at
    /// least `probability`.
    ///
    /// The objective grows by `stretch` with the job's work, so that longer work can start later
    /// and still be on time. The chance is therefore that of the work being long enough, and the
    /// quantile above which `probability` of the tasks are decides.
    fn latest_start_ms(
        &self,
        job: &Job,
        queue: &Queue,
        key: &StepKey,
        factor: f64,
        probability: f64,
    ) -> f64 {
        let run = |step: &Step| self.run_time_quantile_ms(step, queue, 1.0 - probability);
        objective_ms(job, queue, run) * factor - remaining_path_ms(job, key.step as usize, run)
    }
}
