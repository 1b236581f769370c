//! Outages of the platform's log, and lost responses of it.

use std::net::SocketAddr;

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;
use oriolefork::task::{End, Phase};
use serde_json::json;
use test_case::test_case;

use super::site::{DOMAIN, Runs, api_addrs, await_owner, await_start, short_lease};
use super::work::{SubmitOutcome, Work, await_state, submit, submit_until_accepted};
use crate::harness::{Cluster, eventually, post_json};

/// How the log fails.
#[derive(Clone, Copy, Debug)]
enum Outage {
    Answers503,
    Network(Mode),
}

impl Outage {
    fn begin(self, cluster: &Cluster) {
        match self {
            Self::Answers503 => {
                post_json(cluster.log.addr, "/control", &json!({ "outage": true }));
            }
            Self::Network(mode) => cluster.switch(mode, |route| route.ends_with("/log/log")),
        }
    }

    fn end(self, cluster: &Cluster) {
        match self {
            Self::Answers503 => {
                post_json(cluster.log.addr, "/control", &json!({ "outage": false }));
            }
            Self::Network(_) => cluster.switch(Mode::Pass, |route| route.ends_with("/log/log")),
        }
    }
}

fn succeeded_at_worker(cluster: &Cluster, key: &str) -> Option<()> {
    let runs = Runs::of(cluster);
    (runs.phases(key, 0) == [Phase::Ended(End::Succeeded)]).then_some(())
}

/// Submits a job under each key once, and returns the outcome of each submission.
fn submit_each(addrs: &[SocketAddr], keys: &[String]) -> Vec<(String, SubmitOutcome)> {
    let mut targets = addrs.iter().cycle();
    let mut submit = |key: &String| {
        let addr = targets.next().expect("an address");
        (key.clone(), submit(*addr, key, &Work::once(100)))
    };
    keys.iter().map(&mut submit).collect()
}

// The log is unreachable for longer than a lease while tasks run. The tasks still run to their end.
// New submissions are refused as not run or their outcome is unknown. A refused submission never
// runs; one with an unknown outcome, submitted again after the outage, leads to a single job.
#[test_case(Outage::Answers503 ; "answers_503")]
#[test_case(Outage::Network(Mode::Refuse) ; "refuses")]
#[test_case(Outage::Network(Mode::CutBoth) ; "cut")]
fn log_away(outage: Outage) {
    let cluster = short_lease(2, 2).start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    await_owner(&cluster, DOMAIN, &[]);
    let running = ["running-batch".to_owned(), "running-once".to_owned()];
    for (key, work) in running.iter().zip([Work::batch(7_000), Work::once(7_000)]) {
        submit_until_accepted(&addrs, key, &work);
        await_start(&cluster, key);
    }
    outage.begin(&cluster);
    let keys: Vec<String> = (0..4).map(|number| format!("during-{number}")).collect();
    let outcomes = submit_each(&addrs, &keys);
    for key in &running {
        eventually("the task ends during the outage", || succeeded_at_worker(&cluster, key));
    }
    outage.end(&cluster);
    submit_until_accepted(&addrs, "after", &Work::batch(100));
    await_state(&addrs, ["after".to_owned()].iter().chain(&running), State::Succeeded);
    for (key, outcome) in &outcomes {
        if *outcome != SubmitOutcome::NotRun {
            submit_until_accepted(&addrs, key, &Work::once(100));
            await_state(&addrs, [key], State::Succeeded);
        }
    }
    let runs = Runs::of(&cluster);
    running.iter().for_each(|key| runs.assert_started_once(key));
    for (key, outcome) in &outcomes {
        match outcome {
            SubmitOutcome::NotRun => runs.assert_never_started(key),
            _ => runs.assert_started_once(key),
        }
    }
}

