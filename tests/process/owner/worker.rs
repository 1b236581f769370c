//! Workers that die or cannot be reached.

use oriolefork::api::view::alert::Kind;
use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;
use oriolefork::task::{End, Phase};

use super::site::{HALL, Runs, callers, owner, short_lease, started_on};
use super::work::{Work, await_alert, await_state, cancel_until_accepted, submit_until_accepted};
use crate::harness::{Cluster, Plan, eventually};

const IDEMPOTENT: &str = "idempotent";
const ONCE: &str = "once";

fn plan() -> Plan {
    short_lease(2, 4)
}

/// Starts an idempotent and an at-most-once task that do not end, and returns their workers.
fn start(cluster: &Cluster) -> [usize; 2] {
    let everyone = callers(cluster, HALL, &[]);
    owner(cluster, HALL, &[]);
    submit_until_accepted(&everyone, IDEMPOTENT, &Work::batch(600_000));
    submit_until_accepted(&everyone, ONCE, &Work::once(600_000));
    [IDEMPOTENT, ONCE].map(|key| started_on(cluster, key))
}

fn reruns(cluster: &Cluster) -> Option<()> {
    let runs = Runs::of(cluster);
    matches!(runs.phases(IDEMPOTENT, 0), [first, Phase::Running] if *first != Phase::Running)
        .then_some(())
}

// A worker's machine restarts under its tasks. The user's idempotent task is started anew. The
// renewal, which may run once only, is not: nobody knows how far it came, and a person is told.
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
    let everyone = callers(&cluster, HALL, &[]);
    eventually("the idempotent task runs again", || {
        let runs = Runs::of(&cluster);
        matches!(runs.phases(IDEMPOTENT, 0), [_, Phase::Running]).then_some(())
    });
    await_alert(&everyone, Kind::Uncertain, ONCE);
    let runs = Runs::of(&cluster);
    assert_eq!(runs.phases(ONCE, 0).len(), 1);
}

// The owner can no longer reach a worker on which tasks run. It cannot know whether they still do,
// until their leases have surely lapsed: only then does the idempotent task start elsewhere. The
// renewal is shown as uncertain and is never started again. Once the worker is back and says that
// it stopped the renewal, the job has failed, and a person is told.
#[test]
fn worker_cut_off_until_lapse() {
    let cluster = plan().start();
    let cut = start(&cluster);
    let ways = cut.map(|worker| format!("{HALL}/worker/{HALL}-worker-{worker}"));
    cluster.switch(Mode::CutBoth, |route| ways.iter().any(|way| way == route));
    let everyone = callers(&cluster, HALL, &[]);
    eventually("the idempotent task runs elsewhere", || reruns(&cluster));
    await_state(&everyone, [&ONCE.to_owned()], State::Uncertain);
    await_alert(&everyone, Kind::Uncertain, ONCE);
    cluster.switch(Mode::Pass, |route| ways.iter().any(|way| way == route));
    owner(&cluster, HALL, &[]);
    cancel_until_accepted(&everyone, IDEMPOTENT);
    await_state(&everyone, [&IDEMPOTENT.to_owned()], State::Cancelled);
    await_state(&everyone, [&ONCE.to_owned()], State::Failed);
    await_alert(&everyone, Kind::Lost, ONCE);
    let runs = Runs::of(&cluster);
    let lapsed = Phase::Ended(End::Lapsed);
    assert_eq!(runs.phases(IDEMPOTENT, 0), [lapsed, Phase::Ended(End::Stopped)]);
    assert_eq!(runs.phases(ONCE, 0), [lapsed]);
}

// The way to a worker breaks for less than a lease. The user sees nothing of it: the tasks go on
// where they are, and nothing is started a second time.
#[test]
fn worker_cut_off_briefly() {
    let cluster = plan().start();
    let cut = start(&cluster);
    let ways = cut.map(|worker| format!("{HALL}/worker/{HALL}-worker-{worker}"));
    cluster.switch(Mode::Refuse, |route| ways.iter().any(|way| way == route));
    cluster.switch(Mode::Pass, |route| ways.iter().any(|way| way == route));
    owner(&cluster, HALL, &[]);
    let runs = Runs::of(&cluster);
    assert_eq!(runs.phases(IDEMPOTENT, 0), [Phase::Running]);
    assert_eq!(runs.phases(ONCE, 0), [Phase::Running]);
}
