//! Settings that operators change, through real daemons.

use std::thread;

use oriolefork::standin::proxy::Mode;
use serde_json::{Value, json};
use ureq::http::Method;

use crate::harness::{Cluster, Place, Plan, Reply, eventually, get_json, post, request};

const DOMAINS: [&str; 3] = ["oamaru-hall", "kurow-hall", "palmerston-hall"];
const PAYLOAD: &str = r#"{"run_ms":50,"end":"succeeded"}"#;

fn set_preset(place: &Place, preset: &str, based_on: u64) -> Reply {
    let body = json!({ "preset": preset, "based-on": based_on, "by": "ana" }).to_string();
    request(Method::PUT, place.api, "/v1/preset", &[], body.as_bytes()).expect("an answer")
}

fn preset(place: &Place) -> Value {
    get_json(place.api, "/v1/preset")
}

fn is_in_force(place: &Place, preset_name: &str) -> Option<()> {
    (preset(place)["current"]["preset"] == preset_name).then_some(())
}

fn status(place: &Place) -> Vec<Value> {
    let status: Value = get_json(place.api, "/v1/status");
    status["domains"].as_array().expect("domains").clone()
}

fn domain(place: &Place, name: &str) -> Value {
    let found = status(place).into_iter().find(|domain| domain["name"] == name);
    found.unwrap_or_else(|| panic!("no domain {name}"))
}

fn order(place: &Place, worker: &str, order: &str) -> Reply {
    let path = format!("/v1/workers/{worker}/{order}");
    post(place.api, &path, br#"{"by":"ana"}"#).expect("an answer")
}

fn job() -> Value {
    json!({
        "name": "backup", "team": "shop", "kind": "batch", "tasks": 1,
        "demand": { "cpu-millis": 500, "memory-mib": 64 }, "payload": PAYLOAD,
    })
}

/// Submits jobs and waits until all have succeeded.
fn run_jobs(cluster: &Cluster, entry: usize, keys: &[String]) {
    for key in keys {
        let reply = eventually("a job is accepted", || {
            let reply = cluster.entries[entry].submit(key, &job()).ok()?;
            assert!(reply.status != 400, "{}", String::from_utf8_lossy(&reply.body));
            (reply.status / 100 == 2).then_some(reply)
        });
        let id = reply.json::<Value>()["job"].as_str().expect("an id").to_owned();
        eventually("a job succeeds", || {
            let reply = cluster.entries[entry].job(&id).ok()?;
            (reply.status == 200 && reply.json::<Value>()["state"] == "succeeded").then_some(())
        });
    }
}

fn keys(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}-{number}")).collect()
}

// An operator puts the peak preset in force at one instance. Minutes later a colleague in another
// failure domain looks at the status there. Both must see the same preset, with who set it.
#[test]
fn set_preset_in_force_in_every_domain() {
    let cluster = Plan { domains: DOMAINS.to_vec(), entries: 1, ..Plan::default() }.start();
    let first = &cluster.entries[0].place;
    let reply = set_preset(first, "peak", 0);
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    for entry in &cluster.entries {
        eventually("the preset is in force", || is_in_force(&entry.place, "peak"));
        assert_eq!(preset(&entry.place)["current"]["by"], "ana");
    }
    eventually("the status shows it for every domain", || {
        let domains = status(first);
        assert_eq!(domains.len(), DOMAINS.len());
        domains.iter().all(|domain| domain["preset"]["preset"] == "peak").then_some(())
    });
}

// Two operators in two failure domains read version 0 and set another preset each at once. One of
// them wins everywhere; the other is told, and nothing of the lost change is ever in force.
#[test]
fn set_preset_race_has_one_winner() {
    let cluster = Plan { domains: DOMAINS.to_vec(), entries: 1, ..Plan::default() }.start();
    let wishes = ["peak", "maintenance"];
    let replies: Vec<Reply> = thread::scope(|scope| {
        let racers = wishes.iter().zip(&cluster.entries);
        let racers: Vec<_> =
            racers.map(|(wish, entry)| scope.spawn(|| set_preset(&entry.place, wish, 0))).collect();
        racers.into_iter().map(|racer| racer.join().expect("a racer")).collect()
    });
    let mut statuses: Vec<u16> = replies.iter().map(|reply| reply.status).collect();
    let winner = wishes[usize::from(statuses[0] != 200)];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{replies:?}");
    let loser = replies.iter().find(|reply| reply.status == 409).expect("a loser");
    assert_eq!(loser.json::<Value>()["reason"], "stale-version");
    for entry in &cluster.entries {
        eventually("the winner is in force", || is_in_force(&entry.place, winner));
        assert_eq!(preset(&entry.place)["version"], 1);
    }
}

