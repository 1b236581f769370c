//! Failure domains with their entry instances, upstreams and view of the platform.
//!
//! With a proxy, every failure domain reaches the platform, the upstreams and the entry instances of
//! other domains over routes of its own, named `viewer/role/name`, so that each way can be broken
//! alone. Entry instances of one domain reach each other directly, unless the plan says otherwise.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use oriolefork::clock::{Clock, System};
use oriolefork::membership::{Role, State, wire};
use oriolefork::resource::Amount;
use oriolefork::standin::proxy::{self, Mode};
use oriolefork::standin::worker::{Snapshot, TaskView};
use oriolefork::task;
use serde_json::{Value, json};
use ureq::http::Method;

use super::entry::{Entry, Place, Platform};
use super::process::Standin;
use super::{get_json, post_json, request};

/// Service of the runners.
pub const SERVICE: &str = "portal";

/// Error of comparing times of two workers, each of which rounds two clocks to milliseconds.
const CLOCK_ROUNDING: Duration = Duration::from_millis(2);

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Names of the failure domains.
    pub domains: Vec<&'static str>,
    /// Entry instances of each failure domain.
    pub entries: usize,
    /// Workers of each failure domain.
    pub workers: usize,
    /// What each worker has.
    pub capacity: Amount,
    /// Runners of each failure domain, with 8 slots and 64 connections each.
    pub runners: usize,
    /// Time that a runner takes for a request.
    pub runner_latency: Duration,
    /// Whether a proxy stands between.
    pub proxied: bool,
    /// Whether entry instances of one failure domain reach each other through the proxy too.
    ///
    /// They still name their own addresses to each other, so calls to a known owner stay direct.
    pub peers_proxied: bool,
    /// Time until a change of the list of instances shows.
    pub lag: Duration,
    /// Records that the log keeps of each stream.
    pub retention: usize,
    /// Laid over the settings of every entry instance.
    pub settings: Value,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            domains: vec!["oamaru-hall"],
            entries: 0,
            workers: 0,
            capacity: Amount { cpu_millis: 4_000, memory_mib: 4_096, accelerators: 0 },
            runners: 0,
            runner_latency: Duration::ZERO,
            proxied: false,
            peers_proxied: false,
            lag: Duration::ZERO,
            retention: 100_000,
            settings: Value::Null,
        }
    }
}

/// An upstream and what the list says of it.
pub struct Upstream {
    /// Its process.
    pub standin: Standin,
    /// What the list says, with its own address.
    pub member: wire::Member,
}

/// A running cluster; everything ends when it is dropped.
pub struct Cluster {
    /// The log.
    pub log: Standin,
    /// The list of instances as each failure domain sees it.
    pub lists: BTreeMap<&'static str, Standin>,
    /// The proxy, when there is one.
    pub proxy: Option<Standin>,
    /// Workers of all failure domains.
    pub workers: Vec<Upstream>,
    /// Runners of all failure domains.
    pub runners: Vec<Upstream>,
    /// Entry instances of all failure domains.
    pub entries: Vec<Entry>,
    routes: BTreeMap<String, SocketAddr>,
    peers_proxied: bool,
    buried: Vec<TaskView>,
}

impl Plan {
    /// Starts everything and waits until it answers.
    pub fn start(self) -> Cluster {
        let mut cluster = self.start_platform();
        for domain in &self.domains {
            self.start_upstreams(domain, &mut cluster);
        }
        let places = self.places();
        for domain in &self.domains {
            cluster.publish(domain, &places);
        }
        for place in &places {
            let platform = cluster.platform(&place.domain);
            let peers: Vec<_> = places.iter().map(|peer| cluster.seen_place(place, peer)).collect();
            let entry = Entry::start(place.clone(), platform, &peers, &self.settings);
            cluster.entries.push(entry);
        }
        cluster.entries.iter_mut().for_each(Entry::wait_ready);
        cluster
    }

