//! The settings file as it is written: plain JSON values with their defaults and ranges.
//!
//! A key that holds a span or a size names its unit: `_ms` for milliseconds, `_bytes` for bytes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What names may look like: lower-case letters, digits and inner hyphens, at most 63.
pub const NAME_PATTERN: &str = "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$";

/// The whole file.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "Settings of an entry instance", inline)]
pub struct Settings {
    /// Name of this entry instance, unique in its failure domain.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub instance: String,
    /// Failure domain this instance stands in.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub domain: String,
    /// Addresses this instance listens on.
    pub addresses: Addresses,
    /// The platform's append-only log.
    pub log: Log,
    /// The platform's list of instances.
    pub instance_list: InstanceList,
    /// Every failure domain there is. When left out, the domains of this instance and its peers.
    #[serde(default)]
    pub domains: Vec<Domain>,
    /// Entry instances to start from: all of this failure domain and some of each other one.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Calls between entry instances.
    #[serde(default)]
    pub peer_calls: PeerCalls,
    /// The owner of a failure domain: leases, takeover, group commit, snapshots.
    #[serde(default)]
    pub owner: Owner,
    /// Limits on callers' connections and requests.
    #[serde(default)]
    pub http: Http,
    /// Limits on what may wait.
    #[serde(default)]
    pub queues: Queues,
    /// What placement weighs more where the two contradict each other.
    #[serde(default)]
    pub weighs: Weighs,
    /// Services whose quick requests this instance takes.
    #[serde(default)]
    #[schemars(length(max = 256))]
    pub services: Vec<Service>,
    /// Operators' access.
    #[serde(default)]
    pub operators: Operators,
    /// This process's own log lines.
    #[serde(default)]
    pub logging: Logging,
}

/// Addresses this instance listens on, as `IP:PORT`.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(inline)]
pub struct Addresses {
    /// Callers and operators, HTTP.
    pub api: String,
    /// Other entry instances; they are told this address, so it must be reachable from them.
    pub peer: String,
}

/// The platform's append-only log.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(inline)]
pub struct Log {
    /// Where the log is reached, as `IP:PORT`, in the order in which they are tried.
    #[schemars(length(min = 1, max = 16))]
    pub addresses: Vec<String>,
    /// How long one call may take.
    #[serde(default = "log_timeout")]
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
}

/// Default of [`Log::timeout_ms`].
pub const fn log_timeout() -> u64 {
    1_000
}

/// The platform's list of instances.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(inline)]
pub struct InstanceList {
    /// Where the list is reached, as `IP:PORT`.
    pub address: String,
    /// Pause between two fetches.
    #[serde(default = "list_poll")]
    #[schemars(range(min = 50, max = 60_000))]
    pub poll_ms: u64,
    /// How long one fetch may take.
    #[serde(default = "list_timeout")]
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
}

/// Default of [`InstanceList::poll_ms`].
pub const fn list_poll() -> u64 {
    1_000
}

/// Default of [`InstanceList::timeout_ms`].
pub const fn list_timeout() -> u64 {
    1_000
}

/// A failure domain.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(inline)]
pub struct Domain {
    /// Its name.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: String,
    /// Region it lies in.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub region: String,
}

/// Another entry instance; this instance's own entry may stand in the list too.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(inline)]
pub struct Peer {
    /// Its name.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: String,
    /// Failure domain it stands in.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub domain: String,
    /// Its peer address, as `IP:PORT`.
    pub address: String,
}

/// Calls between entry instances.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(inline)]
pub struct PeerCalls {
    /// How long one call may take.
    #[schemars(range(min = 10, max = 60_000))]
    pub timeout_ms: u64,
}

impl Default for PeerCalls {
    fn default() -> Self {
        Self { timeout_ms: 500 }
    }
}

/// The owner of a failure domain.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(inline)]
pub struct Owner {
    /// Lease of a task: a worker stops its tasks when no exchange renewed it for so long.
    #[schemars(range(min = 100, max = 3_600_000))]
    pub lease_ms: u64,
    /// Added to the lease before a task on a silent worker counts as surely gone.
    #[schemars(range(min = 20, max = 600_000))]
    pub lease_margin_ms: u64,
    /// How long a worker may hold its answer back while nothing changes: the pace of renewals.
    #[schemars(range(min = 10, max = 60_000))]
    pub exchange_wait_ms: u64,
    /// How long an exchange with a worker may take on top of that.
    #[schemars(range(min = 10, max = 60_000))]
    pub exchange_timeout_ms: u64,
    /// Pause between two heartbeats of the owner to the other instances of its domain.
    #[schemars(range(min = 10, max = 60_000))]
    pub heartbeat_ms: u64,
    /// Silence of the owner after which another instance claims its place.
    #[schemars(range(min = 50, max = 600_000))]
    pub claim_timeout_ms: u64,
    /// Longest that a record waits for others to share its append.
    #[schemars(range(min = 0, max = 1_000))]
    pub commit_delay_ms: u64,
    /// Records after which a new snapshot is written.
    #[schemars(range(min = 10, max = 1_000_000))]
    pub snapshot_records: u64,
}

