//! What the records of a journal add up to.

use oriolefork::cell::Epoch;
use oriolefork::cell::job::{Phase, Run, RunOutcome, Step, StepKey, TaskKey};
use oriolefork::cell::record::{Batch, Record, WorkerId};
use oriolefork::cell::state::State;
use oriolefork::clock::Unix;
use oriolefork::codec;

use super::model::{self, cores, id};

const AT: Unix = Unix::from_millis(1_700_000_000_000);

/// Largest state that one append of the store takes.
const APPEND_BYTES: usize = 2_000_000;

fn run(job: u64, index: u32, number: u32) -> Run {
    let step = StepKey { job: id(job), occurrence: 0, step: 0 };
    Run { task: TaskKey { step, index }, number }
}

fn accept(state: &mut State, number: u64, step: Step) {
    let mut job = model::job(number, step);
    job.payload = "x".repeat(2_400);
    state.apply(Record::Accepted { at: AT, job }, AT);
}

fn place(state: &mut State, run: Run) {
    let worker: WorkerId = "w0".into();
    state.apply(Record::Placed { worker, runs: vec![run] }, AT);
}

fn end(state: &mut State, run: Run, end: RunOutcome) {
    let (worker, saved) = ("w0".into(), String::new());
    state.apply(Record::Ended { run, worker, outcome: end, checkpoint: saved }, AT);
}

fn phase(state: &State, number: u64) -> Phase {
    state.jobs[&id(number)].phase()
}

/// A successor begins with a saved state and reads records that it holds already. Were they counted
/// again, a job would have failed after half of its tries.
#[test]
fn apply_again_changes_nothing() {
    let mut state = State::default();
    accept(&mut state, 1, model::step(2, cores(1)));
    let records = [
        (run(1, 0, 1), RunOutcome::Failed),
        (run(1, 0, 2), RunOutcome::WorkerLost),
        (run(1, 1, 1), RunOutcome::Succeeded),
    ];
    for (run, how) in records {
        place(&mut state, run);
        end(&mut state, run, how);
    }
    let before = state.clone();
    for (run, how) in records {
        place(&mut state, run);
        end(&mut state, run, how);
    }
    assert_eq!(state, before);
}

#[test]
fn apply_batch_of_a_replaced_owner() {
    let mut state = State::default();
    assert!(state.apply_batch(model::claim(Epoch(2), AT)));
    let late = Batch { epoch: Epoch(1), at: AT, records: Vec::new() };
    assert!(!state.apply_batch(late));
}

/// One end speaks for the whole gang, but the other members hold their room until they are listed.
#[test]
fn gang_done_with_one_end() {
    let mut state = State::default();
    accept(&mut state, 1, Step { gang: true, ..model::step(2, cores(1)) });
    place(&mut state, run(1, 0, 1));
    place(&mut state, run(1, 1, 1));
    end(&mut state, run(1, 0, 1), RunOutcome::Succeeded);
    assert_eq!(phase(&state, 1), Phase::Completed);
    assert_eq!(state.live.len(), 1);
    end(&mut state, run(1, 1, 1), RunOutcome::GangBroken);
    assert!(state.live.is_empty());
    assert_eq!(phase(&state, 1), Phase::Completed);
}

/// Callers may ask for ended jobs for two minutes. With their texts the state of a busy site would not
/// fit into one append, no state could be saved, and the cell could not be taken over once the
/// journal's first records are dropped.
#[test]
fn ended_jobs_take_little() {
    let mut state = State::default();
    for number in 0..5_000 {
        accept(&mut state, number, model::step(2, cores(1)));
        for index in 0..2 {
            place(&mut state, run(number, index, 1));
            end(&mut state, run(number, index, 1), RunOutcome::Succeeded);
        }
    }
    assert!(state.open.is_empty());
    assert_eq!(phase(&state, 4_999), Phase::Completed);
    let bytes = codec::encode(&state).expect("a state").len();
    assert!(bytes < APPEND_BYTES / 4, "{bytes} bytes");
}

#[test]
fn cancelled_job_is_stripped_with_its_last_try() {
    let mut state = State::default();
    accept(&mut state, 1, model::step(1, cores(1)));
    place(&mut state, run(1, 0, 1));
    state.apply(Record::Cancelled { job: id(1) }, AT);
    assert!(!state.jobs[&id(1)].job.steps.is_empty(), "a try still runs");
    end(&mut state, run(1, 0, 1), RunOutcome::Stopped);
    assert!(state.jobs[&id(1)].job.steps.is_empty());
    assert_eq!(phase(&state, 1), Phase::Cancelled);
}
