//! Steps that wait beside free workers because no query to the policy service is sent for them.

use std::rc::Rc;

use oriolefork::cell::caller::Caller;
use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::job::{Job, Step};
use oriolefork::cell::machine::{Call, Message, PolicyQuery};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};
use test_case::test_case;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, cores, id};

/// Queue of gangs: each query about 100 workers takes a second.
const WIDE: (&str, PolicyTiming) =
    ("wide", PolicyTiming { decide_ms: 400.0, per_worker_ms: 6.0, valid_ms: 2_500 });

/// Queue of small tasks, which has a lower priority than the gangs.
const SMALL: (&str, PolicyTiming) =
    ("small", PolicyTiming { decide_ms: 100.0, per_worker_ms: 1.0, valid_ms: 2_500 });

/// Number of workers, each with eight cores.
const WORKERS: usize = 100;

/// Number of instances that can send queries.
const PROXIES: u16 = 10;

/// Number of gangs that fit nowhere, and of jobs with one small task each.
const GANGS: u64 = 60;
const JOBS: u64 = 40;

/// Time within which a small task must be placed while most capacity is free, in milliseconds.
const BOUND_MS: u64 = 3_000;

/// A cell with a policy service that answers each query after the time it takes to decide.
struct SimulatedSite {
    harness: OwnerHarness,
    /// Pending queries, each with the time of its answer.
    pending: Vec<(u64, PolicyQuery)>,
    policy_timings: Vec<(&'static str, PolicyTiming)>,
}

impl SimulatedSite {
    /// `target_ms` is the target of the queues that are subject to the policy service.
    fn new(target_ms: u64) -> Self {
        let mut harness = OwnerHarness::new(WORKERS);
        let config = model::queue_config();
        let plain = config.queues()[0].clone();
        let limited =
            [WIDE, SMALL].into_iter().enumerate().map(|(priority, (name, policy_timings))| {
                let (name, priority) = (name.to_owned(), priority as u32);
                Rc::new(Queue {
                    name,
                    priority,
                    target_ms,
                    policy: Some(policy_timings),
                    ..Queue::clone(&plain)
                })
            });
        let queues = [plain.clone()].into_iter().chain(limited).collect();
        let config = QueueConfig::new(2, queues, config.services.clone());
        harness.deliver(Message::ConfigChanged(Rc::new(config)));
        Self { harness, pending: Vec::new(), policy_timings: vec![WIDE, SMALL] }
    }

    fn submit(&mut self, number: u64, queue: &str, step: Step) {
        let job = Job { queue: queue.to_owned(), ..model::job(number, step) };
        self.harness.deliver(Message::Call {
            id: number,
            call: Call::Submit(job),
            caller: Caller::default(),
        });
    }

    /// Allocates one core of every worker until the test ends.
    fn occupy(&mut self) {
        let step = Step { max_per_worker: 1, ..model::step(WORKERS as u32, cores(1)) };
        self.harness.start_job(999_999, step);
    }

    /// Advances the clock while instances are present and appends, starts and queries are answered.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            (1..=PROXIES).for_each(|asker| self.harness.see_instance(asker));
            self.harness.advance(9);
            self.harness.complete_appends();
            for start in self.harness.drain_starts() {
                self.harness.answer_start(&start, Ok(WORKER_CLOCK_MS + self.harness.now));
            }
            self.answer_queries();
        }
    }

    fn answer_queries(&mut self) {
        let now = self.harness.now;
        for query in self.harness.drain_queries() {
            let took = self.answer_delay_ms(&query);
            self.pending.push((now + took, query));
        }
        let (due, out): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = out;
        for (_, query) in due {
            let workers = query.workers.iter().map(|worker| (worker.clone(), "t".to_owned()));
            let allowed = Eligibility { workers: workers.collect(), valid_ms: None };
            self.harness.deliver(Message::PolicyAnswered {
                query: query.number,
                eligibility: Some(allowed),
            });
        }
    }

    fn answer_delay_ms(&self, query: &PolicyQuery) -> u64 {
        let job = &self.harness.machine.state.jobs[&query.step.job].job;
        let policy_timings = self
            .policy_timings
            .iter()
            .find(|(name, _)| *name == job.queue)
            .expect("policy timing")
            .1;
        (policy_timings.decide_ms + policy_timings.per_worker_ms * query.workers.len() as f64)
            as u64
    }

    /// Returns the number of jobs among `numbers` without a placed task.
    fn waiting(&self, numbers: std::ops::Range<u64>) -> usize {
        let placed = |number: &u64| {
            let entry = &self.harness.machine.state.jobs[&id(*number)];
            entry
                .open
                .values()
                .flatten()
                .any(|step| step.tasks.iter().any(|task| task.last_run > 0))
        };
        numbers.filter(|number| !placed(number)).count()
    }
}

/// Gangs fit nowhere, since a small task runs on every worker. Their queries cover all workers,
/// take long and rank first, and kept all instances busy: small tasks waited half a minute beside
/// nearly free workers without a single query.
#[test_case(60_000; "on_time")]
#[test_case(0; "late_without_worth")]
fn small_tasks_are_placed_beside_waiting_gangs(target_ms: u64) {
    let mut site = SimulatedSite::new(target_ms);
    site.occupy();
    let gang = Step { gang: true, estimate_ms: 60_000, ..model::step(10, cores(8)) };
    for number in 0..GANGS {
        site.submit(1_000 + number, WIDE.0, gang.clone());
    }
    site.run(100);
    for number in 0..JOBS {
        let step = Step { estimate_ms: 1, ..model::step(1, cores(1)) };
        site.submit(5_000 + number, SMALL.0, step);
    }
    site.run(BOUND_MS);
    assert_eq!(site.waiting(1_000..1_000 + GANGS), GANGS as usize, "no gang fits");
    assert_eq!(site.waiting(5_000..5_000 + JOBS), 0, "small tasks not placed");
}

/// A gang never fits, since a small task runs on every worker. It stayed at the head of its queue
/// and repeated queries about all workers, and the narrow gangs behind it, for which there was
/// capacity, waited as long.
#[test_case(60_000; "on_time")]
#[test_case(0; "late_without_worth")]
fn narrow_gangs_are_placed_beside_one_that_never_fits(target_ms: u64) {
    let mut site = SimulatedSite::new(target_ms);
    site.occupy();
    for number in 0..3 {
        let gang = Step { gang: true, estimate_ms: 1, ..model::step(WORKERS as u32, cores(8)) };
        site.submit(1_000 + number, WIDE.0, gang);
    }
    site.run(100);
    for number in 0..5 {
        let gang = Step { gang: true, estimate_ms: 1, ..model::step(3, cores(2)) };
        site.submit(5_000 + number, WIDE.0, gang);
    }
    site.run(2 * BOUND_MS);
    assert_eq!(site.waiting(1_000..1_003), 3, "no wide gang fits");
    assert_eq!(site.waiting(5_000..5_005), 0, "narrow gangs not placed");
}
