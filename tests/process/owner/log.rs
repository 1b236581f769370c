//! The platform's log is away, or its answers are.

use std::net::SocketAddr;

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;
use oriolefork::task::{End, Phase};
use serde_json::json;
use test_case::test_case;

use super::site::{HALL, Runs, callers, owner, short_lease, started_on};
use super::work::{Said, Work, await_state, submit, submit_until_accepted};
use crate::harness::{Cluster, eventually, post_json};

/// How the log goes away.
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

fn ended_at_worker(cluster: &Cluster, key: &str) -> Option<()> {
    let runs = Runs::of(cluster);
    (runs.phases(key, 0) == [Phase::Ended(End::Succeeded)]).then_some(())
}

/// Submits each key once, and returns the keys by what was answered.
fn submit_each(addrs: &[SocketAddr], keys: &[String]) -> Vec<(String, Said)> {
    let mut ways = addrs.iter().cycle();
    let mut submit = |key: &String| {
        let addr = ways.next().expect("an address");
        (key.clone(), submit(*addr, key, &Work::once(100)))
    };
    keys.iter().map(&mut submit).collect()
}

// The log goes away for longer than a lease while tasks run. The user's tasks go on to their end.
// New submissions are refused as not run, or answered as unknown, and that is true: what was
// refused never runs. After the outage everything goes on, and unknown keys come to one job each.
#[test_case(Outage::Answers503 ; "answers_503")]
#[test_case(Outage::Network(Mode::Refuse) ; "refuses")]
#[test_case(Outage::Network(Mode::CutBoth) ; "cut")]
fn log_away(outage: Outage) {
    let cluster = short_lease(2, 2).start();
    let everyone = callers(&cluster, HALL, &[]);
    owner(&cluster, HALL, &[]);
    let running = ["running-batch".to_owned(), "running-once".to_owned()];
    for (key, work) in running.iter().zip([Work::batch(7_000), Work::once(7_000)]) {
        submit_until_accepted(&everyone, key, &work);
        started_on(&cluster, key);
    }
    outage.begin(&cluster);
    let keys: Vec<String> = (0..4).map(|number| format!("during-{number}")).collect();
    let heard = submit_each(&everyone, &keys);
    for key in &running {
        eventually("the task ends during the outage", || ended_at_worker(&cluster, key));
    }
    outage.end(&cluster);
    submit_until_accepted(&everyone, "after", &Work::batch(100));
    await_state(&everyone, ["after".to_owned()].iter().chain(&running), State::Succeeded);
    for (key, said) in &heard {
        if *said != Said::NotRun {
            submit_until_accepted(&everyone, key, &Work::once(100));
            await_state(&everyone, [key], State::Succeeded);
        }
    }
    let runs = Runs::of(&cluster);
    running.iter().for_each(|key| runs.assert_started_once(key));
    for (key, said) in &heard {
        match said {
            Said::NotRun => runs.assert_never_started(key),
            _ => runs.assert_started_once(key),
        }
    }
}

// The log goes away, and then the machine of the owner dies. Nobody can claim the domain, yet the
// user's tasks run on past their leases, because another instance keeps them alive at the workers.
// Once the log is back the domain has an owner again and nothing has run twice.
#[test]
fn log_away_and_owner_killed() {
    let mut cluster = short_lease(3, 2).start();
    let everyone = callers(&cluster, HALL, &[]);
    let (killed, _) = owner(&cluster, HALL, &[]);
    let running = ["running-batch".to_owned(), "running-once".to_owned()];
    for (key, work) in running.iter().zip([Work::batch(12_000), Work::once(12_000)]) {
        submit_until_accepted(&everyone, key, &work);
        started_on(&cluster, key);
    }
    Outage::Answers503.begin(&cluster);
    cluster.entries[killed].process.kill();
    let rest = callers(&cluster, HALL, &[killed]);
    assert_ne!(submit(rest[0], "during", &Work::once(100)), Said::Accepted { duplicate: false });
    for key in &running {
        eventually("the task ends during the outage", || ended_at_worker(&cluster, key));
    }
    Outage::Answers503.end(&cluster);
    submit_until_accepted(&rest, "after", &Work::once(100));
    let after = ["after".to_owned()];
    await_state(&rest, running.iter().chain(&after), State::Succeeded);
    let runs = Runs::of(&cluster);
    running.iter().chain(&after).for_each(|key| runs.assert_started_once(key));
}

// The log writes the record of a submission but its answer is lost. The caller hears late or that
// the outcome is unknown, and submits again under the same key, at another instance too. All the
// answers mean the same one job, which runs once.
#[test]
fn log_answer_lost_while_submitting() {
    let cluster = short_lease(2, 1).start();
    let everyone = callers(&cluster, HALL, &[]);
    owner(&cluster, HALL, &[]);
    let keys: Vec<String> = (0..3).map(|number| format!("lost-{number}")).collect();
    for key in &keys {
        post_json(cluster.log.addr, "/control", &json!({ "drop_answers": 2 }));
        submit(everyone[0], key, &Work::once(100));
        submit_until_accepted(&everyone, key, &Work::once(100));
        let again = submit(everyone[1], key, &Work::once(100));
        assert_eq!(again, Said::Accepted { duplicate: true });
    }
    await_state(&everyone, &keys, State::Succeeded);
    let runs = Runs::of(&cluster);
    keys.iter().for_each(|key| runs.assert_started_once(key));
}

// The way to the log breaks each time the log answers, so that every append takes effect and none
// is known to. Submissions under way are answered as not run, or as unknown when their record may
// lead to a start, and never as accepted; after the network is mended each key that is submitted
// again stands for one job that ran once, and the others never start.
#[test]
fn log_answers_dropped_by_network() {
    let cluster = short_lease(2, 1).start();
    let everyone = callers(&cluster, HALL, &[]);
    owner(&cluster, HALL, &[]);
    let keys: Vec<String> = (0..4).map(|number| format!("dropped-{number}")).collect();
    Outage::Network(Mode::DropAnswer).begin(&cluster);
    let heard = submit_each(&everyone, &keys);
    Outage::Network(Mode::DropAnswer).end(&cluster);
    let known = heard.iter().filter(|(_, said)| matches!(said, Said::NotRun | Said::Unknown));
    assert_eq!(known.count(), keys.len(), "{heard:?}");
    for (key, said) in &heard {
        if *said != Said::NotRun {
            submit_until_accepted(&everyone, key, &Work::once(100));
            await_state(&everyone, [key], State::Succeeded);
        }
    }
    submit_until_accepted(&everyone, "after", &Work::once(100));
    await_state(&everyone, [&"after".to_owned()], State::Succeeded);
    let runs = Runs::of(&cluster);
    for (key, said) in &heard {
        match said {
            Said::NotRun => runs.assert_never_started(key),
            _ => runs.assert_started_once(key),
        }
    }
}
