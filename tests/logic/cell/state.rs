//! State that results from replaying the records of a journal.

use oriolefork::cell::Epoch;
use oriolefork::cell::job::{Phase, Run, RunOutcome, Step};
use oriolefork::cell::record::{Batch, Record, WorkerId};
use oriolefork::cell::state::State;
use oriolefork::clock::Unix;
use oriolefork::codec;

use super::model::{self, cores, id, run};

const AT: Unix = Unix::from_millis(1_700_000_000_000);

/// Largest state that one append of the store accepts, in bytes.
const APPEND_BYTES: usize = 2_000_000;

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
    let (worker, checkpoint) = ("w0".into(), String::new());
    state.apply(Record::Ended { run, worker, outcome: end, checkpoint }, AT);
}

fn phase(state: &State, number: u64) -> Phase {
    state.jobs[&id(number)].phase()
}

/// A successor starts from a snapshot and replays records that it already contains. If they counted
/// again, a job would fail after half of its attempts.
#[test]
fn apply_again_changes_nothing() {
    let mut state = State::default();
    accept(&mut state, 1, model::step(2, cores(1)));
    let records = [
        (run(1, 0, 1), RunOutcome::Failed),
        (run(1, 0, 2), RunOutcome::WorkerLost),
        (run(1, 1, 1), RunOutcome::Succeeded),
    ];
    for (run, outcome) in records {
        place(&mut state, run);
        end(&mut state, run, outcome);
    }
    let before = state.clone();
    for (run, outcome) in records {
        place(&mut state, run);
        end(&mut state, run, outcome);
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

/// One outcome applies to the whole gang, but the other members keep their resources until their
/// own ends are recorded.
#[test]
fn gang_completes_with_one_outcome() {
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

/// Callers may query ended jobs for two minutes. With their payloads the state of a busy site would
/// not fit into one append. No snapshot could be saved, and no instance could take over the cell
/// once the journal's first records are dropped.
#[test]
fn ended_jobs_are_compacted() {
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
fn cancelled_job_is_compacted_after_its_last_run() {
    let mut state = State::default();
    accept(&mut state, 1, model::step(1, cores(1)));
    place(&mut state, run(1, 0, 1));
    state.apply(Record::Cancelled { job: id(1) }, AT);
    assert!(!state.jobs[&id(1)].job.steps.is_empty(), "an attempt still runs");
    end(&mut state, run(1, 0, 1), RunOutcome::Stopped);
    assert!(state.jobs[&id(1)].job.steps.is_empty());
    assert_eq!(phase(&state, 1), Phase::Cancelled);
}
