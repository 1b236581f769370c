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
    let mut reader = Reader::default();
    let addresses = reader.addresses(&written.addresses);
    let log = reader.log(&written.log);
    let instance_list = reader.instance_list(&written.instance_list);
    let peers = reader.peers(&written);
    let problems = reader.problems(&written, addresses);
    let settings = Settings {
        domains: domains(&written),
        instance: written.instance,
        domain: written.domain.into(),
        addresses,
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

/// Reads addresses, and remembers them and those that it could not read.
#[derive(Default)]
struct Reader {
    seen: clashes::Addresses,
    unreadable: Vec<Problem>,
}

impl Reader {
    fn addresses(&mut self, written: &wire::Addresses) -> Addresses {
        Addresses {
            api: self.read("addresses.api".to_owned(), &written.api, true),
            peer: self.read("addresses.peer".to_owned(), &written.peer, true),
        }
    }

    fn log(&mut self, written: &wire::Log) -> Log {
        let texts = written.addresses.iter().enumerate();
        let read = |(index, text): (usize, &String)| {
            self.read(format!("log.addresses[{index}]"), text, false)
        };
        Log { addresses: texts.map(read).collect(), timeout: span(written.timeout_ms) }
    }

    fn instance_list(&mut self, written: &wire::InstanceList) -> InstanceList {
        InstanceList {
            address: self.read("instance_list.address".to_owned(), &written.address, false),
            poll: span(written.poll_ms),
            timeout: span(written.timeout_ms),
        }
    }

    fn peers(&mut self, written: &wire::Settings) -> Vec<Peer> {
        let listed = written.peers.iter().enumerate();
        let others = listed.filter(|(_, peer)| !clashes::is_self(written, peer));
        let read = |(index, peer): (usize, &wire::Peer)| Peer {
            name: peer.name.clone(),
            domain: peer.domain.as_str().into(),
            address: self.read(format!("peers[{index}].address"), &peer.address, false),
        };
        others.map(read).collect()
    }

    /// Reads the address at `path`, on which this instance `listens` or to which it connects.
    fn read(&mut self, path: String, text: &str, listens: bool) -> SocketAddr {
        match parse(&path, text) {
            Ok(address) => {
                self.seen.add(path, address, listens);
                address
            }
            Err(problem) => {
                self.unreadable.push(problem);
                UNREADABLE
            }
        }
    }

    /// Everything wrong with the settings, once all addresses were read.
    fn problems(self, written: &wire::Settings, own: Addresses) -> Problems {
        let mut problems = Problems::default();
        problems.extend(contradictions::find(written));
        problems.extend(clashes::names(written));
        problems.extend(clashes::tokens(written));
        problems.extend(self.unreadable);
        problems.extend(clashes::reachable(own.peer));
        problems.extend(self.seen.clashes());
        problems
    }
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
