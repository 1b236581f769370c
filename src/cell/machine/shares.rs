//! Customers' shares: jobs that a customer submits beyond its rate yield to those of others.
//!
//! Pattern of load: one customer submits several times its usual while the workers are full. Without
//! shares its jobs and those of all others wait in one order, and everybody is late. Jobs within
//! their customer's rate go before the others; where capacity is free, all are served.
//!
//! With the feature `fair_shares`, shares count work (see `fair_share.rs`), and the jobs beyond
//! them are ordered between their customers by what each was charged for its weight. Otherwise they
//! count jobs, and those beyond are in one order.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::Machine;
use super::pending::PendingStep;
use super::rank::Timeliness;
use crate::cell::customer::Name;
use crate::cell::fair_share::{Charge, FairShare, Proportions};
use crate::cell::job::{Id, Job, Step};
use crate::cell::job_state::{JobState, StepWork};
use crate::cell::queue::Queue;
use crate::clock::{Instant, Unix};
use crate::resource::Amount;

/// Time over which a customer's rate is averaged: so much of it may arrive at once.
const WINDOW: Duration = Duration::from_secs(5);

/// Half-life of started work in the order beyond the shares. It is of the order of a long task's
/// run time, so that work counts about as long as it occupies workers.
const STARTED_HALF_LIFE: Duration = Duration::from_secs(5);

/// Which jobs are beyond the rates of their customers.
#[derive(Debug, Default)]
pub(super) struct CustomerShares {
    buckets: HashMap<Name, Bucket>,
    /// Jobs that arrived while the bucket of their customer was empty.
    excess: BTreeSet<Id>,
    /// The same with the feature `fair_shares`.
    fair: FairShare,
    /// Proportions of the cell's resources by which jobs were charged.
    proportions: Proportions,
    /// Work of each customer that was started in the last seconds.
    started: HashMap<Name, StartedWork>,
}

/// Work that was started; its weight falls by half in [`STARTED_HALF_LIFE`].
#[derive(Clone, Copy, Debug)]
struct StartedWork {
    work: f64,
    at: Instant,
}

impl StartedWork {
    fn until(self, now: Instant) -> Self {
        let half_lives = now.since(self.at).as_secs_f64() / STARTED_HALF_LIFE.as_secs_f64();
        Self { work: self.work * (-half_lives).exp2(), at: now }
    }
}

/// Token bucket of a customer; each job takes one token.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Unix,
}

impl CustomerShares {
    /// Counts a job that was accepted at `at`, of a customer with this rate in jobs a second.
    fn admit(&mut self, job: Id, customer: &Name, rate: f64, at: Unix) {
        let full = (rate * WINDOW.as_secs_f64()).max(1.0);
        let bucket = self.buckets.entry(customer.clone());
        let bucket = bucket.or_insert(Bucket { tokens: full, filled: at });
        let elapsed = at.since(bucket.filled).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * rate).min(full);
        bucket.filled = bucket.filled.max(at);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
        } else {
            self.excess.insert(job);
        }
    }

    /// Whether a job that arrives at `at` would be beyond the rate of its customer.
    fn would_exceed(&self, customer: &str, rate: f64, at: Unix) -> bool {
        self.buckets.get(customer).is_some_and(|bucket| {
            bucket.tokens + at.since(bucket.filled).as_secs_f64() * rate < 1.0
        })
    }

    /// Whether a job is beyond the rate of its customer.
    pub(super) fn is_excess(&self, job: &Id) -> bool {
        self.excess.contains(job) || self.fair.is_excess(job)
    }

    pub(super) fn forget(&mut self, job: &Id) {
        self.excess.remove(job);
        self.fair.forget(job);
    }
}

impl Machine {
    /// Counts a job for the rate of its customer.
    pub(super) fn count_for_share(&mut self, id: Id, job: &Job, at: Unix) {
        self.count_work_for_share(id, job, &[], at);
    }

    /// The same for a job of which only the work is known if it has ended.
    fn count_work_for_share(&mut self, id: Id, job: &Job, ended_work: &[StepWork], at: Unix) {
        let Some(name) = &job.customer else { return };
        let rate = self.rate_of(name);
        if rate <= 0.0 {
            return;
        }
        if self.timings.features.fair_shares {
            let charge = self.job_charge(job, ended_work);
            let priority = self.priority_of(job);
            self.shares.fair.accept(id, name, priority, rate, charge, at);
        } else {
            self.shares.admit(id, name, rate, at);
        }
    }

    /// Counts the jobs that earlier owners accepted, in the order of their arrival.
    pub(super) fn recover_shares(&mut self) {
        let entries = self.state.jobs.iter().filter(|(_, entry)| entry.job.customer.is_some());
        let mut jobs: Vec<_> = entries
            .map(|(id, JobState { accepted, job, ended_work, .. })| {
                (*accepted, *id, job.clone(), ended_work.clone())
            })
            .collect();
        jobs.sort_by_key(|(accepted, id, ..)| (*accepted, *id));
        let CustomerShares { proportions, started, .. } = std::mem::take(&mut self.shares);
        self.shares = CustomerShares { proportions, started, ..CustomerShares::default() };
        for (accepted, id, job, ended_work) in jobs {
            self.count_work_for_share(id, &job, &ended_work, accepted);
        }
    }

