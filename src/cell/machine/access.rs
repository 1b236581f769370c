//! Which calls a caller may make, by the owner's configuration.
//!
//! The instance that received a call has checked its key already. The owner checks it again, since
//! the instance may not have the newest configuration.

use super::{Answer, Call, Machine};
use crate::cell::caller::Caller;
use crate::cell::job::{Id, Job, Step};
use crate::cell::queue::Access;

impl Machine {
    /// Returns the answer to a call that the caller may not make, by this owner's configuration.
    pub(super) fn refusal(&self, call: &Call, caller: &Caller) -> Option<Answer> {
        self.config.customers.as_ref()?;
        if caller.config_version == 0 {
            // An instance of an earlier version has not checked the key.
            return Some(Answer::Unavailable);
        }
        if !self.knows_caller(call, caller) {
            return Some(Answer::Unauthorized);
        }
        match call {
            Call::Submit(job) if self.is_foreign(&job.id, caller) => Some(Answer::IdInUse),
            Call::Submit(job) if self.can_never_run(job, caller) => Some(Answer::AboveCap),
            Call::Cancel(id) | Call::Show(id) if self.is_foreign(id, caller) => {
                Some(self.unknown())
            }
            _ => None,
        }
    }

    /// Whether the caller's key is valid. An instance whose configuration is newer has checked it
    /// by that one.
    fn knows_caller(&self, call: &Call, caller: &Caller) -> bool {
        if caller.config_version > self.config.version {
            return true;
        }
        let queue = match call {
            Call::Submit(job) => self.config.queue(&job.queue),
            Call::Waiting(queue) => self.config.queue(queue),
            Call::Cancel(_) | Call::Show(_) => None,
        };
        let granted = |access| access == Access::Granted(caller.customer.clone());
        match (queue, &caller.key) {
            (Some(queue), key) => granted(self.config.access(queue, key.as_ref())),
            (None, Some(key)) => {
                let customers = self.config.customers.as_ref();
                customers.is_none_or(|customers| customers.with_key(key).is_some())
            }
            (None, None) => true,
        }
    }

    /// Whether the job is one of another customer. One that was accepted without a customer is
    /// everybody's.
    fn is_foreign(&self, id: &Id, caller: &Caller) -> bool {
        let customer = self.state.jobs.get(id).and_then(|entry| entry.job.customer.as_ref());
        customer.is_some() && customer != caller.customer.as_ref()
    }

    /// Whether a gang of a new job is wider than its customer's cap.
    fn can_never_run(&self, job: &Job, caller: &Caller) -> bool {
        let Some(customer) = self.customer(caller.customer.as_deref()) else { return false };
        if self.state.jobs.contains_key(&job.id) {
            return false;
        }
        let is_too_wide = |step: &Step| {
            // One task may go beyond the cap, see `allowance`.
            step.gang && !customer.could_run(&step.demand, u64::from(step.count).saturating_sub(1))
        };
        job.steps.iter().any(is_too_wide)
    }
}
