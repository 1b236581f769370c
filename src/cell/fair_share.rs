//! Customers' shares, counted in work instead of jobs.
//!
//! Load that it addresses: customers that compete for too little capacity, with jobs whose work
//! differs a hundredfold. A job is charged for the resource of which it needs the largest part of
//! the cell, for the run time that its caller expects. A customer may use its rate times the mean charge of a job
//! in the cell; jobs beyond that yield to those of others.
//!
//! A job is charged on the share of its priority and of all less urgent ones, so that a customer's
//! batch work does not use up the share of its own urgent jobs.
//!
//! The state follows from the accepted jobs in order of acceptance, so that the next owner computes
//! the same from the journal.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use super::customer::Name;
use super::job::Id;
use crate::clock::Unix;
use crate::resource::Amount;

/// Time for which a customer saves up an unused share.
const WINDOW: Duration = Duration::from_secs(5);

/// Maximum time for which a customer's jobs yield after one large job. A wide gang may put
/// its customer seconds into debt; an absurd estimate must not do so for hours.
const MAX_DEBT: Duration = Duration::from_secs(30);

/// Number of the latest jobs over which the mean charge is computed.
const MEAN_JOBS: usize = 512;

/// Maximum age of those jobs. Ended jobs are retained for at least 120 s, so that the next owner
/// finds the same jobs.
const MEAN_WINDOW: Duration = Duration::from_secs(100);

/// Number of jobs from which a charge is limited.
const MIN_JOBS_TO_LIMIT: usize = 32;

/// Maximum charge of a job as a multiple of the mean. It leaves room
/// for wide gangs; one absurd estimate must not raise the shares of all.
const MAX_MEAN_CHARGES: u64 = 200;

/// Relative change of a cell's proportions from which jobs are charged anew.
const PROPORTION_CHANGE: f64 = 0.1;

/// Charge of a job in thousandths of a core times milliseconds.
pub type Charge = u64;

/// How much CPU a cell has for each unit of its other resources. By it, an amount is expressed as
/// the CPU that makes up the same part of the cell.
///
/// It does not change with the number of equal workers, so that losing half of them leaves charges
/// comparable.
///
/// ```
/// use oriolefork::cell::fair_share::Proportions;
/// use oriolefork::resource::Amount;
/// let cell = Amount { cpu_millis: 16_000, memory_mib: 64_000, accelerators: 0 };
/// let proportions = Proportions::of(&cell);
/// let wide_in_memory = Amount { cpu_millis: 500, memory_mib: 8_000, accelerators: 0 };
/// assert_eq!(proportions.dominant(&wide_in_memory), 2_000.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Proportions {
    cpu_per_mib: f64,
    cpu_per_accelerator: f64,
}

/// Shares of all customers, and the jobs beyond them.
#[derive(Debug, Default)]
pub struct FairShare {
    /// What each customer may still use, by priority.
    buckets: HashMap<Name, BTreeMap<u32, Bucket>>,
    /// Charges of the latest jobs with their times of acceptance, and their sum.
    latest: VecDeque<(Unix, Charge)>,
    sum: u128,
    excess: BTreeSet<Id>,
}

/// What a customer may still use at one priority, in seconds of its share; negative while it is in
/// debt.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    seconds: f64,
    filled: Unix,
}

impl Proportions {
    /// Proportions of a cell with this capacity.
    pub fn of(capacity: &Amount) -> Self {
        let per = |amount: u64| {
            if amount == 0 { 0.0 } else { capacity.cpu_millis as f64 / amount as f64 }
        };
        Self {
            cpu_per_mib: per(capacity.memory_mib),
            cpu_per_accelerator: per(capacity.accelerators),
        }
    }

    /// The CPU that makes up the same part of the cell as the largest part that `amount` has of any
    /// resource.
    pub fn dominant(&self, amount: &Amount) -> f64 {
        let memory = amount.memory_mib as f64 * self.cpu_per_mib;
        let accelerators = amount.accelerators as f64 * self.cpu_per_accelerator;
        (amount.cpu_millis as f64).max(memory).max(accelerators)
    }

    /// Whether charges by these and by `other` proportions are not comparable.
    pub fn differs_from(&self, other: &Self) -> bool {
        let differs = |one: f64, other: f64| (one - other).abs() > one * PROPORTION_CHANGE;
        differs(self.cpu_per_mib, other.cpu_per_mib)
            || differs(self.cpu_per_accelerator, other.cpu_per_accelerator)
    }
}

impl Bucket {
    const fn full(at: Unix) -> Self {
        Self { seconds: WINDOW.as_secs() as f64, filled: at }
    }