    /// Charges all jobs anew once the proportions of the cell's resources have changed. A new owner
    /// learns them from the list of workers.
    pub(super) fn refresh_proportions(&mut self) {
        if !self.timings.features.fair_shares || self.config.customers.is_none() {
            return;
        }
        let capacities = self.workers.values().map(|worker| &worker.info.capacity);
        let capacity =
            capacities.fold(Amount::ZERO, |total, capacity| total.saturating_add(capacity));
        let proportions = Proportions::of(&capacity);
        if !capacity.is_zero() && proportions.differs_from(&self.shares.proportions) {
            self.shares.proportions = proportions;
            self.recover_shares();
        }
    }

    /// Rate of a customer in jobs a second; zero without one.
    pub(super) fn rate_of(&self, name: &str) -> f64 {
        self.customer(Some(name)).map_or(0.0, |customer| customer.jobs_per_second)
    }

    /// Whether a job that a customer with a rate submits now would be beyond its share.
    pub(super) fn would_exceed_share(&self, name: &str, priority: u32) -> bool {
        if self.timings.features.fair_shares {
            self.shares.fair.would_exceed(name, priority, self.unix)
        } else {
            self.shares.would_exceed(name, self.rate_of(name), self.unix)
        }
    }

    /// Priority of a job's queue; zero, the most urgent, while the queue is not known.
    fn priority_of(&self, job: &Job) -> u32 {
        self.config.queue(&job.queue).map_or(0, |queue| queue.priority)
    }

    /// What a job is charged, by the run times that its caller estimated.
    ///
    /// The queue's run times that this owner has observed are not used here: they are not in the
    /// journal, and other jobs would be beyond the shares after a change of owner.
    fn job_charge(&self, job: &Job, ended_work: &[StepWork]) -> Charge {
        let steps = job.steps.iter().map(StepWork::of);
        let charges = steps
            .chain(ended_work.iter().copied())
            .map(|work| self.shares.proportions.dominant(&work.demand) * work.estimate_ms as f64);
        charges.sum::<f64>() as Charge
    }

    /// Expected work of `tasks` tasks of a step: its dominant resource, in thousandths of a core,
    /// times milliseconds.
    pub(super) fn work(&self, step: &Step, tasks: usize, queue: &Queue) -> f64 {
        let demand = self.shares.proportions.dominant(&step.demand);
        demand * tasks as f64 * self.expected_run_ms(step, queue)
    }

    /// Used part of what a customer may save up; above one while it is in debt. `None` if shares do
    /// not count work.
    pub(super) fn used_share(&self, customer: &Name) -> Option<f64> {
        let is_shared = self.timings.features.fair_shares && self.rate_of(customer) > 0.0;
        is_shared.then(|| self.shares.fair.used(customer, self.unix))
    }

    /// Whether an accepted job is beyond the share of its customer.
    pub fn is_beyond_share(&self, job: &Id) -> bool {
        self.shares.is_excess(job)
    }

    /// Notes that `tasks` tasks of a step are placed.
    pub(super) fn note_started_work(&mut self, step: &PendingStep, tasks: usize) {
        if let (true, Some(name)) = (self.timings.features.fair_shares, &step.job.customer) {
            self.add_started_work(name, self.work(step.spec(), tasks, &step.queue));
        }
    }

    fn add_started_work(&mut self, name: &Name, work: f64) {
        let now = self.now;
        let started = self.shares.started.entry(name.clone());
        let started = started.or_insert(StartedWork { work: 0.0, at: now });
        *started = started.until(now);
        started.work += work;
    }

    /// Counts the attempts of earlier owners as just started.
    pub(super) fn recover_started_work(&mut self) {
        if !self.timings.features.fair_shares {
            return;
        }
        let mut started = Vec::new();
        for run in self.runs.keys() {
            let Some(entry) = self.state.jobs.get(&run.task.step.job) else { continue };
            let step = entry.job.steps.get(run.task.step.step as usize);
            let queue = self.config.queue(&entry.job.queue);
            if let (Some(name), Some(step), Some(queue)) = (&entry.job.customer, step, queue) {
                started.push((name.clone(), self.work(step, 1, queue)));
            }
        }
        for (name, work) in started {
            self.add_started_work(&name, work);
        }
    }

    /// Orders the steps beyond their customers' shares, which are in order of rank: the next is that
    /// of the customer of which the least work was started for its weight, counting its steps that
    /// precede it.
    ///
    /// These are start tags of fair queueing, except that started work loses weight with time, so
    /// that nobody pays for having used what was free, and the next owner needs no history.
    pub(super) fn order_excess(&self, waiting: &mut [PendingStep]) {
        if !self.timings.features.fair_shares {
            return;
        }
        let first = waiting.partition_point(|step| step.rank.timeliness < Timeliness::Excess);
        let end = waiting.partition_point(|step| step.rank.timeliness <= Timeliness::Excess);
        let excess = &mut waiting[first..end];
        let mut charged: HashMap<Name, (f64, f64)> = HashMap::new();
        for step in &mut *excess {
            let Some(name) = &step.job.customer else { continue };
            if !charged.contains_key(name) {
                let started = self.shares.started.get(name);
                let work = started.map_or(0.0, |started| started.until(self.now).work);
                charged.insert(name.clone(), (work, self.rate_of(name)));
            }
            let work = self.work(step.spec(), step.pending.len(), &step.queue);
            let Some((before, rate)) = charged.get_mut(name) else { continue };
            step.rank.start_tag = (*before / rate.max(f64::MIN_POSITIVE)) as u64;
            *before += work;
        }
        excess.sort_by_key(|step| step.rank);
    }
}
