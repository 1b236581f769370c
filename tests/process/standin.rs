//! The adapters to the platform and to workers, against the stand-ins through a faulty network.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oriolefork::domain::Epoch;
use oriolefork::http::{Client, Limits};
use oriolefork::job;
use oriolefork::membership::{self, Member, Source};
use oriolefork::resource::Amount;
use oriolefork::standin::proxy::{self, Mode};
use oriolefork::standin::{instances, log, runner, worker as standin};
use oriolefork::store::{self, AppendOutcome, Page, Store};
use oriolefork::task::{self, End, Phase};
use oriolefork::worker::{self, Command, Exchange, Fault, Link, Report};
use serde_json::json;
use test_case::test_case;
use ureq::http::Method;

use crate::harness::{
    self, Cluster, Place, Plan, Platform, Standin, block_on, eventually, get_json, post, post_json,
    request,
};

/// Time given to calls that should succeed.
const AMPLE: Duration = Duration::from_secs(30);

/// Time given to calls that should not be answered.
const SHORT: Duration = Duration::from_millis(200);

const STREAM: &str = "domain/oamaru-hall";
const ROUTE: &str = "route";
const LEASE: Duration = Duration::from_secs(600);

/// A stand-in behind one route of a proxy.
struct Behind {
    standin: Standin,
    proxy: Standin,
    route: SocketAddr,
}

impl Behind {
    fn start(role: &str, args: &[&str]) -> Self {
        let (standin, proxy) = (Standin::start(role, args), Standin::start("proxy", &[]));
        let listen = SocketAddr::new(proxy.addr.ip(), 0);
        let path = proxy::Path { name: ROUTE.to_owned(), listen, target: standin.addr };
        let opened: proxy::Snapshot = post_json(proxy.addr, "/v1/routes", &path).json();
        Self { standin, proxy, route: opened.listen }
    }

    fn worker() -> Self {
        Self::start("worker", &["--cpu-millis", "1000", "--memory-mib", "64"])
    }

    fn switch(&self, mode: Mode) {
        let control = proxy::Control { routes: vec![ROUTE.to_owned()], mode };
        post_json(self.proxy.addr, "/control", &control);
    }

    fn state(&self) -> standin::Snapshot {
        get_json(self.standin.addr, "/v1/state")
    }
}

fn http() -> Rc<Client> {
    Rc::new(Client::new(Limits::default()))
}

fn append(addr: SocketAddr, timeout: Duration) -> Result<u64, store::Error> {
    let log = store::http::Client::new(addr, http(), timeout);
    block_on(Store::append(&log, STREAM, Bytes::from(vec![b'x'; 2_000])))
}

fn read(addr: SocketAddr, from: u64, wait: Duration) -> Result<Page, store::Error> {
    let log = store::http::Client::new(addr, http(), AMPLE);
    block_on(Store::read(&log, STREAM, from, wait))
}

fn written(log: &Standin) -> usize {
    read(log.addr, 0, Duration::ZERO).unwrap().records.len()
}

fn fetch(addr: SocketAddr) -> Result<Vec<Member>, membership::Error> {
    block_on(Source::list(&membership::http::Client::new(addr, http(), AMPLE)))
}

fn exchange(
    addr: SocketAddr,
    term: u64,
    seen: u64,
    commands: &[Command],
    timeout: Duration,
) -> Result<Report, Fault> {
    let (epoch, wait) = (Epoch { term, sub: 0 }, Duration::ZERO);
    let exchange = Exchange { epoch, lease: LEASE, commands: commands.to_vec(), seen, wait };
    let link = worker::http::Client::new(http());
    block_on(Link::exchange(&link, addr, &exchange, timeout)).map_err(|error| error.fault)
}

fn start() -> Command {
    let demand = Amount { cpu_millis: 100, memory_mib: 1, accelerators: 0 };
    let payload = r#"{"end": "never"}"#.to_owned();
    Command::Start { task: task_id(), demand, payload }
}

