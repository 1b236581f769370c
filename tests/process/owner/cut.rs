//! A partition between the entry instances of one failure domain.

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;

use super::site::{DOMAIN, Runs, api_addrs, await_owner, await_start};
use super::work::{Work, await_state, submit_until_accepted};
use crate::harness::{Plan, eventually};

// Two instances are partitioned while the owner is paused; both still reach the log and the
// workers. The other instance claims the domain. When the old owner resumes, it receives no
// heartbeat, so it must step down because of what workers and log report. Each task runs once,
// whichever instance accepted it.
#[test]
fn instances_cut_from_each_other() {
    let plan =
        Plan { entries: 2, workers: 2, proxied: true, peers_proxied: true, ..Plan::default() };
    let cluster = plan.start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    let (first, epoch) = await_owner(&cluster, DOMAIN, &[]);
    submit_until_accepted(&addrs, "before", &Work::once(6_000));
    await_start(&cluster, "before");
    cluster.switch(Mode::CutBoth, |route| route.contains("/entry/"));
    cluster.entries[first].process.freeze();
    assert_ne!(await_owner(&cluster, DOMAIN, &[first]).1, epoch);
    cluster.entries[first].process.thaw();
    eventually("the first owner steps down", || {
        let output = cluster.entries[first].process.output();
        output.contains("event=owner.stepped_down").then_some(())
    });
    let keys: Vec<String> = (0..20).map(|number| format!("cut-{number}")).collect();
    for (number, key) in keys.iter().enumerate() {
        let work = if number % 2 == 0 { Work::once(100) } else { Work::batch(100) };
        submit_until_accepted(&addrs, key, &work);
    }
    await_state(&addrs, &keys, State::Succeeded);
    cluster.switch(Mode::Pass, |route| route.contains("/entry/"));
    await_state(&addrs, [&"before".to_owned()], State::Succeeded);
    let runs = Runs::of(&cluster);
    runs.assert_started_once("before");
    keys.iter().for_each(|key| runs.assert_started_once(key));
}
