//! An owner that is killed.

use std::net::SocketAddr;

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;

use super::site::{HALL, Runs, callers, owner, started_on};
use super::work::{Work, await_state, cancel_until_accepted, submit_until_accepted};
use crate::harness::{Cluster, Plan};

const HALLS: [&str; 3] = [HALL, "kurow-hall", "palmerston-hall"];

/// A job of every kind for one failure domain.
struct Order {
    key: String,
    hall: &'static str,
    work: Work,
    tasks: u32,
}

fn orders(wave: &str, run_ms: u64) -> Vec<Order> {
    let works = [
        ("batch", Work::batch(run_ms).tasks(3), 3),
        ("once", Work::once(run_ms), 1),
        ("gang", Work::gang(run_ms, 3), 3),
        ("serve", Work::long_running(), 1),
    ];
    let of = |hall: &'static str| {
        works.map(|(kind, work, tasks)| {
            let key = format!("{wave}-{hall}-{kind}");
            Order { key, hall, work, tasks }
        })
    };
    HALLS.into_iter().flat_map(of).collect()
}

fn submit_all(cluster: &Cluster, orders: &[Order], dead: &[usize]) {
    for order in orders {
        submit_until_accepted(&callers(cluster, order.hall, dead), &order.key, &order.work);
    }
}

fn finish(addrs: &[SocketAddr], order: &Order) {
    if order.key.ends_with("serve") {
        await_state(addrs, [&order.key], State::Running);
        cancel_until_accepted(addrs, &order.key);
        await_state(addrs, [&order.key], State::Cancelled);
    } else {
        await_state(addrs, [&order.key], State::Succeeded);
    }
}

// A user submits jobs of every kind in three failure domains. In the middle the process that owns
// the first domain is killed: some jobs run, some wait, some are being submitted. Another instance
// takes over. The user sees every accepted job end, each task done exactly once.
#[test]
fn owner_killed() {
    let plan =
        Plan { domains: HALLS.to_vec(), entries: 3, workers: 2, proxied: true, ..Plan::default() };
    let mut cluster = plan.start();
    cluster.switch(Mode::Delay(1), |_| true);
    let first = orders("first", 2_500);
    submit_all(&cluster, &first, &[]);
    for order in &first {
        started_on(&cluster, &order.key);
    }
    let (killed, epoch) = owner(&cluster, HALL, &[]);
    cluster.entries[killed].process.kill();
    let second = orders("second", 300);
    submit_all(&cluster, &second, &[killed]);
    assert_ne!(owner(&cluster, HALL, &[killed]).1, epoch);
    for order in first.iter().chain(&second) {
        finish(&callers(&cluster, order.hall, &[killed]), order);
    }
    let runs = Runs::of(&cluster);
    for order in first.iter().chain(&second) {
        match order.key.rsplit('-').next() {
            Some("once") => runs.assert_started_once(&order.key),
            Some("serve") => {}
            _ => runs.assert_done_once(&order.key, order.tasks),
        }
    }
}
