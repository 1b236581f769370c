//! The router of an entry instance, including the exchange of slots through the coordinator.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;

use oriolefork::clock::Instant;
use oriolefork::domain::{self, Epoch};
use oriolefork::job;
use oriolefork::membership::{Member, Role, State};
use oriolefork::runner::attempt::{Id, Outcome};
use oriolefork::runner::share::{CoordinatorId, LeaseDurations, Ledger, LocalSlots, Position};
use oriolefork::runner::{Effect, Policy, Request, RequestOutcome, Router, request};

use super::simulation::{Action, Answer, Arrival, Balancer, INSTANCES, Plan, RUNNERS, SLOTS};

const SERVICE: &str = "portal";
const PORT: u16 = 1000;
const COORDINATOR: CoordinatorId = CoordinatorId { epoch: Epoch::FIRST, run: 1 };

/// One entry instance.
pub struct Candidate {
    router: Router,
    ledger: Option<Ledger>,
    run_limit: u64,
    /// Attempts by the time at which the instance stops waiting for their response.
    timeouts: BinaryHeap<Reverse<(u64, u64)>>,
    requests: HashMap<u64, u64>,
    /// Attempts whose response was an error.
    failed: HashSet<u64>,
}

impl Candidate {
    pub fn instances(_plan: &Plan) -> Vec<Box<dyn Balancer>> {
        Self::make(true)
    }

    pub fn without_coordinator(_plan: &Plan) -> Vec<Box<dyn Balancer>> {
        Self::make(false)
    }

    fn make(coordinated: bool) -> Vec<Box<dyn Balancer>> {
        let mut instances: Vec<Self> = (0..INSTANCES).map(Self::new).collect();
        let durations = LeaseDurations::for_run_limit(Policy::default().run_limit);
        instances[0].ledger = coordinated.then(|| Ledger::new(COORDINATOR, durations));
        instances.into_iter().map(|instance| Box::new(instance) as Box<dyn Balancer>).collect()
    }

    fn new(index: usize) -> Self {
        let policy = Policy::default();
        let run_limit = policy.run_limit.as_micros() as u64;
        let durations = LeaseDurations::for_run_limit(policy.run_limit);
        let position = Position { index: index as u32, count: INSTANCES as u32 };
        let local_slots = LocalSlots::new(position, index as u64, durations, Instant::default());
        let domain = domain::Name::from("kurow");
        let mut router = Router::new(policy, domain.clone(), local_slots, index as u64);
        let member = |number: usize| Member {
            name: format!("runner-{number}"),
            role: Role::Runner { service: SERVICE.to_owned(), slots: SLOTS, connections: 64 },
            domain: domain.clone(),
            address: SocketAddr::from(([127, 0, 0, 1], PORT + number as u16)),
            state: State::Live,
        };
        let members: Vec<Member> = (0..RUNNERS).map(member).collect();
        router.set_members(&members, Instant::default());
        let timeouts = BinaryHeap::new();
        let (requests, failed) = (HashMap::new(), HashSet::new());
        Self { router, ledger: None, run_limit, timeouts, requests, failed }
    }

    fn act(&mut self, effects: Vec<Effect>, now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { attempt, request, peer, .. } => {
                    self.timeouts.push(Reverse((now + self.run_limit, attempt.raw())));
                    self.requests.insert(attempt.raw(), request.raw());
                    let runner = usize::from(peer.port() - PORT);
                    actions.push(Action::Send { attempt: attempt.raw(), runner });
                }
                Effect::Answer { request, outcome } => {
                    actions.push(self.end(request.raw(), outcome))
                }
                Effect::Forward { .. } => unreachable!("there is one domain"),
            }
        }
        actions
    }

    fn end(&self, request: u64, outcome: RequestOutcome) -> Action {
        match outcome {
            RequestOutcome::Complete(attempt) if self.failed.contains(&attempt.raw()) => {
                Action::Unknown { request }
            }
            RequestOutcome::Complete(_) => Action::Deliver { request, wrong: false },
            RequestOutcome::NotRun { .. } => Action::Refuse { request },
            RequestOutcome::Unknown { .. } => Action::Unknown { request },
        }
    }

    fn finish(&mut self, attempt: u64, outcome: Outcome, now: u64) -> Vec<Action> {
        if self.requests.remove(&attempt).is_none() {
            return Vec::new();
        }
        let effects = self.router.finish(Id::from_raw(attempt), outcome, at(now));
        self.act(effects, now)
    }

    fn call(&mut self, ledger: &mut Ledger, now: u64) -> Vec<Action> {
        let request = self.router.build_share_request(COORDINATOR, at(now));
        let response = ledger.handle(&request, at(now)).expect("calls come in order");
        let effects = self.router.apply_response(&response, at(now));
        self.act(effects, now)
    }
}

impl Balancer for Candidate {
    fn submit(&mut self, arrival: Arrival, now: u64) -> Vec<Action> {
        let effect = match arrival.idempotent {
            true => job::Effect::Idempotent,
            false => job::Effect::AtMostOnce,
        };
        let request = Request {
            id: request::Id::from_raw(arrival.id),
            service: SERVICE.to_owned(),
            effect,
            deadline: at(arrival.deadline),
            forwarded: false,
        };
        let effects = self.router.submit(request, at(now));
        self.act(effects, now)
    }

    fn answered(&mut self, attempt: u64, answer: Answer, now: u64) -> Vec<Action> {
        if answer == Answer::Failed {
            self.failed.insert(attempt);
        }
        let outcome = match answer {
            Answer::Good => Outcome::Complete { failed: false },
            Answer::Failed => Outcome::Complete { failed: true },
            Answer::Wrong => Outcome::Mismatched,
            Answer::Lost => Outcome::Broken,
        };
        self.finish(attempt, outcome, now)
    }

    fn tick(&mut self, now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(Reverse((end, attempt))) = self.timeouts.peek().copied() {
            if now < end {
                break;
            }
            self.timeouts.pop();
            actions.extend(self.finish(attempt, Outcome::Broken, now));
        }
        if self.router.next_tick() <= at(now) {
            let effects = self.router.tick(at(now));
            actions.extend(self.act(effects, now));
        }
        actions
    }

    fn exchange(&mut self, others: &mut [Box<dyn Balancer>], now: u64) -> Vec<Vec<Action>> {
        let Some(mut ledger) = self.ledger.take() else { return Vec::new() };
        let mut started = vec![self.call(&mut ledger, now)];
        for other in others.iter_mut().filter_map(|other| other.as_candidate()) {
            started.push(other.call(&mut ledger, now));
        }
        self.ledger = Some(ledger);
        started
    }

    fn as_candidate(&mut self) -> Option<&mut Candidate> {
        Some(self)
    }
}

fn at(micros: u64) -> Instant {
    Instant::from_millis(micros / 1000)
}
