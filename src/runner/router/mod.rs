//! Routing decisions on quick requests, as a state machine without sockets or clock.

mod dispatch;
mod members;
mod outcome;
mod pending;
mod review;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::clock::Instant;
use crate::domain;
use crate::membership::Member;
use crate::runner::attempt::{self, Attempt, Outcome, Target};
use crate::runner::request::{Request, RequestOutcome};
use crate::runner::router::pending::Pending;
use crate::runner::service::Service;
use crate::runner::share::{CoordinatorId, Handle, LocalSlots, ShareRequest, ShareResponse};
use crate::runner::{Policy, request};

/// Time between two reviews of the queues and of slow runners.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two reviews while there is no request.
const IDLE_REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest retry delay sent to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time without forwards to a domain that refused a request or could not be reached.
const REMOTE_BACKOFF: Duration = Duration::from_secs(1);

/// An action that the router's caller executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a request to a runner and wait for its answer for at most `timeout`.
    Send {
        /// Identity under which the outcome is reported.
        attempt: attempt::Id,
        /// The request.
        request: request::Id,
        /// Address of the runner.
        peer: SocketAddr,
        /// Time until the caller's deadline.
        budget: Duration,
        /// Longest wait for the answer.
        timeout: Duration,
    },
    /// Forward a request to an entry instance of another failure domain.
    Forward {
        /// Identity under which the outcome is reported.
        attempt: attempt::Id,
        /// The request.
        request: request::Id,
        /// Address of the instance.
        peer: SocketAddr,
        /// Time until the caller's deadline.
        budget: Duration,
    },
    /// Report the outcome to the caller; emitted once for each request.
    Answer {
        /// The request.
        request: request::Id,
        /// Its outcome.
        outcome: RequestOutcome,
    },
}

/// A timer; stale ones are skipped when they expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Deadline(request::Id),
    Hedge(request::Id),
    RunLimit(attempt::Id),
}

/// Routing state of one entry instance.
pub struct Router {
    policy: Policy,
    domain: domain::Name,
    shares: LocalSlots,
    services: BTreeMap<String, Service>,
    pending: HashMap<request::Id, Pending>,
    attempts: HashMap<attempt::Id, Attempt>,
    timers: BinaryHeap<Reverse<(Instant, Timer)>>,
    next_review: Instant,
    next_attempt: u64,
    draining: bool,
    rng: SmallRng,
    effects: Vec<Effect>,
}

impl Router {
    /// Creates the router of an instance of `domain`; `seed` seeds its random choices.
    pub fn new(policy: Policy, domain: domain::Name, shares: LocalSlots, seed: u64) -> Self {
        Self {
            policy,
            domain,
            shares,
            services: BTreeMap::new(),
            pending: HashMap::new(),
            attempts: HashMap::new(),
            timers: BinaryHeap::new(),
            next_review: Instant::default(),
            next_attempt: 0,
            draining: false,
            rng: SmallRng::seed_from_u64(seed),
            effects: Vec::new(),
        }
    }

    /// Applies the list of instances. A runner that is leaving or no longer listed gets no new
    /// requests; those in flight continue.
    pub fn set_members(&mut self, members: &[Member], now: Instant) -> Vec<Effect> {
        for service in self.services.values_mut() {
            service.runners.iter_mut().for_each(|runner| runner.state = None);
            service.remotes.iter_mut().for_each(|remote| remote.entries.clear());
        }
        for member in members {
            self.set_runner(member);
        }
        self.set_remotes(members);
        self.remove_unlisted();
        self.dispatch_all(now);
        self.take_effects()
    }

    /// Starts, queues, forwards or refuses a new request.
    pub fn submit(&mut self, request: Request, now: Instant) -> Vec<Effect> {
        let id = request.id;
        self.next_review = self.next_review.min(now.after(REVIEW_INTERVAL));
        self.timers.push(Reverse((request.deadline, Timer::Deadline(id))));
        self.pending.insert(id, Pending::new(request, now));
        if let Some(service) = self.service_of(id) {
            service.retries.refill();
            service.hedges.refill();
            let load = service.load();
            service.demand.sample(load);
        }
        self.route(id, now);
        self.take_effects()
    }

    /// Applies the outcome of an attempt.
    pub fn finish(&mut self, id: attempt::Id, outcome: Outcome, now: Instant) -> Vec<Effect> {
        let Some(attempt) =
            self.attempts.get(&id).filter(|attempt| !attempt.outcome_unknown).cloned()
        else {
            return Vec::new();
        };
        match &attempt.target {
            Target::Runner { name, slots } => {
                self.record_runner_outcome(id, &attempt, name, *slots, outcome, now)
            }
            Target::Domain(domain) => {
                self.record_remote_outcome(id, &attempt, domain, outcome, now)
            }
        }
        self.apply_outcome(id, attempt.request, outcome, now);
        self.dispatch(&attempt.service, now);
        self.take_effects()
    }

    /// Handles expired deadlines, hedges and slots, and the periodic review.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if now < at {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Deadline(id) => self.expire(id, now),
                Timer::Hedge(id) => self.hedge(id, now),
                Timer::RunLimit(id) => self.release_after_run_limit(id, now),
            }
        }
        if self.next_review <= now {
            let is_idle = self.pending.is_empty();
            self.next_review =
                now.after(if is_idle { IDLE_REVIEW_INTERVAL } else { REVIEW_INTERVAL });
            self.review(now);
        }
        self.take_effects()
    }

    /// Time at which [`Self::tick`] is due next.
    pub fn next_tick(&self) -> Instant {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        timer.map_or(self.next_review, |at| at.min(self.next_review))
    }

    /// Refuses new requests from now on; accepted ones run to their end.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Number of requests without an outcome.
    pub fn open_requests(&self) -> usize {
        self.pending.len()
    }

    /// Builds the next request to the coordinator.
    pub fn build_share_request(
        &mut self,
        coordinator: CoordinatorId,
        now: Instant,
    ) -> ShareRequest {
        let mut demand: HashMap<Handle, u32> = HashMap::new();
        for service in self.services.values_mut() {
            demand.extend(service.take_demand(&self.shares));
        }
        let draining = self.draining;
        self.shares.build_request(coordinator, now, |runner| {
            if draining { 0 } else { demand.get(&runner).copied().unwrap_or(0) }
        })
    }

    /// Applies the coordinator's response.
    pub fn apply_response(&mut self, response: &ShareResponse, now: Instant) -> Vec<Effect> {
        if self.shares.apply_response(response, now) {
            self.dispatch_all(now);
        }
        self.take_effects()
    }

    /// Slots that this instance may use.
    pub fn shares(&self) -> &LocalSlots {
        &self.shares
    }

    /// State of each service, for dumps and metrics.
    pub fn services(&self) -> &BTreeMap<String, Service> {
        &self.services
    }

    fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn service_of(&mut self, id: request::Id) -> Option<&mut Service> {
        let pending = self.pending.get(&id)?;
        self.services.get_mut(&pending.request.service)
    }
}