    fn filled_until(self, at: Unix) -> Self {
        let seconds = self.seconds + at.since(self.filled).as_secs_f64();
        Self { seconds: seconds.min(WINDOW.as_secs_f64()), filled: self.filled.max(at) }
    }
}

impl FairShare {
    /// Counts a job of this priority, zero being the most urgent, that was accepted at `at` of a
    /// customer with this rate in jobs a second, and returns whether it is beyond the customer's
    /// share. A charge of zero is unknown and counts as the mean.
    ///
    /// A job is within the share while any of it is left, however much the job is charged; the
    /// customer is then in debt. So a customer's wide gangs are within its share as often as its
    /// narrow ones.
    ///
    /// ```
    /// use oriolefork::cell::fair_share::FairShare;
    /// use oriolefork::clock::Unix;
    /// let mut share = FairShare::default();
    /// let at = Unix::from_millis(1_000);
    /// let id = |number: u64| format!("{number:016x}").parse().unwrap();
    /// for number in 0..5 {
    ///     assert!(!share.accept(id(number), &"museum".into(), 2, 1.0, 800, at));
    /// }
    /// assert!(share.accept(id(5), &"museum".into(), 2, 1.0, 800, at));
    /// assert!(share.is_excess(&id(5)));
    /// assert!(!share.accept(id(6), &"museum".into(), 0, 1.0, 800, at));
    /// ```
    pub fn accept(
        &mut self,
        job: Id,
        customer: &Name,
        priority: u32,
        rate: f64,
        charge: Charge,
        at: Unix,
    ) -> bool {
        let charge = self.note_charge(charge, at);
        let cost = charge as f64 / (rate * self.mean()).max(f64::MIN_POSITIVE);
        let buckets = self.buckets.entry(customer.clone()).or_default();
        // The next more urgent share has had all charges that this one would have had.
        let above = buckets.range(..priority).next_back().map(|(_, bucket)| *bucket);
        let own = buckets.entry(priority).or_insert_with(|| above.unwrap_or(Bucket::full(at)));
        if own.filled_until(at).seconds <= 0.0 {
            self.excess.insert(job);
            return true;
        }
        for bucket in buckets.range_mut(priority..).map(|(_, bucket)| bucket) {
            *bucket = bucket.filled_until(at);
            bucket.seconds = (bucket.seconds - cost).max(-MAX_DEBT.as_secs_f64());
        }
        false
    }

    /// Whether a job of this priority that a customer submits at `at` would be beyond its share.
    pub fn would_exceed(&self, customer: &str, priority: u32, at: Unix) -> bool {
        let bucket = self.buckets.get(customer).and_then(|buckets| buckets.get(&priority));
        bucket.is_some_and(|bucket| bucket.filled_until(at).seconds <= 0.0)
    }

    /// Part of what a customer may save up that it has used, at the priority at which it has used
    /// most; above one while it is in debt.
    pub fn used(&self, customer: &str, at: Unix) -> f64 {
        let buckets = self.buckets.get(customer).into_iter().flat_map(BTreeMap::values);
        let left = buckets.map(|bucket| bucket.filled_until(at).seconds);
        1.0 - left.fold(WINDOW.as_secs_f64(), f64::min) / WINDOW.as_secs_f64()
    }

    /// Whether a job is beyond the share of its customer.
    pub fn is_excess(&self, job: &Id) -> bool {
        self.excess.contains(job)
    }

    /// Forgets a job.
    pub fn forget(&mut self, job: &Id) {
        self.excess.remove(job);
    }

    /// Adds a charge to the mean; returns it within its limit.
    fn note_charge(&mut self, charge: Charge, at: Unix) -> Charge {
        let is_old = |(accepted, _): &(Unix, Charge)| at.since(*accepted) > MEAN_WINDOW;
        while self.latest.len() >= MEAN_JOBS || self.latest.front().is_some_and(is_old) {
            let Some((_, oldest)) = self.latest.pop_front() else { break };
            self.sum -= u128::from(oldest);
        }
        let mean = self.mean() as Charge;
        let charge = match charge {
            0 => mean.max(1),
            _ if self.latest.len() < MIN_JOBS_TO_LIMIT => charge,
            _ => charge.min(mean.saturating_mul(MAX_MEAN_CHARGES)),
        };
        self.latest.push_back((at, charge));
        self.sum += u128::from(charge);
        charge
    }

    /// Mean charge of the latest jobs.
    fn mean(&self) -> f64 {
        self.sum as f64 / self.latest.len().max(1) as f64
    }
}
