//! How instances follow an owner, by the number of its followers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::cell::activity::ThreadProfiler;
use oriolefork::cell::config_message::{ConfigMessage, RouteTable};
use oriolefork::cell::dependencies::{
    AppendError, Discovery, Journal, JournalSnapshot, OwnerRecord, Page, ReadError, SnapshotError,
};
use oriolefork::cell::node::{Identity, Node};
use oriolefork::cell::owner::Dependencies;
use oriolefork::cell::peer::{
    ANNOUNCE, Announcement, CONFIG, FRESH_CONFIG, HandoverOffer, WATCH, WatchRequest, WatchResponse,
};
use oriolefork::cell::queue::QueueConfig;
use oriolefork::cell::timings::Timings;
use oriolefork::cell::watch::Hold;
use oriolefork::cell::{Epoch, Id};
use oriolefork::clock::{Clock, System};
use oriolefork::codec;
use oriolefork::peer::{self, Handler, Refusal};
use oriolefork::shutdown::Shutdown;

use crate::election::Unresponsive;
use crate::harness::LIMIT;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Address of the instance under test, to which nothing connects.
const FOLLOWER: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// Journal in memory, with the record of an owner of epoch 1 if there is one.
#[derive(Default)]
struct MemoryJournal {
    owner: Option<SocketAddr>,
    records: RefCell<Vec<Bytes>>,
}

impl Journal for MemoryJournal {
    fn append<'a>(
        &'a self,
        _cell: Id,
        _epoch: Epoch,
        _sequence: u64,
        batch: Bytes,
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, AppendError>> {
        self.records.borrow_mut().push(batch);
        let end = self.records.borrow().len() as u64;
        async move { Ok(end) }.boxed_local()
    }

    fn read(&self, _cell: Id, from: u64) -> LocalBoxFuture<'_, Result<Page, ReadError>> {
        let records: Vec<Bytes> =
            self.records.borrow().iter().skip(from as usize).cloned().collect();
        let end = self.records.borrow().len() as u64;
        async move { Ok(Page { records, next_offset: end, end_offset: end }) }.boxed_local()
    }

    fn snapshot(&self, _cell: Id) -> LocalBoxFuture<'_, Result<JournalSnapshot, SnapshotError>> {
        async { Ok(JournalSnapshot::default()) }.boxed_local()
    }

    fn save_snapshot<'a>(
        &'a self,
        _cell: Id,
        _epoch: Epoch,
        _sequence: u64,
        _snapshot: &'a JournalSnapshot,
    ) -> LocalBoxFuture<'a, Result<(), String>> {
        std::future::pending().boxed_local()
    }

    fn publish_owner(
        &self,
        _cell: Id,
        _sequence: u64,
        _record: OwnerRecord,
    ) -> LocalBoxFuture<'_, Result<(), AppendError>> {
        async { Ok(()) }.boxed_local()
    }

    fn owner_record(&self, _cell: Id) -> LocalBoxFuture<'_, Result<Option<OwnerRecord>, String>> {
        let record = |peer| OwnerRecord { epoch: Epoch(1), peer, cpu_millis: 250 };
        let record = self.owner.map(record);
        async move { Ok(record) }.boxed_local()
    }
}

/// An owner with a given number of followers, of which the instance under test has a given position.
pub(super) struct FakeOwner {
    /// Its configuration.
    pub(super) config: RefCell<QueueConfig>,
    /// Number of times that it was asked for a configuration that is not older than the call.
    pub(super) fresh_configs: Cell<u32>,
    pub(super) address: SocketAddr,
    followers: usize,
    position: usize,
    /// Methods of the watch requests received.
    watches: RefCell<Vec<String>>,
    answered: Cell<usize>,
    /// Addresses of the connections on which they came.
    connections: RefCell<BTreeSet<SocketAddr>>,
    /// Time for which its thread is blocked by a request for an extended hold, as part of it.
    pause: Duration,
}

impl FakeOwner {
    /// Serves an owner on a free port.
    pub(super) fn serve(followers: usize, position: usize) -> Rc<Self> {
        Self::serve_with_pause(followers, position, Duration::ZERO)
    }

