//! Names and addresses that must differ and do not, or must agree and do not.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::report::Problem;
use super::wire;

/// Whether `peer` is the instance that the settings are for.
pub(super) fn is_self(settings: &wire::Settings, peer: &wire::Peer) -> bool {
    peer.name == settings.instance && peer.domain == settings.domain
}

/// Problems with the names of failure domains, peers and services.
pub(super) fn names(settings: &wire::Settings) -> Vec<Problem> {
    let domains = settings.domains.iter().map(|domain| domain.name.clone());
    let peers = settings.peers.iter().map(|peer| format!("{}/{}", peer.domain, peer.name));
    let services = settings.services.iter().map(|service| service.name.clone());
    let mut problems = repeated("domains", domains);
    problems.extend(repeated("peers", peers));
    problems.extend(repeated("services", services));
    problems.extend(unknown_domains(settings));
    problems.extend(own_entry(settings));
    problems
}

fn repeated(list: &str, names: impl Iterator<Item = String>) -> Vec<Problem> {
    let mut first = HashMap::new();
    let mut problems = Vec::new();
    for (index, name) in names.enumerate() {
        if let Some(earlier) = first.get(&name) {
            problems.push(Problem::new(
                format!("{list}[{index}]"),
                format!("{name:?} stands already at {list}[{earlier}]"),
                "remove one of the two or rename it",
            ));
        } else {
            first.insert(name, index);
        }
    }
    problems
}

fn unknown_domains(settings: &wire::Settings) -> Vec<Problem> {
    if settings.domains.is_empty() {
        return Vec::new();
    }
    let named = [("domain".to_owned(), &settings.domain)].into_iter();
    let peers = settings.peers.iter().enumerate();
    let peers = peers.map(|(index, peer)| (format!("peers[{index}].domain"), &peer.domain));
    let unknown = named
        .chain(peers)
        .filter(|(_, name)| settings.domains.iter().all(|domain| domain.name != **name));
    let problem = |(path, name)| {
        let fault = format!("{name:?} is not among the failure domains listed in domains");
        Problem::new(path, fault, "add it to domains with its region, or correct the name")
    };
    unknown.map(problem).collect()
}

/// The settings may list this instance among the peers, so that all can share one list; but then
/// the two must agree.
fn own_entry(settings: &wire::Settings) -> Option<Problem> {
    let index = settings.peers.iter().position(|peer| is_self(settings, peer))?;
    let listed = &settings.peers[index].address;
    let own = &settings.addresses.peer;
    (listed != own).then(|| {
        Problem::new(
            format!("peers[{index}].address"),
            format!("{listed:?} is listed for this instance, whose addresses.peer is {own:?}"),
            "make the two equal",
        )
    })
}

/// Problems with secrets that open more than one door.
pub(super) fn tokens(settings: &wire::Settings) -> Vec<Problem> {
    let operators = settings.operators.token.iter().map(|token| ("operators.token".into(), token));
    let services = settings.services.iter().enumerate();
    let services = services.filter_map(|(index, service)| {
        Some((format!("services[{index}].token"), service.token.as_ref()?))
    });
    let mut first: HashMap<&String, String> = HashMap::new();
    let mut problems = Vec::new();
    for (path, token) in operators.chain(services) {
        if let Some(earlier) = first.get(token) {
            let fault = format!("is the same secret as {earlier}");
            problems.push(Problem::new(path, fault, "give each its own secret"));
        } else {
            first.insert(token, path);
        }
    }
    problems
}

/// The peer address is told to others, so it must be one that they can reach.
pub(super) fn reachable(peer: SocketAddr) -> Option<Problem> {
    (peer.ip().is_unspecified() && peer.port() != 0).then(|| {
        Problem::new(
            "addresses.peer",
            format!("{peer} means every address of the machine, which peers cannot connect to"),
            "write the address by which other entry instances reach this one",
        )
    })
}

/// Every address in the settings, each with its place.
#[derive(Default)]
pub(super) struct Addresses {
    seen: Vec<Address>,
}

struct Address {
    path: String,
    socket: SocketAddr,
    listens: bool,
}

impl Addresses {
    /// Adds an address; `listens` tells those of this instance from those it connects to.
    pub(super) fn add(&mut self, path: String, socket: SocketAddr, listens: bool) {
        self.seen.push(Address { path, socket, listens });
    }

    /// Addresses that stand at two places.
    pub(super) fn clashes(&self) -> Vec<Problem> {
        let later = self.seen.iter().enumerate();
        let clash = |(index, address): (usize, &Address)| {
            let earlier = self.seen[..index].iter().find(|earlier| earlier.clashes(address))?;
            Some(Problem::new(
                &*address.path,
                format!("{} clashes with {} = {}", address.socket, earlier.path, earlier.socket),
                "give each its own address or port",
            ))
        };
        later.filter_map(clash).collect()
    }
}

impl Address {
    fn clashes(&self, other: &Self) -> bool {
        let wildcard = self.socket.ip().is_unspecified() || other.socket.ip().is_unspecified();
        let both_listen = self.listens && other.listens;
        self.socket == other.socket
            || (both_listen && wildcard && self.socket.port() == other.socket.port())
    }
}
