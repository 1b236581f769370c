//! The command against the real daemon with stand-ins for the platform and the workers.

use std::net::SocketAddr;

use serde_json::Value;

use super::entry::forget_answer;
use super::{JOB, code, json, run};
use crate::harness::{Cluster, Plan, eventually};

const PAYLOAD: &str = r#"{"run_ms":50,"end":"succeeded"}"#;

fn start(entries: usize) -> Cluster {
    Plan { entries, workers: 2, ..Plan::default() }.start()
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.entries.iter().map(|entry| entry.place.api).collect()
}

/// Submits a job that runs for a moment and waits for its end.
fn submit(entries: &[SocketAddr], key: &str) -> Value {
    let more = ["--json", "--timeout", "60s", "--key", key, "--payload", PAYLOAD, "--wait", "60s"];
    let output = run(entries, &[&JOB[..], &more].concat());
    assert_eq!(code(&output), 0, "{output:?}");
    json(&output)
}

fn status(entries: &[SocketAddr]) -> Value {
    json(&run(entries, &["--json", "status"]))["domains"][0].clone()
}

/// The entry instance that owns the failure domain.
fn owner(cluster: &Cluster) -> usize {
    let entries = addresses(cluster);
    eventually("the failure domain has an owner", || {
        let owner = status(&entries)["owner"].as_str()?.to_owned();
        cluster.entries.iter().position(|entry| owner.starts_with(&entry.place.name))
    })
}

#[test]
fn submit_runs_once() {
    let cluster = start(1);
    let entries = addresses(&cluster);
    let job = submit(&entries, "k1");
    assert_eq!(
        (&job["state"], &job["task-list"][0]["state"]),
        (&"succeeded".into(), &"succeeded".into())
    );
    let again = submit(&entries, "k1");
    assert_eq!(job["id"], again["id"]);
    assert_eq!(cluster.runs().len(), 1);
    assert_eq!(status(&entries)["workers"]["live"], 2);
}

// The first of the instances that an operator has named is killed. The command goes on to the
// next, and the job runs once.
#[test]
fn submit_first_entry_killed() {
    let mut cluster = start(2);
    let entries = addresses(&cluster);
    cluster.entries[0].process.kill();
    let job = submit(&entries, "k1");
    assert_eq!(job["state"], "succeeded");
    assert_eq!(cluster.runs().len(), 1);
}

// The owner of the failure domain is killed. The instance that is left refuses until it has taken
// over; the command waits for that, and the job runs once.
#[test]
fn submit_owner_killed() {
    let mut cluster = start(2);
    let entries = addresses(&cluster);
    submit(&entries, "k1");
    let owner = owner(&cluster);
    cluster.entries[owner].process.kill();
    submit(&entries, "k2");
    let again = submit(&entries, "k1");
    assert_eq!(again["state"], "succeeded");
    assert_eq!(cluster.runs().len(), 2);
}

// The answer to a submission is lost on its way. The command repeats it with the same key at the
// other instance of the domain, which names the same job. The job runs once.
#[test]
fn submit_answer_lost() {
    let cluster = start(2);
    let entries = addresses(&cluster);
    let mute = forget_answer(entries[0], "POST /v1/jobs");
    let job = submit(&[mute, entries[1]], "k1");
    assert_eq!(job["state"], "succeeded");
    let jobs = json(&run(&entries, &["--json", "jobs"]));
    assert_eq!(jobs["items"].as_array().unwrap().len(), 1);
    assert_eq!(cluster.runs().len(), 1);
}
