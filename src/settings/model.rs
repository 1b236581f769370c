//! The checked settings that the rest of the program works with.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Level, Secret, Weighs};
use crate::runner::share::Position;
use crate::{domain, http, runner};

/// Settings of one entry instance, checked as a whole.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry instance, unique in its failure domain.
    pub instance: String,
    /// Failure domain this instance stands in.
    pub domain: domain::Name,
    /// Addresses this instance listens on.
    pub addresses: Addresses,
    /// The platform's append-only log.
    pub log: Log,
    /// The platform's list of instances.
    pub instance_list: InstanceList,
    /// Every failure domain there is, this instance's own among them.
    pub domains: Vec<Domain>,
    /// Entry instances to start from, without this one.
    pub peers: Vec<Peer>,
    /// Calls between entry instances.
    pub peer_calls: PeerCalls,
    /// The owner of a failure domain.
    pub owner: Owner,
    /// Limits on callers' connections and requests.
    pub http: Http,
    /// Limits on what may wait.
    pub queues: Queues,
    /// What placement weighs more.
    pub weighs: Weighs,
    /// Services whose quick requests this instance takes.
    pub services: Vec<Service>,
    /// What operators must present, if anything.
    pub operator_token: Option<Secret>,
    /// Least severe level of this process's log lines.
    pub log_level: Level,
}

impl Settings {
    /// Settings with the defaults for all but what has none.
    ///
    /// ```
    /// use oriolefork::settings::{Addresses, InstanceList, Log, Settings};
    /// let addresses = Addresses {
    ///     api: "127.0.0.1:7400".parse()?,
    ///     peer: "127.0.0.1:7401".parse()?,
    /// };
    /// let log = Log::at(vec!["127.0.0.1:7300".parse()?]);
    /// let list = InstanceList::at("127.0.0.1:7310".parse()?);
    /// let settings = Settings::new("oamaru-1", &"oamaru-hall".into(), addresses, log, list);
    /// assert_eq!(settings.domains.len(), 1);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(
        instance: &str,
        domain: &domain::Name,
        addresses: Addresses,
        log: Log,
        instance_list: InstanceList,
    ) -> Self {
        Self {
            instance: instance.to_owned(),
            domain: domain.clone(),
            addresses,
            log,
            instance_list,
            domains: vec![Domain::without_region(domain)],
            peers: Vec::new(),
            peer_calls: PeerCalls::default(),
            owner: Owner::default(),
            http: Http::default(),
            queues: Queues::default(),
            weighs: Weighs::default(),
            services: Vec::new(),
            operator_token: None,
            log_level: Level::default(),
        }
    }

    /// Entry instances of this failure domain, without this one.
    pub fn domain_peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| peer.domain == self.domain)
    }

    /// Place of this instance among those of its failure domain, in the order of their names.
    pub fn position(&self) -> Position {
        let earlier = self.domain_peers().filter(|peer| peer.name < self.instance).count();
        let count = self.domain_peers().count() + 1;
        // The file's size bounds the number of peers far below `u32::MAX`.
        Position { index: earlier as u32, count: count as u32 }
    }
}

/// Addresses this instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Callers and operators, HTTP.
    pub api: SocketAddr,
    /// Other entry instances.
    pub peer: SocketAddr,
}

/// The platform's append-only log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// Where the log is reached, in the order in which they are tried; at least one.
    pub addresses: Vec<SocketAddr>,
    /// How long one call may take.
    pub timeout: Duration,
}

/// The platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceList {
    /// Where the list is reached.
    pub address: SocketAddr,
    /// Pause between two fetches.
    pub poll: Duration,
    /// How long one fetch may take.
    pub timeout: Duration,
}

/// A failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// Its name.
    pub name: domain::Name,
    /// Region it lies in.
    pub region: String,
}

/// Region of failure domains for which the settings name none.
const NO_REGION: &str = "local";

impl Domain {
    /// A failure domain for which no region is known.
    pub fn without_region(name: &domain::Name) -> Self {
        Self { name: name.clone(), region: NO_REGION.to_owned() }
    }
}

/// Another entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Failure domain it stands in.
    pub domain: domain::Name,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Calls between entry instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerCalls {
    /// How long one call may take.
    pub timeout: Duration,
}

/// The owner of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Lease of a task.
    pub lease: Duration,
    /// Added to the lease before a task on a silent worker counts as surely gone.
    pub lease_margin: Duration,
    /// How long a worker may hold its answer back while nothing changes.
    pub exchange_wait: Duration,
    /// How long an exchange with a worker may take on top of that.
    pub exchange_timeout: Duration,
    /// Pause between two heartbeats of the owner to the other instances of its domain.
    pub heartbeat: Duration,
    /// Silence of the owner after which another instance claims its place.
    pub claim_timeout: Duration,
    /// Longest that a record waits for others to share its append.
    pub commit_delay: Duration,
    /// Records after which a new snapshot is written.
    pub snapshot_records: u64,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Http {
    /// Most bytes in the head of a request.
    pub head_bytes: usize,
    /// Most bytes in the body of a request.
    pub body_bytes: usize,
    /// How long a request may take to arrive whole.
    pub read_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
    /// Most connections at once.
    pub connections: usize,
    /// How long a graceful shutdown waits for requests in flight.
    pub shutdown_grace: Duration,
}

impl Http {
    /// The bounds that a server of callers' connections takes.
    pub const fn limits(&self) -> http::Limits {
        http::Limits {
            head_bytes: self.head_bytes,
            body_bytes: self.body_bytes,
            read_timeout: self.read_timeout,
            idle_timeout: self.idle_timeout,
            connections: self.connections,
            message_bytes: http::Limits::MESSAGE_BYTES,
        }
    }
}

/// Limits on what may wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Queues {
    /// Most quick requests that wait at this instance for a runner's slot.
    pub requests: usize,
    /// Longest estimated wait for a slot at which a quick request is still taken.
    pub request_wait: Duration,
    /// Longest that a runner works on one quick request.
    pub request_run: Duration,
    /// Time after the start for which own slots rest; `None` for what routing takes by itself.
    pub request_restart_wait: Option<Duration>,
    /// Time a caller gives a quick request when it names no deadline.
    pub caller_timeout: Duration,
}

impl Queues {
    /// How quick requests are routed.
    pub fn routing(&self) -> runner::Policy {
        runner::Policy {
            run_limit: self.request_run,
            queue_burst: self.request_wait,
            queue_length: self.requests,
            ..runner::Policy::default()
        }
    }
}

/// A service whose quick requests are taken.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// What its callers must present, if anything.
    pub token: Option<Secret>,
}
