//! Measures how soon an accepted change is in force at every instance, and the traffic that it
//! causes.
//!
//! Run with `cargo bench --bench config_in_force`. All instances, the log and the proxies that
//! count the bytes share one thread and use loopback connections; network latency is not simulated.

#[path = "../tests/process/config/node.rs"]
mod node;

use std::collections::BTreeMap;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use monoio::{LegacyDriver, RuntimeBuilder};
use node::{Node, connect};
use oriolefork::config::{Change, Preset, PublishOutcome, Value};
use oriolefork::http::{Client, Limits};
use oriolefork::shutdown::Shutdown;
use oriolefork::standin::proxy::{self, Mode};
use oriolefork::standin::{Bound, log};

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(10);
const PHASE: Duration = Duration::from_secs(15);
const CHANGES_PER_DAY: f64 = 2_500.0;
const DAY_SECONDS: f64 = 86_400.0;
const BURST: usize = 200;
const OUTAGE_CHANGES: usize = 8;

/// A proxy whose routes are named by number.
struct Proxy {
    control: SocketAddr,
    http: Client,
}

impl Proxy {
    fn start(targets: &[SocketAddr]) -> Self {
        let path = |(index, target): (usize, &SocketAddr)| proxy::Path {
            name: index.to_string(),
            listen: ANY_PORT,
            target: *target,
        };
        let paths: Vec<proxy::Path> = targets.iter().enumerate().map(path).collect();
        let control = spawn(proxy::bind(ANY_PORT, &paths).unwrap());
        Self { control, http: Client::new(Limits::default()) }
    }

    async fn state(&self) -> Vec<proxy::Snapshot> {
        let request = http::Request::builder().uri("/v1/state").body(Bytes::new()).unwrap();
        let response = self.http.send(self.control, request, TIMEOUT).await.unwrap();
        let routes: BTreeMap<String, proxy::Snapshot> =
            serde_json::from_slice(response.body()).unwrap();
        (0..routes.len()).map(|index| routes[&index.to_string()]).collect()
    }

    async fn switch(&self, routes: Vec<String>, mode: Mode) {
        let control = serde_json::to_vec(&proxy::Control { routes, mode }).unwrap();
        let request = http::Request::post("/control").body(Bytes::from(control)).unwrap();
        self.http.send(self.control, request, TIMEOUT).await.unwrap();
    }

    async fn bytes(&self) -> u64 {
        self.state().await.iter().map(|route| route.to_server + route.to_client).sum()
    }
}

fn spawn(bound: Bound) -> SocketAddr {
    let address = bound.local_addr().unwrap();
    monoio::spawn(bound.serve(Shutdown::new()));
    address
}

/// For each version, the time at which it came into force at each instance.
type InForceTimes = Rc<std::cell::RefCell<BTreeMap<u64, Vec<Option<Instant>>>>>;

struct Cluster {
    nodes: Vec<Node>,
    logs: Proxy,
    peers: Proxy,
    times: InForceTimes,
}

impl Cluster {
    async fn start(instances: usize, domains: usize) -> Self {
        let log = spawn(log::bind(ANY_PORT, log::Options::default()).unwrap());
        let logs = Proxy::start(&vec![log; instances]);
        let routes = logs.state().await;
        let node = |index: usize| {
            let domain = format!("hall-{}", index % domains);
            Node::start(&format!("entry-{index}"), &domain, routes[index].listen)
        };
        let mut nodes: Vec<Node> = (0..instances).map(node).collect();
        let servers: Vec<SocketAddr> = nodes.iter().map(|node| node.peer.address).collect();
        let peers = Proxy::start(&servers);
        for (node, route) in nodes.iter_mut().zip(peers.state().await) {
            node.peer.address = route.listen;
        }
        connect(&nodes);
        let times = InForceTimes::default();
        for (index, node) in nodes.iter().enumerate() {
            monoio::spawn(record_times(
                node.handle.subscribe(),
                index,
                instances,
                Rc::clone(&times),
            ));
        }
        let cluster = Self { nodes, logs, peers, times };
        cluster.wait_for(0).await;
        cluster
    }

    /// Mean traffic of an instance in bytes: with the log, and with peers as client and as server.
    async fn bytes(&self) -> f64 {
        let bytes = self.logs.bytes().await + 2 * self.peers.bytes().await;
        bytes as f64 / self.nodes.len() as f64
    }