    fn start_platform(&self) -> Cluster {
        let lag = self.lag.as_millis().to_string();
        let list = |domain| (domain, Standin::start("instances", &["--lag-ms", &lag]));
        Cluster {
            log: Standin::start("log", &["--retention", &self.retention.to_string()]),
            lists: self.domains.iter().copied().map(list).collect(),
            proxy: self.proxied.then(|| Standin::start("proxy", &[])),
            workers: Vec::new(),
            runners: Vec::new(),
            entries: Vec::new(),
            routes: BTreeMap::new(),
            peers_proxied: self.peers_proxied,
            buried: Vec::new(),
        }
    }

    fn start_upstreams(&self, domain: &str, cluster: &mut Cluster) {
        let Amount { cpu_millis, memory_mib, accelerators } = self.capacity;
        for number in 0..self.workers {
            let standin = Standin::start(
                "worker",
                &[
                    "--cpu-millis",
                    &cpu_millis.to_string(),
                    "--memory-mib",
                    &memory_mib.to_string(),
                    "--accelerators",
                    &accelerators.to_string(),
                ],
            );
            let role = Role::Worker { rack: format!("rack-{}", number / 8) };
            let name = format!("worker-{number}");
            cluster.workers.push(Upstream::new(standin, name, role, domain));
        }
        let latency = self.runner_latency.as_millis().to_string();
        let args = ["--slots", "8", "--connections", "64", "--latency-ms", &latency];
        for number in 0..self.runners {
            let standin = Standin::start("runner", &args);
            let role = Role::Runner { service: SERVICE.to_owned(), slots: 8, connections: 64 };
            let name = format!("runner-{number}");
            cluster.runners.push(Upstream::new(standin, name, role, domain));
        }
    }

    fn places(&self) -> Vec<Place> {
        let numbered = |domain: &&'static str| {
            let domain = (*domain).to_owned();
            (0..self.entries)
                .map(move |number| Place::new(format!("{domain}-{number}"), domain.clone()))
        };
        self.domains.iter().flat_map(numbered).collect()
    }
}

impl Upstream {
    fn new(standin: Standin, name: String, role: Role, domain: &str) -> Self {
        let (domain, address) = (domain.into(), standin.addr);
        let member = wire::Member { name, role, domain, address, state: State::Live };
        Self { standin, member }
    }
}

