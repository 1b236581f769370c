//! Quick requests through the daemon: what its assembly promises to callers and runners.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use oriolefork::standin::runner::Snapshot;
use serde_json::{Value, json};
use ureq::http::Method;

use crate::harness::{Cluster, Place, Plan, Reply, eventually, get_json, request};

const DOMAIN: &str = "oamaru-hall";
const PATH: &str = "/v1/services/portal/requests";
const IDEMPOTENT: [(&str, &str); 1] = [("x-effect", "idempotent")];

fn start(latency: u64, queues: &Value) -> Cluster {
    start_with(2, latency, queues)
}

fn start_with(runners: usize, latency: u64, queues: &Value) -> Cluster {
    let runner_latency = Duration::from_millis(latency);
    let settings = json!({ "queues": queues });
    let plan = Plan { entries: 3, runners, runner_latency, settings, ..Plan::default() };
    let cluster = plan.start();
    let places: Vec<Place> = cluster.entries.iter().map(|entry| entry.place.clone()).collect();
    for place in places {
        eventually("the instance answers quick requests", || {
            send(&place, b"first").filter(|reply| reply.status == 200)
        });
    }
    cluster
}

fn send(place: &Place, body: &[u8]) -> Option<Reply> {
    request(Method::POST, place.api, PATH, &IDEMPOTENT, body).ok()
}

fn states(cluster: &Cluster) -> Vec<Snapshot> {
    cluster.runners.iter().map(|runner| get_json(runner.standin.addr, "/v1/state")).collect()
}

fn assert_within_slots(cluster: &Cluster) {
    for state in states(cluster) {
        assert_eq!(state.beyond_slots, 0, "{state:?}");
    }
}

// Three daemons of one domain send to the same two runners, each under more load than they have
// slots for. Callers get their own whole answers or are told to come back.
#[test]
fn daemon_shares_runners() {
    let cluster = start(20, &json!({ "request_restart_wait_ms": 0 }));
    thread::scope(|scope| {
        for entry in cluster.entries_of(DOMAIN) {
            for caller in 0..8 {
                scope.spawn(move || {
                    for number in 0..15 {
                        let body = format!("{} {caller} {number}", entry.place.name);
                        let reply = send(&entry.place, body.as_bytes()).expect("an answer");
                        assert!([200, 503].contains(&reply.status), "{reply:?}");
                        assert!(reply.status != 200 || reply.body == body.as_bytes());
                    }
                });
            }
        }
    });
    assert_within_slots(&cluster);
    let dump: Value = get_json(cluster.entries[0].place.api, "/dump");
    let runners = dump["requests"]["services"][0]["runners"].as_array().expect("runners");
    assert_eq!(runners.len(), 2);
    assert!(runners.iter().all(|runner| runner["standing"] == "good"), "{runners:?}");
}

// What feeds the platform's list breaks, and the list lacks every runner. They all still work, and
// callers must not be refused for want of them.
#[test]
fn daemon_empty_list_is_not_believed() {
    let cluster = start_with(4, 5, &json!({ "request_restart_wait_ms": 0 }));
    let entry = &cluster.entries[0];
    request(Method::PUT, cluster.lists[DOMAIN].addr, "/v1/instances", &[], b"[]").expect("a list");
    eventually("the instance doubts the list", || {
        entry.process.output().contains("event=membership.suspect").then_some(())
    });
    for _ in 0..20 {
        assert_eq!(send(&entry.place, b"work").expect("an answer").status, 200);
    }
}

// An operator stops an instance for maintenance while it has requests in flight. Their callers get
// whole answers, and the process ends by itself.
#[test]
fn daemon_terminated_cuts_no_request() {
    let mut cluster = start(400, &json!({ "request_restart_wait_ms": 0 }));
    let place = cluster.entries[1].place.clone();
    let replies = thread::scope(|scope| {
        let callers: Vec<_> = (0..4).map(|_| scope.spawn(|| send(&place, b"work"))).collect();
        eventually("requests run", || {
            let running: u32 = states(&cluster).iter().map(|state| state.in_flight).sum();
            (running == 4).then_some(())
        });
        cluster.entries[1].process.terminate();
        let replies = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        replies.collect::<Vec<_>>()
    });
    for reply in replies {
        let reply = reply.expect("a whole answer");
        assert_eq!((reply.status, reply.body.as_slice()), (200, b"work".as_slice()));
    }
    let ended = eventually("the instance ends", || cluster.entries[1].process.ended());
    assert!(ended.success(), "{ended:?}");
}

// An instance dies while runners work on its requests, and a new process takes its place at once.
// A runner with 8 slots must not get the new one's requests on top of those left behind.
#[test]
fn daemon_replaced_at_once_keeps_slots() {
    let mut cluster = start(300, &json!({ "request_run_ms": 1_000 }));
    let stop = AtomicBool::new(false);
    let places: Vec<Place> = cluster.entries.iter().map(|entry| entry.place.clone()).collect();
    thread::scope(|scope| {
        for place in places.iter().flat_map(|place| [place; 8]) {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    if send(place, b"work").is_none_or(|reply| reply.status != 200) {
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            });
        }
        eventually("both runners are busy", || {
            states(&cluster).iter().all(|state| state.in_flight >= 6).then_some(())
        });
        cluster.entries[2].process.restart();
        eventually("the new process sends requests", || {
            send(&places[2], b"again").filter(|reply| reply.status == 200)
        });
        stop.store(true, Ordering::Relaxed);
    });
    assert_within_slots(&cluster);
}
