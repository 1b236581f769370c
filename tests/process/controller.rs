//! The controller task, with dependencies that never respond.

use std::cell::Cell;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use monoio::{LegacyDriver, RuntimeBuilder};
use oriolefork::clock::{Clock, System};
use oriolefork::domain::Instance;
use oriolefork::entry::controller::{Controller, Dependencies};
use oriolefork::entry::directory::Directory;
use oriolefork::entry::reachability::ReachabilityReporter;
use oriolefork::entry::readiness::Readiness;
use oriolefork::membership::follow::{Setup, start};
use oriolefork::membership::probe::TcpProbe;
use oriolefork::membership::view::ViewPolicy;
use oriolefork::membership::{self, Member, Source};
use oriolefork::owner::Timings;
use oriolefork::owner::machine::Machine;
use oriolefork::peer;
use oriolefork::placement::{Objective, Policy, Preset};
use oriolefork::shutdown::Shutdown;
use oriolefork::store::{self, Offset, Page, Store};
use oriolefork::worker::{self, Exchange, Report, WorkerTransport};

use crate::harness::LIMIT;

const DOMAIN: &str = "kurow-hall";

/// Shorter than a tick of the controller.
const INSPECTION_INTERVAL: Duration = Duration::from_millis(1);

/// Log that counts its reads and never responds.
#[derive(Default)]
struct CountingStore {
    reads: Cell<u32>,
}

impl Store for CountingStore {
    fn append<'a>(
        &'a self,
        _stream: &'a str,
        _payload: Bytes,
    ) -> LocalBoxFuture<'a, Result<Offset, store::Error>> {
        std::future::pending().boxed_local()
    }

    fn read<'a>(
        &'a self,
        _stream: &'a str,
        _from: Offset,
        _wait: Duration,
    ) -> LocalBoxFuture<'a, Result<Page, store::Error>> {
        self.reads.set(self.reads.get() + 1);
        std::future::pending().boxed_local()
    }
}

/// Workers and an instance list that never respond.
struct Unresponsive;

impl Source for Unresponsive {
    fn list(&self) -> LocalBoxFuture<'_, Result<Vec<Member>, membership::Error>> {
        std::future::pending().boxed_local()
    }
}

impl WorkerTransport for Unresponsive {
    fn exchange<'a>(
        &'a self,
        _peer: SocketAddr,
        _exchange: &'a Exchange,
        _timeout: Duration,
    ) -> LocalBoxFuture<'a, Result<Report, worker::Error>> {
        std::future::pending().boxed_local()
    }
}

/// A reporter whose reports nobody uses.
fn reachability_reporter(me: &Instance, clock: &Rc<dyn Clock>) -> Rc<ReachabilityReporter> {
    let members = start(Setup {
        source: Rc::new(Unresponsive),
        probe: Rc::new(TcpProbe { timeout: LIMIT }),
        policy: ViewPolicy::default(),
        interval: LIMIT,
        clock: clock.clone(),
        stop: Shutdown::new(),
    });
    let directory = Rc::new(Directory::new(me.clone(), DOMAIN.into(), Vec::new()));
    Rc::new(ReachabilityReporter::new(DOMAIN.into(), members, directory, clock.clone()))
}

#[test]
fn run_while_inspected() {
    // A dashboard reads the state of an otherwise idle owner every few milliseconds. If each
    // inspection postponed the next step, the owner would send no heartbeat and another instance
    // would take the domain from a healthy owner.
    let builder = RuntimeBuilder::<LegacyDriver>::new();
    // The controller outlives the test, so its runtime must not be dropped.
    let mut runtime = ManuallyDrop::new(builder.enable_timer().build().unwrap());
    runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(System::start());
        let store = Rc::new(CountingStore::default());
        let me = Instance { name: "kurow-1".into(), run: 1, peer: ([127, 0, 0, 1], 9).into() };
        let policy = Policy::for_preset(Preset::Ordinary, Objective::Waiting);
        let reachability = reachability_reporter(&me, &clock);
        let machine = Machine::new(me, DOMAIN.into(), Timings::default(), policy, clock.now());
        let deps = Dependencies {
            store: store.clone(),
            workers: Rc::new(Unresponsive),
            peers: Rc::new(peer::Client::new(peer::Limits::default())),
            clock,
            stream: "domain-kurow-hall".to_owned(),
            worker_timeout: LIMIT,
            peer_timeout: LIMIT,
            reachability,
            readiness: Rc::new(Readiness::new(Shutdown::new())),
        };
        let controller = Controller::new(machine, deps);
        let handle = controller.handle();
        monoio::spawn(controller.run());
        let start = Instant::now();
        while store.reads.get() == 0 {
            assert!(start.elapsed() < LIMIT, "no step within {LIMIT:?}");
            handle.inspect(|_, _, _| ()).await;
            monoio::time::sleep(INSPECTION_INTERVAL).await;
        }
    });
}
