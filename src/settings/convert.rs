//! From the settings as written to the checked ones.

use std::net::SocketAddr;
use std::time::Duration;

use super::model::{
    Addresses, Domain, Http, InstanceList, Log, Owner, Peer, PeerCalls, Queues, Service, Settings,
};
use super::report::{Problem, Problems};
use super::{Secret, clashes, contradictions, wire};

impl TryFrom<wire::Settings> for Settings {
    type Error = Problems;

    fn try_from(written: wire::Settings) -> Result<Self, Problems> {
        let (settings, problems) = convert(written);
        if problems.is_empty() { Ok(settings) } else { Err(problems) }
    }
}

/// Stands for an address that could not be read, so that the other checks can go on.
const UNREADABLE: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Converts `written` and lists everything wrong with it; the settings hold only when that is
/// nothing.
fn convert(written: wire::Settings) -> (Settings, Problems) {
    let mut problems = Problems::default();
    problems.extend(contradictions::find(&written));
    problems.extend(clashes::names(&written));
    problems.extend(clashes::tokens(&written));
    let mut addresses = clashes::Addresses::default();
    let mut read = |path: String, text: &str, listens: bool| match parse(&path, text) {
        Ok(address) => {
            addresses.add(path, address, listens);
            address
        }
        Err(problem) => {
            problems.push(problem);
            UNREADABLE
        }
    };
    let own = Addresses {
        api: read("addresses.api".to_owned(), &written.addresses.api, true),
        peer: read("addresses.peer".to_owned(), &written.addresses.peer, true),
    };
    let log = written.log.addresses.iter().enumerate();
    let log = log.map(|(index, text)| read(format!("log.addresses[{index}]"), text, false));
    let log = Log { addresses: log.collect(), timeout: span(written.log.timeout_ms) };
    let list = &written.instance_list;
    let instance_list = InstanceList {
        address: read("instance_list.address".to_owned(), &list.address, false),
        poll: span(list.poll_ms),
        timeout: span(list.timeout_ms),
    };
    let mut peers = Vec::new();
    for (index, peer) in written.peers.iter().enumerate() {
        if clashes::is_self(&written, peer) {
            continue;
        }
        let address = read(format!("peers[{index}].address"), &peer.address, false);
        peers.push(Peer { name: peer.name.clone(), domain: peer.domain.as_str().into(), address });
    }
    problems.extend(clashes::reachable(own.peer));
    problems.extend(addresses.clashes());
    let settings = Settings {
        domains: domains(&written),
        instance: written.instance,
        domain: written.domain.into(),
        addresses: own,
        log,
        instance_list,
        peers,
        peer_calls: written.peer_calls.into(),
        owner: written.owner.into(),
        http: written.http.into(),
        queues: written.queues.into(),
        weighs: written.weighs,
        services: written.services.into_iter().map(Service::from).collect(),
        operator_token: written.operators.token.map(Secret::new),
        log_level: written.logging.level,
    };
    (settings, problems)
}

fn parse(path: &str, text: &str) -> Result<SocketAddr, Problem> {
    let address: SocketAddr = text.parse().map_err(|_| {
        Problem::new(
            path,
            format!("{text:?} is not an address"),
            "write IP:PORT with numbers, such as \"10.1.0.11:7400\"",
        )
    })?;
    if address.port() == 0 {
        let fault = format!("{text:?} has no port");
        return Err(Problem::new(path, fault, "write a port from 1 to 65535"));
    }
    Ok(address)
}

/// The failure domains named, or else those of this instance and its peers.
fn domains(written: &wire::Settings) -> Vec<Domain> {
    if !written.domains.is_empty() {
        return written.domains.iter().map(Domain::from).collect();
    }
    let peers = written.peers.iter().map(|peer| &peer.domain);
    let mut names: Vec<&String> = peers.chain([&written.domain]).collect();
    names.sort();
    names.dedup();
    names.into_iter().map(|name| Domain::without_region(&name.as_str().into())).collect()
}

const fn span(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A size; the schema's ranges keep it far below what `usize` holds.
fn size(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

impl From<&wire::Domain> for Domain {
    fn from(written: &wire::Domain) -> Self {
        Self { name: written.name.as_str().into(), region: written.region.clone() }
    }
}

impl From<wire::PeerCalls> for PeerCalls {
    fn from(written: wire::PeerCalls) -> Self {
        Self { timeout: span(written.timeout_ms) }
    }
}

impl From<wire::Owner> for Owner {
    fn from(written: wire::Owner) -> Self {
        Self {
            lease: span(written.lease_ms),
            lease_margin: span(written.lease_margin_ms),
            exchange_wait: span(written.exchange_wait_ms),
            exchange_timeout: span(written.exchange_timeout_ms),
            heartbeat: span(written.heartbeat_ms),
            claim_timeout: span(written.claim_timeout_ms),
            commit_delay: span(written.commit_delay_ms),
            commit_bytes: size(written.commit_bytes),
            snapshot_records: written.snapshot_records,
        }
    }
}

impl From<wire::Http> for Http {
    fn from(written: wire::Http) -> Self {
        Self {
            head_bytes: size(written.head_bytes),
            body_bytes: size(written.body_bytes),
            read_timeout: span(written.read_timeout_ms),
            idle_timeout: span(written.idle_timeout_ms),
            connections: size(written.connections),
            shutdown_grace: span(written.shutdown_grace_ms),
        }
    }
}

impl From<wire::Queues> for Queues {
    fn from(written: wire::Queues) -> Self {
        Self {
            jobs: size(written.jobs),
            requests: size(written.requests),
            request_wait: span(written.request_wait_ms),
            request_run: span(written.request_run_ms),
            request_restart_wait: written.request_restart_wait_ms.map(span),
            caller_timeout: span(written.caller_timeout_ms),
        }
    }
}

impl From<wire::Service> for Service {
    fn from(written: wire::Service) -> Self {
        Self { name: written.name, token: written.token.map(Secret::new) }
    }
}

impl Log {
    /// A log at `addresses` with the default limits.
    pub const fn at(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses, timeout: span(wire::log_timeout()) }
    }
}

impl InstanceList {
    /// A list at `address` with the default limits.
    pub const fn at(address: SocketAddr) -> Self {
        Self { address, poll: span(wire::list_poll()), timeout: span(wire::list_timeout()) }
    }
}

impl Default for PeerCalls {
    fn default() -> Self {
        wire::PeerCalls::default().into()
    }
}

impl Default for Owner {
    fn default() -> Self {
        wire::Owner::default().into()
    }
}

impl Default for Http {
    fn default() -> Self {
        wire::Http::default().into()
    }
}

impl Default for Queues {
    fn default() -> Self {
        wire::Queues::default().into()
    }
}
