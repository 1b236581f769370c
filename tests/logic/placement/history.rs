//! Any order of calls: never more than a worker has, nothing twice, nothing waits for ever.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriolefork::clock::{Instant, Unix};
use oriolefork::job::{self, Kind, Urgency};
use oriolefork::placement::{
    Assignment, Decision, Engine, Objective, Policy, Preset, Request, RunningTask, SchedulingState,
};
use oriolefork::resource::Amount;
use oriolefork::task::End;
use oriolefork::{task, worker};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

use super::cores;

const WORKERS: usize = 4;
const JOBS: usize = 10;
const TEAMS: [&str; 3] = ["shop", "mail", "museum"];

/// A call on the engine.
#[derive(Clone, Debug)]
enum Step {
    Worker(usize, Amount, SchedulingState),
    Remove(usize),
    Enqueue(usize, u32),
    Withdraw(usize),
    Adopt(usize, u32, usize, Amount),
    Release(usize),
    Finish(usize, End),
    Usage(usize, Amount),
    TaskUsage(usize, Amount),
    Quota(usize, Option<Amount>),
    Policy(Preset, Objective),
    Decide(u64, usize),
}

/// What a job asks for, the same in all its requests.
#[derive(Clone, Debug)]
struct Shape {
    team: usize,
    kind: Kind,
    urgency: Urgency,
    deadline: Option<u64>,
    run_time: Option<u64>,
    demand: Amount,
}

fn amount(most: u64) -> impl Strategy<Value = Amount> {
    (1..=most, 1..=most, 0..=1u64).prop_map(|(cpu, memory, accelerators)| Amount {
        cpu_millis: cpu * 500,
        memory_mib: memory * 512,
        accelerators,
    })
}

fn shape() -> impl Strategy<Value = Shape> {
    let kind = prop_oneof![Just(Kind::Batch), Just(Kind::LongRunning), Just(Kind::Gang)];
    let urgency = prop_oneof![3 => Just(Urgency::Normal), 1 => Just(Urgency::Urgent)];
    let times = (any::<Option<u16>>(), any::<Option<u16>>());
    (0..TEAMS.len(), kind, urgency, times, amount(6)).prop_map(
        |(team, kind, urgency, (deadline, run_time), demand)| Shape {
            team,
            kind,
            urgency,
            deadline: deadline.map(u64::from),
            run_time: run_time.map(u64::from),
            demand,
        },
    )
}

fn step() -> impl Strategy<Value = Step> {
    let scheduling_state = prop_oneof![
        4 => Just(SchedulingState::Open),
        1 => Just(SchedulingState::Draining),
        1 => Just(SchedulingState::Closed),
    ];
    let end = prop_oneof![
        Just(End::Succeeded),
        Just(End::Failed),
        Just(End::Checkpointed),
        Just(End::Lapsed)
    ];
    let preset = prop_oneof![Just(Preset::Ordinary), Just(Preset::Peak), Just(Preset::Maintenance)];
    let objective = prop_oneof![Just(Objective::Packing), Just(Objective::Waiting)];
    prop_oneof![
        2 => (0..WORKERS, amount(12), scheduling_state).prop_map(|(w, a, v)| Step::Worker(w, a, v)),
        1 => (0..WORKERS).prop_map(Step::Remove),
        6 => (0..JOBS, 1..6u32).prop_map(|(job, tasks)| Step::Enqueue(job, tasks)),
        1 => (0..JOBS).prop_map(Step::Withdraw),
        1 => (0..JOBS, 0..6u32, 0..WORKERS, amount(6))
            .prop_map(|(job, index, w, a)| Step::Adopt(job, index, w, a)),
        2 => any::<usize>().prop_map(Step::Release),
        4 => (any::<usize>(), end).prop_map(|(task, end)| Step::Finish(task, end)),
        1 => (0..WORKERS, amount(12)).prop_map(|(w, a)| Step::Usage(w, a)),
        2 => (any::<usize>(), amount(8)).prop_map(|(task, a)| Step::TaskUsage(task, a)),
        1 => (0..TEAMS.len(), proptest::option::of(amount(12)))
            .prop_map(|(team, quota)| Step::Quota(team, quota)),
        1 => (preset, objective).prop_map(|(preset, objective)| Step::Policy(preset, objective)),
        8 => (0..400u64, 0..12usize).prop_map(|(more, limit)| Step::Decide(more, limit)),
    ]
}

#[derive(Clone, Debug)]
struct Held {
    worker: usize,
    demand: Amount,
    usage: Amount,
    preemptible: bool,
}

