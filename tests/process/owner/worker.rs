//! Workers that crash or are unreachable.

use oriolefork::api::view::alert::Kind;
use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;
use oriolefork::task::{End, Phase};

use super::site::{DOMAIN, Runs, api_addrs, await_owner, await_start, short_lease};
use super::work::{Work, await_alert, await_state, cancel_until_accepted, submit_until_accepted};
use crate::harness::{Cluster, Plan, eventually};

const IDEMPOTENT: &str = "idempotent";
const ONCE: &str = "once";

fn plan() -> Plan {
    short_lease(2, 4)
}

/// Starts an idempotent and an at-most-once task that run for ten minutes, and returns their
/// workers.
fn start(cluster: &Cluster) -> [usize; 2] {
    let addrs = api_addrs(cluster, DOMAIN, &[]);
    await_owner(cluster, DOMAIN, &[]);
    submit_until_accepted(&addrs, IDEMPOTENT, &Work::batch(600_000));
    submit_until_accepted(&addrs, ONCE, &Work::once(600_000));
    [IDEMPOTENT, ONCE].map(|key| await_start(cluster, key))
}

fn runs_again(cluster: &Cluster) -> Option<()> {
    let runs = Runs::of(cluster);
    matches!(runs.phases(IDEMPOTENT, 0), [first, Phase::Running] if *first != Phase::Running)
        .then_some(())
}

// A worker restarts while tasks run on it. The idempotent task is started again. The at-most-once
// task is not, because it is unknown how far it ran; an alert is raised instead.
#[test]
fn worker_killed_and_restarted() {
    let mut cluster = plan().start();
    let [first, second] = start(&cluster);
    if first == second {
        cluster.restart_worker(first);
    } else {
        cluster.restart_worker(second);
        cluster.restart_worker(first);
    }
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    eventually("the idempotent task runs again", || {
        let runs = Runs::of(&cluster);
        matches!(runs.phases(IDEMPOTENT, 0), [_, Phase::Running]).then_some(())
    });
    await_alert(&addrs, Kind::Uncertain, ONCE);
    let runs = Runs::of(&cluster);
    assert_eq!(runs.phases(ONCE, 0).len(), 1);
}

// Workers with running tasks become unreachable. The idempotent task starts elsewhere only after
// its lease has certainly lapsed. The at-most-once task becomes uncertain and is never started
// again. Once the worker is back and reports that it stopped the task, the job fails and an alert
// is raised.
#[test]
fn worker_cut_off_until_lapse() {
    let cluster = plan().start();
    let cut = start(&cluster);
    let routes = cut.map(|worker| format!("{DOMAIN}/worker/{DOMAIN}-worker-{worker}"));
    cluster.switch(Mode::CutBoth, |route| routes.iter().any(|cut| cut == route));
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    eventually("the idempotent task runs elsewhere", || runs_again(&cluster));
    await_state(&addrs, [&ONCE.to_owned()], State::Uncertain);
    await_alert(&addrs, Kind::Uncertain, ONCE);
    cluster.switch(Mode::Pass, |route| routes.iter().any(|cut| cut == route));
    await_owner(&cluster, DOMAIN, &[]);
    cancel_until_accepted(&addrs, IDEMPOTENT);
    await_state(&addrs, [&IDEMPOTENT.to_owned()], State::Cancelled);
    await_state(&addrs, [&ONCE.to_owned()], State::Failed);
    await_alert(&addrs, Kind::Lost, ONCE);
    let runs = Runs::of(&cluster);
    let lapsed = Phase::Ended(End::Lapsed);
    assert_eq!(runs.phases(IDEMPOTENT, 0), [lapsed, Phase::Ended(End::Stopped)]);
    assert_eq!(runs.phases(ONCE, 0), [lapsed]);
}

// The connection to a worker breaks for less than a lease. The tasks continue where they are, and
// none is started a second time.
#[test]
fn worker_cut_off_briefly() {
    let cluster = plan().start();
    let cut = start(&cluster);
    let routes = cut.map(|worker| format!("{DOMAIN}/worker/{DOMAIN}-worker-{worker}"));
    cluster.switch(Mode::Refuse, |route| routes.iter().any(|cut| cut == route));
    cluster.switch(Mode::Pass, |route| routes.iter().any(|cut| cut == route));
    await_owner(&cluster, DOMAIN, &[]);
    let runs = Runs::of(&cluster);
    assert_eq!(runs.phases(IDEMPOTENT, 0), [Phase::Running]);
    assert_eq!(runs.phases(ONCE, 0), [Phase::Running]);
}
