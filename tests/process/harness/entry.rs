//! How an entry instance is started: the one place that knows its settings and command line.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use serde_json::{Value, json};
use ureq::http::Method;

use super::cluster::SERVICE;
use super::process::Process;
use super::{Reply, address, eventually, get, request};

const ENTRY: &str = env!("CARGO_BIN_EXE_oriolefork-entry");
const API_PORT: u16 = 7_000;
const PEER_PORT: u16 = 7_001;

/// Where an entry instance stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers and operators reach it.
    pub api: SocketAddr,
    /// Where other entry instances reach it.
    pub peer: SocketAddr,
}

/// The platform as one failure domain sees it.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// The log.
    pub log: SocketAddr,
    /// The list of instances.
    pub list: SocketAddr,
}

/// An entry instance.
pub struct Entry {
    /// Where it stands.
    pub place: Place,
    /// Its process.
    pub process: Process,
}

impl Place {
    /// Takes addresses for an entry instance.
    pub fn new(name: String, domain: String) -> Self {
        let ip = IpAddr::V4(address::unique());
        let (api, peer) = (SocketAddr::new(ip, API_PORT), SocketAddr::new(ip, PEER_PORT));
        Self { name, domain, api, peer }
    }
}

impl Entry {
    /// Starts an entry instance without waiting for it.
    pub fn start(place: Place, platform: Platform, peers: &[Place], extra: &Value) -> Self {
        let mut settings = settings(&place, platform, peers);
        merge(&mut settings, extra);
        let file = format!("settings-{}-{}.json", place.name, place.api.ip());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&path, settings.to_string()).expect("write settings");
        let args = ["--settings".to_owned(), path.display().to_string()];
        let process = Process::start(&place.name, ENTRY, &args);
        Self { place, process }
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_ready(&mut self) {
        eventually("an entry instance is ready", || {
            let output = self.process.output();
            assert!(self.process.ended().is_none(), "an entry instance ended: {output}");
            get(self.place.api, "/readyz").ok().filter(|reply| reply.status == 200)
        });
    }

    /// Submits a job under an idempotency key.
    pub fn submit(&self, key: &str, spec: &Value) -> Result<Reply, ureq::Error> {
        let (headers, body) = ([("idempotency-key", key)], spec.to_string());
        request(Method::POST, self.place.api, "/v1/jobs", &headers, body.as_bytes())
    }

    /// Asks for a job.
    pub fn job(&self, id: &str) -> Result<Reply, ureq::Error> {
        get(self.place.api, &format!("/v1/jobs/{id}"))
    }

    /// Sends a quick request of [`SERVICE`] under a request id.
    pub fn run(&self, id: &str, body: &[u8]) -> Result<Reply, ureq::Error> {
        let path = format!("/v1/services/{SERVICE}/requests");
        request(Method::POST, self.place.api, &path, &[("x-request-id", id)], body)
    }
}

/// Settings of an entry instance as the harness writes them.
pub fn settings(place: &Place, platform: Platform, peers: &[Place]) -> Value {
    let peer =
        |peer: &Place| json!({ "name": peer.name, "domain": peer.domain, "address": peer.peer });
    json!({
        "instance": place.name,
        "domain": place.domain,
        "addresses": { "api": place.api, "peer": place.peer },
        "log": { "addresses": [platform.log] },
        "instance_list": { "address": platform.list, "poll_ms": 100 },
        "peers": peers.iter().map(peer).collect::<Vec<_>>(),
        "services": [{ "name": SERVICE }],
    })
}

/// Lays `extra` over `settings`, object by object.
fn merge(settings: &mut Value, extra: &Value) {
    match (settings, extra) {
        (Value::Object(settings), Value::Object(extra)) => {
            for (key, value) in extra {
                merge(settings.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (_, Value::Null) => {}
        (settings, extra) => *settings = extra.clone(),
    }
}
