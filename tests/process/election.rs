//! When an instance takes a cell over from an owner that does not answer.

use std::cell::Cell;
use std::mem::ManuallyDrop;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::cell::activity::ThreadProfiler;
use oriolefork::cell::dependencies::{
    AppendError, Discovery, Eligibility, Journal, JournalSnapshot, OwnerRecord, Page,
    PolicyService, PollReport, PollRequest, ReadError, RosterUpdate, StartCommand, WorkerClient,
    WorkerError,
};
use oriolefork::cell::job::{Run, StepKey};
use oriolefork::cell::node::{Identity, Node};
use oriolefork::cell::owner::Dependencies;
use oriolefork::cell::queue::QueueConfig;
use oriolefork::cell::record::WorkerId;
use oriolefork::cell::timings::Timings;
use oriolefork::cell::{Epoch, Id};
use oriolefork::clock::{Clock, System};
use oriolefork::peer;
use oriolefork::shutdown::Shutdown;

use crate::harness::LIMIT;

/// Reads of the journal after which an instance has thought about a claim several times.
const MANY_READS: u32 = 10;

const POLL_PAUSE: Duration = Duration::from_millis(5);

/// A journal whose owner of epoch 1 writes at each read, or has stopped.
struct Watched {
    owner: SocketAddr,
    writes: bool,
    end: Cell<u64>,
    reads: Cell<u32>,
    claims: Cell<u32>,
}

impl Journal for Watched {
    fn append<'a>(
        &'a self,
        _cell: Id,
        _epoch: Epoch,
        _sequence: u64,
        _batch: Bytes,
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, AppendError>> {
        self.claims.set(self.claims.get() + 1);
        std::future::pending().boxed_local()
    }

    fn read(&self, _cell: Id, _from: u64) -> LocalBoxFuture<'_, Result<Page, ReadError>> {
        self.reads.set(self.reads.get() + 1);
        self.end.set(self.end.get() + u64::from(self.writes));
        let end = self.end.get();
        async move { Ok(Page { records: Vec::new(), next_offset: end, end_offset: end }) }
            .boxed_local()
    }

    fn snapshot(&self, _cell: Id) -> LocalBoxFuture<'_, Result<JournalSnapshot, String>> {
        async { Ok(JournalSnapshot::default()) }.boxed_local()
    }

    fn save_snapshot<'a>(
        &'a self,
        _cell: Id,
        _epoch: Epoch,
        _sequence: u64,
        _base: &'a JournalSnapshot,
    ) -> LocalBoxFuture<'a, Result<(), String>> {
        std::future::pending().boxed_local()
    }

    fn publish_owner(
        &self,
        _cell: Id,
        _sequence: u64,
        _sign: OwnerRecord,
    ) -> LocalBoxFuture<'_, Result<(), AppendError>> {
        std::future::pending().boxed_local()
    }

    fn owner_record(&self, _cell: Id) -> LocalBoxFuture<'_, Result<Option<OwnerRecord>, String>> {
        let sign = OwnerRecord { epoch: Epoch(1), peer: self.owner, cpu_millis: 250 };
        async move { Ok(Some(sign)) }.boxed_local()
    }
}

/// Workers, a policy service and lists that nobody reaches.
struct Nobody;

impl WorkerClient for Nobody {
    fn poll<'a>(
        &'a self,
        _peer: SocketAddr,
        _worker: &'a str,
        _look: &'a PollRequest,
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<PollReport, WorkerError>> {
        std::future::pending().boxed_local()
    }

    fn start<'a>(
        &'a self,
        _peer: SocketAddr,
        _worker: &'a str,
        _start: &'a StartCommand,
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, WorkerError>> {
        std::future::pending().boxed_local()
    }

    fn stop<'a>(
        &'a self,
        _peer: SocketAddr,
        _worker: &'a str,
        _run: Run,
        _epoch: Epoch,
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<u64, WorkerError>> {
        std::future::pending().boxed_local()
    }
}

impl PolicyService for Nobody {
    fn eligible_workers<'a>(
        &'a self,
        _step: &'a StepKey,
        _workers: &'a [WorkerId],
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Eligibility, String>> {
        std::future::pending().boxed_local()
    }
}

impl Discovery for Nobody {
    fn reset(&self) {}

    fn roster_update(&self) -> LocalBoxFuture<'_, Result<RosterUpdate, String>> {
        std::future::pending().boxed_local()
    }

    fn newer_config(
        &self,
        _version: u64,
        _wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Option<QueueConfig>, String>> {
        std::future::pending().boxed_local()
    }
}

/// Follows an owner whose machine takes connections and answers nothing, until `enough`; returns how
/// often its cell was claimed.
fn follow_silent_owner(writes: bool, enough: impl Fn(&Watched) -> bool) -> u32 {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let owner = silent.local_addr().expect("an address");
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    // The instance outlives the story; the runtime must not be dropped under it.
    let mut runtime = ManuallyDrop::new(builder.enable_timer().build().expect("a runtime"));
    runtime.block_on(async {
        let journal = Rc::new(Watched {
            owner,
            writes,
            end: Cell::new(7),
            reads: Cell::new(0),
            claims: Cell::new(0),
        });
        let limits =
            peer::Limits { keepalive: Duration::from_millis(100), ..peer::Limits::default() };
        let clock: Rc<dyn Clock> = Rc::new(System::start());
        let borders = Dependencies {
            journal: journal.clone(),
            workers: Rc::new(Nobody),
            policy_service: Rc::new(Nobody),
            discovery: Rc::new(Nobody),
            peers: Rc::new(peer::Client::new(limits)),
            clock,
            profiler: ThreadProfiler::new(),
        };
        let identity = Identity {
            me: ([127, 0, 0, 1], 9).into(),
            incarnation: 1 << 20,
            cpu_millis: 250,
            domain: "hall".into(),
        };
        let stop = Shutdown::new();
        Node::new(identity, 1, Timings::default(), Rc::new(borders), stop).start();
        let start = Instant::now();
        while !enough(&journal) {
            assert!(start.elapsed() < LIMIT, "nothing came of it within {LIMIT:?}");
            monoio::time::sleep(POLL_PAUSE).await;
        }
        journal.claims.get()
    })
}

/// An owner with more to do than it can answers nobody in time. Replaced by one that begins with the
/// same work and more, which answered nobody either, the cell changed hands each second.
#[test]
fn owner_that_is_silent_and_writes_is_kept() {
    let enough = |journal: &Watched| journal.reads.get() >= MANY_READS || journal.claims.get() > 0;
    assert_eq!(follow_silent_owner(true, enough), 0);
}

/// A process that is suspended takes connections as well, and its cell must not wait for it.
#[test]
fn owner_that_is_silent_and_writes_nothing_is_replaced() {
    assert!(follow_silent_owner(false, |journal| journal.claims.get() > 0) > 0);
}
