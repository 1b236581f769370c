//! Quick requests that may run once only, through the daemons of two failure domains.

use std::time::{SystemTime, UNIX_EPOCH};

use oriolefork::standin::proxy::Mode;
use oriolefork::standin::runner::Snapshot;
use ureq::http::Method;

use crate::harness::{Cluster, Plan, Reply, eventually, get_json, request};

const DOMAINS: [&str; 2] = ["erie-hall", "huron-hall"];
const PATH: &str = "/v1/services/portal/requests";

/// A version 7 UUID made now.
fn key(number: u32) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    format!("{:012x}700080000000{number:08x}", now.as_millis())
}

fn send(cluster: &Cluster, entry: usize, headers: &[(&str, &str)], body: &[u8]) -> Reply {
    let place = &cluster.entries[entry].place;
    request(Method::POST, place.api, PATH, headers, body).expect("an answer")
}

fn ran(cluster: &Cluster) -> u64 {
    let state = |addr| get_json::<Snapshot>(addr, "/v1/state").requests;
    cluster.runners.iter().map(|runner| state(runner.standin.addr)).sum()
}

// A permission sync reaches a runner, whose answer is lost. The caller gets the answer that it
// may have run, and asks again with the same key through the other failure domain. It must not run
// twice.
#[test]
fn run_once_answer_lost_then_asked_in_another_domain() {
    let domains = DOMAINS.to_vec();
    let cluster =
        Plan { domains, entries: 1, runners: 1, proxied: true, ..Plan::default() }.start();
    for entry in 0..DOMAINS.len() {
        eventually("the domain answers requests", || {
            let reply = send(&cluster, entry, &[("x-effect", "idempotent")], b"first");
            (reply.status == 200).then_some(())
        });
    }
    let before = ran(&cluster);
    cluster.switch(Mode::DropAnswer, |route| route.contains("/runner/"));
    let key = key(1);
    let headers = [("x-effect", "at-most-once"), ("idempotency-key", key.as_str())];
    let lost = send(&cluster, 0, &headers, b"sync");
    assert_eq!(lost.headers["x-result"], "unknown", "{lost:?}");
    cluster.switch(Mode::Pass, |route| route.contains("/runner/"));
    let again = send(&cluster, 1, &headers, b"sync");
    assert_eq!(again.headers["x-result"], "unknown", "{again:?}");
    assert_eq!(ran(&cluster), before + 1);
}
