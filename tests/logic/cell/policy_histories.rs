//! Random histories of a cell whose policy service allows each step only a few workers.
//! `ORIOLEFORK_CELL_SEEDS` sets the number of seeds to run.

use oriolefork::cell::job::{Job, Step};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

use super::histories::NO_FAULTS;
use super::model::{self, cores};
use super::simulation::policy::{FAST, SLOW};
use super::simulation::{Faults, Simulation};

/// Default number of seeds.
const SEEDS: u64 = 2;

/// Number of workers, in racks of four.
const WORKERS: usize = 32;

/// Numbers of jobs that are submitted during and after the faults, and the interval between two, in
/// milliseconds.
const JOBS: u64 = 40;
const LATER_JOBS: u64 = 40;
const JOB_INTERVAL_MS: u64 = 200;
const LATER_JOB_INTERVAL_MS: u64 = 600;

/// Times without faults, in milliseconds, with long-running tasks and without them.
const RUN_MS: u64 = 20_000;
const SHORT_RUN_MS: u64 = 8_000;

/// Time within which all jobs that the workers can hold end, in milliseconds: the tasks of three wide
/// steps on one worker, each with a query.
const DONE_MS: u64 = 120_000;

/// Time within which the owner acknowledges all ends to the workers, in milliseconds.
const ACKNOWLEDGED_MS: u64 = 3_000;

const POLICY: Faults = Faults { policy: true, failing_interval: u64::MAX, ..NO_FAULTS };

fn seeds() -> u64 {
    std::env::var("ORIOLEFORK_CELL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// A job drawn from the seed: a wide or narrow step, a gang, dependent steps, or a long-running step.
fn drawn_job(number: u64) -> Job {
    let mut rng = StdRng::seed_from_u64(number);
    let mut step = |tasks: std::ops::Range<u32>, width: std::ops::Range<u64>| {
        model::step(rng.random_range(tasks), cores(rng.random_range(width)))
    };
    let steps: Vec<Step> = match number % 16 {
        0 | 1 => vec![step(20..41, 6..17)],
        2 => vec![step(20..41, 1..6)],
        3 => vec![step(1..4, 1..9)],
        4 => vec![Step { gang: true, ..step(2..5, 2..9) }],
        5 | 6 => vec![Step { gang: true, ..step(6..31, 4..13) }],
        7 => vec![Step { max_per_worker: 1, ..step(2..13, 1..5) }],
        8 | 9 => vec![Step { gang: true, same_rack: true, ..step(2..7, 4..13) }],
        10 | 11 => vec![Step { data_rack: Some(rack(number)), ..step(2..11, 1..9) }],
        12 => {
            let (first, later) = (step(1..4, 2..9), step(2..9, 2..9));
            let last = Step { depends_on: vec![1], gang: true, ..step(2..4, 1..5) };
            vec![first, Step { depends_on: vec![0], ..later }, last]
        }
        13 => vec![Step { long_running: true, ..step(2..7, 1..6) }],
        14 => vec![Step { long_running: true, ..step(2..7, 6..15) }],
        _ => vec![Step { required_label: Some(rack(number)), ..step(2..9, 2..9) }],
    };
    let queue = [SLOW, SLOW, SLOW, FAST, FAST, model::QUEUE][rng.random_range(0..6)];
    Job { queue: queue.to_owned(), steps, ..model::job(number, Step::default()) }
}

fn rack(number: u64) -> String {
    format!("r{}", number / 16 % (WORKERS as u64 / 4))
}

/// Runs a history and returns the number of waits beside free workers in it.
fn run_history(seed: u64, faults: Faults) -> u64 {
    println!("seed {seed}");
    let mut simulation = Simulation::new(seed, WORKERS, faults);
    let first = seed * 1_000;
    for number in first..first + JOBS {
        simulation.submit(drawn_job(number), false, false);
        simulation.run(JOB_INTERVAL_MS);
    }
    for number in first + JOBS..first + JOBS + LATER_JOBS {
        simulation.submit(drawn_job(number), false, false);
        simulation.settle(LATER_JOB_INTERVAL_MS);
    }
    simulation.settle(RUN_MS);
    simulation.cancel_where(|_, job| job.steps.iter().any(|step| step.long_running));
    simulation.settle(SHORT_RUN_MS);
    simulation.cancel_where(|simulation, job| !simulation.holds(job));
    simulation.settle_until_done(DONE_MS);
    simulation.settle(ACKNOWLEDGED_MS);
    let waits = simulation.check_no_step_passed_over();
    simulation.check_end();
    waits
}

/// A rule that saves queries or placements passes over an accepted step for as long as its state
/// stays the same, although workers that may run it are free.
#[test_case(POLICY; "no_faults")]
#[test_case(Faults { lost_policy_answers: 0.15, ..POLICY }; "policy_answers_lost")]
#[test_case(Faults { worker_ms: 500, one_way_cuts: true, ..POLICY }; "workers_cut_and_crashed")]
#[test_case(
    Faults { takeover_ms: 2_500, stale_owners: true, ..POLICY };
    "stale_owners_beside_successors"
)]
#[test_case(Faults { outages: true, ..POLICY }; "store_down")]
#[test_case(Faults { cap_ms: 1_200, ..POLICY }; "caps_that_change")]
#[test_case(Faults { active_workers: 8, ..POLICY }; "few_active_workers")]
#[test_case(
    Faults {
        delayed_calls: 0.04,
        lost_append_answers: 0.1,
        takeover_ms: 2_500,
        worker_ms: 700,
        outages: true,
        lost_policy_answers: 0.1,
        late_config: true,
        cap_ms: 1_200,
        ..POLICY
    };
    "all_faults"
)]
fn accepted_step_starts_beside_free_workers(faults: Faults) {
    let waits: u64 = (1..=seeds()).map(|seed| run_history(seed, faults)).sum();
    assert!(waits > 0, "no step waited beside free workers");
}

/// Steps that a rule passed over until an unrelated change: gangs beside gangs that never fit, on one
/// of several racks, and on reserved workers; a step that is not queried about while the remaining
/// workers are reserved; steps behind claims on their customer's cap.
#[test_case(3, POLICY; "gangs_beside_gangs_that_never_fit")]
#[test_case(
    14, Faults { worker_ms: 500, one_way_cuts: true, ..POLICY };
    "step_whose_unqueried_workers_are_reserved"
)]
#[test_case(8, Faults { cap_ms: 1_200, ..POLICY }; "steps_behind_claims_on_their_cap")]
fn passed_over_step_starts(seed: u64, faults: Faults) {
    run_history(seed, faults);
}
