//! Entry instances of one failure domain that do not hear each other.

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;

use super::site::{HALL, Runs, callers, owner, started_on};
use super::work::{Work, await_state, submit_until_accepted};
use crate::harness::{Plan, eventually};

// The network between two instances breaks while the owner is paused, and both still reach the log
// and the workers. The other one claims the domain. When the owner wakes, no heartbeat can tell it
// so: only the workers and the log can. The user's tasks each run once, whoever answers.
#[test]
fn instances_cut_from_each_other() {
    let plan =
        Plan { entries: 2, workers: 2, proxied: true, peers_proxied: true, ..Plan::default() };
    let cluster = plan.start();
    let everyone = callers(&cluster, HALL, &[]);
    let (first, epoch) = owner(&cluster, HALL, &[]);
    submit_until_accepted(&everyone, "before", &Work::once(6_000));
    started_on(&cluster, "before");
    cluster.switch(Mode::CutBoth, |route| route.contains("/entry/"));
    cluster.entries[first].process.freeze();
    assert_ne!(owner(&cluster, HALL, &[first]).1, epoch);
    cluster.entries[first].process.thaw();
    eventually("the first owner steps down", || {
        let output = cluster.entries[first].process.output();
        output.contains("event=owner.stepped_down").then_some(())
    });
    let keys: Vec<String> = (0..20).map(|number| format!("cut-{number}")).collect();
    for (number, key) in keys.iter().enumerate() {
        let work = if number % 2 == 0 { Work::once(100) } else { Work::batch(100) };
        submit_until_accepted(&everyone, key, &work);
    }
    await_state(&everyone, &keys, State::Succeeded);
    cluster.switch(Mode::Pass, |route| route.contains("/entry/"));
    await_state(&everyone, [&"before".to_owned()], State::Succeeded);
    let runs = Runs::of(&cluster);
    runs.assert_started_once("before");
    keys.iter().for_each(|key| runs.assert_started_once(key));
}
