//! Simulation of callers and runners in virtual time; times are in microseconds.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::report::Tally;

pub const RUNNERS: usize = 50;
pub const SLOTS: u32 = 8;
pub const INSTANCES: usize = 3;
/// Network time to a runner and back.
const ROUND_TRIP: u64 = 1_000;
const MIN_SERVICE_TIME: f64 = 10_000.0;
const MEAN_TAIL_TIME: f64 = 30_000.0;
const MEAN_SERVICE_TIME: f64 = MIN_SERVICE_TIME + MEAN_TAIL_TIME;
/// Requests per second that the runners can serve.
pub const CAPACITY: f64 = RUNNERS as f64 * SLOTS as f64 * 1e6 / MEAN_SERVICE_TIME;
const DEADLINES: [u64; 3] = [300_000, 1_000_000, 3_000_000];
const IDEMPOTENT_FRACTION: f64 = 0.7;
const WARM_UP: u64 = 5_000_000;
const END: u64 = 20_000_000;
/// Time after the last arrival during which responses still count.
const DRAIN_TIME: u64 = 4_000_000;
const TICK: u64 = 1_000;
const SLOW_FACTOR: f64 = 20.0;
const FAULTY_RUNNER: usize = 0;
const SEED: u64 = 11;

/// Fault of the first runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Slow,
    Lying,
    Hanging,
    Failing,
}

pub struct Plan {
    /// Arrival rate as a fraction of the capacity.
    pub load: f64,
    pub fault: Fault,
    /// Weight of each instance in the callers' load balancer.
    pub weights: [f64; INSTANCES],
}

/// A request as an instance receives it; times in microseconds.
#[derive(Clone, Copy)]
pub struct Arrival {
    pub id: u64,
    pub deadline: u64,
    pub idempotent: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Good,
    Failed,
    Wrong,
    Lost,
}

pub enum Action {
    Send {
        attempt: u64,
        runner: usize,
    },
    Deliver {
        request: u64,
        wrong: bool,
    },
    Refuse {
        request: u64,
    },
    /// The outcome is unknown.
    Unknown {
        request: u64,
    },
}

/// One entry instance.
pub trait Balancer {
    fn submit(&mut self, arrival: Arrival, now: u64) -> Vec<Action>;
    fn answered(&mut self, attempt: u64, answer: Answer, now: u64) -> Vec<Action>;
    fn tick(&mut self, now: u64) -> Vec<Action>;
    /// Lets all instances exchange slots and returns the resulting actions of each instance.
    fn exchange(&mut self, _others: &mut [Box<dyn Balancer>], _now: u64) -> Vec<Vec<Action>> {
        Vec::new()
    }
    fn as_candidate(&mut self) -> Option<&mut super::candidate::Candidate> {
        None
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    RequestAtRunner { runner: usize, job: Job },
    RunEnded { runner: usize, job: Job },
    ResponseAtInstance { job: Job, answer: u8 },
    Tick,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    instance: usize,
    attempt: u64,
}

#[derive(Default)]
struct Runner {
    busy: u32,
    backlog: VecDeque<Job>,
}

struct OpenRequest {
    arrived: u64,
    deadline: u64,
}

pub struct Simulation<'a> {
    plan: &'a Plan,
    instances: Vec<Box<dyn Balancer>>,
    runners: Vec<Runner>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    open: HashMap<u64, OpenRequest>,
    serial: u64,
    requests: u64,
    arrivals: SmallRng,
    services: SmallRng,
    tally: Tally,
}

impl<'a> Simulation<'a> {
    pub fn new(plan: &'a Plan, instances: Vec<Box<dyn Balancer>>) -> Self {
        Self {
            plan,
            instances,
            runners: (0..RUNNERS).map(|_| Runner::default()).collect(),
            events: BinaryHeap::new(),
            open: HashMap::new(),
            serial: 0,
            requests: 0,
            arrivals: SmallRng::seed_from_u64(SEED),
            services: SmallRng::seed_from_u64(SEED + 1),
            tally: Tally::new((END - WARM_UP) as f64 / 1e6),
        }
    }

