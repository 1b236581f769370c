//! Takeover of a cell from an owner that does not answer its peers.

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
    PolicyService, PollReport, PollRequest, ReadError, RosterUpdate, SnapshotError, StartCommand,
    WorkerClient, WorkerError,
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

/// Number of journal reads after which an instance has decided several times whether to claim.
const MANY_READS: u32 = 10;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Journal that counts calls, with an owner of epoch 1 that appends before each read if `appends` is
/// set.
struct CountingJournal {
    owner: SocketAddr,
    appends: bool,
    end: Cell<u64>,
    reads: Cell<u32>,
    claims: Cell<u32>,
}

impl Journal for CountingJournal {
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
        self.end.set(self.end.get() + u64::from(self.appends));
        let end = self.end.get();
        async move { Ok(Page { records: Vec::new(), next_offset: end, end_offset: end }) }
            .boxed_local()
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
        std::future::pending().boxed_local()
    }

    fn owner_record(&self, _cell: Id) -> LocalBoxFuture<'_, Result<Option<OwnerRecord>, String>> {
        let record = OwnerRecord { epoch: Epoch(1), peer: self.owner, cpu_millis: 250 };
        async move { Ok(Some(record)) }.boxed_local()
    }
}

/// Workers, a policy service and a discovery service that never respond.
pub(super) struct Unresponsive;

impl WorkerClient for Unresponsive {
    fn poll<'a>(
        &'a self,
        _peer: SocketAddr,
        _worker: &'a str,
        _request: &'a PollRequest,
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<PollReport, WorkerError>> {
        std::future::pending().boxed_local()
    }

    fn start<'a>(
        &'a self,
        _peer: SocketAddr,
        _worker: &'a str,
        _command: &'a StartCommand,
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

impl PolicyService for Unresponsive {
    fn eligible_workers<'a>(
        &'a self,
        _step: &'a StepKey,
        _workers: &'a [WorkerId],
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Eligibility, String>> {
        std::future::pending().boxed_local()
    }
}

impl Discovery for Unresponsive {
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

/// Follows an owner whose host accepts connections but sends no response, until `done` holds.
/// Returns how often the cell was claimed.
fn follow_unresponsive_owner(appends: bool, done: impl Fn(&CountingJournal) -> bool) -> u32 {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let owner = silent.local_addr().expect("an address");
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    // The instance outlives the test, so its runtime must not be dropped.
    let mut runtime = ManuallyDrop::new(builder.enable_timer().build().expect("a runtime"));
    runtime.block_on(async {
        let journal = Rc::new(CountingJournal {
            owner,
            appends,
            end: Cell::new(7),
            reads: Cell::new(0),
            claims: Cell::new(0),
        });
        let limits =
            peer::Limits { keepalive: Duration::from_millis(100), ..peer::Limits::default() };
        let clock: Rc<dyn Clock> = Rc::new(System::start());
        let deps = Dependencies {
            journal: journal.clone(),
            workers: Rc::new(Unresponsive),
            policy_service: Rc::new(Unresponsive),
            discovery: Rc::new(Unresponsive),
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
        Node::new(identity, 1, Timings::default(), Rc::new(deps), stop).start();
        let start = Instant::now();
        while !done(&journal) {
            assert!(start.elapsed() < LIMIT, "the condition did not hold within {LIMIT:?}");
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        journal.claims.get()
    })
}

/// An overloaded owner does not answer its peers in time, but still appends to the journal.
/// Replacing it does not help: the next owner has the same load and more, and the cell changed its
/// owner every second.
#[test]
fn unresponsive_owner_that_appends_is_kept() {
    let done =
        |journal: &CountingJournal| journal.reads.get() >= MANY_READS || journal.claims.get() > 0;
    assert_eq!(follow_unresponsive_owner(true, done), 0);
}

/// The kernel accepts connections for a suspended process too. An owner that neither answers nor
/// appends must be replaced.
#[test]
fn unresponsive_owner_that_appends_nothing_is_replaced() {
    assert!(follow_unresponsive_owner(false, |journal| journal.claims.get() > 0) > 0);
}