fn task_id() -> task::Id {
    task::Id { job: job::Id::from_raw(7), index: 0, attempt: 0 }
}

#[test_case(Mode::Pass ; "pass")]
#[test_case(Mode::Delay(20) ; "delay")]
#[test_case(Mode::Slow(40_000) ; "slow")]
fn append_through(mode: Mode) {
    let log = Behind::start("log", &[]);
    log.switch(mode);
    assert_eq!(append(log.route, AMPLE), Ok(0));
    let page = read(log.route, 0, Duration::ZERO).unwrap();
    assert_eq!(page.records[0].payload, vec![b'x'; 2_000]);
}

// An operator publishes a preset and is told that it is unknown whether it took effect. The log has
// written the record, then the network loses the answer, whole or in part. Calling it "not written"
// would make the operator publish it twice.
#[test_case(Mode::DropAnswer ; "dropped")]
#[test_case(Mode::Truncate(20) ; "truncated")]
fn append_answer_lost(mode: Mode) {
    let log = Behind::start("log", &[]);
    log.switch(mode);
    assert_eq!(append(log.route, AMPLE).unwrap_err().outcome, AppendOutcome::Unknown);
    eventually("the record is written", || (written(&log.standin) == 1).then_some(()));
}

#[test]
fn append_answer_cut_off() {
    // As above, but the network fails one way only and on a connection that is already open.
    let log = Behind::start("log", &[]);
    let client = store::http::Client::new(log.route, http(), Duration::from_secs(2));
    let error = block_on(async {
        Store::append(&client, STREAM, Bytes::from_static(b"first")).await.unwrap();
        log.switch(Mode::CutToClient);
        Store::append(&client, STREAM, Bytes::from_static(b"second")).await.unwrap_err()
    });
    assert_eq!(error.outcome, AppendOutcome::Unknown);
    eventually("the record is written", || (written(&log.standin) == 2).then_some(()));
}

#[test]
fn append_answer_dropped_by_log() {
    let log = Standin::start("log", &[]);
    let control = log::Control { drop_answers: Some(1), ..log::Control::default() };
    post_json(log.addr, "/control", &control);
    let error = append(log.addr, Duration::from_secs(2)).unwrap_err();
    assert_eq!((error.outcome, written(&log)), (AppendOutcome::Unknown, 1));
    assert_eq!(append(log.addr, AMPLE), Ok(1));
}

#[test]
fn append_connection_refused() {
    let log = Behind::start("log", &[]);
    log.switch(Mode::Refuse);
    let error = append(log.route, AMPLE).unwrap_err();
    assert_eq!((error.outcome, written(&log.standin)), (AppendOutcome::NotWritten, 0));
    log.switch(Mode::Pass);
    assert_eq!(append(log.route, AMPLE), Ok(0));
}

#[test]
fn append_outage() {
    let log = Standin::start("log", &[]);
    let control = log::Control { outage: Some(true), ..log::Control::default() };
    post_json(log.addr, "/control", &control);
    assert_eq!(append(log.addr, AMPLE).unwrap_err().outcome, AppendOutcome::NotWritten);
    let over = log::Control { outage: Some(false), ..log::Control::default() };
    post_json(log.addr, "/control", &over);
    assert_eq!(written(&log), 0);
}

#[test]
fn append_held_back_arrives_late() {
    // A caller gives an append up while the network holds it. Once the network is whole again, the
    // record is written after all: "not written" would have been false.
    let log = Behind::start("log", &[]);
    log.switch(Mode::CutBoth);
    assert_eq!(append(log.route, SHORT).unwrap_err().outcome, AppendOutcome::Unknown);
    assert_eq!(written(&log.standin), 0);
    log.switch(Mode::Pass);
    eventually("the record is written", || (written(&log.standin) == 1).then_some(()));
}

