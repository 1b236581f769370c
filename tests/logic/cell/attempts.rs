//! The limit of failed attempts, which holds whenever and by whomever it is found to be reached.

use std::rc::Rc;

use oriolefork::cell::Epoch;
use oriolefork::cell::job::{Phase, Run, RunOutcome, Step};
use oriolefork::cell::machine::{Answer, Machine, Message};
use oriolefork::cell::queue::QueueConfig;
use oriolefork::cell::record::Record;
use oriolefork::cell::state::State;
use oriolefork::cell::timings::Timings;
use oriolefork::clock::{Instant, Unix};
use test_case::test_case;

use super::harness::{OwnerHarness, UNIX_START_MS};
use super::model::{self, MAX_FAILURES, cores};

/// Number of the job in every test.
const JOB: u64 = 1;

/// Time within which an owner has placed all tasks that it would ever place on idle workers.
const PLACEMENT_MS: u64 = 2_000;

fn run(number: u32, index: u32) -> Run {
    model::run(JOB, index, number)
}

fn single_task() -> Step {
    model::step(1, cores(1))
}

fn gang() -> Step {
    Step { gang: true, ..model::step(2, cores(1)) }
}

/// Returns the state of a job whose runs up to `ended` have ended with `outcome`, and whose run
/// after them is live on the first worker if `live` is set.
fn state_after(step: &Step, ended: u32, outcome: RunOutcome, live: bool) -> State {
    let unix = Unix::from_millis(UNIX_START_MS);
    let mut state = State::default();
    state.apply_batch(model::claim(Epoch(1), unix));
    state.apply(Record::Accepted { at: unix, job: model::job(JOB, step.clone()) }, unix);
    let members = |number: u32| (0..step.count).map(move |index| run(number, index));
    for number in 1..=ended + u32::from(live) {
        let runs = members(number).collect();
        state.apply(Record::Placed { worker: "w0".into(), runs }, unix);
        if number > ended {
            break;
        }
        for member in members(number) {
            let broken = step.gang && member.task.index > 0;
            let outcome = if broken { RunOutcome::GangBroken } else { outcome };
            let (worker, checkpoint) = ("w0".into(), String::new());
            state.apply(Record::Ended { run: member, worker, outcome, checkpoint }, unix);
        }
    }
    state
}

/// Returns an owner that has replayed `state`. The first worker reports the live runs as running.
fn owner(state: State, config: Rc<QueueConfig>) -> OwnerHarness {
    let (now, unix) = (Instant::from_millis(0), Unix::from_millis(UNIX_START_MS));
    let running: Vec<Run> = state.live.keys().copied().collect();
    let machine = Machine::new(state, 0, 1, config, Timings::default(), now, unix);
    OwnerHarness::start_running(machine, 3, &running)
}

fn owner_without_config(state: State) -> OwnerHarness {
    owner(state, Rc::default())
}

/// Reports that all members of the last run have ended, the first of them with a failure.
fn report_last_failure(harness: &mut OwnerHarness, step: &Step) {
    let outcome = |index| if index == 0 { RunOutcome::Failed } else { RunOutcome::GangBroken };
    let ended: Vec<(u64, Run, RunOutcome)> = (0..step.count)
        .map(|index| (u64::from(index) + 1, run(MAX_FAILURES, index), outcome(index)))
        .collect();
    harness.report(0, &[], &ended);
    harness.advance(10);
    harness.complete_appends();
    let state = harness.machine.state.step(&run(MAX_FAILURES, 0).task.step).expect("an open step");
    let failures = if step.gang {
        state.failed_runs.len() as u32
    } else {
        state.tasks.get(0).expect("a task").failures
    };
    assert_eq!(failures, MAX_FAILURES);
}