impl Default for Owner {
    fn default() -> Self {
        Self {
            lease_ms: 10_000,
            lease_margin_ms: 2_000,
            exchange_wait_ms: 3_000,
            exchange_timeout_ms: 1_000,
            heartbeat_ms: 400,
            claim_timeout_ms: 1_600,
            commit_delay_ms: 20,
            snapshot_records: 2_000,
        }
    }
}

/// Limits on callers' connections and requests.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(inline)]
pub struct Http {
    /// Most bytes in the head of a request.
    #[schemars(range(min = 1_024, max = 32_768))]
    pub head_bytes: u64,
    /// Most bytes in the body of a request.
    #[schemars(range(min = 1_024, max = 67_108_864))]
    pub body_bytes: u64,
    /// How long a request may take to arrive whole.
    #[schemars(range(min = 50, max = 600_000))]
    pub read_timeout_ms: u64,
    /// How long a connection may stay idle.
    #[schemars(range(min = 50, max = 3_600_000))]
    pub idle_timeout_ms: u64,
    /// Most connections at once.
    #[schemars(range(min = 1, max = 65_536))]
    pub connections: u64,
    /// How long a graceful shutdown waits for requests in flight.
    #[schemars(range(min = 0, max = 600_000))]
    pub shutdown_grace_ms: u64,
}

impl Default for Http {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 1_024 * 1_024,
            read_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
            connections: 1_024,
            shutdown_grace_ms: 35_000,
        }
    }
}

/// Limits on what may wait.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(inline)]
pub struct Queues {
    /// Most quick requests that wait at this instance for a runner's slot.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub requests: u64,
    /// Longest estimated wait for a slot at which a quick request is still taken.
    #[schemars(range(min = 1, max = 600_000))]
    pub request_wait_ms: u64,
    /// Longest that a runner works on one quick request. The same for all instances of a domain.
    #[schemars(range(min = 10, max = 600_000))]
    pub request_run_ms: u64,
    /// Time after the start for which the instance leaves its own slots of runners alone, because
    /// requests of an earlier process may still run there. By default somewhat more than the run
    /// time; less only where the platform surely starts no replacement earlier.
    #[schemars(range(min = 0, max = 1_200_000))]
    pub request_restart_wait_ms: Option<u64>,
    /// Time a caller gives a quick request when it names no deadline.
    #[schemars(range(min = 10, max = 120_000))]
    pub caller_timeout_ms: u64,
}

impl Default for Queues {
    fn default() -> Self {
        Self {
            requests: 4_096,
            request_wait_ms: 250,
            request_run_ms: 5_000,
            request_restart_wait_ms: None,
            caller_timeout_ms: 10_000,
        }
    }
}

/// What placement weighs more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(inline)]
pub enum Weighs {
    /// Short waits.
    #[default]
    Waiting,
    /// Full workers.
    Packing,
}

/// A service whose quick requests are taken.
#[derive(Clone, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(inline)]
pub struct Service {
    /// Its name.
    #[schemars(regex(pattern = NAME_PATTERN))]
    pub name: String,
    /// What its callers must present; none when left out. Secret.
    #[serde(default)]
    #[schemars(with = "String", length(min = 16, max = 256))]
    pub token: Option<String>,
}

/// Operators' access.
#[derive(Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(inline)]
pub struct Operators {
    /// What operators must present; none when left out. Secret.
    #[serde(default)]
    #[schemars(with = "String", length(min = 16, max = 256))]
    pub token: Option<String>,
}

/// This process's own log lines.
#[derive(Clone, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
#[schemars(inline)]
pub struct Logging {
    /// Least severe level that is written.
    pub level: Level,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(inline)]
pub enum Level {
    /// Nothing is written.
    Off,
    /// What an operator must act on.
    Error,
    /// What an operator should know of.
    Warn,
    /// What the process does.
    #[default]
    Info,
    /// What a developer needs.
    Debug,
    /// Each message.
    Trace,
}