#[test]
fn read_waits_for_append() {
    let log = Standin::start("log", &[]);
    let addr = log.addr;
    let reader = std::thread::spawn(move || read(addr, 0, Duration::from_secs(20)));
    eventually("the read waits", || {
        let state: log::Snapshot = get_json(addr, "/v1/state");
        state.waiting.eq(&1).then_some(())
    });
    append(addr, AMPLE).unwrap();
    assert_eq!(reader.join().unwrap().unwrap().records.len(), 1);
}

#[test]
fn read_after_retention_starts_at_oldest() {
    let log = Standin::start("log", &["--retention", "2"]);
    (0..5).for_each(|offset| assert_eq!(append(log.addr, AMPLE), Ok(offset)));
    let page = read(log.addr, 0, Duration::ZERO).unwrap();
    assert_eq!((page.oldest, page.end, page.records[0].offset), (3, 5, 3));
}

#[test]
fn exchange_lower_epoch_fenced() {
    let worker = Behind::worker();
    exchange(worker.route, 4, 0, &[], AMPLE).unwrap();
    let fault = exchange(worker.route, 3, 0, &[start()], AMPLE).unwrap_err();
    assert_eq!(fault, Fault::Fenced(Epoch { term: 4, sub: 0 }));
    assert_eq!((worker.state().starts, worker.state().fenced), (0, 1));
}

#[test]
fn exchange_answer_dropped() {
    // An owner starts a task, loses the answer and sends the start again. The worker had started it
    // at the first call, so that the second one must not run it twice.
    let worker = Behind::worker();
    worker.switch(Mode::DropAnswer);
    let fault = exchange(worker.route, 1, 0, &[start()], AMPLE).unwrap_err();
    assert!(matches!(fault, Fault::Unknown(_)), "{fault}");
    assert_eq!(worker.state().starts, 1);
    worker.switch(Mode::Pass);
    let report = exchange(worker.route, 1, 0, &[start()], AMPLE).unwrap();
    assert_eq!((report.tasks[0].phase, worker.state().starts), (Phase::Running, 1));
}

#[test]
fn exchange_connection_refused() {
    let worker = Behind::worker();
    worker.switch(Mode::Refuse);
    let fault =
        eventually("the route refuses", || exchange(worker.route, 1, 0, &[start()], SHORT).err());
    assert!(matches!(fault, Fault::NotSent(_)), "{fault}");
    assert_eq!(worker.state().starts, 0);
}

#[test]
fn exchange_with_frozen_worker() {
    // A user's backup stands still because its worker is paused for longer than the lease. When the
    // worker goes on, it must end the task before it takes any new exchange for a renewal.
    let worker = Behind::worker();
    let short = Duration::from_millis(300);
    let epoch = Epoch { term: 1, sub: 0 };
    let commands = vec![start()];
    let sent = Exchange { epoch, lease: short, commands, seen: 0, wait: Duration::ZERO };
    let link = worker::http::Client::new(http());
    block_on(Link::exchange(&link, worker.route, &sent, AMPLE)).unwrap();
    worker.standin.process.freeze();
    let fault = exchange(worker.route, 1, 0, &[], short * 2).unwrap_err();
    assert!(matches!(fault, Fault::Unknown(_)), "{fault}");
    worker.standin.process.thaw();
    let report = exchange(worker.route, 1, 0, &[], AMPLE).unwrap();
    assert_eq!(report.tasks[0].phase, Phase::Ended(End::Lapsed));
}

#[test]
fn exchange_held_while_paused() {
    let worker = Behind::worker();
    let pause = |pause| standin::Control { pause: Some(pause), ..standin::Control::default() };
    post_json(worker.standin.addr, "/control", &pause(true));
    assert!(matches!(exchange(worker.route, 1, 0, &[], SHORT), Err(Fault::Unknown(_))));
    post_json(worker.standin.addr, "/control", &pause(false));
    exchange(worker.route, 1, 0, &[], AMPLE).unwrap();
}

