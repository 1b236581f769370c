//! Admission: whether a job beyond its customer's share can still end in time, and when its caller
//! is to return if not.
//!
//! Load that it addresses: one customer sends 4 to 7.5 times its usual load, and its callers wait
//! for jobs that can never end in time. An early refusal is worse than none, because the job might
//! have been served. So a job is refused only on evidence of the last seconds: jobs of its queue
//! beyond the shares have been passed over all that time, and the work before the job, at the rate
//! at which work of the queue was started meanwhile, takes longer than the job may wait.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use super::customer::Name;
use super::job::Id;
use crate::clock::Instant;

/// Time for which jobs have to be passed over, and over which starts are counted.
const EVIDENCE: Duration = Duration::from_secs(3);

/// Number of equal parts in which starts of that time are counted.
const SLOTS: usize = 6;

/// Duration of such a part, in milliseconds.
const SLOT_MS: u64 = EVIDENCE.as_millis() as u64 / SLOTS as u64;

/// Steps of which tasks were started in that time, below which nothing is known about the rate.
const MIN_STARTS: u32 = 5;

/// Factor on the computed wait. Run times are off by half, and a refusal must not rest on an
/// overestimate.
const WAIT_SHARE: f64 = 0.7;

/// Shortest time after which a refused caller returns. It is longer than the time for which an
/// instance waits for an owner's answer, so that no earlier attempt of the same call is still on its
/// way when the job may be accepted.
const MIN_RETRY: Duration = Duration::from_secs(2);

/// Longest such time.
const MAX_RETRY: Duration = Duration::from_secs(120);

/// Maximum number of promises. While there are that many, nothing is refused.
pub const MAX_PROMISES: usize = 4_096;

/// Time after which a caller that has not returned counts as gone.
const PROMISE_KEPT: Duration = Duration::from_secs(10);

/// Interval at which waiting work is counted. Meanwhile, accepted jobs are added to it.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// What the owner knows about the waiting work of its queues, and the times that it gave to callers.
#[derive(Debug, Default)]
pub struct Admission {
    queues: HashMap<String, QueueLoad>,
    /// Retry times given out, by job.
    promises: HashMap<Id, Promise>,
    lanes: HashMap<Lane, LaneState>,
    next_round: Option<Instant>,
}

/// The callers of a customer in a queue.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lane {
    customer: Name,
    queue: Rc<str>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LaneState {
    /// Work of the jobs that were refused and are expected back.
    promised: f64,
    /// Number of those jobs.
    promises: u32,
    /// Earliest time for the next caller.
    next: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Promise {
    lane: Lane,
    due: Instant,
    work: f64,
}

/// Load of one queue.
#[derive(Clone, Debug, Default)]
struct QueueLoad {
    /// Waiting work of jobs within the shares that may still end in time.
    owed: f64,
    /// Waiting work beyond the shares that may still end in time, by customer.
    excess: HashMap<Name, f64>,
    /// Since when jobs beyond the shares have been passed over.
    passed_over_since: Option<Instant>,
    /// Work and steps started in each slot, with the slot's number.
    started: [(u64, f64, u32); SLOTS],
}

/// A waiting step, as a placement round finds it.
#[derive(Clone, Copy, Debug)]
pub struct WaitingWork<'a> {
    /// Its queue.
    pub queue: &'a str,
    /// Its customer if the job is beyond the share.
    pub excess_of: Option<&'a Name>,
    /// Work of its waiting tasks, in thousandths of a core times milliseconds.
    pub work: f64,
    /// Whether the step has been passed over for some time.
    pub is_passed_over: bool,
}

/// A job beyond the share of its customer.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The job.
    pub job: Id,
    /// Its queue.
    pub queue: &'a str,
    /// Its customer.
    pub customer: &'a Name,
    /// Its work.
    pub work: f64,
    /// Time for which it may wait and still end in time, by the optimistic quantile of its run time,
    /// in milliseconds.
    pub may_wait_ms: f64,
}

/// Refusal of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Time after which its caller is to return, in milliseconds.
    pub retry_after_ms: u64,
    /// Expected wait until it would start, in milliseconds; zero if it was not computed.
    pub wait_ms: u64,
    /// Whether its caller returned before its time.
    pub is_early: bool,
}

