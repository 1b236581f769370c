//! Two simple routing algorithms as baselines.

use std::collections::{HashMap, VecDeque};

use super::simulation::{Action, Answer, Arrival, Balancer, INSTANCES, Plan, RUNNERS, SLOTS};

/// Sends each request immediately to the next runner in turn, and accepts every response.
pub struct RoundRobin {
    next: usize,
    attempts: u64,
    requests: HashMap<u64, u64>,
}

impl RoundRobin {
    pub fn instances(_plan: &Plan) -> Vec<Box<dyn Balancer>> {
        let instance = |index: usize| {
            let next = index * RUNNERS / INSTANCES;
            Box::new(Self { next, attempts: 0, requests: HashMap::new() }) as Box<dyn Balancer>
        };
        (0..INSTANCES).map(instance).collect()
    }
}

impl Balancer for RoundRobin {
    fn submit(&mut self, arrival: Arrival, _now: u64) -> Vec<Action> {
        self.next = (self.next + 1) % RUNNERS;
        self.attempts += 1;
        self.requests.insert(self.attempts, arrival.id);
        vec![Action::Send { attempt: self.attempts, runner: self.next }]
    }

    fn answered(&mut self, attempt: u64, answer: Answer, _now: u64) -> Vec<Action> {
        self.requests.remove(&attempt).map(|request| end(request, answer)).into_iter().collect()
    }

    fn tick(&mut self, _now: u64) -> Vec<Action> {
        Vec::new()
    }
}

/// Sends to the least busy runner, using at most a fixed third of its slots. Requests without a free
/// slot wait in an unbounded FIFO queue.
pub struct Unbounded {
    limit: u32,
    busy: Vec<u32>,
    queue: VecDeque<u64>,
    attempts: u64,
    requests: HashMap<u64, (u64, usize)>,
}

impl Unbounded {
    pub fn instances(_plan: &Plan) -> Vec<Box<dyn Balancer>> {
        // 3 + 3 + 2 of 8 slots.
        let limit = |index: usize| SLOTS / 3 + u32::from((index as u32) < SLOTS % 3);
        let instance = |index: usize| {
            Box::new(Self {
                limit: limit(index),
                busy: vec![0; RUNNERS],
                queue: VecDeque::new(),
                attempts: 0,
                requests: HashMap::new(),
            }) as Box<dyn Balancer>
        };
        (0..INSTANCES).map(instance).collect()
    }

    fn dispatch(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.queue.is_empty() {
            let least = (0..RUNNERS).min_by_key(|runner| self.busy[*runner]);
            let Some(runner) = least.filter(|runner| self.busy[*runner] < self.limit) else {
                break;
            };
            let Some(request) = self.queue.pop_front() else { break };
            self.busy[runner] += 1;
            self.attempts += 1;
            self.requests.insert(self.attempts, (request, runner));
            actions.push(Action::Send { attempt: self.attempts, runner });
        }
        actions
    }
}

impl Balancer for Unbounded {
    fn submit(&mut self, arrival: Arrival, _now: u64) -> Vec<Action> {
        self.queue.push_back(arrival.id);
        self.dispatch()
    }

    fn answered(&mut self, attempt: u64, answer: Answer, _now: u64) -> Vec<Action> {
        let Some((request, runner)) = self.requests.remove(&attempt) else { return Vec::new() };
        self.busy[runner] -= 1;
        let mut actions = vec![end(request, answer)];
        actions.extend(self.dispatch());
        actions
    }

    fn tick(&mut self, _now: u64) -> Vec<Action> {
        Vec::new()
    }
}

fn end(request: u64, answer: Answer) -> Action {
    match answer {
        Answer::Good => Action::Deliver { request, wrong: false },
        Answer::Wrong => Action::Deliver { request, wrong: true },
        Answer::Failed | Answer::Lost => Action::Unknown { request },
    }
}