/// The engine beside a plain account of what it was told and what it decided.
struct Account {
    engine: Engine,
    shapes: Vec<Shape>,
    now: u64,
    workers: BTreeMap<usize, (Amount, SchedulingState)>,
    held: BTreeMap<task::Id, Held>,
    waiting: BTreeMap<usize, BTreeSet<task::Id>>,
}

fn id(job: usize, index: u32) -> task::Id {
    task::Id { job: job::Id::from_raw(job as u64), index, attempt: 0 }
}

fn name(worker: usize) -> worker::Name {
    worker::Name::from(format!("w{worker}"))
}

impl Account {
    fn new(shapes: Vec<Shape>) -> Self {
        let mut account = Self {
            engine: Engine::new(Policy::default()),
            shapes,
            now: 0,
            workers: BTreeMap::new(),
            held: BTreeMap::new(),
            waiting: BTreeMap::new(),
        };
        for worker in 0..WORKERS {
            account.set_worker(worker, cores(6), SchedulingState::Open);
        }
        account
    }

    fn set_worker(&mut self, worker: usize, capacity: Amount, scheduling_state: SchedulingState) {
        let rack = format!("r{}", worker / 2);
        self.engine.upsert_worker(&name(worker), &rack, capacity, scheduling_state);
        self.workers.insert(worker, (capacity, scheduling_state));
    }

