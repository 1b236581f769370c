//! The view of the instances over a real list and real connections.

use std::future::Future;
use std::mem::ManuallyDrop;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::membership::follow::{Handle, Roster, Setup, start};
use oriolefork::membership::http::Client;
use oriolefork::membership::probe::TcpProbe;
use oriolefork::membership::view::ViewPolicy;
use oriolefork::membership::{Member, Role, Source, State, wire};
use oriolefork::shutdown::Shutdown;
use oriolefork::{clock, http};
use serde_json::json;
use ureq::http::Method;

use crate::harness::{LIMIT, Standin, post_json, request};

const WORKERS: usize = 12;
const POLL: Duration = Duration::from_millis(50);

/// Runs a story on a runtime that is never dropped: its tasks are still running at the end, and
/// the runtime panics when the drop of one wakes another.
fn block_on(story: impl Future<Output = ()>) {
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    let mut runtime = ManuallyDrop::new(builder.enable_timer().build().unwrap());
    runtime.block_on(story);
}

fn member((index, listener): (usize, &TcpListener)) -> Member {
    Member {
        name: format!("w{index}"),
        role: Role::Worker { rack: "r1".to_owned() },
        domain: "kurow-hall".into(),
        address: listener.local_addr().unwrap(),
        state: State::Live,
    }
}

fn show(list: SocketAddr, members: &[Member]) {
    let members: Vec<wire::Member> = members.iter().map(wire::Member::from).collect();
    let body = serde_json::to_vec(&members).unwrap();
    let answer = request(Method::PUT, list, "/v1/instances", &[], &body).unwrap();
    assert_eq!(answer.status, 200);
}

fn follow(list: SocketAddr) -> Handle {
    let client = Rc::new(http::Client::new(http::Limits::default()));
    start(Setup {
        source: Rc::new(Client::new(list, client, Duration::from_secs(1))),
        probe: Rc::new(TcpProbe { timeout: Duration::from_secs(1) }),
        policy: ViewPolicy { freshness: POLL, ..ViewPolicy::default() },
        interval: POLL,
        clock: Rc::new(clock::System::start()),
        stop: Shutdown::new(),
    })
}

fn live(roster: &Roster) -> usize {
    roster.members.iter().filter(|member| member.state == State::Live).count()
}

fn vanished(roster: &Roster) -> usize {
    roster.suspects.iter().map(|(_, count)| count).sum()
}

/// Waits until the roster is as it should be.
async fn until(handle: &Handle, what: &str, is_so: impl Fn(&Roster) -> bool) {
    let start = Instant::now();
    loop {
        let (roster, _) = handle.roster().await.unwrap();
        if is_so(&roster) {
            return;
        }
        assert!(start.elapsed() < LIMIT, "never {what}: {roster:?}");
        monoio::time::sleep(POLL).await;
    }
}

#[test]
fn list_lost_then_workers_dead() {
    // What feeds the list fails: it is empty, then does not answer at all. All workers run, and
    // work must go on. Then half of them die while the list is still of no use; they must get no
    // more work, the others must.
    let list = Standin::start("instances", &[]);
    let mut listeners: Vec<TcpListener> =
        (0..WORKERS).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let members: Vec<Member> = listeners.iter().enumerate().map(member).collect();
    block_on(async {
        show(list.addr, &members);
        let handle = follow(list.addr);
        until(&handle, "complete", |roster| live(roster) == WORKERS).await;

        show(list.addr, &[]);
        let is_doubted = |roster: &Roster| vanished(roster) == WORKERS && live(roster) == WORKERS;
        until(&handle, "doubted", is_doubted).await;
        post_json(list.addr, "/control", &json!({ "outage": true }));

        listeners.truncate(WORKERS / 2);
        until(&handle, "halved", |roster| live(roster) == WORKERS / 2).await;
        post_json(list.addr, "/control", &json!({ "outage": false }));
        show(list.addr, &members[..WORKERS / 2]);
        let is_settled = |roster: &Roster| vanished(roster) == 0 && live(roster) == WORKERS / 2;
        until(&handle, "settled", is_settled).await;
    });
}

#[test]
fn list_unchanged_then_changed() {
    // The list is asked for every second, so its server sends no body while nothing changes. A
    // caller that took such an answer for an empty list would stop all work; one that kept the old
    // list would go on giving work to an instance that leaves.
    let list = Standin::start("instances", &[]);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut members = vec![member((0, &listener))];
    show(list.addr, &members);
    let whole = request(Method::GET, list.addr, "/v1/instances", &[], b"").unwrap();
    let version = [("if-none-match", whole.headers["etag"].to_str().unwrap())];
    let ask = || request(Method::GET, list.addr, "/v1/instances", &version, b"").unwrap();
    assert_eq!((ask().status, ask().body.len()), (304, 0));

    block_on(async {
        let http = Rc::new(http::Client::new(http::Limits::default()));
        let client = Client::new(list.addr, http, LIMIT);
        for _ in 0..3 {
            assert_eq!(client.list().await, Ok(members.clone()));
        }
        members[0].state = State::Leaving;
        show(list.addr, &members);
        assert_eq!(client.list().await, Ok(members.clone()));
    });
    assert_eq!(ask().status, 200);
}