// A failure domain loses the platform's log, but not the other domains. A preset set elsewhere
// meanwhile must be in force there too, or its operators would see and act by another one.
#[test]
fn set_preset_reaches_domain_without_log() {
    let plan = Plan { domains: DOMAINS.to_vec(), entries: 1, proxied: true, ..Plan::default() };
    let cluster = plan.start();
    cluster.switch(Mode::Refuse, |route| route == "kurow-hall/log/log");
    assert_eq!(set_preset(&cluster.entries[0].place, "maintenance", 0).status, 200);
    for entry in &cluster.entries {
        eventually("the preset is in force", || is_in_force(&entry.place, "maintenance"));
    }
}

// A failure domain is cut off from the other two and from the platform. The status elsewhere must
// go on showing it, with the age of what is known, so that a newcomer does not take it for fine.
#[test]
fn status_shows_age_of_cut_off_domain() {
    let plan = Plan { domains: DOMAINS.to_vec(), entries: 1, proxied: true, ..Plan::default() };
    let cluster = plan.start();
    let place = &cluster.entries[0].place;
    eventually("the domain has an owner", || {
        (!domain(place, "kurow-hall")["owner"].is_null()).then_some(())
    });
    cluster.switch_domain("kurow-hall", Mode::CutBoth);
    eventually("the domain's age shows", || {
        let domain = domain(place, "kurow-hall");
        assert!(domain["owner"].is_string(), "the last owner heard of still shows");
        (domain["heard-ms"].as_u64() > Some(2_000)).then_some(())
    });
    assert_eq!(domain(place, "palmerston-hall")["heard-ms"], 0);
    cluster.switch_domain("kurow-hall", Mode::Pass);
    eventually("the domain answers again", || {
        (domain(place, "kurow-hall")["heard-ms"] == 0).then_some(())
    });
}

// An operator drains a worker to open its case. Nothing may be started there afterwards, also not
// by an owner that takes over later, until the worker is put back in use.
#[test]
fn drain_stops_new_work_also_at_next_owner() {
    let mut cluster = Plan { entries: 2, workers: 2, ..Plan::default() }.start();
    let place = cluster.entries[1].place.clone();
    run_jobs(&cluster, 1, &keys("before", 1));
    let reply = order(&place, "worker-0", "drain");
    assert_eq!(reply.status, 200, "{}", String::from_utf8_lossy(&reply.body));
    assert_eq!(reply.json::<Value>()["state"], "draining");
    let starts = |cluster: &Cluster| cluster.worker_states()[0].runs.len();
    let drained = starts(&cluster);
    run_jobs(&cluster, 1, &keys("drained", 8));
    assert_eq!(starts(&cluster), drained);

    let owner = domain(&place, "oamaru-hall")["owner"].as_str().map(str::to_owned);
    let owner = owner.expect("an owner");
    let index = cluster.entries.iter().position(|entry| entry.place.name == owner);
    let owner = index.expect("an entry instance");
    cluster.entries[owner].process.kill();
    run_jobs(&cluster, 1 - owner, &keys("next-owner", 8));
    assert_eq!(starts(&cluster), drained);

    let left = cluster.entries[1 - owner].place.clone();
    assert_eq!(order(&left, "worker-0", "undrain").json::<Value>()["state"], "live");
    assert_eq!(order(&left, "worker-1", "drain").json::<Value>()["state"], "draining");
    run_jobs(&cluster, 1 - owner, &keys("back", 1));
    assert_eq!(starts(&cluster), drained + 1);
}

#[test]
fn drain_unknown_worker_refused() {
    let cluster = Plan { entries: 1, workers: 1, ..Plan::default() }.start();
    assert_eq!(order(&cluster.entries[0].place, "worker-9", "drain").status, 404);
}

// The list of instances is down while an instance starts, as after a power cut of a whole domain.
// The instance knows its peers from its settings, and learns the settings in force from them.
#[test]
fn start_without_list_or_log_learns_settings_from_peers() {
    let plan = Plan { domains: DOMAINS.to_vec(), entries: 1, proxied: true, ..Plan::default() };
    let mut cluster = plan.start();
    assert_eq!(set_preset(&cluster.entries[0].place, "peak", 0).status, 200);
    let lost = ["kurow-hall/log/log", "kurow-hall/list/list"];
    cluster.switch(Mode::Refuse, |route| lost.contains(&route));
    let index = cluster.entries.iter().position(|entry| entry.place.domain == "kurow-hall");
    let entry = &mut cluster.entries[index.expect("an entry instance")];
    entry.process.restart();
    eventually("the preset is in force", || {
        let reply = crate::harness::get(entry.place.api, "/v1/preset").ok()?;
        (reply.status == 200 && reply.json::<Value>()["current"]["preset"] == "peak").then_some(())
    });
}
