//! Replays a day of jobs through the engine.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant as Stopwatch;

use hdrhistogram::Histogram;
use oriolefork::clock::{Instant, Unix};
use oriolefork::job::{self, Kind, Urgency};
use oriolefork::placement::{Decision, Engine, HealthEvent, Policy, Request, SchedulingState};
use oriolefork::resource::Amount;
use oriolefork::task::{self, End};
use oriolefork::worker;

use super::mix::{
    self, BROKEN, BROKEN_WORKERS, CANCEL, DAY, Job, MORNING, NIGHT, PEAK, RACK, Site, WORKERS,
};

/// Lag of reports on measured use.
const LAG: u64 = 30;
/// Time in which a broken worker fails a task.
const FAIL: u64 = 5;
/// Time a checkpoint takes.
const CHECKPOINT: u64 = 5;
/// Tries of a task that fails.
const TRIES: u32 = 5;

/// Measures of one or more replays.
#[derive(Default)]
pub struct Outcome {
    batch: Waits,
    gang: Waits,
    urgent: Waits,
    dated_waits: Waits,
    dated: usize,
    missed: usize,
    refused: usize,
    lost: usize,
    unstarted: usize,
    preempted: usize,
    quarantined: usize,
    packing: Vec<f64>,
    decide_nanos: Vec<f64>,
}

#[derive(Default)]
struct Waits(Vec<u64>);

impl Waits {
    fn quantile(&self, quantile: f64) -> f64 {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits are allowed");
        for wait in &self.0 {
            histogram.record(wait + 1).expect("the histogram grows by itself");
        }
        histogram.value_at_quantile(quantile).saturating_sub(1) as f64
    }
}

impl Outcome {
    pub fn header() -> String {
        format!(
            "{:<24} {:>15} {:>15} {:>15} {:>15} {:>8} {:>12} {:>9} {:>5} {:>9} {:>9} {:>7}",
            "policy",
            "batch p50/p99",
            "gang p50/p99",
            "urgent p50/p99",
            "dated p50/p99",
            "packing",
            "missed",
            "unstarted",
            "lost",
            "preempted",
            "quarant.",
            "us/call"
        )
    }

    pub fn row(&self, name: &str) -> String {
        let pair = |waits: &Waits| format!("{}/{}", waits.quantile(0.5), waits.quantile(0.99));
        format!(
            "{:<24} {:>15} {:>15} {:>15} {:>15} {:>7.1}% {:>12} {:>9} {:>5} {:>9} {:>9} {:>7.1}",
            name,
            pair(&self.batch),
            pair(&self.gang),
            pair(&self.urgent),
            pair(&self.dated_waits),
            mean(&self.packing) * 100.0,
            format!("{}/{}", self.missed, self.dated),
            self.unstarted,
            self.lost,
            self.preempted,
            self.quarantined,
            mean(&self.decide_nanos) / 1_000.0,
        )
    }

