//! Figures of optional parts of an owner's decisions, each `None` where the part does not supply
//! it. This is the only place where reports and metrics read those parts.

use super::super::Machine;
use crate::cell::customer::Name;
use crate::cell::explain::ShareUse;
use crate::cell::record::WorkerId;

impl Machine {
    /// Mean error of the learned run times of a queue, as a factor of at least one.
    pub(super) fn run_time_error(&self, queue: &str) -> Option<f64> {
        self.learned_error(queue)
    }

    /// Learned speed of a worker, one for the mean of the site.
    pub(super) fn learned_speed(&self, worker: &WorkerId) -> Option<f64> {
        self.considers_speeds().then(|| self.relative_speed(worker))
    }

    /// Share that a customer uses.
    pub(super) fn share_use(&self, customer: &Name) -> Option<ShareUse> {
        let used = self.used_share(customer)?;
        Some(ShareUse { used })
    }
}
