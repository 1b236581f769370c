//! Randomized histories of several instances over a log, with faults, crashes and dropped records.

use std::time::Duration;

use oriolefork::intent::{Input, Key, Kind, Policy, Request};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

use super::simulation::{CallEnding, Simulation, is_won};

const INSTANCES: usize = 3;
const KEYS: usize = 3;
const HISTORIES: u32 = 500;
const SEED: u64 = 4;

#[derive(Clone, Debug)]
enum Step {
    Submit { instance: usize, key: usize },
    Deliver { instance: usize, ending: CallEnding },
    CompleteLateAppend,
    Advance(u64),
    Crash(usize),
    Execution(usize),
    FinishExecution(usize),
    Withdraw(usize),
    DropOldRecords(usize),
}

fn call_ending() -> impl Strategy<Value = CallEnding> {
    prop_oneof![
        10 => Just(CallEnding::Success),
        2 => Just(CallEnding::AnswerLost),
        1 => Just(CallEnding::Refused),
        2 => Just(CallEnding::Late),
        1 => Just(CallEnding::Dropped),
        1 => Just(CallEnding::Misdelivered),
        1 => Just(CallEnding::Stale),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        4 => (instance.clone(), 0..KEYS).prop_map(|(instance, key)| Step::Submit { instance, key }),
        12 => (instance.clone(), call_ending())
            .prop_map(|(instance, ending)| Step::Deliver { instance, ending }),
        1 => Just(Step::CompleteLateAppend),
        4 => prop_oneof![1_u64..30, 200_u64..3000].prop_map(Step::Advance),
        1 => instance.clone().prop_map(Step::Crash),
        3 => instance.clone().prop_map(Step::Execution),
        2 => instance.clone().prop_map(Step::FinishExecution),
        1 => instance.prop_map(Step::Withdraw),
        1 => (0_usize..6).prop_map(Step::DropOldRecords),
    ]
}

/// Limits small enough to be reached within a short history.
fn policy() -> Policy {
    Policy {
        appends_per_second: 200,
        confirm_timeout: Duration::from_millis(300),
        max_partition_bytes: 1500,
        max_initial_records: 5,
        max_withdrawn: 2,
        max_waiting: 4,
        ..Policy::default()
    }
}

#[test]
fn history_tries_once() {
    // For any order of lost, late and misdelivered calls, dropped records and restarts: no key is
    // executed twice, no request answered with NotRun was executed, and every reported outcome is
    // the actual one. The simulation checks this on every answer. Afterwards, once the instances
    // have read the healthy log, a new key can be won.
    let config = Config {
        cases: HISTORIES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    };
    let history = (proptest::collection::vec(step(), 1..150), any::<bool>());
    let mut runner = TestRunner::new(config);
    let outcome = runner.run(&history, |(steps, skewed)| {
        run_history(&steps, skewed);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("seed {SEED}: {failure}");
    }
}

/// Names of keys in the first partition, so that their records share a stream.
fn keys_in_one_partition() -> Vec<String> {
    let names = (0..).map(|number| format!("key-{number}"));
    let is_first = |name: &String| {
        Key::new(Kind::Request, "portal", name).is_ok_and(|key| key.partition() == 0)
    };
    names.filter(is_first).take(KEYS).collect()
}

fn run_history(steps: &[Step], skewed: bool) {
    let mut simulation = Simulation::new(INSTANCES, policy());
    if skewed {
        simulation.instances[1].clock_offset = Duration::from_secs(1);
    }
    let names = keys_in_one_partition();
    let mut requests: Vec<Option<Request>> = vec![None; KEYS];
    for step in steps {
        run_step(&mut simulation, &names, &mut requests, step);
    }
    for instance in 0..INSTANCES {
        simulation.input(instance, Input::Preload);
    }
    simulation.run_until_idle();
    simulation.advance(10_000);
    let fresh = simulation.request("fresh");
    assert!(
        is_won(&simulation.submit_and_wait(0, &fresh)),
        "a new key can be won: {:?}",
        simulation.decisions
    );
}

fn run_step(
    simulation: &mut Simulation,
    names: &[String],
    requests: &mut [Option<Request>],
    step: &Step,
) {
    match step {
        Step::Submit { instance, key } => {
            let made = simulation.request(&names[*key]);
            let request = requests[*key].get_or_insert(made).clone();
            simulation.submit(*instance, &request);
        }
        Step::Deliver { instance, ending } => simulation.deliver(*instance, *ending),
        Step::CompleteLateAppend => simulation.complete_late_append(),
        Step::Advance(millis) => simulation.advance(*millis),
        Step::Crash(instance) => simulation.restart(*instance),
        Step::Execution(instance) => simulation.begin_execution(*instance),
        Step::FinishExecution(instance) => simulation.finish_execution(*instance),
        Step::Withdraw(instance) => simulation.withdraw(*instance),
        Step::DropOldRecords(kept) => simulation.drop_old_records(*kept),
    }
}
