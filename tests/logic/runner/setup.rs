//! A router with a clock that stands still until told.

use std::net::SocketAddr;

use oriolefork::clock::Instant;
use oriolefork::domain;
use oriolefork::job::Effect as Rerun;
use oriolefork::membership::{Member, Role, State};
use oriolefork::runner::attempt::{Id, Outcome};
use oriolefork::runner::share::{LeaseDurations, LocalSlots, Position};
use oriolefork::runner::{Effect, Name, Policy, Request, RequestOutcome, Router, request};

pub const COMPLETE: Outcome = Outcome::Complete { failed: false };
pub const SERVICE: &str = "portal";

pub fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn runner(domain: &str, number: u16, slots: u32) -> Member {
    Member {
        name: format!("{domain}-runner-{number}"),
        role: Role::Runner { service: SERVICE.to_owned(), slots, connections: 64 },
        domain: domain::Name::from(domain),
        address: addr(1000 + number),
        state: State::Live,
    }
}

pub fn entry(domain: &str, number: u16) -> Member {
    let domain = domain::Name::from(domain);
    let name = format!("entry-{number}");
    Member { name, role: Role::Entry, domain, address: addr(2000 + number), state: State::Live }
}

/// A router, its clock and what it wants done.
pub struct Setup {
    pub router: Router,
    pub members: Vec<Member>,
    pub now: u64,
    pub requests: u64,
    pub effects: Vec<Effect>,
}

impl Setup {
    pub fn new(runners: u16, slots: u32) -> Self {
        Self::with(Policy::default(), (1..=runners).map(|n| runner("kurow", n, slots)).collect())
    }

    pub fn with(policy: Policy, members: Vec<Member>) -> Self {
        let durations = LeaseDurations::for_run_limit(policy.run_limit);
        let local_slots = LocalSlots::new(Position::SINGLE, 1, durations, Instant::default());
        let router = Router::new(policy, domain::Name::from("kurow"), local_slots, 7);
        let mut setup = Self { router, members, now: 0, requests: 0, effects: Vec::new() };
        setup.list();
        setup
    }

    pub fn at(&self) -> Instant {
        Instant::from_millis(self.now)
    }

    pub fn list(&mut self) {
        let now = self.at();
        self.effects.extend(self.router.set_members(&self.members, now));
    }

    pub fn submit(&mut self, effect: Rerun, within: u64) -> request::Id {
        self.submit_as(effect, within, false)
    }

    pub fn submit_as(&mut self, effect: Rerun, within: u64, forwarded: bool) -> request::Id {
        self.requests += 1;
        let id = request::Id::from_raw(self.requests);
        let deadline = Instant::from_millis(self.now + within);
        let request = Request { id, service: SERVICE.to_owned(), effect, deadline, forwarded };
        let now = self.at();
        self.effects.extend(self.router.submit(request, now));
        id
    }

    pub fn finish(&mut self, attempt: Id, outcome: Outcome) {
        let now = self.at();
        self.effects.extend(self.router.finish(attempt, outcome, now));
    }

    /// Lets time pass as the task does: never beyond a moment at which something is due.
    pub fn pass(&mut self, millis: u64) {
        let end = Instant::from_millis(self.now + millis);
        while self.router.next_tick() <= end {
            self.now = self.now.max(self.router.next_tick().as_millis());
            let now = self.at();
            self.effects.extend(self.router.tick(now));
        }
        self.now = end.as_millis();
    }

    /// Attempts sent since the last call, with their runner's port.
    pub fn sent(&mut self) -> Vec<(Id, u16)> {
        let sent = |effect: &Effect| match effect {
            Effect::Send { attempt, peer, .. } | Effect::Forward { attempt, peer, .. } => {
                Some((*attempt, peer.port()))
            }
            Effect::Answer { .. } => None,
        };
        let attempts = self.effects.iter().filter_map(sent).collect();
        self.effects.retain(|effect| matches!(effect, Effect::Answer { .. }));
        attempts
    }

    pub fn outcomes(&self, id: request::Id) -> Vec<RequestOutcome> {
        let of = |effect: &Effect| match effect {
            Effect::Answer { request, outcome } if *request == id => Some(*outcome),
            _ => None,
        };
        self.effects.iter().filter_map(of).collect()
    }

    pub fn outcome(&self, id: request::Id) -> Option<RequestOutcome> {
        let outcomes = self.outcomes(id);
        assert!(outcomes.len() <= 1, "two verdicts: {outcomes:?}");
        outcomes.first().copied()
    }

    /// Runs enough requests that latencies are known.
    pub fn warm(&mut self, latency: u64) {
        for _ in 0..64 {
            self.submit(Rerun::Idempotent, 1000);
            let sent = self.sent();
            self.now += latency;
            sent.iter().for_each(|(attempt, _)| self.finish(*attempt, COMPLETE));
        }
        self.effects.clear();
    }

    pub fn in_use(&self, number: u16) -> u32 {
        let name = Name::from(format!("kurow-runner-{number}"));
        let runners = &self.router.services()[SERVICE].runners;
        let runner = runners.iter().find(|runner| runner.name == name).expect("a known runner");
        self.router.shares().in_use(runner.slots)
    }
}
