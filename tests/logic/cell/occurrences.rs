//! Repeated jobs, many of whose times have passed.

use std::collections::BTreeSet;

use oriolefork::cell::Epoch;
use oriolefork::cell::job::{Job, Phase, Run, RunOutcome, Schedule, Step, StepKey, TaskKey};
use oriolefork::cell::machine::{Answer, Call, Machine, Message};
use oriolefork::cell::queue::PolicyTiming;
use oriolefork::cell::record::Record;
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use oriolefork::codec;
use test_case::test_case;

use super::harness::{OwnerHarness, UNIX_START_MS};
use super::model::{self, cores, id};

const JOB: u64 = 1;
const SMALL_JOB: u64 = 2;

/// Interval between two occurrences, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Occurrences that an owner may hold open while none of their tasks runs.
const MAX_WAITING: usize = 64;

/// Age of the last occurrence, in milliseconds: none of them has any value left.
const AGE_MS: u64 = 3_600_000;

/// A job whose `count` times are all in the past.
fn overdue(count: u32, step: Step) -> Job {
    let past_ms = AGE_MS + INTERVAL_MS * u64::from(count);
    let first = Unix::from_millis(UNIX_START_MS.saturating_sub(past_ms));
    let schedule = Some(Schedule { first, interval_ms: INTERVAL_MS, count });
    Job { schedule, ..model::job(JOB, step) }
}

fn single() -> Step {
    model::step(1, cores(1))
}

fn open_occurrences(harness: &OwnerHarness) -> usize {
    harness.machine.state.jobs[&id(JOB)].open.len()
}

fn live(harness: &OwnerHarness) -> Vec<Run> {
    harness.machine.state.live.keys().copied().collect()
}

fn settle(harness: &mut OwnerHarness) {
    harness.complete_appends();
    harness.advance(100);
    harness.complete_appends();
}

/// Ends of runs as the first worker reports them, numbered without gaps.
#[derive(Default)]
struct Ends(u64);

impl Ends {
    fn succeed(&mut self, harness: &mut OwnerHarness, runs: &[Run]) {
        let ends =
            (self.0 + 1..).zip(runs).map(|(number, run)| (number, *run, RunOutcome::Succeeded));
        harness.report(0, &[], &ends.collect::<Vec<_>>());
        self.0 += runs.len() as u64;
        settle(harness);
    }
}

/// The owner that takes over with the state of `harness`, as its snapshot contains it.
fn successor(harness: &OwnerHarness) -> OwnerHarness {
    let snapshot = codec::encode(&harness.machine.state).expect("a small state");
    let state: State = codec::decode(&snapshot).expect("a readable state");
    OwnerHarness::from_state(state, 1)
}

/// Guards against an owner that opens all past times of a job in one round, and is killed for its
/// memory like each of its successors.
#[test]
fn round_opens_few_of_many_past_occurrences() {
    let mut harness = OwnerHarness::new(0);
    harness.call(JOB, Call::Submit(overdue(1_000_000, single())));
    settle(&mut harness);
    assert_eq!(open_occurrences(&harness), MAX_WAITING);
    let mut successor = successor(&harness);
    settle(&mut successor);
    assert_eq!(open_occurrences(&successor), MAX_WAITING);
}

/// Guards against many steps that make each of the few occurrences large.
#[test]
fn round_opens_one_occurrence_of_many_steps() {
    let mut harness = OwnerHarness::new(0);
    let mut job = overdue(1_000, single());
    job.steps = vec![single(); 100];
    harness.call(JOB, Call::Submit(job));
    settle(&mut harness);
    assert_eq!(open_occurrences(&harness), 1);
}

/// Guards against a limit that keeps due occurrences back although workers have room.
#[test]
fn due_occurrences_run_beside_each_other() {
    let mut harness = OwnerHarness::new(30);
    harness.call(JOB, Call::Submit(overdue(200, single())));
    for _ in 0..6 {
        settle(&mut harness);
    }
    assert_eq!(live(&harness).len(), 200, "30 workers of 8 cores");
}

/// Guards against past times that are left out, run twice or out of order, also beside changes of
/// the owner, and against a job that ends before its last time.
#[test_case(None; "one_owner")]
#[test_case(Some(3); "owners_in_turn")]
fn past_occurrences_run_once_in_order(rounds_per_owner: Option<usize>) {
    const COUNT: u32 = 150;
    let mut harness = OwnerHarness::new(1);
    let mut ends = Ends::default();
    harness.call(JOB, Call::Submit(overdue(COUNT, single())));
    settle(&mut harness);
    let mut begun = Vec::new();
    for round in 0.. {
        let runs = live(&harness);
        if runs.is_empty() {
            break;
        }
        assert_ne!(harness.phase(JOB), Some(Answer::Phase(Phase::Completed)));
        begun.extend(runs.iter().map(|run| run.task.step.occurrence));
        ends.succeed(&mut harness, &runs);
        if rounds_per_owner.is_some_and(|rounds| round % rounds == rounds - 1) {
            harness = successor(&harness);
            ends = Ends::default();
            settle(&mut harness);
        }
    }
    assert_eq!(begun, (0..COUNT).collect::<Vec<_>>());
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Completed)));
}