// The log becomes unreachable, then the owner crashes. No instance can claim the domain in the log,
// but running tasks outlive their leases because another instance renews them at the workers. Once
// the log is back, the domain has an owner again and no task has run twice.
#[test]
fn log_away_and_owner_killed() {
    let mut cluster = short_lease(3, 2).start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    let (killed, _) = await_owner(&cluster, DOMAIN, &[]);
    let running = ["running-batch".to_owned(), "running-once".to_owned()];
    for (key, work) in running.iter().zip([Work::batch(12_000), Work::once(12_000)]) {
        submit_until_accepted(&addrs, key, &work);
        await_start(&cluster, key);
    }
    Outage::Answers503.begin(&cluster);
    cluster.entries[killed].process.kill();
    let remaining = api_addrs(&cluster, DOMAIN, &[killed]);
    assert_ne!(
        submit(remaining[0], "during", &Work::once(100)),
        SubmitOutcome::Accepted { duplicate: false }
    );
    for key in &running {
        eventually("the task ends during the outage", || succeeded_at_worker(&cluster, key));
    }
    Outage::Answers503.end(&cluster);
    submit_until_accepted(&remaining, "after", &Work::once(100));
    let after = ["after".to_owned()];
    await_state(&remaining, running.iter().chain(&after), State::Succeeded);
    let runs = Runs::of(&cluster);
    running.iter().chain(&after).for_each(|key| runs.assert_started_once(key));
}

// The log writes the record of a submission but its response is lost, so the caller's response is
// late or the outcome unknown. The caller submits again under the same key, also at another
// instance. All submissions lead to a single job, which runs once.
#[test]
fn log_answer_lost_while_submitting() {
    let cluster = short_lease(2, 1).start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    await_owner(&cluster, DOMAIN, &[]);
    let keys: Vec<String> = (0..3).map(|number| format!("lost-{number}")).collect();
    for key in &keys {
        post_json(cluster.log.addr, "/control", &json!({ "drop_answers": 2 }));
        submit(addrs[0], key, &Work::once(100));
        submit_until_accepted(&addrs, key, &Work::once(100));
        let again = submit(addrs[1], key, &Work::once(100));
        assert_eq!(again, SubmitOutcome::Accepted { duplicate: true });
    }
    await_state(&addrs, &keys, State::Succeeded);
    let runs = Runs::of(&cluster);
    keys.iter().for_each(|key| runs.assert_started_once(key));
}

// The connection to the log breaks at each response, so that every append takes effect but none is
// confirmed. Submissions are never accepted: they are refused as not run, or their outcome is
// unknown if their record may lead to a start. Once the network works again, each key with an
// unknown outcome that is submitted again leads to one job that runs once; the other jobs never
// start.
#[test]
fn log_answers_dropped_by_network() {
    let cluster = short_lease(2, 1).start();
    let addrs = api_addrs(&cluster, DOMAIN, &[]);
    await_owner(&cluster, DOMAIN, &[]);
    let keys: Vec<String> = (0..4).map(|number| format!("dropped-{number}")).collect();
    Outage::Network(Mode::DropAnswer).begin(&cluster);
    let outcomes = submit_each(&addrs, &keys);
    Outage::Network(Mode::DropAnswer).end(&cluster);
    let unaccepted = outcomes
        .iter()
        .filter(|(_, outcome)| matches!(outcome, SubmitOutcome::NotRun | SubmitOutcome::Unknown));
    assert_eq!(unaccepted.count(), keys.len(), "{outcomes:?}");
    for (key, outcome) in &outcomes {
        if *outcome != SubmitOutcome::NotRun {
            submit_until_accepted(&addrs, key, &Work::once(100));
            await_state(&addrs, [key], State::Succeeded);
        }
    }
    submit_until_accepted(&addrs, "after", &Work::once(100));
    await_state(&addrs, [&"after".to_owned()], State::Succeeded);
    let runs = Runs::of(&cluster);
    for (key, outcome) in &outcomes {
        match outcome {
            SubmitOutcome::NotRun => runs.assert_never_started(key),
            _ => runs.assert_started_once(key),
        }
    }
}
