//! One service: its runners, its queue and its budgets at this instance.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::clock::{Instant, millis};
use crate::domain;
use crate::runner::budget::Budget;
use crate::runner::demand::{Demand, RunnerSlots};
use crate::runner::latency::Window;
use crate::runner::queue::Queue;
use crate::runner::request::Refusal;
use crate::runner::share::{Handle, LocalSlots};
use crate::runner::upstream::Upstream;
use crate::runner::{Name, Policy};

/// Another failure domain that can answer the service's requests.
#[derive(Clone, Debug)]
pub struct Remote {
    /// Its name.
    pub domain: domain::Name,
    /// Entry instances there.
    pub entries: Vec<SocketAddr>,
    /// Requests passed on and not yet answered.
    pub outstanding: usize,
    /// Moment until which it gets none, after it refused or could not be reached.
    pub blocked_until: Instant,
}

/// State of one service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Runners of the own failure domain.
    pub runners: Vec<Upstream>,
    /// Other failure domains with live runners of the service.
    pub remotes: Vec<Remote>,
    /// Requests that wait for a slot.
    pub queue: Queue,
    /// Latencies of recent answers.
    pub latency: Window,
    /// Allowance for retries.
    pub retries: Budget,
    /// Allowance for hedges.
    pub hedges: Budget,
    /// Slots that its requests need.
    pub demand: Demand,
    /// When the queue was last empty.
    pub last_empty: Instant,
}

impl Service {
    /// Creates a service without runners.
    pub fn new(policy: &Policy) -> Self {
        Self {
            runners: Vec::new(),
            remotes: Vec::new(),
            queue: Queue::default(),
            latency: Window::default(),
            retries: Budget::new(policy.retry_ratio, policy.budget_burst),
            hedges: Budget::new(policy.hedge_ratio, policy.budget_burst),
            demand: Demand::default(),
            last_empty: Instant::default(),
        }
    }

    /// The runner of this name.
    pub fn runner(&mut self, name: &Name) -> Option<&mut Upstream> {
        self.runners.iter_mut().find(|runner| runner.name == *name)
    }

    /// Slots that requests of this instance may hold at usable runners.
    pub fn slots(&self, shares: &LocalSlots, now: Instant) -> u32 {
        let usable = self.runners.iter().filter(|runner| runner.is_usable(now));
        usable.map(|runner| shares.allowance(runner.slots, now)).sum()
    }

    /// Chooses the cheaper of two random runners that can start a request now.
    ///
    /// Runners in `tried` come last: a retry goes elsewhere while there is an elsewhere.
    pub fn choose_runner(
        &self,
        shares: &LocalSlots,
        tried: &[Name],
        idempotent: bool,
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let accepts = |index: &usize| self.runners[*index].accepts(shares, idempotent, now);
        let available: Vec<usize> = (0..self.runners.len()).filter(accepts).collect();
        let is_fresh = |index: &usize| !tried.contains(&self.runners[*index].name);
        let fresh: Vec<usize> = available.iter().copied().filter(is_fresh).collect();
        let candidates = if fresh.is_empty() { available } else { fresh };
        let cost = |index: usize| self.runners[index].cost(shares, self.latency.mean(), now);
        match candidates.len() {
            0 => None,
            1 => candidates.first().copied(),
            count => {
                let one = rng.random_range(0..count);
                let other = (one + rng.random_range(1..count)) % count;
                let (one, other) = (candidates[one], candidates[other]);
                Some(if cost(one) <= cost(other) { one } else { other })
            }
        }
    }

    /// Chooses the least busy domain that may get requests now, and one of its entry instances.
    pub fn choose_remote(
        &self,
        policy: &Policy,
        tried: &[domain::Name],
        now: Instant,
        rng: &mut SmallRng,
    ) -> Option<(usize, SocketAddr)> {
        let outstanding: usize = self.remotes.iter().map(|remote| remote.outstanding).sum();
        if outstanding >= policy.forward_limit {
            return None;
        }
        let available = self.remotes.iter().enumerate().filter(|(_, remote)| {
            remote.blocked_until <= now
                && !remote.entries.is_empty()
                && !tried.contains(&remote.domain)
        });
        let (index, remote) = available.min_by_key(|(_, remote)| remote.outstanding)?;
        let entry = remote.entries[rng.random_range(0..remote.entries.len())];
        Some((index, entry))
    }

