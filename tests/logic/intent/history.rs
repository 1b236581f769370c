//! Drawn histories of several instances, a log with faults, crashes and retention.

use std::time::Duration;

use oriolefork::intent::{Input, Key, Kind, Policy, Request};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};

use super::world::{End, World, is_won};

const INSTANCES: usize = 3;
const KEYS: usize = 3;
const HISTORIES: u32 = 500;
const SEED: u64 = 4;

#[derive(Clone, Debug)]
enum Step {
    Submit { instance: usize, key: usize },
    Deliver { instance: usize, end: End },
    Land,
    Advance(u64),
    Crash(usize),
    Execution(usize),
    Finish(usize),
    Withdraw(usize),
    Cut(usize),
}

fn end() -> impl Strategy<Value = End> {
    prop_oneof![
        10 => Just(End::Whole),
        2 => Just(End::AnswerLost),
        1 => Just(End::Refused),
        2 => Just(End::Late),
        1 => Just(End::Vanished),
        1 => Just(End::Crossed),
        1 => Just(End::Stale),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        4 => (instance.clone(), 0..KEYS).prop_map(|(instance, key)| Step::Submit { instance, key }),
        12 => (instance.clone(), end()).prop_map(|(instance, end)| Step::Deliver { instance, end }),
        1 => Just(Step::Land),
        4 => prop_oneof![1_u64..30, 200_u64..3000].prop_map(Step::Advance),
        1 => instance.clone().prop_map(Step::Crash),
        3 => instance.clone().prop_map(Step::Execution),
        2 => instance.clone().prop_map(Step::Finish),
        1 => instance.prop_map(Step::Withdraw),
        1 => (0_usize..6).prop_map(Step::Cut),
    ]
}

/// Limits so small that every bound is met within a short history.
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
    // Whatever is lost, late, crossed, cut off, dropped or restarted, in whichever order: no key is
    // tried twice, no request told "not run" was tried, and outcomes told are the true one. The
    // world checks this on every answer. Afterwards, once the instances have read the healthy log, a
    // fresh key can be won.
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
        play(&steps, skewed);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("seed {SEED}: {failure}");
    }
}

/// Keys that share a partition, so that they meet.
fn neighbours() -> Vec<String> {
    let names = (0..).map(|number| format!("key-{number}"));
    let is_first = |name: &String| {
        Key::new(Kind::Request, "portal", name).is_ok_and(|key| key.partition() == 0)
    };
    names.filter(is_first).take(KEYS).collect()
}

fn play(steps: &[Step], skewed: bool) {
    let mut world = World::new(INSTANCES, policy());
    if skewed {
        world.instances[1].ahead = Duration::from_secs(1);
    }
    let names = neighbours();
    let mut requests: Vec<Option<Request>> = vec![None; KEYS];
    for step in steps {
        take(&mut world, &names, &mut requests, step);
    }
    for instance in 0..INSTANCES {
        world.input(instance, Input::Preload);
    }
    world.calm();
    world.advance(10_000);
    let fresh = world.request("fresh");
    assert!(is_won(&world.ask(0, &fresh)), "a fresh key can be won: {:?}", world.decisions);
}

fn take(world: &mut World, names: &[String], requests: &mut [Option<Request>], step: &Step) {
    match step {
        Step::Submit { instance, key } => {
            let made = world.request(&names[*key]);
            let request = requests[*key].get_or_insert(made).clone();
            world.submit(*instance, &request);
        }
        Step::Deliver { instance, end } => world.deliver(*instance, *end),
        Step::Land => world.land(),
        Step::Advance(millis) => world.advance(*millis),
        Step::Crash(instance) => world.restart(*instance),
        Step::Execution(instance) => world.begin_try(*instance),
        Step::Finish(instance) => world.finish_try(*instance),
        Step::Withdraw(instance) => world.withdraw(*instance),
        Step::Cut(kept) => world.cut(*kept),
    }
}