impl Cluster {
    /// Entry instances of one failure domain.
    pub fn entries_of(&self, domain: &str) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(move |entry| entry.place.domain == domain)
    }

    /// Switches every route whose name satisfies `chosen`.
    pub fn switch(&self, mode: Mode, chosen: impl Fn(&str) -> bool) {
        let proxy = self.proxy.as_ref().expect("a cluster with a proxy");
        let names = self.routes.keys().filter(|name| chosen(name));
        let control = proxy::Control { routes: names.cloned().collect(), mode };
        assert!(!control.routes.is_empty(), "no route was chosen");
        post_json(proxy.addr, "/control", &control);
    }

    /// Switches every route between `domain` and what lies outside it.
    pub fn switch_domain(&self, domain: &str, mode: Mode) {
        let inside = format!("{domain}/");
        let own = [format!("{domain}/worker/{domain}"), format!("{domain}/runner/{domain}")];
        let reaches = |name: &str| name.split('/').nth(2).is_some_and(|to| to.starts_with(domain));
        self.switch(mode, |name| {
            let leaves = name.starts_with(&inside) && !own.iter().any(|own| name.starts_with(own));
            leaves || (!name.starts_with(&inside) && reaches(name))
        });
    }

    /// What every worker says of itself.
    pub fn worker_states(&self) -> Vec<Snapshot> {
        self.workers.iter().map(|worker| get_json(worker.standin.addr, "/v1/state")).collect()
    }

    /// Kills a worker with its tasks and starts it anew, keeping its runs for [`Self::runs`].
    pub fn restart_worker(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let last: Snapshot = get_json(worker.standin.addr, "/v1/state");
        worker.standin.restart();
        let now = System::start().unix();
        let bury = |run: TaskView| TaskView { ended: run.ended.or(Some(now)), ..run };
        self.buried.extend(last.runs.into_iter().map(bury));
    }

    /// Every run on every worker, after checking that none was overcommitted and that no task ran
    /// in two places at once.
    pub fn runs(&self) -> Vec<(task::Id, TaskView)> {
        let states = self.worker_states();
        for (worker, state) in self.workers.iter().zip(&states) {
            let name = &worker.member.name;
            assert_eq!(state.overcommitted, 0, "{name} was overcommitted");
            assert_eq!(state.doubles, 0, "{name} ran a task twice at once");
        }
        let all = states.into_iter().flat_map(|state| state.runs).chain(self.buried.clone());
        let named = all.map(|run| (task::Id::try_from(run.task.clone()).expect("a task"), run));
        let mut runs: Vec<_> = named.collect();
        runs.sort_by_key(|(task, run)| (task.job, task.index, run.started));
        for pair in runs.windows(2) {
            let [(earlier, first), (later, second)] = pair else { unreachable!() };
            let same = (earlier.job, earlier.index) == (later.job, later.index);
            let start = second.started.after(CLOCK_ROUNDING);
            let over = first.ended.is_some_and(|ended| ended <= start);
            assert!(!same || over, "{earlier} and {later} ran at once: {first:?} {second:?}");
        }
        runs
    }

    /// Publishes the list of instances as `viewer` sees it.
    fn publish(&mut self, viewer: &'static str, places: &[Place]) {
        let mut members = Vec::new();
        let upstreams = self.workers.iter().chain(&self.runners);
        for member in upstreams.map(|upstream| upstream.member.clone()).collect::<Vec<_>>() {
            let role = if matches!(member.role, Role::Worker { .. }) { "worker" } else { "runner" };
            let route = format!("{viewer}/{role}/{}-{}", member.domain, member.name);
            let address = self.route(route, member.address);
            members.push(wire::Member { address, ..member });
        }
        for place in places {
            let address = self.peer_route(viewer, place);
            let (name, domain) = (place.name.clone(), place.domain.as_str().into());
            let (role, state) = (Role::Entry, State::Live);
            members.push(wire::Member { name, role, domain, address, state });
        }
        self.route(format!("{viewer}/log/log"), self.log.addr);
        let list = self.lists[viewer].addr;
        self.route(format!("{viewer}/list/list"), list);
        let body = json!(members).to_string();
        let put = request(Method::PUT, list, "/v1/instances", &[], body.as_bytes());
        assert_eq!(put.expect("an answer of the list").status, 200);
    }

    fn peer_route(&mut self, viewer: &str, place: &Place) -> SocketAddr {
        if place.domain == viewer && !self.peers_proxied {
            return place.peer;
        }
        self.route(format!("{viewer}/entry/{}", place.name), place.peer)
    }

    /// Opens a route, or goes without when there is no proxy.
    fn route(&mut self, name: String, target: SocketAddr) -> SocketAddr {
        let Some(proxy) = &self.proxy else {
            return target;
        };
        let listen = SocketAddr::new(proxy.addr.ip(), 0);
        let path = proxy::Path { name: name.clone(), listen, target };
        let route: proxy::Snapshot = post_json(proxy.addr, "/v1/routes", &path).json();
        self.routes.insert(name, route.listen);
        route.listen
    }

    /// Where the entry instances of `viewer` reach the platform.
    pub fn platform(&self, viewer: &str) -> Platform {
        let routed = |name: &str, direct| {
            self.routes.get(&format!("{viewer}/{name}")).copied().unwrap_or(direct)
        };
        let list = self.lists[viewer].addr;
        Platform { log: routed("log/log", self.log.addr), list: routed("list/list", list) }
    }

    fn seen_place(&self, viewer: &Place, place: &Place) -> Place {
        let route = self.routes.get(&format!("{}/entry/{}", viewer.domain, place.name));
        let route = route.filter(|_| viewer.name != place.name);
        Place { peer: route.copied().unwrap_or(place.peer), ..place.clone() }
    }
}
