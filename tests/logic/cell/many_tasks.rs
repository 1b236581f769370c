//! Jobs whose state is larger than their texts: many tasks, many steps, many runs.

use oriolefork::cell::caller::Caller;
use oriolefork::cell::job::{Job, Run, RunOutcome};
use oriolefork::cell::machine::{Answer, Call, Effect, Message};
use oriolefork::cell::state::State;
use oriolefork::cell::stored_state;
use oriolefork::cell::timings::Timings;
use oriolefork::resource::Amount;

use super::harness::OwnerHarness;
use super::model::{self, cores, id};

/// Largest number of tasks of a job.
const TASKS: u32 = 20_000;

/// Memory that an owner has for jobs and runs, in bytes.
const STATE_BYTES: usize = 3_000_000;

const SMALL_JOB: u64 = 900_000;

fn wide(number: u64) -> Job {
    model::job(number, model::step(TASKS, cores(1)))
}

/// A job whose tasks fit on any worker, in any number.
fn idle(number: u64, count: u32) -> Job {
    model::job(number, model::step(count, Amount::ZERO))
}

fn limited(max_state_bytes: usize, workers: usize) -> OwnerHarness {
    let max_state_bytes = Some(max_state_bytes);
    OwnerHarness::with_timings(Timings { max_state_bytes, ..Timings::default() }, workers)
}

fn accepts(harness: &mut OwnerHarness, job: Job) -> bool {
    let call = u64::from_str_radix(&job.id.to_string(), 16).expect("an ID");
    harness.call(call, Call::Submit(job));
    harness.complete_appends();
    let is_accepted = harness.answer(call) == Some(Answer::Accepted);
    harness.effects.clear();
    is_accepted
}

/// Guards against waiting jobs of many tasks of which no snapshot can be saved, so that they are
/// unknown once the store has removed their records.
#[test]
fn snapshot_of_many_waiting_tasks_is_saved() {
    const JOBS: u64 = 360;
    let mut harness = OwnerHarness::new(0);
    (1..=JOBS).for_each(|number| assert!(accepts(&mut harness, wide(number))));
    harness.deliver(Message::SnapshotRequested);
    harness.advance(10);
    harness.complete_appends();
    let saved = harness.effects.iter().find_map(|effect| match effect {
        Effect::Save(snapshot) => snapshot.state.clone(),
        _ => None,
    });
    let bytes = saved.expect("a snapshot");
    assert!(bytes.len() < 1_000 * JOBS as usize, "{} bytes", bytes.len());
    let mut state = stored_state::decode(&bytes).expect("a readable state");
    // What has not begun is opened again by the next owner.
    let open = |state: &mut State| {
        state.jobs.values_mut().for_each(|entry| {
            entry.occurrence(0);
        });
    };
    open(&mut state);
    open(&mut harness.machine.state);
    assert_eq!(state, harness.machine.state);
}

/// Guards against a form of snapshots that loses what has happened to the tasks.
#[test]
fn snapshot_of_many_tasks_keeps_their_progress() {
    let mut harness = OwnerHarness::new(4);
    (1..=20).for_each(|number| assert!(accepts(&mut harness, wide(number))));
    harness.advance(100);
    harness.complete_appends();
    let runs: Vec<Run> = harness.machine.state.live.keys().copied().collect();
    assert!(!runs.is_empty());
    let outcomes = [RunOutcome::Succeeded, RunOutcome::Failed, RunOutcome::WorkerLost];
    let ends = (1..).zip(&runs).zip(outcomes).map(|((number, run), end)| (number, *run, end));
    harness.report(0, &[], &ends.collect::<Vec<_>>());
    harness.advance(100);
    harness.complete_appends();
    let bytes = stored_state::encode(&harness.machine.state).expect("a small state");
    let mut read = stored_state::decode(&bytes).expect("a readable state");
    for entry in read.jobs.values_mut() {
        entry.occurrence(0);
    }
    assert_eq!(read, harness.machine.state);
    assert!(bytes.len() < 20_000, "{} bytes", bytes.len());
}

/// Guards against a limit that counts a job as its texts, and admits more than the owner's memory
/// holds: each open job takes more than that.
#[test]
fn jobs_beyond_the_memory_are_refused() {
    let mut harness = limited(STATE_BYTES, 0);
    for number in 1..=3_000 {
        let (call, caller) = (Call::Submit(wide(number)), Caller::default());
        harness.deliver(Message::Call { id: number, call, caller });
    }
    harness.advance(10);
    harness.complete_appends();
    let is_accepted = |number: &u64| harness.answer(*number) == Some(Answer::Accepted);
    let accepted = (1..=3_000).filter(is_accepted).count();
    assert!((500..2_000).contains(&accepted), "{accepted} jobs of about 2 kB");
}

/// Guards against large jobs that turn away all small ones.
#[test]
fn small_jobs_are_accepted_beside_large_ones() {
    let mut harness = limited(STATE_BYTES, 0);
    let long = |number| {
        let mut job = model::job(number, model::step(1, cores(1)));
        job.steps = vec![job.steps[0].clone(); 256];
        job
    };
    let refused = (1..).find(|number| !accepts(&mut harness, long(*number)));
    assert!(refused.is_some_and(|number| number > 4), "{refused:?}");
    for number in 0..100 {
        assert!(accepts(&mut harness, wide(SMALL_JOB + number)), "{number}");
    }
}

/// Guards against an owner whose runs exceed its memory: tasks that need nothing fit on a worker in
/// any number.
#[test]
fn runs_beyond_the_memory_wait() {
    let mut harness = limited(STATE_BYTES, 1);
    assert!(accepts(&mut harness, idle(1, TASKS)));
    let mut ended = 0;
    for _ in 0..100 {
        harness.advance(100);
        harness.complete_appends();
        harness.effects.clear();
        let runs: Vec<Run> = harness.machine.state.live.keys().copied().collect();
        assert!(runs.len() <= STATE_BYTES / 1_000, "{} runs", runs.len());
        let ends = (ended + 1..).zip(&runs).map(|(end, run)| (end, *run, RunOutcome::Succeeded));
        harness.report(0, &[], &ends.collect::<Vec<_>>());
        ended += runs.len() as u64;
        harness.complete_appends();
    }
    assert_eq!(ended, u64::from(TASKS));
}

/// Guards against a small owner that takes over more than it would accept and runs nothing of it.
#[test]
fn owner_beyond_its_memory_runs_what_it_has() {
    let mut harness = limited(1_000, 2);
    let unix = oriolefork::clock::Unix::from_millis(super::harness::UNIX_START_MS);
    let record = oriolefork::cell::record::Record::Accepted { at: unix, job: wide(1) };
    harness.machine.state.apply(record, unix);
    harness.advance(500);
    harness.complete_appends();
    assert_eq!(harness.machine.state.live.len(), 16, "two workers of 8 cores");
    assert!(!accepts(&mut harness, model::job(2, model::step(1, cores(1)))));
    assert!(harness.machine.state.jobs.contains_key(&id(1)));
}