    fn nth(&self, choice: usize) -> Option<task::Id> {
        let count = self.held.len();
        self.held.keys().nth(choice.checked_rem(count)?).copied()
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Worker(worker, capacity, scheduling_state) => {
                self.set_worker(worker, capacity, scheduling_state);
            }
            Step::Remove(worker) => {
                self.engine.remove_worker(&name(worker));
                self.workers.remove(&worker);
            }
            Step::Enqueue(job, tasks) => self.enqueue(job, tasks),
            Step::Withdraw(job) => {
                self.engine.withdraw(job::Id::from_raw(job as u64));
                self.waiting.remove(&job);
            }
            Step::Adopt(job, index, worker, demand) => self.adopt(job, index, worker, demand),
            Step::Release(choice) => {
                if let Some(task) = self.nth(choice) {
                    self.engine.release(task);
                    self.held.remove(&task);
                }
            }
            Step::Finish(choice, end) => {
                if let Some(task) = self.nth(choice) {
                    self.engine.finish(task, end, Instant::from_millis(self.now));
                    self.held.remove(&task);
                }
            }
            Step::Usage(worker, usage) => self.engine.observe_worker_usage(&name(worker), usage),
            Step::TaskUsage(choice, usage) => {
                if let Some(task) = self.nth(choice) {
                    self.engine.observe_task_usage(task, usage);
                    self.held.get_mut(&task).unwrap().usage = usage;
                }
            }
            Step::Quota(team, quota) => self.engine.set_quota(TEAMS[team], quota),
            Step::Policy(preset, objective) => {
                self.engine.set_policy(Policy::for_preset(preset, objective));
            }
            Step::Decide(more, limit) => {
                self.now += more;
                self.decide(limit)?;
            }
        }
        Ok(())
    }

    fn enqueue(&mut self, job: usize, tasks: u32) {
        let shape = &self.shapes[job];
        let tasks: Vec<_> = (0..tasks).map(|index| id(job, index)).collect();
        let waiting = self.waiting.entry(job).or_default();
        waiting.extend(tasks.iter().filter(|task| !self.held.contains_key(task)));
        self.engine.enqueue(Request {
            job: job::Id::from_raw(job as u64),
            team: TEAMS[shape.team].into(),
            name: format!("n{job}"),
            kind: shape.kind,
            urgency: shape.urgency,
            deadline: shape.deadline.map(Unix::from_millis),
            run_time: shape.run_time.map(Duration::from_millis),
            demand: shape.demand,
            tasks,
            queued: Instant::from_millis(self.now),
        });
    }

    fn adopt(&mut self, job: usize, index: u32, worker: usize, demand: Amount) {
        let shape = &self.shapes[job];
        let task = id(job, index);
        let running_task = RunningTask {
            demand,
            team: TEAMS[shape.team].into(),
            name: format!("n{job}"),
            kind: shape.kind,
            urgency: shape.urgency,
            started: Instant::from_millis(self.now),
            run_time: None,
            deadline: None,
        };
        self.engine.adopt(task, &name(worker), &running_task);
        self.waiting.entry(job).or_default().remove(&task);
        let preemptible = shape.kind == Kind::Batch && shape.urgency == Urgency::Normal;
        let held = Held { worker, demand, usage: Amount::ZERO, preemptible };
        self.held.insert(task, held);
    }

    fn decide(&mut self, limit: usize) -> Result<(), TestCaseError> {
        let now = Instant::from_millis(self.now);
        let decisions = self.engine.decide(now, Unix::from_millis(self.now), limit);
        for decision in decisions {
            match decision {
                Decision::Start { job, tasks } => self.check_start(job, &tasks)?,
                Decision::Preempt { task, worker, .. } => {
                    let held = self.held.get(&task);
                    let held = held.ok_or_else(|| TestCaseError::fail("victim does not run"))?;
                    proptest::prop_assert!(held.preemptible);
                    proptest::prop_assert_eq!(name(held.worker), worker);
                }
            }
        }
        Ok(())
    }

    fn check_start(&mut self, job: job::Id, tasks: &[Assignment]) -> Result<(), TestCaseError> {
        let index = usize::try_from(job.raw()).unwrap();
        let shape = self.shapes[index].clone();
        let waiting = self.waiting.entry(index).or_default();
        if shape.kind == Kind::Gang {
            proptest::prop_assert_eq!(waiting.len(), tasks.len(), "gang in part");
        }
        for assignment in tasks {
            proptest::prop_assert!(waiting.remove(&assignment.task), "not waiting");
            let worker = assignment.worker.as_str()[1..].parse().unwrap();
            let preemptible = shape.kind == Kind::Batch && shape.urgency == Urgency::Normal;
            let held = Held { worker, demand: shape.demand, usage: Amount::ZERO, preemptible };
            proptest::prop_assert!(self.held.insert(assignment.task, held).is_none());
        }
        for assignment in tasks {
            self.check_worker(assignment.worker.as_str()[1..].parse().unwrap(), &shape.demand)?;
        }
        Ok(())
    }

    /// Nothing may have been placed on a worker beyond what it has by declared or measured use.
    fn check_worker(&self, worker: usize, demand: &Amount) -> Result<(), TestCaseError> {
        let known = self.workers.get(&worker);
        let (capacity, scheduling_state) =
            known.ok_or_else(|| TestCaseError::fail("unknown worker"))?;
        proptest::prop_assert_eq!(*scheduling_state, SchedulingState::Open);
        let larger = |held: &Held| Amount {
            cpu_millis: held.demand.cpu_millis.max(held.usage.cpu_millis),
            memory_mib: held.demand.memory_mib.max(held.usage.memory_mib),
            accelerators: held.demand.accelerators.max(held.usage.accelerators),
        };
        // An adopted task may hold more of a dimension than there is; work that needs nothing of
        // that dimension does not add to it.
        let counted = |need: u64, sum: u64| if need > 0 { sum } else { 0 };
        let here = self.held.values().filter(|held| held.worker == worker);
        let sum = here.fold(Amount::ZERO, |sum, held| sum.saturating_add(&larger(held)));
        let added = Amount {
            cpu_millis: counted(demand.cpu_millis, sum.cpu_millis),
            memory_mib: counted(demand.memory_mib, sum.memory_mib),
            accelerators: counted(demand.accelerators, sum.accelerators),
        };
        proptest::prop_assert!(added.fits(capacity), "{} on worker of {}", sum, capacity);
        Ok(())
    }

    /// With every worker open and every task released in time, all that fits must run at last.
    fn drain(&mut self) -> Result<(), TestCaseError> {
        self.engine.set_policy(Policy::default());
        for worker in 0..WORKERS {
            self.set_worker(worker, cores(6), SchedulingState::Open);
            self.engine.observe_worker_usage(&name(worker), Amount::ZERO);
        }
        for _ in 0..8 * JOBS {
            let running: Vec<_> = self.held.keys().copied().collect();
            for task in running {
                self.engine.release(task);
                self.held.remove(&task);
            }
            self.now += 3_600_000;
            self.decide(100)?;
        }
        for (job, tasks) in self.waiting.iter().filter(|(_, tasks)| !tasks.is_empty()) {
            let shape = &self.shapes[*job];
            let impossible = self.engine.infeasible_reason(&shape.demand, shape.kind, tasks.len());
            proptest::prop_assert!(impossible.is_some(), "{:?} waits for ever", shape);
        }
        Ok(())
    }
}

#[test]
fn decide_any_history() {
    let config = Config { cases: 500, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let history = (vec(shape(), JOBS), vec(step(), 1..120));
    let verdict = runner.run(&history, |(shapes, steps)| {
        let mut account = Account::new(shapes);
        for step in &steps {
            account.apply(step)?;
        }
        account.drain()
    });
    assert!(verdict.is_ok(), "{}", verdict.unwrap_err());
}
