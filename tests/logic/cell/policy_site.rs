//! A cell whose policy service and workers answer after the time that they take.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use oriolefork::cell::caller::Caller;
use oriolefork::cell::customer::{Customer, Customers, KeyDigest};
use oriolefork::cell::dependencies::Eligibility;
use oriolefork::cell::job::{Job, Run, RunOutcome, Step};
use oriolefork::cell::machine::{Call, Effect, Message, PolicyQuery};
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig};
use oriolefork::cell::timings::Timings;
use oriolefork::resource::Limit;

use super::harness::{OwnerHarness, WORKER_CLOCK_MS};
use super::model::{self, id};

/// Length of one step of the clock, in milliseconds.
const STEP_MS: u64 = 10;

/// Time after which a worker without news answers a poll, in milliseconds.
const POLL_WAIT_MS: u64 = 500;

/// A worker and what runs on it.
#[derive(Default)]
struct Worker {
    /// Attempts with the times of their ends; `None` for those that do not end.
    running: BTreeMap<Run, Option<u64>>,
    /// Ends that have been reported.
    ended: u64,
    /// When it was asked for its next report.
    polled_at: Option<u64>,
}

/// A cell with instances that query a policy service.
pub struct PolicySite {
    pub harness: OwnerHarness,
    /// Workers that the policy service allows; `None` for all.
    pub allowed: Option<BTreeSet<usize>>,
    /// Run time of attempts in milliseconds; `None` if they do not end.
    pub run_ms: Option<u64>,
    /// Number of queries that have been sent.
    pub queries: usize,
    /// Queues with their response times of the policy service.
    queues: Vec<(&'static str, PolicyTiming)>,
    /// Number of instances that can send queries.
    instances: u16,
    /// Pending queries, each with the time of its answer.
    pending: Vec<(u64, PolicyQuery)>,
    workers: BTreeMap<usize, Worker>,
}

impl PolicySite {
    /// Creates a site with a queue for each of `queues`, in order of priority, behind the plain
    /// queue of [`model::queue_config`]. `target_ms` is the target of these queues.
    pub fn new(
        workers: usize,
        instances: u16,
        queues: &[(&'static str, PolicyTiming)],
        target_ms: u64,
    ) -> Self {
        Self::with_timings(Timings::default(), workers, instances, queues, target_ms)
    }

    /// The same with the given `timings`.
    pub fn with_timings(
        timings: Timings,
        workers: usize,
        instances: u16,
        queues: &[(&'static str, PolicyTiming)],
        target_ms: u64,
    ) -> Self {
        let mut site = Self {
            harness: OwnerHarness::with_timings(timings, workers),
            allowed: None,
            run_ms: None,
            queries: 0,
            queues: queues.to_vec(),
            instances,
            pending: Vec::new(),
            workers: BTreeMap::new(),
        };
        let config = site.config(target_ms);
        site.harness.deliver(Message::ConfigChanged(config));
        site
    }

    fn config(&self, target_ms: u64) -> Rc<QueueConfig> {
        let config = model::queue_config();
        let plain = config.queues()[0].clone();
        let limited = self.queues.iter().enumerate().map(|(priority, (name, timing))| {
            let (name, priority) = ((*name).to_owned(), priority as u32);
            Rc::new(Queue {
                name,
                priority,
                target_ms,
                policy: Some(*timing),
                ..Queue::clone(&plain)
            })
        });
        let queues = [plain.clone()].into_iter().chain(limited).collect();
        Rc::new(QueueConfig::new(2, queues, config.services.clone()))
    }

    /// Adds a customer, the only one, with a cap.
    pub fn add_customer(&mut self, name: &str, cap: Limit) {
        let keys = vec![KeyDigest::of(name)];
        let customer = Customer { name: name.into(), keys, jobs_per_second: 1.0, cap };
        let customers = Customers::new(vec![customer]).expect("a valid customer");
        let mut config = QueueConfig::clone(&self.harness.machine.config);
        config.version += 1;
        let config = Rc::new(config.with_customers(customers));
        self.harness.deliver(Message::ConfigChanged(config));
    }

    pub fn submit(&mut self, number: u64, queue: &str, step: Step) {
        self.submit_by(Caller::default(), number, queue, step);
    }

    /// Submits a job of a customer.
    pub fn submit_as(&mut self, customer: &str, number: u64, queue: &str, step: Step) {
        let (name, key) = (Some(customer.into()), Some(KeyDigest::of(customer)));
        let config_version = self.harness.machine.config.version;
        let caller = Caller { config_version, customer: name, key, ..Caller::default() };
        self.submit_by(caller, number, queue, step);
    }

    fn submit_by(&mut self, caller: Caller, number: u64, queue: &str, step: Step) {
        let job = Job { queue: queue.to_owned(), ..model::job(number, step) };
        let call = Call::Submit(job);
        self.harness.deliver(Message::Call { id: number, call, caller });
    }

    /// Advances the clock while instances are present and appends, starts, polls and queries are
    /// answered.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            (1..=self.instances).for_each(|instance| self.harness.see_instance(instance));
            self.harness.advance(STEP_MS - 1);
            self.harness.complete_appends();
            self.answer_starts();
            self.answer_polls();
            self.answer_queries();
        }
    }

    /// Like [`PolicySite::run`], which advances the clock by up to a tenth less, for all of `millis`.
    pub fn elapse(&mut self, millis: u64) {
        let end = self.harness.now + millis;
        while self.harness.now < end {
            self.run(STEP_MS);
        }
    }

    fn answer_starts(&mut self) {
        for start in self.harness.drain_starts() {
            let ends_at = self.run_ms.map(|run_ms| self.harness.now + run_ms);
            let worker = self.workers.entry(start.0).or_default();
            worker.running.insert(start.1.run, ends_at);
            self.harness.answer_start(&start, Ok(WORKER_CLOCK_MS + self.harness.now));
        }
    }

    fn answer_polls(&mut self) {
        let now = self.harness.now;
        let polled = self.harness.effects.iter().filter_map(|effect| match effect {
            Effect::Poll { worker, .. } => Some(worker[1..].parse().expect("a number")),
            _ => None,
        });
        for number in polled.collect::<Vec<usize>>() {
            self.workers.entry(number).or_default().polled_at = Some(now);
        }
        self.harness.effects.retain(|effect| !matches!(effect, Effect::Poll { .. }));
        let due = |worker: &Worker| {
            worker.polled_at.is_some_and(|at| {
                let has_news = worker.running.values().flatten().any(|ends_at| *ends_at <= now);
                has_news || now >= at + POLL_WAIT_MS
            })
        };
        let numbers: Vec<usize> =
            self.workers.iter().filter(|(_, worker)| due(worker)).map(|(at, _)| *at).collect();
        for number in numbers {
            self.report(number);
        }
    }

    fn report(&mut self, number: usize) {
        let now = self.harness.now;
        let Some(worker) = self.workers.get_mut(&number) else { return };
        worker.polled_at = None;
        let mut ended = Vec::new();
        worker.running.retain(|run, ends_at| {
            let runs = ends_at.is_none_or(|ends_at| ends_at > now);
            if !runs {
                worker.ended += 1;
                ended.push((worker.ended, *run, RunOutcome::Succeeded));
            }
            runs
        });
        let running: Vec<Run> = worker.running.keys().copied().collect();
        self.harness.report(number, &running, &ended);
    }

    fn answer_queries(&mut self) {
        let now = self.harness.now;
        for query in self.harness.drain_queries() {
            self.queries += 1;
            let took = self.timing(&query).time_ms(query.workers.len()) as u64;
            self.pending.push((now + took, query));
        }
        let (due, pending) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = pending;
        let due: Vec<(u64, PolicyQuery)> = due;
        for (_, query) in due {
            let allowed = query.workers.iter().filter(|worker| self.allows(worker));
            let workers = allowed.map(|worker| (worker.clone(), "t".to_owned())).collect();
            let eligibility = Some(Eligibility { workers, valid_ms: None });
            self.harness.deliver(Message::PolicyAnswered { query: query.number, eligibility });
        }
    }

    fn allows(&self, worker: &str) -> bool {
        let number = worker[1..].parse().expect("a number");
        self.allowed.as_ref().is_none_or(|allowed| allowed.contains(&number))
    }

    fn timing(&self, query: &PolicyQuery) -> PolicyTiming {
        let job = &self.harness.machine.state.jobs[&query.step.job].job;
        self.queues.iter().find(|(name, _)| *name == job.queue).expect("a queue").1
    }

    /// Returns whether all tasks of the job have succeeded.
    pub fn is_done(&self, number: u64) -> bool {
        self.harness.machine.state.jobs[&id(number)].phase().is_final()
    }

    /// Returns the number of tasks of the job that have been placed.
    pub fn started(&self, number: u64) -> usize {
        let entry = &self.harness.machine.state.jobs[&id(number)];
        if entry.phase().is_final() {
            return entry.job.steps.iter().map(|step| step.count as usize).sum();
        }
        let steps = entry.open.values().flatten();
        steps.map(|step| step.tasks.indexes(|task| task.last_run > 0).len()).sum()
    }

    /// Returns the number of jobs among `numbers` without a placed task.
    pub fn waiting(&self, numbers: std::ops::Range<u64>) -> usize {
        numbers.filter(|number| self.started(*number) == 0).count()
    }
}