    async fn wait_for(&self, version: u64) {
        while !self
            .times
            .borrow()
            .get(&version)
            .is_some_and(|times| times.iter().all(Option::is_some))
        {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Publishes a change and returns the time until it was accepted and, for each instance, the time
    /// from then until it was in force there.
    async fn change(&self, index: usize) -> (Duration, Vec<Duration>) {
        let preset = Preset::ALL[index % Preset::ALL.len()];
        let start = Instant::now();
        let outcome = self.nodes[0].publish("bench", Change::Preset(preset)).await;
        let accepted = Instant::now();
        let PublishOutcome::Accepted(version) = outcome else { panic!("{outcome}") };
        self.wait_for(version.raw()).await;
        let times = self.times.borrow();
        let instants = times[&version.raw()].iter().flatten();
        let delays = instants.map(|time| time.saturating_duration_since(accepted)).collect();
        (accepted - start, delays)
    }
}

/// Records when versions come into force at one instance. A value that skips versions counts for
/// the skipped ones too.
async fn record_times(
    mut values: oriolefork::config::Values,
    index: usize,
    instances: usize,
    times: InForceTimes,
) {
    let mut next = 0;
    while let Some(value) = values.recv().await {
        let now = Instant::now();
        for version in next..=version(&value) {
            let mut times = times.borrow_mut();
            times.entry(version).or_insert_with(|| vec![None; instances])[index] = Some(now);
        }
        next = version(&value) + 1;
    }
}

fn version(value: &Value) -> u64 {
    value.version.raw()
}

fn quantile(delays: &mut [Duration], fraction: f64) -> f64 {
    delays.sort();
    let index = ((delays.len() - 1) as f64 * fraction).round() as usize;
    delays[index].as_secs_f64() * 1e3
}

fn report(label: &str, accepts: &mut [Duration], delays: &mut [Duration]) {
    println!(
        "  {label:<22} accept p50 {:>6.1} max {:>6.1} ms; in force p50 {:>6.1} p99 {:>6.1} max {:>6.1} ms",
        quantile(accepts, 0.5),
        quantile(accepts, 1.0),
        quantile(delays, 0.5),
        quantile(delays, 0.99),
        quantile(delays, 1.0),
    );
}

async fn changes(cluster: &Cluster, count: usize, pause: Duration, label: &str) -> Duration {
    let start = Instant::now();
    let (mut accepts, mut delays) = (Vec::new(), Vec::new());
    for index in 0..count {
        let (accept, in_force) = cluster.change(index).await;
        accepts.push(accept);
        delays.extend(in_force);
        monoio::time::sleep(pause).await;
    }
    report(label, &mut accepts, &mut delays);
    start.elapsed()
}

async fn measure(instances: usize, domains: usize) {
    println!("{instances} instances in {domains} domains");
    let cluster = Cluster::start(instances, domains).await;

    let (start, before) = (Instant::now(), cluster.bytes().await);
    monoio::time::sleep(PHASE).await;
    let idle = (cluster.bytes().await - before) / start.elapsed().as_secs_f64();

    let count = PHASE.as_secs() as usize;
    let before = cluster.bytes().await;
    let took = changes(&cluster, count, Duration::from_secs(1), "one a second").await;
    let spent = cluster.bytes().await - before;
    let each = (spent - idle * took.as_secs_f64()) / count as f64;
    let daily = idle + each * CHANGES_PER_DAY / DAY_SECONDS;

    let before = cluster.bytes().await;
    let took = changes(&cluster, BURST, Duration::ZERO, "one after the other").await;
    let burst = (cluster.bytes().await - before) / took.as_secs_f64();
    let rate = BURST as f64 / took.as_secs_f64();

    let is_affected = |index: &usize| index % domains == domains - 1;
    let routes: Vec<String> =
        (0..instances).filter(is_affected).map(|index| index.to_string()).collect();
    for (mode, label) in
        [(Mode::Refuse, "log refuses a domain"), (Mode::CutBoth, "log cut from a domain")]
    {
        cluster.logs.switch(routes.clone(), mode).await;
        changes(&cluster, OUTAGE_CHANGES, Duration::from_millis(500), label).await;
        cluster.logs.switch(routes.clone(), Mode::Pass).await;
        monoio::time::sleep(Duration::from_secs(5)).await;
    }
    println!(
        "  bytes/s of an instance: idle {idle:.0}, at 2,500 changes a day {daily:.0} ({each:.0} a change), in the burst {burst:.0} at {rate:.0} changes/s"
    );
}

fn main() {
    for (instances, domains) in [(3, 3), (9, 3), (33, 11)] {
        let builder = RuntimeBuilder::<LegacyDriver>::new();
        // Tasks still run after the measurement, and the runtime panics if it is dropped before them.
        let mut runtime = ManuallyDrop::new(builder.enable_timer().build().unwrap());
        runtime.block_on(measure(instances, domains));
    }
}
