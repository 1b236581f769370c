//! Simulated instances over an in-memory log, driven message by message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oriolefork::clock::{Instant, Unix};
use oriolefork::config::gossip::{Digest, Peer};
use oriolefork::config::machine::Timing;
use oriolefork::config::publish::Id;
use oriolefork::config::{
    Change, Effect, Machine, Message, Publication, PublishOutcome, Value, Version,
};
use oriolefork::store::{self, Page, Record};

/// A log that keeps records from `oldest` on.
#[derive(Default)]
pub struct Log {
    pub records: Vec<Bytes>,
    pub oldest: usize,
}

impl Log {
    pub fn page(&self, from: u64) -> Page {
        let from = usize::try_from(from).unwrap().max(self.oldest);
        let records = (from..self.records.len())
            .map(|index| Record { offset: index as u64, payload: self.records[index].clone() })
            .collect();
        Page { records, oldest: self.oldest as u64, end: self.records.len() as u64 }
    }
}

/// An instance with the effects it has produced.
pub struct Node {
    pub peer: Peer,
    pub machine: Machine,
    pub answers: BTreeMap<Id, PublishOutcome>,
    pub in_force: Vec<Rc<Value>>,
    pub appends: Vec<(Id, Bytes)>,
    pub snapshots: Vec<Bytes>,
    pub exchanges: Vec<(SocketAddr, Digest)>,
    pub fetches: Vec<SocketAddr>,
}

/// The instances, the log and the simulated time.
pub struct Cluster {
    pub log: Log,
    pub nodes: Vec<Node>,
    pub now: Instant,
    pub timing: Timing,
    next_id: u128,
}

impl Cluster {
    /// Creates one instance for each entry of `domains`; every instance has all others as peers.
    pub fn new(domains: &[&str]) -> Self {
        let timing = Timing { snapshot_interval: Duration::from_secs(3_600), ..Timing::default() };
        let now = Instant::from_millis(1_000);
        let mut cluster = Self { log: Log::default(), nodes: Vec::new(), now, timing, next_id: 0 };
        for (index, domain) in domains.iter().enumerate() {
            let port = 7_000 + u16::try_from(index).unwrap();
            let peer = Peer {
                name: format!("entry-{index}"),
                domain: (*domain).into(),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
            };
            let node = cluster.node(peer);
            cluster.nodes.push(node);
        }
        for index in 0..cluster.nodes.len() {
            cluster.set_peers(index);
        }
        cluster
    }

    fn node(&self, peer: Peer) -> Node {
        let seed = u64::from(peer.address.port());
        let machine = Machine::new(&peer.name, &peer.domain, self.timing.clone(), seed, self.now);
        Node {
            peer,
            machine,
            answers: BTreeMap::new(),
            in_force: Vec::new(),
            appends: Vec::new(),
            snapshots: Vec::new(),
            exchanges: Vec::new(),
            fetches: Vec::new(),
        }
    }

    fn set_peers(&mut self, index: usize) {
        let own = self.nodes[index].peer.clone();
        let peers = self.nodes.iter().map(|node| node.peer.clone());
        let peers = peers.filter(|peer| *peer != own).collect();
        self.deliver(index, Message::Peers(peers));
    }

    /// Replaces an instance by a new process without state.
    pub fn restart(&mut self, index: usize) {
        self.nodes[index] = self.node(self.nodes[index].peer.clone());
        self.set_peers(index);
    }

    pub fn unix(&self) -> Unix {
        Unix::from_millis(1_800_000_000_000 + self.now.as_millis())
    }

    pub fn advance(&mut self, span: Duration) {
        self.now = self.now.after(span);
    }

    /// Delivers a message to an instance and records the effects.
    pub fn deliver(&mut self, index: usize, message: Message) {
        let (now, unix) = (self.now, self.unix());
        let node = &mut self.nodes[index];
        for effect in node.machine.handle(now, unix, message) {
            match effect {
                Effect::Append(id, payload) => node.appends.push((id, payload)),
                Effect::Snapshot(payload) => node.snapshots.push(payload),
                Effect::Answer(id, outcome) => {
                    assert!(node.answers.insert(id, outcome).is_none(), "answered twice: {id}");
                }
                Effect::InForce(value) => node.in_force.push(value),
                Effect::SendDigest(peer, digest) => node.exchanges.push((peer, digest)),
                Effect::FetchState(peer) => node.fetches.push(peer),
            }
        }
    }

    /// Requests a change based on `base` at an instance.
    pub fn publish(&mut self, index: usize, by: &str, base: u64, change: Change) -> Id {
        self.next_id += 1;
        let id = Id::from_raw(self.next_id);
        let base = Version::from_raw(base);
        let at = self.unix();
        let publication = Publication { id, base, by: by.to_owned(), at, change };
        self.deliver(index, Message::Publish(publication));
        id
    }

    /// Writes an instance's appends to the log and reports success.
    pub fn flush(&mut self, index: usize) {
        for (id, payload) in std::mem::take(&mut self.nodes[index].appends) {
            self.log.records.push(payload);
            self.deliver(index, Message::Appended(id));
        }
        for payload in std::mem::take(&mut self.nodes[index].snapshots) {
            self.log.records.push(payload);
        }
    }

    /// Fails an instance's appends with `outcome`, after writing them if `written` is set.
    pub fn fail_appends(&mut self, index: usize, written: bool, outcome: store::AppendOutcome) {
        for (id, payload) in std::mem::take(&mut self.nodes[index].appends) {
            if written {
                self.log.records.push(payload);
            }
            self.deliver(index, Message::AppendFailed(id, outcome));
        }
    }

    /// Lets an instance read the log up to its end.
    pub fn read(&mut self, index: usize) {
        let page = self.log.page(self.nodes[index].machine.position());
        self.deliver(index, Message::Page(page));
    }

    pub fn read_all(&mut self) {
        for index in 0..self.nodes.len() {
            self.read(index);
        }
    }

    pub fn tick(&mut self, index: usize) {
        self.deliver(index, Message::Tick);
    }

    /// Delivers the digests and fetches of all instances, as far as `reaches` allows.
    pub fn gossip(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        for from in 0..self.nodes.len() {
            for (address, digest) in std::mem::take(&mut self.nodes[from].exchanges) {
                let to = self.index(address);
                if reaches(from, to) {
                    self.deliver(to, Message::DigestReceived(digest));
                    let answer = self.nodes[to].machine.digest(self.now);
                    self.deliver(from, Message::DigestReceived(answer));
                }
            }
            self.fetch(from, &reaches);
        }
    }

    fn fetch(&mut self, from: usize, reaches: &impl Fn(usize, usize) -> bool) {
        for address in std::mem::take(&mut self.nodes[from].fetches) {
            let to = self.index(address);
            let state = self.nodes[to].machine.state().cloned();
            let message = match state {
                Some(state) if reaches(from, to) => Message::StateReceived(state),
                _ => Message::FetchFailed,
            };
            self.deliver(from, message);
        }
    }

    fn index(&self, address: SocketAddr) -> usize {
        self.nodes.iter().position(|node| node.peer.address == address).unwrap()
    }

    /// Returns the version in force at an instance.
    pub fn version(&self, index: usize) -> Option<u64> {
        self.nodes[index].machine.value().map(|value| value.version.raw())
    }
}