    fn serve_with_pause(followers: usize, position: usize, pause: Duration) -> Rc<Self> {
        let address = "127.0.0.1:0".parse().expect("an address");
        let server = peer::Server::bind(address, peer::Limits::default()).expect("a free port");
        let owner = Rc::new(Self {
            config: RefCell::new(QueueConfig::new(1, Vec::new(), Vec::new())),
            fresh_configs: Cell::new(0),
            address: server.local_addr().expect("an address"),
            followers,
            position,
            watches: RefCell::default(),
            answered: Cell::new(0),
            connections: RefCell::default(),
            pause,
        });
        monoio::spawn(server.serve(owner.clone(), Shutdown::new(), LIMIT));
        owner
    }

    /// Number of watch requests that ask for an extended hold.
    fn extended_watches(&self) -> usize {
        self.watches.borrow().iter().filter(|method| method.contains('?')).count()
    }

    fn order(&self) -> Vec<SocketAddr> {
        let other =
            |number: usize| ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_160).into();
        let mut order: Vec<SocketAddr> = (0..self.followers).map(other).collect();
        order[self.position] = FOLLOWER.into();
        order
    }
}

impl Handler for FakeOwner {
    fn handle(
        &self,
        peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>> {
        self.connections.borrow_mut().insert(peer);
        if method.contains('?') {
            thread::sleep(self.pause);
        }
        let method = method.to_owned();
        async move {
            if method == CONFIG || method == FRESH_CONFIG {
                self.fresh_configs
                    .set(self.fresh_configs.get() + u32::from(method == FRESH_CONFIG));
                let message = ConfigMessage::from(&*self.config.borrow());
                return Ok(codec::encode(&message).expect("a message"));
            }
            let request: WatchRequest = peer::decode(&body)?;
            let query = method.split_once('?').map_or("", |(_, query)| query);
            let hold = Hold::from_query(query).duration();
            self.watches.borrow_mut().push(method);
            monoio::time::sleep(hold.saturating_sub(self.pause)).await;
            self.answered.set(self.answered.get() + 1);
            let is_known = request.succession_digest == 1;
            let response = WatchResponse {
                is_owner: true,
                owner: Some(self.address),
                cpu_millis: 250,
                journal_end: 0,
                offer: HandoverOffer::NotOffered,
                succession_order: (!is_known).then(|| self.order()),
                succession_digest: 1,
                config: Some(RouteTable::notice(self.config.borrow().version)),
            };
            Ok(codec::encode(&response).expect("a message"))
        }
        .boxed_local()
    }
}

/// Starts an instance that finds this owner, if any.
fn start_instance(owner: Option<SocketAddr>) -> Rc<Node> {
    start_with_discovery(owner, Rc::new(Unresponsive))
}

/// The same with a discovery service.
pub(super) fn start_with_discovery(
    owner: Option<SocketAddr>,
    discovery: Rc<dyn Discovery>,
) -> Rc<Node> {
    let limits = peer::Limits { keepalive: Duration::from_millis(100), ..peer::Limits::default() };
    let clock: Rc<dyn Clock> = Rc::new(System::start());
    let deps = Dependencies {
        journal: Rc::new(MemoryJournal { owner, ..MemoryJournal::default() }),
        workers: Rc::new(Unresponsive),
        policy_service: Rc::new(Unresponsive),
        discovery,
        peers: Rc::new(peer::Client::new(limits)),
        clock,
        profiler: ThreadProfiler::new(),
    };
    let identity = Identity {
        me: FOLLOWER.into(),
        incarnation: (1 << 20) | 1_023,
        cpu_millis: 500,
        domain: "hall".into(),
    };
    let node = Node::new(identity, 1, Timings::default(), Rc::new(deps), Shutdown::new());
    node.start();
    node
}

pub(super) fn run(test: impl Future<Output = ()>) {
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    // Instances outlive the test, so their runtime must not be dropped.
    let mut runtime = ManuallyDrop::new(builder.enable_timer().build().expect("a runtime"));
    runtime.block_on(test);
}

pub(super) async fn until(done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < LIMIT, "the condition did not hold within {LIMIT:?}");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The owner of 1,000 instances was busy with their watches alone. All but the first ask for a
/// longer hold as soon as they know the order of succession.
#[test]
fn follower_of_many_asks_for_an_extended_hold() {
    run(async {
        let owner = FakeOwner::serve(1_000, 500);
        let _node = start_instance(Some(owner.address));
        until(|| owner.extended_watches() > 1).await;
        assert_eq!(
            *owner.watches.borrow(),
            [WATCH, "cell/watch?hold_ms=679", "cell/watch?hold_ms=679"]
        );
    });
}

/// The first in the order of succession must notice a lost owner at once on a large site too, and
/// on a small site nothing may change.
#[test]
fn follower_keeps_the_shortest_hold() {
    for (followers, position) in [(1_000, 1), (298, 250)] {
        run(async {
            let owner = FakeOwner::serve(followers, position);
            let _node = start_instance(Some(owner.address));
            until(|| owner.watches.borrow().len() > 4).await;
            assert_eq!(owner.extended_watches(), 0);
        });
    }
}

/// An instance that waits for a longer hold is in contact. It must neither report that it is not
/// ready nor send its callers away.
#[test]
fn follower_is_ready_during_an_extended_hold() {
    run(async {
        let owner = FakeOwner::serve(7_000, 500);
        let node = start_instance(Some(owner.address));
        until(|| owner.extended_watches() > 0).await;
        monoio::time::sleep(Duration::from_millis(1_300)).await;
        assert_eq!(owner.answered.get(), 1);
        assert!(node.is_ready());
        assert!(!node.close_idle_signal().is_triggered());
    });
}

/// An instance whose owner is frozen during a longer hold waited for its answer, reported that it
/// was not ready and was missing at the new owner. It follows an owner that announces itself.
#[test]
fn follower_leaves_an_extended_hold_for_an_announced_owner() {
    run(async {
        let frozen = FakeOwner::serve(7_000, 500);
        let successor = FakeOwner::serve(7_000, 500);
        let node = start_instance(Some(frozen.address));
        until(|| frozen.extended_watches() > 0).await;
        let announcement = Announcement { cell: Id(0), epoch: Epoch(2), owner: successor.address };
        let body = codec::encode(&announcement).expect("a message");
        node.handle(successor.address, ANNOUNCE, body).await.expect("an answer");
        until(|| !successor.watches.borrow().is_empty()).await;
        assert_eq!(frozen.answered.get(), 1);
        assert_eq!(successor.watches.borrow()[0], WATCH);
    });
}

/// A busy owner left the probes of its followers unanswered for 0.2 s, and each of 1,000 opened another
/// connection. An instance with a longer hold probes less often and waits longer.
#[test]
fn follower_keeps_its_connection_to_a_busy_owner() {
    let (addresses, address) = mpsc::channel();
    let (counts, count) = mpsc::channel();
    thread::spawn(move || {
        run(async {
            let owner = FakeOwner::serve_with_pause(3_000, 500, Duration::from_secs(1));
            addresses.send(owner.address).expect("a test");
            until(|| owner.watches.borrow().len() > 2).await;
            counts.send(owner.connections.borrow().len()).expect("a test");
        });
    });
    run(async {
        let _node = start_instance(address.recv().ok());
        let connections = RefCell::new(None);
        until(|| {
            let mut connections = connections.borrow_mut();
            *connections = count.try_recv().ok();
            connections.is_some()
        })
        .await;
        assert_eq!(connections.into_inner(), Some(1));
    });
}

/// An instance of an earlier version gives up after 700 ms and would replace an owner that holds its
/// request longer. Only a request that asks for it is held longer.
#[test]
fn owner_holds_a_watch_as_long_as_stated() {
    run(async {
        let node = start_instance(None);
        until(|| node.owner_handle(Id(0)).is_some()).await;
        let watch = |method: &'static str, limit| {
            let request = WatchRequest {
                cell: Id(0),
                follower: ([10, 0, 0, 1], 7_160).into(),
                domain: "hall".into(),
                config_version: 0,
                cpu_millis: 250,
                long_poll: true,
                succession_digest: 0,
            };
            let body = codec::encode(&request).expect("a message");
            let answer = node.handle(request.follower, method, body);
            monoio::time::timeout(limit, answer)
        };
        assert!(watch("cell/watch?hold_ms=5000", Duration::from_secs(1)).await.is_err());
        assert!(watch(WATCH, Duration::from_secs(4)).await.is_ok_and(|answer| answer.is_ok()));
    });
}
