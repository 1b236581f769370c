//! Random histories of a cell. `ORIOLEFORK_CELL_SEEDS` chooses how many seeds are played.

use oriolefork::cell::job::{Job, Step};
use test_case::test_case;

use super::model;
use super::world::{Faults, World};

/// Seeds played by default.
const SEEDS: u64 = 8;

const CALM: Faults = Faults {
    late: 0.0,
    lost_appends: 0.0,
    takeover_ms: 0,
    zombies: false,
    worker_ms: 0,
    outages: false,
    resetting: 0,
    crashers: false,
    resize_ms: 0,
};

fn seeds() -> u64 {
    std::env::var("ORIOLEFORK_CELL_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// Jobs of all shapes: single tasks, wide steps, gangs, steps that follow others, bounded spread.
fn shape(number: u64) -> Job {
    let mut step = model::step((number % 5 + 1) as u32, model::cores(number % 4 + 1));
    step.gang = number.is_multiple_of(3);
    step.max_per_worker = u32::from(number % 7 == 1) * 2;
    let mut job = model::job(number, step);
    if number % 4 == 2 {
        let later = Step { depends_on: vec![0], ..model::step(3, model::cores(2)) };
        job.steps.push(later);
    }
    job
}

fn play(seed: u64, faults: Faults) -> World {
    let mut world = World::new(seed, 12, faults);
    for number in 0..60 {
        world.submit(shape(seed * 1_000 + number), number % 11 == 10, number % 13 == 12);
        world.run(150);
        if number == 30 && faults.takeover_ms > 0 {
            world.take_over();
        }
        if number % 9 == 8 {
            world.cancel(seed * 1_000 + number - 1);
        }
    }
    world.settle(45_000);
    world.check_end();
    world
}

#[test_case(CALM; "calm")]
#[test_case(Faults { late: 0.06, ..CALM }; "orders_late")]
#[test_case(Faults { lost_appends: 0.3, ..CALM }; "answers_of_the_store_lost")]
#[test_case(Faults { takeover_ms: 2_500, ..CALM }; "owners_killed")]
#[test_case(Faults { takeover_ms: 2_500, zombies: true, ..CALM }; "owners_beside_successors")]
#[test_case(Faults { worker_ms: 700, ..CALM }; "workers_cut_and_crashed")]
#[test_case(Faults { outages: true, ..CALM }; "store_down")]
#[test_case(Faults { resetting: 2, late: 0.06, ..CALM }; "workers_that_reset_orders")]
#[test_case(
    Faults { resetting: 2, late: 0.06, takeover_ms: 2_500, zombies: true, ..CALM };
    "workers_that_reset_orders_of_every_owner"
)]
#[test_case(
    Faults {
        late: 0.04,
        lost_appends: 0.1,
        takeover_ms: 2_500,
        zombies: true,
        worker_ms: 1_000,
        outages: true,
        resetting: 0,
        crashers: false,
        resize_ms: 0,
    };
    "everything_at_once"
)]
#[test_case(
    Faults {
        late: 0.06,
        lost_appends: 0.1,
        takeover_ms: 2_500,
        zombies: true,
        worker_ms: 1_000,
        outages: true,
        resetting: 2,
        crashers: false,
        resize_ms: 0,
    };
    "everything_at_once_and_reset_orders"
)]
#[test_case(Faults { crashers: true, ..CALM }; "tasks_that_crash_workers")]
#[test_case(
    Faults { crashers: true, takeover_ms: 2_500, worker_ms: 1_000, late: 0.04, ..CALM };
    "tasks_that_crash_workers_of_owners_killed"
)]
#[test_case(Faults { resize_ms: 400, outages: true, ..CALM }; "workers_that_shrink")]
#[test_case(
    Faults { resize_ms: 400, outages: true, takeover_ms: 2_500, worker_ms: 1_000, ..CALM };
    "workers_that_shrink_of_owners_killed"
)]
fn history_keeps_promises(faults: Faults) {
    for seed in 1..=seeds() {
        let world = play(seed, faults);
        let accepted = world.accepted();
        assert!(accepted > 10, "seed {seed}: {accepted} jobs accepted");
        assert!(world.starts >= accepted, "seed {seed}: {} starts", world.starts);
        if faults.takeover_ms > 0 {
            assert!(world.takeovers > 1, "seed {seed}: no takeover");
        }
    }
}