impl QueueLoad {
    fn note_start(&mut self, work: f64, now: Instant) {
        let slot = now.as_millis() / SLOT_MS;
        let entry = &mut self.started[slot as usize % SLOTS];
        if entry.0 != slot {
            *entry = (slot, 0.0, 0);
        }
        entry.1 += work;
        entry.2 += 1;
    }

    /// Rate at which work was started, in units of work a millisecond; `None` unless jobs have been
    /// passed over for [`EVIDENCE`] and [`MIN_STARTS`] starts were counted.
    fn rate(&self, now: Instant) -> Option<f64> {
        if self.passed_over_since.is_none_or(|since| now.since(since) < EVIDENCE) {
            return None;
        }
        let slot = now.as_millis() / SLOT_MS;
        let recent = self.started.iter().filter(|(number, ..)| number + SLOTS as u64 > slot);
        let (work, starts) =
            recent.fold((0.0, 0), |(work, starts), (_, more, steps)| (work + more, starts + steps));
        // The present slot is not over yet.
        let elapsed = (SLOTS as u64 - 1) * SLOT_MS + now.as_millis() % SLOT_MS;
        (starts >= MIN_STARTS && work > 0.0).then(|| work / elapsed as f64)
    }

    /// Work that precedes the next job of a customer beyond its share.
    ///
    /// Customers beyond their shares take turns by their weights, so that of each other one no more
    /// precedes it than its weight allows.
    fn work_before(&self, customer: &Name, promised: f64, weight: &dyn Fn(&str) -> f64) -> f64 {
        let own = self.excess.get(customer).copied().unwrap_or(0.0) + promised;
        let own_weight = weight(customer).max(f64::MIN_POSITIVE);
        let others = self.excess.iter().filter(|(name, _)| *name != customer);
        let others: f64 =
            others.map(|(name, work)| work.min(own * weight(name) / own_weight)).sum();
        self.owed + own + others
    }
}

impl Admission {
    /// Notes that tasks of a step with this work are placed.
    pub fn note_start(&mut self, queue: &str, work: f64, now: Instant) {
        self.queue(queue).note_start(work, now);
    }

    /// Notes a job that was accepted after the last round.
    pub fn note_accepted(&mut self, queue: &str, excess_of: Option<&Name>, work: f64) {
        let load = self.queue(queue);
        match excess_of {
            Some(customer) => *load.excess.entry(customer.clone()).or_insert(0.0) += work,
            None => load.owed += work,
        }
    }

    /// Whether the waiting work is to be counted again.
    pub fn is_round_due(&self, now: Instant) -> bool {
        self.next_round.is_none_or(|next| now >= next)
    }

