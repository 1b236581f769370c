//! One failure domain: the platform and the workers as stand-ins, entry instances as processes.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use oriolefork::api::wire::status::{Domain, Status};
use oriolefork::standin::worker;
use serde_json::{Value, json};
use ureq::http::Method;

use super::gauge::Reading;
use super::platform::{self, Proxy};
use super::web::{get, get_json, request};
use super::{address, web};

const ENTRY: &str = env!("CARGO_BIN_EXE_oriolefork-entry");
const DOMAIN: &str = "hall-0";
const API_PORT: u16 = 7_000;
const PEER_PORT: u16 = 7_001;
const RACK: usize = 8;
const PATIENCE: Duration = Duration::from_secs(60);
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// Sizes of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Workers of the domain.
    pub workers: usize,
    /// Entry instances of the domain.
    pub instances: usize,
    /// Instances of other failure domains on the list.
    pub foreign: usize,
    /// How long a worker may hold an exchange back, in milliseconds.
    pub wait_ms: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self { workers: 91, instances: 3, foreign: 0, wait_ms: 3_000 }
    }
}

/// An entry instance.
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Where callers reach it.
    pub api: SocketAddr,
    peer: SocketAddr,
    platform: (SocketAddr, SocketAddr),
    wait_ms: u64,
    child: Option<Child>,
}

/// A running failure domain.
pub struct Site {
    /// The log.
    pub log: SocketAddr,
    /// Counts bytes between entry instances and all else.
    pub proxy: Proxy,
    /// Entry instances.
    pub entries: Vec<Entry>,
    workers: Vec<SocketAddr>,
}

impl Site {
    /// Starts everything and waits until an owner reaches all workers.
    pub fn start(plan: Plan) -> Self {
        let proxy = Proxy::start();
        let log = platform::log();
        let lists = platform::lists(plan.instances);
        let workers = platform::workers(plan.workers);
        let seen = workers.iter().enumerate();
        let seen: Vec<_> = seen.map(|(i, at)| proxy.route(format!("worker/{i}"), *at)).collect();
        let entry = |index: usize| {
            let ip = IpAddr::V4(address::unique());
            let log = proxy.route(format!("log/{index}"), log);
            let list = proxy.route(format!("list/{index}"), lists[index]);
            Entry {
                name: format!("entry-{index}"),
                api: SocketAddr::new(ip, API_PORT),
                peer: SocketAddr::new(ip, PEER_PORT),
                platform: (log, list),
                wait_ms: plan.wait_ms,
                child: None,
            }
        };
        let entries = (0..plan.instances).map(entry).collect();
        let mut site = Self { log, proxy, entries, workers };
        site.publish(&lists, &seen, plan.foreign);
        site.entries.iter_mut().for_each(Entry::start);
        site.wait_for_workers();
        site
    }

    /// Gives each instance its list, in which the others stand behind routes that count.
    fn publish(&self, lists: &[SocketAddr], workers: &[SocketAddr], foreign: usize) {
        let upstreams = workers.iter().enumerate().map(|(index, at)| member(DOMAIN, index, *at));
        let others = (0..foreign).map(|index| member("hall-1", index, platform::ANY));
        let common: Vec<Value> = upstreams.chain(others).collect();
        for (viewer, list) in lists.iter().enumerate() {
            let entry = |(index, entry): (usize, &Entry)| {
                let route = || self.proxy.route(format!("peer/{viewer}-{index}"), entry.peer);
                let at = if index == viewer { entry.peer } else { route() };
                json!({ "name": entry.name, "role": "entry", "domain": DOMAIN, "address": at,
                    "state": "live" })
            };
            let entries = self.entries.iter().enumerate().map(entry);
            let members: Vec<Value> = entries.chain(common.iter().cloned()).collect();
            let body = json!(members).to_string();
            let put = request(Method::PUT, *list, "/v1/instances", &[], body.as_bytes());
            assert_eq!(put.expect("an answer of the list").status, 200);
        }
    }

    /// Index of the owner, once one that runs is known by an instance that runs.
    pub fn owner(&self) -> Option<usize> {
        let running = self.entries.iter().filter(|entry| entry.child.is_some());
        let mut claims = running.filter_map(|entry| {
            let owner = entry.status()?.owner?;
            (owner == entry.name).then_some(owner)
        });
        let owner = claims.next_back()?;
        self.entries.iter().position(|entry| entry.name == owner)
    }

    /// Index of an entry instance that runs and is not the owner, or the owner when it is alone.
    pub fn follower(&self, owner: usize) -> usize {
        let other = |(index, entry): &(usize, &Entry)| *index != owner && entry.child.is_some();
        self.entries.iter().enumerate().find(other).map_or(owner, |(index, _)| index)
    }

    /// Waits until an owner says that it reaches every worker.
    pub fn wait_for_workers(&self) {
        let all = u32::try_from(self.workers.len()).expect("a count");
        eventually("an owner reaches the workers", || {
            let status = self.entries[self.owner()?].status()?;
            (status.workers.live >= all).then_some(())
        });
    }

