//! Stand-ins in threads of their own, so that their processor time is not the daemons'.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::mpsc;
use std::thread;

use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::resource::Amount;
use oriolefork::shutdown::Shutdown;
use oriolefork::standin::{Bound, instances, log, proxy, worker};

use super::web::{get_json, post_json};

/// Any free port of this machine.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

const CAPACITY: Amount = Amount { cpu_millis: 64_000, memory_mib: 131_072, accelerators: 2 };

/// Binds in a new thread and serves there until the program ends.
fn run(bind: impl FnOnce() -> Vec<Bound> + Send + 'static) -> Vec<SocketAddr> {
    let (sender, addresses) = mpsc::channel();
    thread::spawn(move || {
        let builder = RuntimeBuilder::<LegacyDriver>::new();
        let mut runtime = builder.enable_timer().build().expect("a runtime");
        runtime.block_on(async {
            let bound = bind();
            let address = |bound: &Bound| bound.local_addr().expect("an address");
            sender.send(bound.iter().map(address).collect()).expect("a receiver");
            let serving =
                bound.into_iter().map(|bound| monoio::spawn(bound.serve(Shutdown::new())));
            futures_util::future::join_all(serving).await;
        });
    });
    addresses.recv().expect("stand-ins that start")
}

/// The platform's log.
pub fn log() -> SocketAddr {
    run(|| vec![log::bind(ANY, log::Options::default()).expect("a log")])[0]
}

/// Lists of instances, one for each viewer.
pub fn lists(count: usize) -> Vec<SocketAddr> {
    let list = |_| instances::bind(ANY, instances::Options::default()).expect("a list");
    run(move || (0..count).map(list).collect())
}

/// Workers.
pub fn workers(count: usize) -> Vec<SocketAddr> {
    let worker = |_| worker::bind(ANY, worker::Options::new(CAPACITY)).expect("a worker");
    run(move || (0..count).map(worker).collect())
}

/// What the log has taken in and given out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Log {
    /// Appends of all streams.
    pub appends: u64,
    /// Bytes appended.
    pub bytes: u64,
    /// Reads answered.
    pub reads: u64,
}

impl Log {
    /// Counts of the log at `address`.
    pub fn of(address: SocketAddr) -> Self {
        let state: log::Snapshot = get_json(address, "/v1/state");
        state.streams.values().fold(Self::default(), |sum, stream| Self {
            appends: sum.appends + stream.appends,
            bytes: sum.bytes + stream.bytes,
            reads: sum.reads + stream.reads,
        })
    }
}

/// A proxy that counts the bytes of each of its routes.
pub struct Proxy {
    control: SocketAddr,
}

impl Proxy {
    /// A proxy without routes.
    pub fn start() -> Self {
        Self { control: run(|| vec![proxy::bind(ANY, &[]).expect("a proxy")])[0] }
    }

    /// Opens a route to `target` and returns where clients connect.
    pub fn route(&self, name: String, target: SocketAddr) -> SocketAddr {
        let path = proxy::Path { name, listen: ANY, target };
        let opened: proxy::Snapshot = post_json(self.control, "/v1/routes", &path).json();
        opened.listen
    }

    /// Bytes both ways of each kind of route; the kind is what stands before the first `/`.
    pub fn bytes(&self) -> BTreeMap<String, u64> {
        let routes: BTreeMap<String, proxy::Snapshot> = get_json(self.control, "/v1/state");
        let mut sums = BTreeMap::new();
        for (name, route) in routes {
            let kind = name.split('/').next().unwrap_or_default().to_owned();
            *sums.entry(kind).or_default() += route.to_server + route.to_client;
        }
        sums
    }
}
