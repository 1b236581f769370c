//! Quick requests: entry instances over sockets, runners as processes, faults between them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use oriolefork::clock::System;
use oriolefork::domain::{self, Epoch};
use oriolefork::intent::{self, Deduplicator};
use oriolefork::membership::{self, Source, State, wire};
use oriolefork::runner::handler::Access;
use oriolefork::runner::proxy::{Options, Proxy, Role};
use oriolefork::runner::share::{CoordinatorId, Position};
use oriolefork::runner::{self, Policy};
use oriolefork::shutdown::Shutdown;
use oriolefork::standin::proxy::Mode;
use oriolefork::standin::runner::{Control, Snapshot};
use oriolefork::{http, peer, store};
use serde_json::json;
use ureq::http::Method;

use crate::harness::{
    Cluster, Place, Plan, Reply, block_on, eventually, get_json, post_json, request,
};

const DOMAIN: &str = "oamaru-hall";
const GRACE: Duration = Duration::from_secs(20);
const COORDINATOR: CoordinatorId = CoordinatorId { epoch: Epoch::FIRST, run: 1 };
/// Slots of a runner that belong to one of three instances, at most.
const OWNED: u32 = 3;

/// An entry instance's routing, on a thread of its own.
struct Instance {
    place: Place,
    stop: mpsc::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

/// What an instance is started with.
#[derive(Clone)]
struct Start {
    place: Place,
    position: Position,
    owner: SocketAddr,
    list: SocketAddr,
    log: SocketAddr,
}

impl Instance {
    fn start(start: Start) -> Self {
        let (stop, stopped) = mpsc::channel();
        let place = start.place.clone();
        let (ready, started) = mpsc::channel();
        let thread = thread::spawn(move || block_on(serve(start, stopped, ready)));
        started.recv().expect("the instance starts");
        Self { place, stop, thread: Some(thread) }
    }

    fn send(&self, headers: &[(&str, &str)], body: &[u8]) -> Reply {
        let path = "/v1/services/portal/requests";
        request(Method::POST, self.place.api, path, headers, body).expect("an answer")
    }

    /// Asks the instance to stop, as a signal would.
    fn stop(&self) {
        self.stop.send(()).expect("the instance runs");
    }

