//! An owner that begins after the store has removed records of its journal.

use oriolefork::cell::Epoch;
use oriolefork::cell::job::{Phase, Run, RunOutcome, Step};
use oriolefork::cell::machine::{Answer, Call, Effect, Machine, Message};
use oriolefork::cell::record::Record;
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use test_case::test_case;

use super::harness::{OwnerHarness, UNIX_START_MS};
use super::model::{self, cores, id, run};

/// Job that was open before the lost records.
const JOB: u64 = 1;

const LATER_JOB: u64 = 2;

/// Time after which no lease of a former owner is left, in milliseconds, and the interval between
/// two reports of the workers until then.
const LEASES_END_MS: u64 = 13_000;
const REPORT_INTERVAL_MS: u64 = 500;

/// State with a job of one step, before the records that are lost.
fn state(step: Step) -> State {
    let unix = Unix::from_millis(UNIX_START_MS);
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(1), unix));
    state.apply(Record::Accepted { at: unix, job: model::job(JOB, step) }, unix);
    state
}

/// Owner of two workers that knows of a job with one step and of none of its runs. The records after
/// its acceptance are lost, and the first worker reports `running` and `ended`.
fn owner(step: Step, running: &[Run], ended: &[(u64, Run, RunOutcome)]) -> OwnerHarness {
    owner_of(state(step), running, ended)
}

/// The same for an owner that begins with `state`.
fn owner_of(state: State, running: &[Run], ended: &[(u64, Run, RunOutcome)]) -> OwnerHarness {
    let unix = Unix::from_millis(UNIX_START_MS);
    let (now, timings) = (Instant::from_millis(0), Timings::default());
    let machine = Machine::new(state, 0, 1, model::queue_config(), timings, now, unix);
    let mut harness = OwnerHarness { machine, now: 0, effects: Vec::new() };
    harness.machine.begin_without_records(&[id(JOB)].into());
    harness.deliver(Message::WorkersChanged(model::roster(2, cores(8))));
    harness.advance(1);
    harness.report(0, running, ended);
    harness.report(1, &[], &[]);
    harness.advance(1);
    harness.complete_appends();
    harness
}

/// Lets the workers report until no lease of a former owner is left.
fn outlive_leases(harness: &mut OwnerHarness, running: &[Run]) {
    while harness.now < LEASES_END_MS {
        harness.report(0, running, &[]);
        harness.report(1, &[], &[]);
        harness.advance(REPORT_INTERVAL_MS);
        harness.complete_appends();
    }
}

fn single() -> Step {
    model::step(1, cores(1))
}

/// Guards against a task that runs twice because the records of its run are lost: nobody can tell
/// whether it has succeeded, so its caller is told that it failed.
#[test]
fn job_without_trace_fails_and_is_not_started() {
    let mut harness = owner(single(), &[], &[]);
    outlive_leases(&mut harness, &[]);
    assert!(harness.drain_starts().is_empty());
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against a run that the records before the gap place on a worker which is never heard: it may
/// have ended there, and a later attempt may have succeeded elsewhere.
#[test_case("w0"; "on_a_worker_that_does_not_report_it")]
#[test_case("w9"; "on_a_worker_that_is_not_listed")]
fn run_placed_before_fails_the_job(worker: &str) {
    let mut state = state(single());
    let placed = Record::Placed { worker: worker.into(), runs: vec![run(JOB, 0, 1)] };
    state.apply(placed, Unix::from_millis(UNIX_START_MS));
    let mut harness = owner_of(state, &[], &[]);
    outlive_leases(&mut harness, &[]);
    assert!(harness.drain_starts().is_empty());
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against a running task that is stopped, or started elsewhere, because the record of its
/// placement is lost.
#[test]
fn run_reported_is_adopted() {
    let first = run(JOB, 0, 1);
    let mut harness = owner(single(), &[first], &[]);
    assert!(harness.drain_stops().is_empty());
    outlive_leases(&mut harness, &[first]);
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Running)));
    assert!(harness.drain_starts().is_empty());
    harness.report(0, &[], &[(1, first, RunOutcome::Succeeded)]);
    harness.advance(5);
    harness.complete_appends();
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Completed)));
}

/// Guards against a success that counts for nothing because the record of its placement is lost.
#[test]
fn success_reported_is_recorded() {
    let mut harness = owner(single(), &[], &[(1, run(JOB, 0, 1), RunOutcome::Succeeded)]);
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Completed)));
}

/// A failure may have been followed by a later attempt that succeeded, so it proves nothing.
#[test_case(RunOutcome::Failed; "failed")]
#[test_case(RunOutcome::Stopped; "stopped")]
fn end_without_success_fails_the_job(outcome: RunOutcome) {
    let mut harness = owner(single(), &[], &[(1, run(JOB, 0, 1), outcome)]);
    outlive_leases(&mut harness, &[]);
    assert!(harness.drain_starts().is_empty());
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Failed)));
}

/// Guards against a service that is lost with its records: none of its tasks runs any more once all
/// leases have ended, and none has an end that counts.
#[test]
fn long_running_task_starts_once_leases_have_ended() {
    let mut harness = owner(Step { long_running: true, ..single() }, &[], &[]);
    harness.advance(1_000);
    assert!(harness.drain_starts().is_empty(), "it may run on a worker that was not heard");
    outlive_leases(&mut harness, &[]);
    harness.advance(100);
    harness.complete_appends();
    assert_eq!(harness.drain_starts().len(), 1);
}

/// Guards against a step that is given up although its turn cannot have come.
#[test]
fn later_step_waits_for_an_adopted_run() {
    let mut job = model::job(JOB, single());
    job.steps.push(Step { depends_on: vec![0], ..single() });
    let first = run(JOB, 0, 1);
    let mut harness = owner(single(), &[], &[]);
    harness.machine.state.jobs.get_mut(&id(JOB)).expect("the job").job = job.into();
    harness.report(0, &[first], &[]);
    outlive_leases(&mut harness, &[first]);
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Running)));
}

/// Guards against a cell that serves nobody because of jobs that are in doubt: others are accepted at
/// once and start as soon as they are settled. No snapshot hides the loss from the next owner before.
#[test]
fn other_job_starts_once_doubts_are_settled() {
    let mut harness = owner(single(), &[], &[]);
    harness.call(7, Call::Submit(model::job(LATER_JOB, single())));
    harness.complete_appends();
    assert_eq!(harness.answer(7), Some(Answer::Accepted));
    harness.deliver(Message::SnapshotRequested);
    harness.advance(100);
    let is_saved = |harness: &OwnerHarness| {
        harness.effects.iter().any(|effect| matches!(effect, Effect::Save(_)))
    };
    assert!(!is_saved(&harness));
    outlive_leases(&mut harness, &[]);
    harness.advance(100);
    harness.complete_appends();
    assert!(is_saved(&harness));
    let starts = harness.drain_starts();
    let started: Vec<_> = starts.iter().map(|(_, start)| start.run.task.step.job).collect();
    assert_eq!(started, [id(LATER_JOB)]);
}
