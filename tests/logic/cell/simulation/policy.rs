//! The policy service: it allows each step a fixed set of workers, and answers late or not at all
//! while faults are drawn.

use std::rc::Rc;

use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::job::{Run, StepKey};
use oriolefork::cell::machine::{Message, PolicyQuery};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};
use rand::rngs::StdRng;
use rand::seq::index;
use rand::{Rng, SeedableRng};

use super::{Event, Simulation};
use crate::cell::model;

/// Queues whose workers the policy service decides on, with its response times.
const QUEUES: [(&str, PolicyTiming); 2] = [
    (SLOW, PolicyTiming { decide_ms: 410.0, per_worker_ms: 6.0, valid_ms: 1_500 }),
    (FAST, PolicyTiming { decide_ms: 20.0, per_worker_ms: 1.0, valid_ms: 1_500 }),
];
pub const SLOW: &str = "slow";
pub const FAST: &str = "fast";

/// Targets of the queues, in milliseconds: with the first, jobs are soon late; with the second, they
/// are on time throughout.
const TARGETS_MS: [u64; 2] = [1_000, 60_000];

/// Number of instances that can send queries.
const INSTANCES: u16 = 9;

/// Interval at which the owners see each instance and read the list of workers, in milliseconds.
const SEEN_INTERVAL_MS: u64 = 300;

/// Maximum delay of an answer beyond the stated response time, in milliseconds.
const JITTER_MS: u64 = 20;

/// A policy service and the queues that are subject to it.
pub(super) struct Policy {
    seed: u64,
    /// Queues in order of priority, with their targets.
    queues: Vec<(&'static str, PolicyTiming, u64)>,
}

impl Policy {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut queues: Vec<_> = QUEUES
            .iter()
            .map(|(name, timing)| (*name, *timing, TARGETS_MS[rng.random_range(0..2)]))
            .collect();
        if rng.random_bool(0.5) {
            queues.reverse();
        }
        Self { seed, queues }
    }

    /// The configuration with the queues of the policy service behind the plain one.
    pub(super) fn config(&self) -> Rc<QueueConfig> {
        let config = model::queue_config();
        let plain = config.queues()[0].clone();
        let limited = self.queues.iter().enumerate().map(|(number, (name, timing, target_ms))| {
            Rc::new(Queue {
                name: (*name).to_owned(),
                priority: plain.priority + number as u32,
                target_ms: *target_ms,
                policy: Some(*timing),
                ..Queue::clone(&plain)
            })
        });
        let queues = [plain.clone()].into_iter().chain(limited).collect();
        Rc::new(QueueConfig::new(config.version, queues, config.services.clone()))
    }

    fn timing(&self, queue: &str) -> Option<PolicyTiming> {
        self.queues.iter().find(|(name, ..)| *name == queue).map(|(_, timing, _)| *timing)
    }

    /// The workers that may run a step, of `workers`: one, two, or a quarter of them.
    fn allowed(&self, step: &StepKey, workers: usize) -> Vec<usize> {
        let job = u64::from_str_radix(&step.job.to_string(), 16).expect("hexadecimal digits");
        let key = job ^ u64::from(step.occurrence) << 32 ^ u64::from(step.step) << 48;
        let mut rng = StdRng::seed_from_u64(self.seed.rotate_left(24) ^ key);
        let count = [1, 2, workers / 4][rng.random_range(0..3)];
        index::sample(&mut rng, workers, count).into_vec()
    }
}

impl Simulation {
    /// The numbers of the workers that may run a step.
    pub(super) fn allowed_workers(&self, step: &StepKey) -> Vec<usize> {
        let workers = self.incarnations.len();
        let queue = &self.jobs[&step.job].job.queue;
        let policy = self.policy.as_ref().filter(|policy| policy.timing(queue).is_some());
        policy.map_or_else(|| (0..workers).collect(), |policy| policy.allowed(step, workers))
    }

    /// Checks that a worker may run the attempt that starts there.
    pub(super) fn check_allowed(&self, worker: &str, run: &Run) {
        let allowed = self.allowed_workers(&run.task.step);
        assert!(
            allowed.contains(&number_of(worker)),
            "{}: {run} starts on {worker}, and only {allowed:?} may run it",
            self.now
        );
    }

    /// Lets each owner see the instances that can send queries, and read the list of workers. An
    /// earlier list that arrives late is replaced by the next one.
    pub(super) fn announce_instances(&mut self) {
        if self.policy.is_none() || !self.now.is_multiple_of(SEEN_INTERVAL_MS) {
            return;
        }
        let (now, unix) = self.clocks();
        let roster = self.roster();
        for owner in self.owners.iter_mut().filter(|owner| owner.alive) {
            for number in 1..=INSTANCES {
                let peer = ([127, 0, 0, 1], number).into();
                let message = Message::InstanceSeen { peer, cpu_millis: 1, domain: "hall".into() };
                owner.machine.handle(message, now, unix);
            }
            owner.machine.handle(Message::WorkersChanged(roster.clone()), now, unix);
        }
    }

    pub(super) fn answer_query(&mut self, owner: usize, query: &PolicyQuery) {
        let queue = &self.jobs[&query.step.job].job.queue;
        let timing = self.policy.as_ref().and_then(|policy| policy.timing(queue));
        let timing = timing.expect("a queue of the policy service");
        let stated = timing.time_ms(query.workers.len()) as u64;
        let timeout = query.timeout.as_millis() as u64;
        let fraction = self.faults.lost_policy_answers;
        if fraction > 0.0 && self.chance(fraction) {
            let message = Message::PolicyAnswered { query: query.number, eligibility: None };
            return self.schedule(timeout, Event::Owner { owner, message });
        }
        let took = if fraction > 0.0 && self.chance(fraction) {
            self.rng.random_range(stated..timeout)
        } else {
            stated + self.rng.random_range(0..JITTER_MS)
        };
        let allowed = self.allowed_workers(&query.step);
        let workers = query.workers.iter().filter(|worker| allowed.contains(&number_of(worker)));
        let workers = workers.map(|worker| (worker.clone(), "ticket".to_owned())).collect();
        let eligibility = Some(Eligibility { workers, valid_ms: None });
        let message = Message::PolicyAnswered { query: query.number, eligibility };
        self.schedule(took, Event::Owner { owner, message });
    }
}

/// Returns the number of a worker from the name of one of its incarnations.
pub(super) fn number_of(worker: &str) -> usize {
    let digits = worker[1..].split(['-', '@']).next().expect("a part");
    digits.parse().expect("a number")
}