    pub fn run(mut self) -> Tally {
        self.push(0, Event::Arrive);
        self.push(0, Event::Tick);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > END + DRAIN_TIME {
                break;
            }
            self.handle(event, now);
        }
        self.tally.unanswered += self.open.values().filter(|open| open.arrived >= WARM_UP).count();
        self.tally
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::RequestAtRunner { runner, job } => self.receive(runner, job, now),
            Event::RunEnded { runner, job } => self.end_run(runner, job, now),
            Event::ResponseAtInstance { job, answer } => {
                let answer = [Answer::Good, Answer::Failed, Answer::Wrong, Answer::Lost]
                    [usize::from(answer)];
                let actions = self.instances[job.instance].answered(job.attempt, answer, now);
                self.act(job.instance, actions, now);
            }
            Event::Tick => self.tick(now),
        }
    }

    fn tick(&mut self, now: u64) {
        for instance in 0..INSTANCES {
            let actions = self.instances[instance].tick(now);
            self.act(instance, actions, now);
        }
        if now.is_multiple_of(500_000) {
            let (first, others) = self.instances.split_at_mut(1);
            let started = first[0].exchange(others, now);
            for (instance, actions) in started.into_iter().enumerate() {
                self.act(instance, actions, now);
            }
        }
        self.push(now + TICK, Event::Tick);
    }

    fn arrive(&mut self, now: u64) {
        if now >= END {
            return;
        }
        let gap = -self.arrivals.random::<f64>().ln() * 1e6 / (CAPACITY * self.plan.load);
        self.push(now + gap as u64, Event::Arrive);
        let instance = self.pick_instance();
        self.requests += 1;
        let id = self.requests;
        let deadline = now + DEADLINES[self.arrivals.random_range(0..DEADLINES.len())];
        let idempotent = self.arrivals.random_bool(IDEMPOTENT_FRACTION);
        self.open.insert(id, OpenRequest { arrived: now, deadline });
        self.tally.arrived += usize::from(now >= WARM_UP);
        let actions = self.instances[instance].submit(Arrival { id, deadline, idempotent }, now);
        self.act(instance, actions, now);
    }

    fn pick_instance(&mut self) -> usize {
        let total: f64 = self.plan.weights.iter().sum();
        let mut left = self.arrivals.random::<f64>() * total;
        for (instance, weight) in self.plan.weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return instance;
            }
        }
        INSTANCES - 1
    }

    fn act(&mut self, instance: usize, actions: Vec<Action>, now: u64) {
        for action in actions {
            match action {
                Action::Send { attempt, runner } => {
                    self.tally.sent += usize::from(now >= WARM_UP);
                    let job = Job { instance, attempt };
                    self.push(now + ROUND_TRIP / 2, Event::RequestAtRunner { runner, job });
                }
                Action::Deliver { request, wrong } => self.deliver(request, wrong, now),
                Action::Refuse { request } => {
                    if let Some(open) = self.close(request) {
                        self.tally.refused(now - open.arrived);
                    }
                }
                Action::Unknown { request } => {
                    if self.close(request).is_some() {
                        self.tally.unknown += 1;
                    }
                }
            }
        }
    }

    /// Removes a request and returns it if it arrived after the warm-up.
    fn close(&mut self, request: u64) -> Option<OpenRequest> {
        self.open.remove(&request).filter(|open| open.arrived >= WARM_UP)
    }

    fn deliver(&mut self, request: u64, wrong: bool, now: u64) {
        let Some(open) = self.close(request) else { return };
        if wrong {
            self.tally.wrong += 1;
        } else if now <= open.deadline {
            self.tally.good(now - open.arrived);
        } else {
            self.tally.late += 1;
        }
    }

    fn receive(&mut self, runner: usize, job: Job, now: u64) {
        if self.runners[runner].busy >= SLOTS {
            self.tally.beyond_slots += usize::from(now >= WARM_UP);
            self.runners[runner].backlog.push_back(job);
            return;
        }
        self.begin(runner, job, now);
    }

    fn begin(&mut self, runner: usize, job: Job, now: u64) {
        self.runners[runner].busy += 1;
        let normal = MIN_SERVICE_TIME - self.services.random::<f64>().ln() * MEAN_TAIL_TIME;
        let fault = if runner == FAULTY_RUNNER { self.plan.fault } else { Fault::None };
        let time = match fault {
            Fault::Hanging => return,
            Fault::Slow => normal * SLOW_FACTOR,
            Fault::Failing => 1_000.0,
            Fault::None | Fault::Lying => normal,
        };
        self.push(now + time as u64, Event::RunEnded { runner, job });
    }

    fn end_run(&mut self, runner: usize, job: Job, now: u64) {
        self.runners[runner].busy -= 1;
        if let Some(next) = self.runners[runner].backlog.pop_front() {
            self.begin(runner, next, now);
        }
        let answer = match self.plan.fault {
            Fault::Failing if runner == FAULTY_RUNNER => Answer::Failed,
            Fault::Lying if runner == FAULTY_RUNNER => Answer::Wrong,
            _ => Answer::Good,
        };
        self.push(now + ROUND_TRIP / 2, Event::ResponseAtInstance { job, answer: answer as u8 });
    }
}
