//! Jobs and workers that the tests of cells share.

use std::rc::Rc;

use oriolefork::cell::Epoch;
use oriolefork::cell::dependencies::{RosterUpdate, WorkerInfo};
use oriolefork::cell::job::{Id, Job, Step};
use oriolefork::cell::machine::Machine;
use oriolefork::cell::queue::{Queue, QueueConfig, Service};
use oriolefork::cell::record::{Batch, Record};
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use oriolefork::resource::Amount;

/// Name of the one queue.
pub const QUEUE: &str = "nightly";

/// Failed tries after which a job has failed.
pub const ATTEMPTS: u32 = 3;

pub fn cores(cores: u64) -> Amount {
    Amount { cpu_millis: cores * 1_000, memory_mib: cores * 1_024, accelerators: 0 }
}

pub fn id(number: u64) -> Id {
    format!("{number:016x}").parse().expect("sixteen digits")
}

/// A job of one step.
pub fn job(number: u64, step: Step) -> Job {
    Job {
        id: id(number),
        queue: QUEUE.to_owned(),
        payload: format!("work {number}"),
        steps: vec![step],
        schedule: None,
    }
}

pub fn step(count: u32, demand: Amount) -> Step {
    Step { count, demand, estimate_ms: 400, ..Step::default() }
}

pub fn table() -> Rc<QueueConfig> {
    let queue = Queue {
        name: QUEUE.to_owned(),
        host: "jobs.example".to_owned(),
        path_prefix: "/nightly/".to_owned(),
        service: "portal".to_owned(),
        priority: 1,
        max_failures: ATTEMPTS,
        stretch: 2.0,
        target_ms: 1_000,
        policy: None,
    };
    let service = Service { name: "portal".to_owned(), enforces_capacity: false };
    Rc::new(QueueConfig { version: 1, queues: vec![queue.into()], services: vec![service] })
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
    RosterUpdate { changed: present.collect(), removed: Vec::new(), is_complete: true }
}

/// The claim of `epoch`.
pub fn claim(epoch: Epoch, at: Unix) -> Batch {
    let peer = "127.0.0.1:7000".parse().expect("an address");
    Batch { epoch, at, records: vec![Record::Claimed { peer, incarnation: epoch.0 }] }
}

/// An owner that has just claimed an empty cell.
pub fn machine(now: Instant, unix: Unix) -> Machine {
    let mut state = State::default();
    state.apply_batch(claim(Epoch(1), unix));
    Machine::new(state, 0, 1, table(), Timings::default(), now, unix)
}
