//! Jobs and workers shared by the tests of cells.

use std::rc::Rc;

use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{RosterUpdate, WorkerInfo};
use oriolefork::cell::job::{Id, Job, Run, Step, StepKey, TaskKey};
use oriolefork::cell::machine::Machine;
use oriolefork::cell::queue::{PolicyTiming, Queue, QueueConfig, Service};
use oriolefork::cell::record::{Batch, Record};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use oriolefork::resource::Amount;

/// Name of the only queue.
pub const QUEUE: &str = "nightly";

/// Number of failures after which a job fails.
pub const MAX_FAILURES: u32 = 3;

pub fn cores(cores: u64) -> Amount {
    Amount { cpu_millis: cores * 1_000, memory_mib: cores * 1_024, accelerators: 0 }
}

pub fn id(number: u64) -> Id {
    format!("{number:016x}").parse().expect("sixteen digits")
}

/// Returns an attempt of a task of a job's first step.
pub fn run(job: u64, index: u32, number: u32) -> Run {
    let step = StepKey { job: id(job), occurrence: 0, step: 0 };
    Run { task: TaskKey { step, index }, number }
}

/// Returns a job with one step.
pub fn job(number: u64, step: Step) -> Job {
    Job {
        id: id(number),
        queue: QUEUE.to_owned(),
        customer: None,
        payload: format!("work {number}"),
        steps: vec![step],
        schedule: None,
    }
}

pub fn step(count: u32, demand: Amount) -> Step {
    Step { count, demand, estimate_ms: 400, ..Step::default() }
}

pub fn queue_config() -> Rc<QueueConfig> {
    let queue = Queue {
        name: QUEUE.to_owned(),
        host: "jobs.example".to_owned(),
        path_prefix: "/nightly/".to_owned(),
        service: "portal".to_owned(),
        priority: 1,
        max_failures: MAX_FAILURES,
        stretch: 2.0,
        target_ms: 1_000,
        policy: None,
        anonymous: false,
    };
    let service = Service { name: "portal".to_owned(), enforces_capacity: false };
    Rc::new(QueueConfig::new(1, vec![queue.into()], vec![service]))
}

/// The configuration in its next version, whose queues are subject to the policy service.
pub fn policy_config(timing: PolicyTiming) -> Rc<QueueConfig> {
    let config = queue_config();
    let queues = config.queues().iter();
    let queues =
        queues.map(|queue| Queue { policy: Some(timing), ..Queue::clone(queue) }.into()).collect();
    Rc::new(QueueConfig::new(2, queues, config.services.clone()))
}

pub fn listed(number: usize, capacity: Amount) -> WorkerInfo {
    let rack = format!("r{}", number / 4);
    WorkerInfo {
        address: format!("127.0.0.1:{}", 9_000 + number).parse().expect("an address"),
        service: "portal".to_owned(),
        domain: "hall".to_owned(),
        rack: Some(rack.clone()),
        labels: vec!["a".to_owned(), rack],
        capacity,
        draining: false,
        remaining_ms: None,
    }
}

pub fn roster(workers: usize, capacity: Amount) -> RosterUpdate {
    let present =
        (0..workers).map(|number| (format!("w{number}").into(), Rc::new(listed(number, capacity))));
    RosterUpdate {
        changed: present.collect(),
        removed: Vec::new(),
        is_complete: true,
        ..RosterUpdate::default()
    }
}

/// Returns the batch that claims the cell for `epoch`.
pub fn claim(epoch: Epoch, at: Unix) -> Batch {
    let peer = "127.0.0.1:7000".parse().expect("an address");
    Batch { epoch, at, records: vec![Record::Claimed { peer, incarnation: epoch.0 }] }
}

/// Returns an owner that has just claimed an empty cell.
pub fn machine(now: Instant, unix: Unix) -> Machine {
    let mut state = State::default();
    state.apply_batch(claim(Epoch(1), unix));
    Machine::new(state, 0, 1, queue_config(), Timings::default(), now, unix)
}