    pub fn add(&mut self, other: &Self) {
        self.batch.0.extend(&other.batch.0);
        self.gang.0.extend(&other.gang.0);
        self.urgent.0.extend(&other.urgent.0);
        self.dated_waits.0.extend(&other.dated_waits.0);
        self.dated += other.dated;
        self.missed += other.missed;
        self.refused += other.refused;
        self.lost += other.lost;
        self.unstarted += other.unstarted;
        self.preempted += other.preempted;
        self.quarantined += other.quarantined;
        self.packing.extend(&other.packing);
        self.decide_nanos.extend(&other.decide_nanos);
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(task::Id, Ending),
    Retry(task::Id),
    Report(task::Id),
    Cancel,
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Ending {
    Succeeded,
    Failed,
    Checkpointed,
}

struct Run {
    started: u64,
    ends: u64,
    stopping: bool,
}

struct State {
    first_start: Option<u64>,
    left: u32,
    done: bool,
}

struct Replay {
    engine: Engine,
    jobs: Vec<Job>,
    states: Vec<State>,
    running: HashMap<task::Id, Run>,
    /// Run time left of tasks that were checkpointed.
    rest: HashMap<(job::Id, u32), u64>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    outcome: Outcome,
    used: f64,
    nanos: u128,
    calls: u64,
}

/// Replays the mix of a seed.
pub fn run(site: &Site, policy: Policy, seed: u64) -> Outcome {
    let mut replay = Replay::new(site, policy, mix::draw(site, seed));
    replay.play();
    replay.sum_up()
}

impl Replay {
    fn new(site: &Site, policy: Policy, jobs: Vec<Job>) -> Self {
        let mut engine = Engine::new(policy);
        let capacity = Amount {
            cpu_millis: site.cores * 1_000,
            memory_mib: site.gib * 1_024,
            accelerators: 0,
        };
        for index in 0..WORKERS {
            let rack = format!("rack-{}", index / RACK);
            engine.upsert_worker(&worker_name(index), &rack, capacity, SchedulingState::Open);
        }
        let state = |job: &Job| State { first_start: None, left: job.tasks, done: false };
        let states = jobs.iter().map(state).collect();
        let mut replay = Self {
            engine,
            states,
            running: HashMap::new(),
            rest: HashMap::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            outcome: Outcome::default(),
            used: 0.0,
            nanos: 0,
            calls: 0,
            jobs,
        };
        for index in 0..replay.jobs.len() {
            replay.schedule(replay.jobs[index].at, Event::Arrive(index));
        }
        (0..DAY).for_each(|second| replay.schedule(second, Event::Tick));
        replay.schedule(CANCEL, Event::Cancel);
        replay
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn play(&mut self) {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= DAY {
                break;
            }
            self.handle(now, event);
            let more = self.events.peek().is_some_and(|Reverse((at, ..))| *at == now);
            if !more {
                self.decide(now);
            }
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive(index) => self.arrive(now, index),
            Event::End(task, ending) => self.end(now, task, ending),
            Event::Retry(task) => self.enqueue(now, index_of(task), vec![task]),
            Event::Report(task) => {
                self.engine.observe_task_usage(task, self.jobs[index_of(task)].usage);
            }
            Event::Cancel => self.cancel(),
            Event::Tick if !is_busy(now) => {}
            Event::Tick => {
                let load = self.engine.load();
                self.used += load.used.cpu_millis as f64 / load.capacity.cpu_millis as f64;
            }
        }
    }

    fn arrive(&mut self, now: u64, index: usize) {
        let job = &self.jobs[index];
        let tasks = job.tasks as usize;
        if self.engine.infeasible_reason(&job.demand, job.kind, tasks).is_some() {
            self.outcome.refused += 1;
            self.states[index].done = true;
            return;
        }
        let id = |task| task::Id { job: job::Id::from_raw(index as u64), index: task, attempt: 0 };
        let tasks = (0..job.tasks).map(id).collect();
        self.enqueue(now, index, tasks);
    }

    fn enqueue(&mut self, now: u64, index: usize, tasks: Vec<task::Id>) {
        let job = &self.jobs[index];
        if self.states[index].done {
            return;
        }
        self.engine.enqueue(Request {
            job: job::Id::from_raw(index as u64),
            team: format!("team-{}", job.team),
            name: format!("name-{}", job.name),
            kind: job.kind,
            urgency: job.urgency,
            deadline: job.deadline.map(|deadline| Unix::from_millis(deadline * 1_000)),
            run_time: job.declared,
            demand: job.demand,
            tasks,
            queued: Instant::from_millis(now * 1_000),
        });
    }

    fn cancel(&mut self) {
        for index in 0..self.jobs.len() {
            if self.jobs[index].cancelled {
                self.engine.withdraw(job::Id::from_raw(index as u64));
                self.states[index].done = true;
            }
        }
    }

    fn end(&mut self, now: u64, task: task::Id, ending: Ending) {
        let Some(run) = self.running.get(&task) else { return };
        if run.stopping != (ending == Ending::Checkpointed) {
            return;
        }
        let run = self.running.remove(&task).expect("it was just found");
        let end = match ending {
            Ending::Succeeded => End::Succeeded,
            Ending::Failed => End::Failed,
            Ending::Checkpointed => End::Checkpointed,
        };
        self.engine.finish(task, end, Instant::from_millis(now * 1_000));
        let next = task::Id { attempt: task.attempt + 1, ..task };
        match ending {
            Ending::Succeeded => self.succeed(now, index_of(task)),
            Ending::Failed if next.attempt >= TRIES => self.lose(index_of(task)),
            Ending::Failed => self.schedule(now + (10 << task.attempt), Event::Retry(next)),
            Ending::Checkpointed => {
                self.rest.insert((task.job, task.index), run.ends.saturating_sub(now).max(1));
                self.schedule(now, Event::Retry(next));
            }
        }
    }

    fn succeed(&mut self, now: u64, index: usize) {
        let state = &mut self.states[index];
        state.left = state.left.saturating_sub(1);
        if state.left > 0 || state.done {
            return;
        }
        state.done = true;
        if self.jobs[index].deadline.is_some_and(|deadline| now > deadline) {
            self.outcome.missed += 1;
        }
    }

    fn lose(&mut self, index: usize) {
        if !self.states[index].done {
            self.states[index].done = true;
            self.outcome.lost += usize::from(!self.jobs[index].fails);
            self.engine.withdraw(job::Id::from_raw(index as u64));
        }
    }

    fn decide(&mut self, now: u64) {
        let (instant, unix) = (Instant::from_millis(now * 1_000), Unix::from_millis(now * 1_000));
        let stopwatch = Stopwatch::now();
        let decisions = self.engine.decide(instant, unix, usize::MAX);
        self.nanos += stopwatch.elapsed().as_nanos();
        self.calls += 1;
        for decision in decisions {
            match decision {
                Decision::Start { tasks, .. } => {
                    for assignment in tasks {
                        self.start(now, assignment.task, assignment.worker.as_str());
                    }
                }
                Decision::Preempt { task, .. } => self.preempt(now, task),
            }
        }
        let quarantined = |event: &HealthEvent| matches!(event, HealthEvent::Quarantined { .. });
        self.outcome.quarantined +=
            self.engine.take_events().iter().filter(|f| quarantined(f)).count();
    }

    fn start(&mut self, now: u64, task: task::Id, worker: &str) {
        let index = index_of(task);
        let job = &self.jobs[index];
        if self.states[index].first_start.is_none() {
            self.states[index].first_start = Some(now);
        }
        let rest = self.rest.remove(&(task.job, task.index));
        let run = rest.unwrap_or(job.run.as_secs().max(1));
        let broken = BROKEN.contains(&now)
            && BROKEN_WORKERS.iter().any(|w| worker_name(*w).as_str() == worker);
        let (after, ending) = match broken || job.fails {
            true => (FAIL, Ending::Failed),
            false => (run, Ending::Succeeded),
        };
        if job.usage != job.demand {
            self.schedule(now + LAG, Event::Report(task));
        }
        self.running.insert(task, Run { started: now, ends: now + after, stopping: false });
        self.schedule(now + after, Event::End(task, ending));
    }

    fn preempt(&mut self, now: u64, task: task::Id) {
        self.outcome.preempted += 1;
        if let Some(run) = self.running.get_mut(&task) {
            run.stopping = true;
            run.ends = run.ends.max(run.started);
            self.schedule(now + CHECKPOINT, Event::End(task, Ending::Checkpointed));
        }
    }

    fn sum_up(mut self) -> Outcome {
        for (job, state) in self.jobs.iter().zip(&self.states) {
            let wait = state.first_start.map(|start| start - job.at);
            let counts = job.demand.cpu_millis > 0 && !job.cancelled && !job.fails;
            let waits = match (job.kind, job.urgency) {
                _ if !counts => continue,
                (Kind::LongRunning, _) => continue,
                (_, Urgency::Urgent) => &mut self.outcome.urgent,
                (Kind::Gang, _) => &mut self.outcome.gang,
                (Kind::Batch, _) => &mut self.outcome.batch,
            };
            if wait.is_none() && state.done {
                continue;
            }
            waits.0.push(wait.unwrap_or(DAY - job.at));
            if job.deadline.is_some() {
                self.outcome.dated_waits.0.push(wait.unwrap_or(DAY - job.at));
            }
            self.outcome.unstarted += usize::from(wait.is_none());
            if job.deadline.is_some_and(|deadline| deadline < DAY) {
                self.outcome.dated += 1;
                self.outcome.missed += usize::from(!state.done);
            }
        }
        self.outcome
            .packing
            .push(self.used / (0..DAY).filter(|second| is_busy(*second)).count() as f64);
        self.outcome.decide_nanos.push(self.nanos as f64 / self.calls.max(1) as f64);
        self.outcome
    }
}

/// Whether packing counts: the nightly wave and the peak.
fn is_busy(second: u64) -> bool {
    (NIGHT..MORNING).contains(&second) || PEAK.contains(&second)
}

fn index_of(task: task::Id) -> usize {
    usize::try_from(task.job.raw()).expect("jobs are numbered from zero")
}

fn worker_name(index: usize) -> worker::Name {
    worker::Name::from(format!("worker-{index}"))
}
