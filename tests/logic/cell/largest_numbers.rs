//! Jobs and workers with the largest numbers that their formats allow.

use std::rc::Rc;

use oriolefork::cell::dependencies::{RosterUpdate, WorkerInfo};
use oriolefork::cell::job::{Job, Schedule, Step};
use oriolefork::cell::machine::{Call, Message};
use oriolefork::clock::Unix;
use oriolefork::resource::Amount;
use test_case::test_case;

use super::harness::OwnerHarness;
use super::model::{self, cores};

const ODD_JOB: u64 = 1;
const SMALL_JOB: u64 = 2;

const LARGEST: Amount =
    Amount { cpu_millis: u64::MAX, memory_mib: u64::MAX, accelerators: u64::MAX };

fn largest_cpu() -> Amount {
    Amount { cpu_millis: u64::MAX, ..Amount::ZERO }
}

fn estimate(estimate_ms: u64) -> Step {
    Step { estimate_ms, ..model::step(1, cores(8)) }
}

/// Starts on one worker of 8 cores after `odd`, and returns the jobs that have started.
fn started_beside(odd: Job) -> Vec<u64> {
    let mut harness = OwnerHarness::new(1);
    harness.deliver(Message::Call {
        id: ODD_JOB,
        call: Call::Submit(odd),
        caller: oriolefork::cell::caller::Caller::default(),
    });
    harness.call(SMALL_JOB, Call::Submit(model::job(SMALL_JOB, model::step(1, cores(8)))));
    for _ in 0..5 {
        harness.complete_appends();
        harness.advance(100);
    }
    let jobs = harness.machine.state.live.keys().map(|run| run.task.step.job.to_string());
    jobs.map(|id| u64::from_str_radix(&id, 16).expect("an ID")).collect()
}

/// Guards against sums and products of a caller's numbers that overflow: the owner ends, or the job
/// ranks before all others.
#[test_case(model::step(20_000, LARGEST); "demand")]
#[test_case(Step { gang: true, ..model::step(20_000, largest_cpu()) }; "gang")]
#[test_case(estimate(u64::MAX); "estimate")]
#[test_case(Step { latency_target_ms: Some(u64::MAX), ..estimate(u64::MAX) }; "latency_target")]
#[test_case(Step { max_per_worker: u32::MAX, ..estimate(u64::MAX) }; "spread")]
#[test_case(Step { checkpoints: true, ..estimate(u64::MAX) }; "checkpoints")]
fn job_leaves_others(step: Step) {
    assert_eq!(started_beside(model::job(ODD_JOB, step)), [SMALL_JOB]);
}

/// Guards against due times that overflow.
#[test]
fn repeated_job_leaves_others() {
    let (first, interval_ms) = (Unix::from_millis(u64::MAX), u64::MAX);
    let schedule = Some(Schedule { first, interval_ms, count: u32::MAX });
    let job = Job { schedule, ..model::job(ODD_JOB, estimate(u64::MAX)) };
    assert_eq!(started_beside(job), [SMALL_JOB]);
}

/// Guards against sums over all workers that overflow.
#[test]
fn workers_leave_others() {
    let mut harness = OwnerHarness::new(2);
    let changed = (0..2).map(|number| {
        let info = WorkerInfo { capacity: LARGEST, ..model::listed(number, LARGEST) };
        (format!("w{number}").into(), Rc::new(info))
    });
    harness.deliver(Message::WorkersChanged(RosterUpdate {
        changed: changed.collect(),
        ..RosterUpdate::default()
    }));
    harness.advance(100);
    assert_eq!(harness.start_job(SMALL_JOB, model::step(20, cores(8))).len(), 20);
}

/// Guards against clocks and numbers of ends that overflow in what a worker reports of itself.
#[test]
fn report_leaves_others() {
    let mut harness = OwnerHarness::new(2);
    let report = oriolefork::cell::dependencies::PollReport {
        clock_ms: u64::MAX,
        running: Vec::new(),
        ended: vec![oriolefork::cell::dependencies::EndedRun {
            number: u64::MAX,
            run: model::run(ODD_JOB, u32::MAX, u32::MAX),
            outcome: oriolefork::cell::job::RunOutcome::Succeeded,
            checkpoint: String::new(),
        }],
        partial: false,
    };
    let sent = oriolefork::clock::Instant::from_millis(harness.now);
    for _ in 0..2 {
        let outcome = Ok(report.clone());
        harness.deliver(Message::Polled { worker: "w0".into(), sent, outcome });
        harness.advance(100);
        harness.complete_appends();
    }
    assert_eq!(harness.start_job(SMALL_JOB, model::step(2, cores(8))).len(), 2);
}