    fn join(&mut self) {
        self.thread.take().expect("joined once").join().expect("the instance ends well");
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Both fail only when it was stopped before.
        let _ = self.stop.send(());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

async fn serve(start: Start, stopped: mpsc::Receiver<()>, ready: mpsc::Sender<()>) {
    let Start { place, position, owner, list, log } = start;
    let clock = Rc::new(System::start());
    let client = Rc::new(http::Client::new(http::Limits::default()));
    let peers = Rc::new(peer::Client::new(peer::Limits::default()));
    let store = store::http::Client::new(log, Rc::clone(&client), Duration::from_secs(2));
    let run = u64::from(position.index) + 1;
    let policy = intent::Policy::default();
    let (deduplicator, records) =
        Deduplicator::new(&place.name, run, policy, Rc::new(store), clock.clone());
    monoio::spawn(records.run(Duration::from_secs(1)));
    let (proxy, driver) = Proxy::new(Options {
        policy: Policy::default(),
        domain: domain::Name::from(place.domain.as_str()),
        position,
        run: run << 32,
        warm_up: Some(Duration::ZERO),
        transport: Rc::new(runner::http::Client::new(Rc::clone(&client))),
        peers: Rc::new(runner::peer::Client::new(Rc::clone(&peers))),
        clock,
        deduplicator: Some(deduplicator),
        access: Access::open(),
    });
    monoio::spawn(driver.run());
    let role = if place.peer == owner {
        Role::Owner(COORDINATOR)
    } else {
        Role::Follower(COORDINATOR, owner)
    };
    proxy.set_role(role);
    let stop = Shutdown::new();
    let server = peer::Server::bind(place.peer, peer::Limits::default()).expect("a peer address");
    let handler = Rc::new(runner::peer::Handler::new(proxy.clone()));
    monoio::spawn(server.serve(handler, stop.clone(), GRACE));
    let server = http::Server::bind(place.api, http::Limits::default()).expect("an api address");
    let served = monoio::spawn(server.serve(Rc::new(proxy.clone()), stop.clone(), GRACE));
    let source = membership::http::Client::new(list, client, Duration::from_secs(2));
    proxy.set_members(source.list().await.expect("a list"));
    ready.send(()).expect("the test waits");
    while stopped.try_recv() == Err(mpsc::TryRecvError::Empty) {
        if let Ok(members) = source.list().await {
            proxy.set_members(members);
        }
        monoio::time::sleep(Duration::from_millis(20)).await;
    }
    proxy.drain().await;
    stop.trigger();
    served.await;
}

/// Three instances of one domain that share its runners.
fn start_three(cluster: &Cluster) -> Vec<Instance> {
    start_in(cluster, DOMAIN, 3)
}

fn start_in(cluster: &Cluster, domain: &'static str, count: u32) -> Vec<Instance> {
    let name = |index: u32| format!("{domain}-{index}");
    let places: Vec<Place> =
        (0..count).map(|index| Place::new(name(index), domain.to_owned())).collect();
    let start = |(index, place): (usize, &Place)| Start {
        place: place.clone(),
        position: Position { index: index as u32, count },
        owner: places[0].peer,
        list: cluster.lists[domain].addr,
        log: cluster.log.addr,
    };
    places.iter().enumerate().map(start).map(Instance::start).collect()
}

fn plan(runners: usize, latency: u64) -> Plan {
    let runner_latency = Duration::from_millis(latency);
    Plan { runners, runner_latency, proxied: true, ..Plan::default() }
}

fn states(cluster: &Cluster) -> Vec<Snapshot> {
    cluster.runners.iter().map(|runner| get_json(runner.standin.addr, "/v1/state")).collect()
}

fn result(reply: &Reply) -> &str {
    reply.headers.get("x-result").and_then(|value| value.to_str().ok()).unwrap_or("none")
}

/// Checks that no runner was given more than it has.
fn assert_within_limits(states: &[Snapshot]) {
    for state in states {
        assert_eq!(state.beyond_slots, 0, "{state:?}");
        assert!(state.most_in_flight <= 8 && state.most_connections <= 64, "{state:?}");
    }
}

/// Sends `each` requests from each of `callers` threads; every one has a body of its own.
fn storm(instance: &Instance, callers: usize, each: usize, headers: &[(&str, &str)]) -> Vec<Reply> {
    thread::scope(|scope| {
        let caller = |caller: usize| {
            scope.spawn(move || {
                let send = |number: usize| {
                    let body = format!("caller {caller} request {number}");
                    let reply = instance.send(headers, body.as_bytes());
                    let whole = result(&reply) == "whole" && reply.status == 200;
                    assert!(!whole || reply.body == body.as_bytes(), "another's answer");
                    reply
                };
                (0..each).map(send).collect::<Vec<_>>()
            })
        };
        let callers: Vec<_> = (0..callers).map(caller).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    })
}

// The portal sees its own answers only, and operators see no runner beyond its slots, although
// three instances send to the same runners and most of the load comes to one of them.
#[test]
fn run_shares_slots_of_runners() {
    let cluster = plan(2, 30).start();
    let instances = start_three(&cluster);
    let idempotent = [("x-effect", "idempotent")];
    let sent = eventually("one instance uses more than it owns", || {
        let replies = storm(&instances[2], 16, 10, &idempotent);
        let most = states(&cluster).iter().map(|state| state.most_in_flight).max();
        (most > Some(OWNED)).then_some(replies)
    });
    assert!(sent.iter().any(|reply| reply.status == 200));
    thread::scope(|scope| {
        for instance in &instances {
            scope.spawn(|| storm(instance, 8, 20, &idempotent));
        }
    });
    assert_within_limits(&states(&cluster));
}

// One runner answers with the identity of other requests, another one's answers are cut short. No
// caller may see a wrong or a short answer, and what is called not run must not have run.
#[test]
fn run_liar_and_truncation_spoil_no_answer() {
    let cluster = plan(4, 5).start();
    let instances = start_three(&cluster);
    let lie = Control { lie: Some(true), ..Control::default() };
    post_json(cluster.runners[0].standin.addr, "/control", &lie);
    cluster.switch(Mode::Truncate(40), |route| route.ends_with("runner-1"));
    let replies = storm(&instances[0], 8, 25, &[("x-effect", "idempotent")]);
    let whole = replies.iter().filter(|reply| reply.status == 200).count();
    assert!(whole > replies.len() / 2, "{whole} of {}", replies.len());
    for reply in replies.iter().filter(|reply| reply.status != 200) {
        assert!(["not-run", "unknown"].contains(&result(reply)), "{reply:?}");
    }
    assert_within_limits(&states(&cluster));
}

// The answer to a renewal is lost after it ran. Sent again it would run twice.
#[test]
fn run_lost_answer_runs_once() {
    let cluster = plan(3, 5).start();
    let instances = start_three(&cluster);
    cluster.switch(Mode::DropAnswer, |route| route.contains("/runner/"));
    let reply = instances[0].send(&[], b"renew");
    assert_eq!((reply.status, result(&reply)), (502, "unknown"));
    let id = reply.headers["x-request-id"].to_str().expect("an id").to_owned();
    cluster.switch(Mode::Pass, |route| route.contains("/runner/"));
    assert_eq!(instances[0].send(&[], b"other").status, 200);
    let runs: u32 = states(&cluster).iter().filter_map(|state| state.served.get(&id)).sum();
    assert_eq!(runs, 1);
}

// No runner can be reached. The caller is told that nothing ran and when to come back.
#[test]
fn run_unreachable_is_not_run() {
    let mut cluster = plan(2, 5).start();
    let list = cluster.lists[DOMAIN].addr;
    let members: Vec<wire::Member> =
        cluster.runners.iter().map(|runner| runner.member.clone()).collect();
    let body = json!(members).to_string();
    request(Method::PUT, list, "/v1/instances", &[], body.as_bytes()).expect("a list");
    let instances = start_three(&cluster);
    cluster.runners.iter_mut().for_each(|runner| runner.standin.process.kill());
    let reply = instances[0].send(&[], b"renew");
    assert_eq!((reply.status, result(&reply)), (503, "not-run"), "{reply:?}");
    assert!(reply.headers.contains_key("retry-after"));
}

// A permission sync is sent again with the same key through another instance, because the caller
// never saw the first answer. It must be told that answer and not run a second time.
#[test]
fn run_same_key_runs_once() {
    let cluster = plan(2, 5).start();
    let instances = start_three(&cluster);
    let key = uuid_now();
    let headers = [("x-effect", "at-most-once"), ("idempotency-key", key.as_str())];
    let first = instances[0].send(&headers, b"sync");
    assert_eq!((first.status, first.body.as_slice()), (200, b"sync".as_slice()), "{first:?}");
    let again = eventually("the outcome is recorded", || {
        let again = instances[1].send(&headers, b"sync");
        (again.status == 200).then_some(again)
    });
    assert_eq!(again.body, first.body);
    let other = instances[2].send(&headers, b"another sync");
    assert_eq!((other.status, result(&other)), (409, "not-run"));
    let ran: u64 = states(&cluster).iter().map(|state| state.requests).sum();
    assert_eq!(ran, 1);
}

// A runner is taken out for maintenance. Work that reached it later would be cut.
#[test]
fn run_leaving_runner_gets_no_new_work() {
    let cluster = plan(2, 5).start();
    let instances = start_three(&cluster);
    let headers = [("x-effect", "idempotent")];
    storm(&instances[0], 4, 10, &headers);
    let list = cluster.lists[DOMAIN].addr;
    let mut members: Vec<wire::Member> = get_json(list, "/v1/instances");
    members[0].state = State::Leaving;
    let body = json!(members).to_string();
    request(Method::PUT, list, "/v1/instances", &[], body.as_bytes()).expect("a list");
    let leaving = cluster.runners[0].standin.addr;
    assert_eq!(members[0].name, cluster.runners[0].member.name);
    let requests = || get_json::<Snapshot>(leaving, "/v1/state").requests;
    eventually("the leaving runner gets no new work", || {
        let before = requests();
        storm(&instances[0], 4, 10, &headers);
        (requests() == before).then_some(())
    });
    let before = requests();
    storm(&instances[0], 4, 20, &headers);
    assert_eq!(requests(), before);
}

// An instance is replaced while requests run. Each of them must get its whole answer.
#[test]
fn stop_cuts_no_request_in_flight() {
    let cluster = plan(2, 300).start();
    let mut instances = start_three(&cluster);
    let instance = &instances[0];
    let replies = thread::scope(|scope| {
        let callers: Vec<_> = (0..4).map(|_| scope.spawn(|| instance.send(&[], b"work"))).collect();
        eventually("requests run", || {
            let running: u32 = states(&cluster).iter().map(|state| state.in_flight).sum();
            (running == 4).then_some(())
        });
        instance.stop();
        let replies = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        replies.collect::<Vec<_>>()
    });
    for reply in replies {
        assert_eq!((reply.status, reply.body.as_slice()), (200, b"work".as_slice()));
    }
    instances[0].join();
}

// A domain has lost all its runners. Its callers are served by the next domain meanwhile.
#[test]
fn run_without_own_runner_uses_another_domain() {
    let domains = vec![DOMAIN, "kurow-hall"];
    let cluster = Plan { domains, ..plan(1, 5) }.start();
    let far = start_in(&cluster, "kurow-hall", 1);
    let list = cluster.lists[DOMAIN].addr;
    let mut members: Vec<wire::Member> = get_json(list, "/v1/instances");
    members.retain(|member| member.domain != DOMAIN.into());
    members.push(wire::Member {
        name: far[0].place.name.clone(),
        role: membership::Role::Entry,
        domain: "kurow-hall".into(),
        address: far[0].place.peer,
        state: State::Live,
    });
    let body = json!(members).to_string();
    request(Method::PUT, list, "/v1/instances", &[], body.as_bytes()).expect("a list");
    let near = start_in(&cluster, DOMAIN, 1);
    let replies = storm(&near[0], 4, 5, &[("x-effect", "idempotent")]);
    let statuses: BTreeSet<u16> = replies.iter().map(|reply| reply.status).collect();
    assert_eq!(statuses, BTreeSet::from([200]));
}

/// A version 7 UUID made now.
fn uuid_now() -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let millis = now.expect("a time after 1970").as_millis();
    format!("{millis:012x}").replace(' ', "0")[..12].to_owned() + "70008000000000000001"
}