#[test]
fn list_shows_change_and_outage() {
    let list = Standin::start("instances", &[]);
    let fetch = || fetch(list.addr);
    assert_eq!(fetch(), Ok(Vec::new()));
    let member = json!([{
        "name": "worker-1", "role": {"worker": {"rack": "rack-1"}}, "domain": "kurow-hall",
        "address": "127.0.0.1:9", "state": "leaving",
    }]);
    let put = |body: &str| {
        request(Method::PUT, list.addr, "/v1/instances", &[], body.as_bytes()).unwrap().status
    };
    assert_eq!(put(&member.to_string()), 200);
    assert_eq!(fetch().unwrap()[0].state, membership::State::Leaving);
    assert_eq!(put(&member.to_string().replace("worker-1", "")), 400);
    post_json(list.addr, "/control", &instances::Control { outage: Some(true), lag_ms: None });
    assert!(fetch().is_err());
}

#[test]
fn run_echoes_unless_told_to_lie() {
    let args = ["--slots", "1", "--connections", "4"];
    let runner = Standin::start("runner", &args);
    let run = || {
        let headers = [("x-request-id", "r1")];
        request(Method::POST, runner.addr, "/v1/run", &headers, b"hello").unwrap()
    };
    let reply = run();
    assert_eq!(
        (reply.headers["x-request-id"].as_bytes(), reply.body.as_slice()),
        (&b"r1"[..], &b"hello"[..])
    );
    post_json(runner.addr, "/control", &json!({ "lie": true }));
    assert_eq!(run().headers["x-request-id"], "wrong");
    post_json(runner.addr, "/control", &json!({ "fail": true }));
    assert_eq!(run().status, 500);
    assert_eq!(post(runner.addr, "/v1/run", b"").unwrap().status, 400);
    let state: runner::Snapshot = get_json(runner.addr, "/v1/state");
    assert_eq!((state.requests, state.repeated, state.served["r1"]), (3, 2, 3));
}

#[test]
fn cluster_domain_cut_off() {
    let plan = Plan {
        domains: vec!["oamaru-hall", "kurow-hall"],
        workers: 1,
        runners: 1,
        proxied: true,
        ..Plan::default()
    };
    let mut cluster: Cluster = plan.start();
    let fetch = |cluster: &Cluster, domain| fetch(cluster.platform(domain).list);
    let members = fetch(&cluster, "oamaru-hall").unwrap();
    cluster.switch_domain("oamaru-hall", Mode::Refuse);
    assert!(fetch(&cluster, "oamaru-hall").is_err());
    assert_eq!(fetch(&cluster, "kurow-hall").unwrap().len(), 4);
    let own = |domain: &str| {
        let is_worker = |role: &_| matches!(role, membership::Role::Worker { .. });
        let worker = members.iter().find(|m| m.domain == domain.into() && is_worker(&m.role));
        worker.unwrap().address
    };
    exchange(own("oamaru-hall"), 1, 0, &[start()], AMPLE).unwrap();
    let runner = members.iter().find(|m| m.domain == "kurow-hall".into() && m.name == "runner-0");
    assert!(post(runner.unwrap().address, "/v1/run", b"").is_err());
    cluster.restart_worker(0);
    assert_eq!(cluster.worker_states()[0].starts, 0);
    let runs = cluster.runs();
    assert_eq!((runs.len(), runs[0].0, runs[0].1.ended.is_some()), (1, task_id(), true));
}

#[test]
fn settings_of_harness_accepted() {
    let place = |number| Place::new(format!("kurow-hall-{number}"), "kurow-hall".to_owned());
    let places = [place(0), place(1)];
    let platform =
        Platform { log: "127.0.0.1:1".parse().unwrap(), list: "127.0.0.1:2".parse().unwrap() };
    let text = harness::settings(&places[0], platform, &places).to_string();
    assert!(oriolefork::settings::parse(&text, &[]).is_ok(), "{text}");
}
