//! Crash of an owner.

use std::net::SocketAddr;

use oriolefork::api::view::job::State;
use oriolefork::standin::proxy::Mode;

use super::site::{DOMAIN, Runs, api_addrs, await_owner, await_start};
use super::work::{Work, await_state, cancel_until_accepted, submit_until_accepted};
use crate::harness::{Cluster, Plan};

const DOMAINS: [&str; 3] = [DOMAIN, "kurow-hall", "palmerston-hall"];

/// A job to submit to one failure domain.
struct Submission {
    key: String,
    domain: &'static str,
    work: Work,
    tasks: u32,
}

fn submissions(wave: &str, run_ms: u64) -> Vec<Submission> {
    let works = [
        ("batch", Work::batch(run_ms).tasks(3), 3),
        ("once", Work::once(run_ms), 1),
        ("gang", Work::gang(run_ms, 3), 3),
        ("serve", Work::long_running(), 1),
    ];
    let of = |domain: &'static str| {
        works.map(|(kind, work, tasks)| {
            let key = format!("{wave}-{domain}-{kind}");
            Submission { key, domain, work, tasks }
        })
    };
    DOMAINS.into_iter().flat_map(of).collect()
}

fn submit_all(cluster: &Cluster, submissions: &[Submission], dead: &[usize]) {
    for submission in submissions {
        submit_until_accepted(
            &api_addrs(cluster, submission.domain, dead),
            &submission.key,
            &submission.work,
        );
    }
}

fn finish(addrs: &[SocketAddr], submission: &Submission) {
    if submission.key.ends_with("serve") {
        await_state(addrs, [&submission.key], State::Running);
        cancel_until_accepted(addrs, &submission.key);
        await_state(addrs, [&submission.key], State::Cancelled);
    } else {
        await_state(addrs, [&submission.key], State::Succeeded);
    }
}

// The owner of the first of three failure domains is killed while jobs of every kind run, wait and
// are being submitted. Another instance takes over, every accepted job ends, and each task succeeds
// exactly once.
#[test]
fn owner_killed() {
    let plan = Plan {
        domains: DOMAINS.to_vec(),
        entries: 3,
        workers: 2,
        proxied: true,
        ..Plan::default()
    };
    let mut cluster = plan.start();
    cluster.switch(Mode::Delay(1), |_| true);
    let first = submissions("first", 2_500);
    submit_all(&cluster, &first, &[]);
    for submission in &first {
        await_start(&cluster, &submission.key);
    }
    let (killed, epoch) = await_owner(&cluster, DOMAIN, &[]);
    cluster.entries[killed].process.kill();
    let second = submissions("second", 300);
    submit_all(&cluster, &second, &[killed]);
    assert_ne!(await_owner(&cluster, DOMAIN, &[killed]).1, epoch);
    for submission in first.iter().chain(&second) {
        finish(&api_addrs(&cluster, submission.domain, &[killed]), submission);
    }
    let runs = Runs::of(&cluster);
    for submission in first.iter().chain(&second) {
        match submission.key.rsplit('-').next() {
            Some("once") => runs.assert_started_once(&submission.key),
            Some("serve") => {}
            _ => runs.assert_done_once(&submission.key, submission.tasks),
        }
    }
}
