//! Jobs submitted, looked up and cancelled through any failure domain.

use std::thread;

use oriolefork::standin::proxy::Mode;
use serde_json::{Value, json};

use crate::harness::{Cluster, Plan, Reply, eventually, get_json, post};

const DOMAINS: [&str; 3] = ["oamaru-hall", "kurow-hall", "palmerston-hall"];

fn start(proxied: bool) -> Cluster {
    let domains = DOMAINS.to_vec();
    let cluster = Plan { domains, entries: 1, workers: 1, proxied, ..Plan::default() }.start();
    for entry in &cluster.entries {
        eventually("every domain has an owner", || {
            let status: Value = get_json(entry.place.api, "/v1/status");
            let domains = status["domains"].as_array().expect("domains").clone();
            let owned = domains.iter().filter(|domain| domain["owner"].is_string()).count();
            (owned == DOMAINS.len()).then_some(())
        });
    }
    cluster
}

fn job(run_ms: u64) -> Value {
    json!({
        "name": "renewal", "team": "shop", "kind": "batch", "tasks": 1, "effect": "at-most-once",
        "demand": { "cpu-millis": 500, "memory-mib": 64 },
        "payload": json!({ "run_ms": run_ms, "end": "succeeded" }).to_string(),
    })
}

fn submit(cluster: &Cluster, entry: usize, key: &str, job: &Value) -> Reply {
    cluster.entries[entry].submit(key, job).expect("an answer")
}

fn submit_until_accepted(cluster: &Cluster, entry: usize, key: &str, job: &Value) -> Value {
    eventually("the job is accepted", || {
        let reply = submit(cluster, entry, key, job);
        (reply.status / 100 == 2).then(|| reply.json())
    })
}

fn await_state(cluster: &Cluster, entry: usize, id: &str, state: &str) {
    eventually(state, || {
        let reply = cluster.entries[entry].job(id).expect("an answer");
        (reply.status == 200 && reply.json::<Value>()["state"] == state).then_some(())
    });
}

// A client submits a renewal, loses the answer and asks the balancer again, which picks another
// failure domain each time. All submissions are told the same job, and it runs once in one domain.
#[test]
fn submit_same_key_through_every_domain_runs_once() {
    let cluster = start(false);
    let ids: Vec<Value> = thread::scope(|scope| {
        let submit = |entry| submit_until_accepted(&cluster, entry, "renew-7", &job(50));
        let racers: Vec<_> = (0..DOMAINS.len())
            .map(|entry| scope.spawn(move || submit(entry)["job"].clone()))
            .collect();
        racers.into_iter().map(|racer| racer.join().expect("a racer")).collect()
    });
    let id = ids[0].as_str().expect("an id");
    assert!(ids.iter().all(|other| other == id), "{ids:?}");
    for entry in 0..DOMAINS.len() {
        await_state(&cluster, entry, id, "succeeded");
    }
    assert_eq!(submit_until_accepted(&cluster, 1, "renew-7", &job(50))["duplicate"], true);
    assert_eq!(cluster.runs().len(), 1);
    let other = submit(&cluster, 2, "renew-7", &job(60));
    assert_eq!(other.json::<Value>()["reason"], "key-reused");
}

// An operator in one failure domain cancels a job that another domain has taken.
#[test]
fn cancel_job_of_another_domain() {
    let cluster = start(false);
    let accepted = submit_until_accepted(&cluster, 0, "long", &job(600_000));
    let id = accepted["job"].as_str().expect("an id");
    await_state(&cluster, 1, id, "running");
    let explained: Value =
        get_json(cluster.entries[2].place.api, &format!("/v1/jobs/{id}/explanation"));
    assert_eq!(explained["state"], "running");
    eventually("the cancellation is accepted", || {
        let path = format!("/v1/jobs/{id}/cancel");
        let reply = post(cluster.entries[1].place.api, &path, b"{}").ok()?;
        (reply.status == 200).then_some(())
    });
    await_state(&cluster, 2, id, "cancelled");
}

// The failure domain that took a renewal is cut off. The client's retry through another domain must
// not start it there; once the domain is back, the retry is told the first job.
#[test]
fn submit_again_while_first_domain_is_cut_off() {
    let cluster = start(true);
    let first = submit_until_accepted(&cluster, 0, "renew-8", &job(50));
    await_state(&cluster, 0, first["job"].as_str().expect("an id"), "succeeded");
    cluster.switch_domain(DOMAINS[0], Mode::CutBoth);
    let reply = submit(&cluster, 1, "renew-8", &job(50));
    // The record that the first domain has the job may have reached the log before the cut.
    let told: Value = reply.json();
    assert!(told["ran"] != Value::Null || told["duplicate"] == true, "{told}");
    cluster.switch_domain(DOMAINS[0], Mode::Pass);
    let again = submit_until_accepted(&cluster, 1, "renew-8", &job(50));
    assert_eq!(again["job"], first["job"]);
    assert_eq!(cluster.runs().len(), 1);
}

// The platform's log is down for every failure domain. Nobody could tell whether another domain has
// the key, so the submission is refused, and what is told "not run" does not run later.
#[test]
fn submit_without_log_is_not_run() {
    let cluster = start(true);
    cluster.switch(Mode::Refuse, |route| route.ends_with("/log/log"));
    let told: Value = submit(&cluster, 0, "renew-9", &job(50)).json();
    assert_eq!(told["ran"], "not-run", "{told}");
    cluster.switch(Mode::Pass, |route| route.ends_with("/log/log"));
    // A job that is accepted afterwards shows that the domain works again.
    let next = submit_until_accepted(&cluster, 0, "renew-10", &job(50));
    await_state(&cluster, 0, next["job"].as_str().expect("an id"), "succeeded");
    assert_eq!(cluster.runs().len(), 1);
}