    /// Replaces the waiting work of all queues by what a placement round found.
    pub fn note_round<'a>(&mut self, waiting: impl Iterator<Item = WaitingWork<'a>>, now: Instant) {
        self.next_round = Some(now.after(ROUND_INTERVAL));
        for load in self.queues.values_mut() {
            load.owed = 0.0;
            load.excess.clear();
        }
        let mut passed_over: HashSet<&str> = HashSet::new();
        for step in waiting {
            self.note_accepted(step.queue, step.excess_of, step.work);
            if step.is_passed_over && step.excess_of.is_some() {
                passed_over.insert(step.queue);
            }
        }
        for (name, load) in &mut self.queues {
            if passed_over.contains(name.as_str()) {
                load.passed_over_since.get_or_insert(now);
            } else {
                load.passed_over_since = None;
            }
        }
    }

    /// Returns why a new job is refused, and when its caller is to return; `None` to accept it.
    ///
    /// A caller that was refused before gets the same time until then. When it returns, the jobs
    /// refused after it do not count as before it; they do for new callers of its customer. The
    /// times given to other customers never count.
    ///
    /// ```
    /// use oriolefork::cell::admission::{Admission, Candidate, WaitingWork};
    /// use oriolefork::cell::customer::Name;
    /// use oriolefork::clock::Instant;
    /// let (museum, mut admission): (Name, _) = ("museum".into(), Admission::default());
    /// let job = "5c0e7a21d94b36f8".parse().unwrap();
    /// let candidate =
    ///     Candidate { job, queue: "q", customer: &museum, work: 100.0, may_wait_ms: 5_000.0 };
    /// for at in (0..=40).map(|round| Instant::from_millis(round * 100)) {
    ///     admission.note_start("q", 100.0, at);
    ///     let (excess_of, work) = (Some(&museum), 20_000.0);
    ///     let step = WaitingWork { queue: "q", excess_of, work, is_passed_over: true };
    ///     admission.note_round(std::iter::once(step), at);
    /// }
    /// let now = Instant::from_millis(4_000);
    /// let refusal = admission.refuse(candidate, &|_| 1.0, now).unwrap();
    /// assert!(refusal.wait_ms > 5_000 && refusal.retry_after_ms >= 2_000);
    /// let patient = Candidate { may_wait_ms: 60_000.0, job: "5c0e7a21d94b36f9".parse().unwrap(), ..candidate };
    /// assert_eq!(admission.refuse(patient, &|_| 1.0, now), None);
    /// ```
    pub fn refuse(
        &mut self,
        candidate: Candidate<'_>,
        weight: &dyn Fn(&str) -> f64,
        now: Instant,
    ) -> Option<Refusal> {
        let former = self.promises.get(&candidate.job);
        if let Some(due) = former.map(|promise| promise.due).filter(|due| now < *due) {
            let retry_after_ms = due.since(now).as_millis() as u64;
            return Some(Refusal { retry_after_ms, wait_ms: 0, is_early: true });
        }
        let has_returned = former.is_some();
        self.forget_promise(&candidate.job);
        if self.promises.len() >= MAX_PROMISES {
            return None;
        }
        let load = self.queues.get(candidate.queue)?;
        let rate = load.rate(now)?;
        let lane = Lane { customer: candidate.customer.clone(), queue: candidate.queue.into() };
        let state = self.lanes.get(&lane).copied().unwrap_or_default();
        let promised = if has_returned { 0.0 } else { state.promised };
        let wait_ms = load.work_before(candidate.customer, promised, weight) / rate * WAIT_SHARE;
        if wait_ms <= candidate.may_wait_ms {
            return None;
        }
        let drained = now.after(duration(wait_ms - candidate.may_wait_ms.max(0.0)));
        let mut due = drained.max(now.after(MIN_RETRY));
        if !has_returned {
            due = due.max(state.next.unwrap_or(due));
        }
        let due = due.min(now.after(MAX_RETRY));
        let spacing = duration(candidate.work / rate);
        let state = self.lanes.entry(lane.clone()).or_default();
        state.next = Some(state.next.unwrap_or(due).max(due.after(spacing)));
        state.promised += candidate.work;
        state.promises += 1;
        self.promises.insert(candidate.job, Promise { lane, due, work: candidate.work });
        let retry_after_ms = due.since(now).as_millis() as u64;
        Some(Refusal { retry_after_ms, wait_ms: wait_ms as u64, is_early: false })
    }

    /// Whether a job was refused and its caller has not returned since.
    pub fn is_promised(&self, job: &Id) -> bool {
        self.promises.contains_key(job)
    }

    /// Forgets the promise to a job that is accepted.
    pub fn forget_promise(&mut self, job: &Id) {
        let Some(promise) = self.promises.remove(job) else { return };
        if let Some(state) = self.lanes.get_mut(&promise.lane) {
            state.promised = (state.promised - promise.work).max(0.0);
            state.promises = state.promises.saturating_sub(1);
        }
    }

    /// Forgets the callers that have not returned for long, and lanes without any.
    pub fn forget_gone(&mut self, now: Instant) {
        let is_gone = |promise: &Promise| now.since(promise.due) > PROMISE_KEPT;
        let gone: Vec<Id> = self
            .promises
            .iter()
            .filter(|(_, promise)| is_gone(promise))
            .map(|(job, _)| *job)
            .collect();
        gone.iter().for_each(|job| self.forget_promise(job));
        let is_used =
            |state: &LaneState| state.promises > 0 || state.next.is_some_and(|next| next > now);
        self.lanes.retain(|_, state| is_used(state));
    }

    fn queue(&mut self, name: &str) -> &mut QueueLoad {
        self.queues.entry(name.to_owned()).or_default()
    }
}

fn duration(millis: f64) -> Duration {
    Duration::from_millis(millis.clamp(0.0, MAX_RETRY.as_millis() as f64) as u64)
}
