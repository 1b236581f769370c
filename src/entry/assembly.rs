//! Creates tasks and their dependencies from the settings.

use std::net::SocketAddr;
use std::rc::Rc;

use crate::clock::Clock;
use crate::domain::{self, Instance};
use crate::entry::controller::{Controller, Dependencies};
use crate::entry::reachability::ReachabilityReporter;
use crate::entry::readiness::Readiness;
use crate::membership::probe::TcpProbe;
use crate::membership::seed::SeededSource;
use crate::membership::view::ViewPolicy;
use crate::membership::{Member, Role, Source, State};
use crate::owner::Timings;
use crate::owner::machine::Machine;
use crate::placement::{Objective, Policy, Preset};
use crate::settings::{Peer, Settings, Weighs};
use crate::shutdown::Shutdown;
use crate::store::{Failover, Store};
use crate::telemetry::instrumented;
use crate::{config, http, membership, peer, store, worker};

/// Name of the stream of a failure domain in the log.
pub fn stream(domain: &domain::Name) -> String {
    format!("domain-{}", domain.as_str())
}

/// Resources that the tasks of one process share.
#[derive(Clone)]
pub struct SharedResources {
    /// This process.
    pub me: Instance,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// The platform's log.
    pub store: Rc<dyn Store>,
    /// Calls to other instances.
    pub peers: Rc<peer::Client>,
    /// Calls over HTTP.
    pub client: Rc<http::Client>,
    /// Ends the tasks when triggered.
    pub stop: Shutdown,
}

impl SharedResources {
    /// Creates the resources of the process `me`, whose tasks end with `stop`.
    pub fn new(settings: &Settings, me: Instance, clock: Rc<dyn Clock>, stop: Shutdown) -> Self {
        let client = Rc::new(http::Client::new(http::Limits::default()));
        let peers = Rc::new(peer::Client::new(peer::Limits::default()));
        let store: Rc<dyn Store> = Rc::new(instrumented::Store(log(settings, &client)));
        Self { me, clock, store, peers, client, stop }
    }

    /// Creates the controller of the failure domain's state machine.
    pub fn controller(
        &self,
        settings: &Settings,
        reachability: Rc<ReachabilityReporter>,
        readiness: Rc<Readiness>,
    ) -> Controller {
        let machine = Machine::new(
            self.me.clone(),
            settings.domain.clone(),
            timings(settings),
            Policy::for_preset(Preset::Ordinary, objective(settings)),
            self.clock.now(),
        );
        let workers = worker::http::Client::new(self.client.clone());
        let deps = Dependencies {
            store: self.store.clone(),
            workers: Rc::new(instrumented::Workers(Rc::new(workers))),
            peers: self.peers.clone(),
            clock: self.clock.clone(),
            stream: stream(&settings.domain),
            worker_timeout: settings.owner.exchange_timeout,
            peer_timeout: settings.peer_calls.timeout,
            reachability,
            readiness,
        };
        Controller::new(machine, deps)
    }

    /// Starts the tasks that replicate the operators' settings.
    pub fn start_config(&self, settings: &Settings) -> config::Handle {
        config::follow::start(config::follow::Setup {
            name: settings.instance.clone(),
            domain: settings.domain.clone(),
            timing: config::machine::Timing::default(),
            store: self.store.clone(),
            peers: self.peers.clone(),
            clock: self.clock.clone(),
            stop: self.stop.clone(),
        })
    }

    /// Starts the tasks that keep the list of instances up to date.
    pub fn start_membership(&self, settings: &Settings) -> membership::follow::Handle {
        let list = &settings.instance_list;
        let source = membership::http::Client::new(list.address, self.client.clone(), list.timeout);
        let instrumented: Rc<dyn Source> = Rc::new(instrumented::List(Rc::new(source)));
        let seeds = settings.peers.iter().map(seed).collect();
        membership::follow::start(membership::follow::Setup {
            source: Rc::new(SeededSource::new(instrumented, seeds)),
            probe: Rc::new(TcpProbe { timeout: settings.peer_calls.timeout }),
            policy: ViewPolicy::default(),
            interval: list.poll,
            clock: self.clock.clone(),
            stop: self.stop.clone(),
        })
    }
}

/// What placement optimizes, according to the settings.
pub fn objective(settings: &Settings) -> Objective {
    match settings.weighs {
        Weighs::Packing => Objective::Packing,
        Weighs::Waiting => Objective::Waiting,
    }
}

fn seed(peer: &Peer) -> Member {
    Member {
        name: peer.name.clone(),
        role: Role::Entry,
        domain: peer.domain.clone(),
        address: peer.address,
        state: State::Live,
    }
}

/// Client of the platform's log that fails over between its addresses.
fn log(settings: &Settings, client: &Rc<http::Client>) -> Rc<dyn Store> {
    let addresses = settings.log.addresses.iter();
    let at = |address: &SocketAddr| -> Rc<dyn Store> {
        Rc::new(store::http::Client::new(*address, client.clone(), settings.log.timeout))
    };
    Rc::new(Failover::new(addresses.map(at).collect()))
}

fn timings(settings: &Settings) -> Timings {
    let owner = &settings.owner;
    Timings {
        heartbeat_interval: owner.heartbeat,
        claim_timeout: owner.claim_timeout,
        lease: owner.lease,
        lease_margin: owner.lease_margin,
        exchange_wait: owner.exchange_wait,
        commit_delay: owner.commit_delay,
        snapshot_records: owner.snapshot_records,
        ..Timings::default()
    }
}
