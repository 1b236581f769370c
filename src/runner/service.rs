//! State of one service at this instance: runners, queue and budgets.

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

/// Another failure domain with live runners of the service.
#[derive(Clone, Debug)]
pub struct Remote {
    /// Its name.
    pub domain: domain::Name,
    /// Addresses of its entry instances.
    pub entries: Vec<SocketAddr>,
    /// Forwarded requests without an answer.
    pub outstanding: usize,
    /// No request is forwarded to it before this time; set after it refused one or could not be
    /// reached.
    pub blocked_until: Instant,
}

/// State of one service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Runners of the own failure domain.
    pub runners: Vec<Upstream>,
    /// Other failure domains with live runners of the service.
    pub remotes: Vec<Remote>,
    /// Queue of requests that wait for a slot.
    pub queue: Queue,
    /// Latencies of recent answers.
    pub latency: Window,
    /// Budget for retries.
    pub retries: Budget,
    /// Budget for hedges.
    pub hedges: Budget,
    /// Measured need for slots.
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
    /// Runners in `tried` are chosen only when no other runner can start the request.
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

    /// Chooses the available domain with the fewest outstanding requests, and one of its entry
    /// instances.
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

    /// Expected wait behind `ahead` queued requests when no slot is free.
    pub fn expected_wait(&self, ahead: usize, slots: u32) -> Duration {
        let turns = (ahead + 1) as f64 / f64::from(slots.max(1));
        Duration::from_secs_f64(turns * self.latency.mean() / 1000.0)
    }

    /// Reason not to queue a request with `remaining` time to its deadline; `None` when it may be
    /// queued.
    ///
    /// A short burst may wait. A standing queue only delays every request in it without raising the
    /// throughput, so its expected wait is limited to the lower `queue_target`.
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
        // A request that enters at the front delays all others, so the length of the whole queue
        // counts here.
        let longest = self.expected_wait(self.queue.len(), slots);
        if self.queue.len() >= policy.queue_length || longest > target {
            return Some(Refusal::Overloaded);
        }
        (self.expected_wait(ahead, slots) + self.deadline_latency() > remaining)
            .then_some(Refusal::Deadline)
    }

    /// Whether one more runner may be ejected without exceeding the allowed fraction.
    pub fn can_eject(&self, policy: &Policy, now: Instant) -> bool {
        let live = self.runners.iter().filter(|runner| runner.is_live()).count();
        let ejected = self.runners.iter().filter(|runner| runner.health.is_ejected(now)).count();
        (ejected + 1) as f64 <= live as f64 * policy.max_ejected_fraction
    }

    /// Indices of runners whose latency exceeds the median of the service's runners by the policy's
    /// ratio.
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

    /// Slots of each runner that this instance needs, for the exchange with the coordinator; starts
    /// a new measurement.
    pub fn take_demand(&mut self, shares: &LocalSlots) -> Vec<(Handle, u32)> {
        let live: Vec<&Upstream> = self.runners.iter().filter(|runner| runner.is_live()).collect();
        let slots: Vec<RunnerSlots> =
            live.iter().map(|runner| RunnerSlots::of(runner.slots, shares)).collect();
        self.demand.distribute(slots)
    }

    /// Number of attempts that hold a slot and of requests that wait for one.
    pub fn load(&self) -> usize {
        self.demand.in_flight + self.queue.len()
    }

    /// 95th percentile of the latency, or the mean while that is unknown: the time a request needs
    /// before its deadline.
    pub fn deadline_latency(&self) -> Duration {
        self.latency.p95().unwrap_or_else(|| self.mean_latency())
    }

    /// Smoothed mean latency in whole milliseconds.
    pub fn mean_latency(&self) -> Duration {
        Duration::from_millis(self.latency.mean().ceil() as u64)
    }

    /// Age of the oldest unanswered attempt, in milliseconds.
    pub fn oldest_attempt(&self, now: Instant) -> u64 {
        let oldest = self.runners.iter().filter_map(|runner| runner.unanswered.first());
        oldest.map(|(started, _)| millis(now.since(*started))).max().unwrap_or(0)
    }
}
