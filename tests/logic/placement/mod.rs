//! Tests of the placement engine.

mod capacity;
mod fairness;
mod gang;
mod health;
mod history;
mod passed_over;
mod preset;
mod risk;
mod spread;
mod urgent;

use std::time::Duration;

use oriolefork::clock::{Instant, Unix};
use oriolefork::job::{self, Kind, Urgency};
use oriolefork::placement::{Decision, Engine, Policy, Request, RunningTask, SchedulingState};
use oriolefork::resource::Amount;
use oriolefork::{task, worker};

fn cores(count: u64) -> Amount {
    Amount { cpu_millis: count * 1_000, memory_mib: count * 1_024, accelerators: 0 }
}

fn job_of(key: &str) -> job::Id {
    job::Id::derive("shop", key)
}

fn task_of(key: &str, index: u32) -> task::Id {
    task::Id { job: job_of(key), index, attempt: 0 }
}

fn request(key: &str, kind: Kind, tasks: u32, demand: Amount) -> Request {
    Request {
        job: job_of(key),
        team: "shop".into(),
        name: key.into(),
        kind,
        urgency: Urgency::Normal,
        deadline: None,
        run_time: None,
        demand,
        tasks: (0..tasks).map(|index| task_of(key, index)).collect(),
        queued: Instant::from_millis(0),
    }
}

fn running_task(demand: Amount) -> RunningTask {
    RunningTask {
        demand,
        team: "shop".into(),
        name: "held".into(),
        kind: Kind::Batch,
        urgency: Urgency::Normal,
        started: Instant::from_millis(0),
        run_time: None,
        deadline: None,
    }
}

fn with_run_time(seconds: u64, request: Request) -> Request {
    Request { run_time: Some(Duration::from_secs(seconds)), ..request }
}

fn urgent(request: Request) -> Request {
    Request { urgency: Urgency::Urgent, ..request }
}

/// An engine with open workers of four cores, two in each rack.
fn engine(workers: u64) -> Engine {
    engine_with(Policy::default(), workers)
}

fn engine_with(policy: Policy, workers: u64) -> Engine {
    let mut engine = Engine::new(policy);
    for index in 0..workers {
        set_worker(&mut engine, index, SchedulingState::Open);
    }
    engine
}

fn set_worker(engine: &mut Engine, index: u64, scheduling_state: SchedulingState) {
    let rack = format!("r{}", index / 2);
    engine.upsert_worker(
        &worker::Name::from(format!("w{index}")),
        &rack,
        cores(4),
        scheduling_state,
    );
}

fn at(seconds: u64) -> Instant {
    Instant::from_millis(seconds * 1_000)
}

/// Calls `decide` at `seconds` on both clocks.
fn decide(engine: &mut Engine, seconds: u64) -> Vec<Decision> {
    engine.decide(at(seconds), Unix::from_millis(seconds * 1_000), 1_000)
}

/// The keys, out of `keys`, of the jobs that started, once for each task.
fn started<'a>(decisions: &[Decision], keys: &[&'a str]) -> Vec<&'a str> {
    let mut found = Vec::new();
    for decision in decisions {
        if let Decision::Start { job: started, tasks } = decision {
            let key = keys.iter().find(|key| job_of(key) == *started);
            found.extend(key.into_iter().flat_map(|key| std::iter::repeat_n(*key, tasks.len())));
        }
    }
    found
}

/// Workers of all started tasks, in order.
fn workers(decisions: &[Decision]) -> Vec<&str> {
    let mut names = Vec::new();
    for decision in decisions {
        if let Decision::Start { tasks, .. } = decision {
            names.extend(tasks.iter().map(|assignment| assignment.worker.as_str()));
        }
    }
    names
}

fn preempted(decisions: &[Decision]) -> Vec<task::Id> {
    let victim = |decision: &Decision| match decision {
        Decision::Preempt { task, .. } => Some(*task),
        Decision::Start { .. } => None,
    };
    decisions.iter().filter_map(victim).collect()
}