/// Guards against a repeated job that holds more with each occurrence that is over: the answers of
/// the policy service, and the workers on which a task has failed.
#[test]
fn occurrences_that_are_over_hold_nothing() {
    let mut harness = OwnerHarness::new(1);
    let timing = PolicyTiming { decide_ms: 1.0, per_worker_ms: 0.0, valid_ms: 60_000 };
    harness.deliver(Message::ConfigChanged(model::policy_config(timing)));
    harness.call(JOB, Call::Submit(overdue(30, single())));
    let mut ends = Ends::default();
    for _ in 0..200 {
        harness.see_instance(1);
        settle(&mut harness);
        for query in harness.drain_queries() {
            harness.allow_all(&query);
        }
        let runs = live(&harness);
        ends.succeed(&mut harness, &runs);
        let open = harness.machine.state.jobs[&id(JOB)].open.len();
        assert!(harness.machine.tickets.len() <= open, "{open} open");
    }
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Completed)));
}

/// Guards against a job that cannot be cancelled while most of its times are not open.
#[test]
fn cancel_ends_all_occurrences() {
    let mut harness = OwnerHarness::new(1);
    harness.call(JOB, Call::Submit(overdue(1_000, single())));
    settle(&mut harness);
    harness.call(SMALL_JOB, Call::Cancel(id(JOB)));
    settle(&mut harness);
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Cancelled)));
    harness.drain_starts();
    let stopped = live(&harness);
    Ends::default().succeed(&mut harness, &stopped);
    assert!(harness.drain_starts().is_empty() && live(&harness).is_empty());
}

/// Guards against a small job that waits behind the past times of another.
#[test]
fn small_job_starts_beside_past_occurrences() {
    let mut harness = OwnerHarness::new(4);
    harness.call(JOB, Call::Submit(overdue(u32::MAX, model::step(1, cores(100)))));
    settle(&mut harness);
    harness.call(SMALL_JOB, Call::Submit(model::job(SMALL_JOB, single())));
    settle(&mut harness);
    assert_eq!(live(&harness), [model::run(SMALL_JOB, 0, 1)]);
}

/// Guards against an owner that stands still while it passes over each time of a job, in doubt about
/// lost records: long-running tasks are not among them.
#[test]
fn doubts_of_four_billion_occurrences_are_settled() {
    let unix = Unix::from_millis(UNIX_START_MS);
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(1), unix));
    let step = Step { long_running: true, ..single() };
    let mut job = overdue(u32::MAX, step);
    job.schedule = job.schedule.map(|schedule| Schedule { interval_ms: 1, ..schedule });
    state.apply(Record::Accepted { at: unix, job }, unix);
    let (now, timings) = (Instant::from_millis(0), Timings::default());
    let mut machine = Machine::new(state, 0, 1, model::queue_config(), timings, now, unix);
    machine.begin_without_records(&BTreeSet::from([id(JOB)]));
    let mut harness = OwnerHarness { machine, now: 0, effects: Vec::new() };
    harness.advance(20_000);
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Pending)));
}

/// Guards against a snapshot of the version before, whose owner had opened all past times: an owner
/// that keeps them open has no memory for them either.
#[test]
fn earlier_version_with_all_occurrences_open_is_continued() {
    const COUNT: u32 = 300;
    let unix = Unix::from_millis(UNIX_START_MS);
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(1), unix));
    state.apply(Record::Accepted { at: unix, job: overdue(COUNT, single()) }, unix);
    let late = Run { task: task(COUNT - 1), number: 1 };
    state.apply(Record::Placed { worker: "w0".into(), runs: vec![late] }, unix);
    let entry = state.jobs.get_mut(&id(JOB)).expect("the job");
    for number in 0..COUNT {
        entry.occurrence(number);
    }
    let snapshot = codec::encode(&state).expect("a small state");
    let state: State = codec::decode(&snapshot).expect("a readable state");
    assert_eq!(state.jobs[&id(JOB)].open.keys().copied().collect::<Vec<_>>(), [COUNT - 1]);
    let (now, timings) = (Instant::from_millis(0), Timings::default());
    let machine = Machine::new(state, 0, 1, model::queue_config(), timings, now, unix);
    let mut harness = OwnerHarness::start_running(machine, 1, &[late]);
    let mut ends = Ends::default();
    let mut begun = Vec::new();
    while !live(&harness).is_empty() {
        let runs = live(&harness);
        begun.extend(runs.iter().map(|run| run.task.step.occurrence));
        ends.succeed(&mut harness, &runs);
    }
    assert_eq!(begun.iter().collect::<BTreeSet<_>>().len(), COUNT as usize);
    assert_eq!(begun.len(), COUNT as usize, "each of them once");
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Completed)));
}

fn task(occurrence: u32) -> TaskKey {
    TaskKey { step: StepKey { job: id(JOB), occurrence, step: 0 }, index: 0 }
}
