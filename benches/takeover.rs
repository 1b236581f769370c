//! Time from the death of a failure domain's owner to the next start of a task on a worker.
//!
//! Runs real processes on loopback with default settings: three entry instances, two workers, and
//! more tasks than the workers have capacity for. Each trial kills the owner, waits until its
//! successor starts a task, and restarts the killed instance.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriolefork::api::wire::status::Status;
use oriolefork::clock::{Unix, millis};
use oriolefork::standin::worker::Snapshot;
use process::harness::{Cluster, Plan, eventually, get, get_json, request};
use serde_json::json;
use ureq::http::Method;

#[path = "../tests/process"]
#[allow(unused_imports, reason = "a bench uses a part of the harness")]
mod process {
    pub mod harness;
}

const TRIALS: usize = 10;
/// Number of tasks submitted for one trial; they keep the workers busy for longer than any
/// takeover.
const TASKS: u32 = 800;
/// Duration of each task in milliseconds.
const RUN_MS: u64 = 100;
/// Time within which the last commands of the killed owner have started their tasks.
const IN_FLIGHT: Duration = Duration::from_millis(100);

fn main() {
    let mut cluster = Plan { entries: 3, workers: 2, ..Plan::default() }.start();
    let mut spans: Vec<u64> = (0..TRIALS).map(|trial| measure(&mut cluster, trial)).collect();
    spans.sort_unstable();
    println!(
        "kill to next start over {TRIALS} trials, ms: min {} median {} max {}",
        spans[0],
        spans[TRIALS / 2],
        spans[TRIALS - 1]
    );
}

fn measure(cluster: &mut Cluster, trial: usize) -> u64 {
    let killed = owner(cluster, None);
    submit(cluster.entries[killed].place.api, &format!("trial-{trial}"));
    eventually("tasks run", || (running(cluster) > 0).then_some(()));
    let name = cluster.entries[killed].place.name.clone();
    let at = now();
    cluster.entries[killed].process.kill();
    let started = eventually("a task is started", || first_start(cluster, at.after(IN_FLIGHT)));
    let span = millis(started.since(at));
    let successor = owner(cluster, Some(killed));
    println!("trial {trial}: {span} ms, {name} to {}", cluster.entries[successor].place.name);
    cluster.entries[killed].process.restart();
    cluster.entries[killed].wait_ready();
    eventually("all tasks have ended", || idle(cluster, successor).then_some(()));
    cluster.runs();
    span
}

fn now() -> Unix {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    Unix::from_millis(millis(since))
}

fn states(cluster: &Cluster) -> impl Iterator<Item = Snapshot> {
    cluster.workers.iter().map(|worker| get_json(worker.standin.addr, "/v1/state"))
}

fn running(cluster: &Cluster) -> usize {
    states(cluster).map(|state| state.running).sum()
}

fn first_start(cluster: &Cluster, after: Unix) -> Option<Unix> {
    let starts = states(cluster).flat_map(|state| state.runs).map(|run| run.started);
    starts.filter(|started| *started > after).min()
}

fn status(addr: SocketAddr) -> Option<Status> {
    Some(get(addr, "/v1/status").ok().filter(|reply| reply.status == 200)?.json())
}

fn owner(cluster: &Cluster, without: Option<usize>) -> usize {
    eventually("an owner", || {
        let entries = cluster.entries.iter().enumerate();
        let mut asked = entries.filter(|(index, _)| Some(*index) != without);
        asked.find_map(|(index, entry)| {
            let status = status(entry.place.api)?;
            let seen = status.domains.first()?;
            let here = seen.owner.as_deref() == Some(entry.place.name.as_str());
            (here && seen.workers.live == 2).then_some(index)
        })
    })
}

fn idle(cluster: &Cluster, owner: usize) -> bool {
    let load = status(cluster.entries[owner].place.api).map(|status| status.domains[0].load);
    load.is_some_and(|load| load.pending_tasks + load.running_tasks == 0)
}

fn submit(addr: SocketAddr, key: &str) {
    let spec = json!({
        "name": "takeover",
        "team": "council",
        "kind": "batch",
        "tasks": TASKS,
        "demand": { "cpu-millis": 500, "memory-mib": 16 },
        "payload": json!({ "run_ms": RUN_MS }).to_string(),
    });
    let body = spec.to_string();
    let headers = [("idempotency-key", key)];
    let path = "/v1/jobs";
    let reply = request(Method::POST, addr, path, &headers, body.as_bytes());
    let reply = reply.expect("an answer");
    assert_eq!(reply.status / 100, 2, "{}", String::from_utf8_lossy(&reply.body));
}