    /// Expected wait behind `ahead` requests when no slot is free.
    pub fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let turns = (ahead + 1) as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64(turns * self.latency.mean() / 1000.0)
    }

    /// Why a request with `left` to its deadline should not wait in the queue, if so.
    ///
    /// A burst may wait its turn. A queue that stands only delays every request in it and answers
    /// no more of them, and is kept short.
    pub fn queue_refusal(
        &self,
        policy: &Policy,
        ahead: usize,
        slots: u32,
        remaining: Duration,
        now: Instant,
    ) -> Option<Refusal> {
        let is_standing = now.since(self.last_empty) > policy.burst_window;
        let target = if is_standing { policy.queue_target } else { policy.queue_burst };
        // One that goes to the front holds back the others, so that the whole queue counts here.
        let longest = self.expected_wait(self.queue.len(), slots);
        if self.queue.len() >= policy.queue_length || longest > target {
            return Some(Refusal::Overloaded);
        }
        (self.expected_wait(ahead, slots) + self.deadline_latency() > remaining)
            .then_some(Refusal::Deadline)
    }

    /// Whether one more runner may be ejected without giving up too many.
    pub fn can_eject(&self, policy: &Policy, now: Instant) -> bool {
        let live = self.runners.iter().filter(|runner| runner.is_live()).count();
        let ejected = self.runners.iter().filter(|runner| runner.health.is_ejected(now)).count();
        (ejected + 1) as f64 <= live as f64 * policy.max_ejected_fraction
    }

    /// Runners whose latency is far above the median of their kind.
    pub fn slow_runners(&self, policy: &Policy, now: Instant) -> Vec<usize> {
        let usable = self.runners.iter().filter(|runner| runner.is_usable(now));
        let mut latencies: Vec<f64> =
            usable.filter_map(|runner| runner.health.measured_latency()).collect();
        if latencies.len() < 3 {
            return Vec::new();
        }
        latencies.sort_by(f64::total_cmp);
        let bound = latencies[latencies.len() / 2] * policy.slow_ratio;
        let is_slow = |runner: &Upstream| {
            let latency = runner.health.measured_latency();
            runner.is_usable(now) && latency.is_some_and(|latency| latency > bound)
        };
        (0..self.runners.len()).filter(|index| is_slow(&self.runners[*index])).collect()
    }

    /// Slots of each runner that this instance needs, for the exchange with the keeper; starts a
    /// new measurement.
    pub fn take_demand(&mut self, shares: &LocalSlots) -> Vec<(Handle, u32)> {
        let live: Vec<&Upstream> = self.runners.iter().filter(|runner| runner.is_live()).collect();
        let slots: Vec<RunnerSlots> =
            live.iter().map(|runner| RunnerSlots::of(runner.slots, shares)).collect();
        self.demand.distribute(slots)
    }

    /// Requests that hold or want a slot.
    pub fn load(&self) -> usize {
        self.demand.in_flight + self.queue.len()
    }

    /// Latency within which most answers come: what a request needs to its deadline.
    pub fn deadline_latency(&self) -> Duration {
        self.latency.p95().unwrap_or_else(|| self.mean_latency())
    }

    /// Smoothed latency in whole milliseconds.
    pub fn mean_latency(&self) -> Duration {
        Duration::from_millis(self.latency.mean().ceil() as u64)
    }

    /// Age of the oldest unanswered attempt, in milliseconds.
    pub fn oldest_attempt(&self, now: Instant) -> u64 {
        let oldest = self.runners.iter().filter_map(|runner| runner.unanswered.first());
        oldest.map(|(started, _)| millis(now.since(*started))).max().unwrap_or(0)
    }
}