/// Lets the owner place what it would place, and checks that it has failed the job instead.
fn assert_failed_without_start(harness: &mut OwnerHarness) {
    for _ in 0..PLACEMENT_MS / 20 {
        harness.advance(20);
        harness.complete_appends();
        let starts = harness.drain_starts();
        assert!(starts.is_empty(), "started again: {:?}", starts[0].1.run);
    }
    assert_eq!(harness.phase(JOB), Some(Answer::Phase(Phase::Failed)));
}

/// All instances restart while the store hangs. The new owner hears of the last failure before it
/// has read a configuration, and started the task again once it had.
#[test_case(&single_task(); "single_task")]
#[test_case(&gang(); "gang")]
fn last_failure_before_the_configuration(step: &Step) {
    let mut harness =
        owner_without_config(state_after(step, MAX_FAILURES - 1, RunOutcome::Failed, true));
    report_last_failure(&mut harness, step);
    harness.deliver(Message::ConfigChanged(model::queue_config()));
    assert_failed_without_start(&mut harness);
}

/// A queue is missing from the configuration for a moment in which a task fails for the last time.
#[test]
fn last_failure_while_the_queue_is_not_configured() {
    let step = single_task();
    let state = state_after(&step, MAX_FAILURES - 1, RunOutcome::Failed, true);
    let mut harness = owner(state, model::queue_config());
    let config = model::queue_config();
    let without = QueueConfig::new(2, Vec::new(), config.services.clone());
    harness.deliver(Message::ConfigChanged(Rc::new(without)));
    report_last_failure(&mut harness, &step);
    let mut with_queues = (*config).clone();
    with_queues.version = 3;
    harness.deliver(Message::ConfigChanged(Rc::new(with_queues)));
    assert_failed_without_start(&mut harness);
}

/// An owner is lost between the batch with the last failure and the batch that fails the job. Its
/// successor read the failures and started the task again.
#[test_case(&single_task(), MAX_FAILURES, RunOutcome::Failed; "failures_of_a_task")]
#[test_case(&gang(), MAX_FAILURES, RunOutcome::Failed; "failures_of_a_gang")]
#[test_case(&single_task(), 2, RunOutcome::WorkerCrashedAtStart; "crashes_of_workers")]
fn limit_reached_under_an_earlier_owner(step: &Step, ended: u32, outcome: RunOutcome) {
    let mut harness = owner(state_after(step, ended, outcome, false), model::queue_config());
    assert_failed_without_start(&mut harness);
}

/// The operators lower the limit of a queue below the failures of a task that waits.
#[test]
fn limit_lowered_below_the_failures() {
    let state = state_after(&single_task(), MAX_FAILURES - 1, RunOutcome::Failed, false);
    let mut harness = owner_without_config(state);
    let config = model::queue_config();
    let mut queue = (*config.queues()[0]).clone();
    queue.max_failures = MAX_FAILURES - 1;
    let config = QueueConfig::new(config.version, vec![Rc::new(queue)], config.services.clone());
    harness.deliver(Message::ConfigChanged(Rc::new(config)));
    assert_failed_without_start(&mut harness);
}

/// The counterpart: a task with attempts left waits for the configuration, and then runs.
#[test]
fn attempts_left_before_the_configuration() {
    let step = single_task();
    let state = state_after(&step, MAX_FAILURES - 2, RunOutcome::Failed, true);
    let mut harness = owner_without_config(state);
    let last = run(MAX_FAILURES - 1, 0);
    harness.report(0, &[], &[(1, last, RunOutcome::Failed)]);
    harness.advance(100);
    harness.complete_appends();
    assert!(harness.drain_starts().is_empty(), "no queue is known yet");
    harness.deliver(Message::ConfigChanged(model::queue_config()));
    let starts: Vec<Run> = (0..PLACEMENT_MS / 20)
        .flat_map(|_| {
            harness.advance(20);
            harness.complete_appends();
            harness.drain_starts()
        })
        .map(|(_, start)| start.run)
        .collect();
    assert_eq!(starts, [run(MAX_FAILURES, 0)]);
}