    /// Puts `tasks` tasks on the workers that run until the program ends; a fifth are services.
    pub fn fill(&self, tasks: usize, per_job: usize) {
        let owner = self.owner().expect("an owner");
        for number in 0..tasks / per_job {
            let kind = if number % 5 == 0 { "long-running" } else { "batch" };
            let mut spec = job(kind, per_job, r#"{"run_ms":0,"end":"never"}"#);
            spec["demand"]["cpu-millis"] = 1_500.into();
            self.entries[owner].submit(&format!("fill-{number}"), &spec);
        }
        eventually("all tasks run", || (self.running() >= tasks).then_some(()));
    }

    /// Tasks that run by the workers' own word.
    pub fn running(&self) -> usize {
        self.worker_states().map(|state| state.running).sum()
    }

    /// Starts that the workers have counted.
    pub fn starts(&self) -> u64 {
        self.worker_states().map(|state| state.starts).sum()
    }

    fn worker_states(&self) -> impl Iterator<Item = worker::Snapshot> {
        self.workers.iter().map(|worker| get_json(*worker, "/v1/state"))
    }
}

impl Entry {
    /// Starts the process.
    pub fn start(&mut self) {
        let (log, list) = self.platform;
        let settings = json!({
            "instance": self.name,
            "domain": DOMAIN,
            "addresses": { "api": self.api, "peer": self.peer },
            "log": { "addresses": [log] },
            "instance_list": { "address": list },
            "owner": { "exchange_wait_ms": self.wait_ms, "lease_ms": lease_ms(self.wait_ms) },
        });
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        let path = dir.join(format!("capacity-{}.json", self.api.ip()));
        fs::write(&path, settings.to_string()).expect("write settings");
        let output = File::create(path.with_extension("log")).expect("create an output file");
        let errors = output.try_clone().expect("share an output file");
        let mut command = Command::new(ENTRY);
        command.arg("--settings").arg(path).stdin(Stdio::null()).stdout(output).stderr(errors);
        self.child = Some(command.spawn().expect("start an entry instance"));
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("kill a child");
            child.wait().expect("wait for a child");
        }
    }

    /// What the process has used.
    pub fn reading(&self) -> Reading {
        Reading::of(self.child.as_ref().expect("a running process").id())
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.api, "/readyz").is_ok_and(|reply| reply.status == 200)
    }

    /// What it says of the failure domain.
    pub fn status(&self) -> Option<Domain> {
        let reply = get(self.api, "/v1/status").ok().filter(|reply| reply.status == 200)?;
        let status: Status = serde_json::from_slice(&reply.body).ok()?;
        status.domains.into_iter().find(|domain| domain.name == DOMAIN)
    }

    /// Submits a job until it is accepted and returns its id.
    pub fn submit(&self, key: &str, spec: &Value) -> String {
        submit(self.api, key, spec)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Submits a job at `api` until it is accepted and returns its id.
pub fn submit(api: SocketAddr, key: &str, spec: &Value) -> String {
    let (headers, body) = ([("idempotency-key", key)], spec.to_string());
    eventually("a job is accepted", || {
        let reply = request(Method::POST, api, "/v1/jobs", &headers, body.as_bytes()).ok()?;
        let taken = matches!(reply.status, 200 | 201);
        taken.then(|| web::Reply::json::<Value>(&reply)["job"].as_str().map(str::to_owned))?
    })
}

/// Waits until the job is past waiting at `api`.
pub fn wait_started(api: SocketAddr, job: &str) {
    eventually("a job starts", || {
        let reply = get(api, &format!("/v1/jobs/{job}")).ok()?;
        let state = reply.json::<Value>()["state"].as_str()?.to_owned();
        matches!(state.as_str(), "running" | "succeeded").then_some(())
    });
}

/// A job of `tasks` tasks.
pub fn job(kind: &str, tasks: usize, payload: &str) -> Value {
    json!({
        "name": "capacity", "team": "council", "kind": kind, "tasks": tasks, "payload": payload,
        "demand": { "cpu-millis": 100, "memory-mib": 64 },
    })
}

/// Calls `check` until it yields something.
pub fn eventually<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "not within {PATIENCE:?}: {what}");
        thread::sleep(LOOK_AGAIN);
    }
}

/// A lease that outlasts two exchanges with their timeouts; 10 s for a wait of 3 s, as by default.
fn lease_ms(wait_ms: u64) -> u64 {
    2 * (wait_ms + 1_000) + 2_000
}

fn member(domain: &str, index: usize, address: SocketAddr) -> Value {
    let role = json!({ "worker": { "rack": format!("rack-{}", index / RACK) } });
    json!({ "name": format!("worker-{index}"), "role": role, "domain": domain,
        "address": address, "state": "live" })
}
