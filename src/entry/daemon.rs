//! The daemon: binds its addresses, starts its tasks and shuts them down in order.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use log::LevelFilter;
use monoio::task::JoinHandle;

use crate::clock::{Clock, System};
use crate::domain::Instance;
use crate::entry::assembly::{self, SharedResources};
use crate::entry::backend::Entry;
use crate::entry::backend::status::LastStatuses;
use crate::entry::binding::DomainBinder;
use crate::entry::directory::Directory;
use crate::entry::reachability::ReachabilityReporter;
use crate::entry::readiness::Readiness;
use crate::entry::{gauges, members, peers, policy, requests};
use crate::owner::machine::Message;
use crate::runner::Proxy;
use crate::settings::{Secret, Settings};
use crate::shutdown::Shutdown;
use crate::telemetry::Recorder;
use crate::{api, http, peer};

/// Failure to start, with the step and the address at which it occurred.
#[derive(Debug, Display, derive_more::Error)]
#[display("step={step} address={address} cause={cause}")]
pub struct Error {
    /// Step that failed.
    pub step: &'static str,
    /// Address to bind.
    pub address: SocketAddr,
    /// Cause.
    #[error(source)]
    pub cause: io::Error,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listening {
    /// Address for callers and operators.
    pub api: SocketAddr,
    /// Address for other instances.
    pub peer: SocketAddr,
}

/// A daemon whose addresses are bound.
pub struct Daemon {
    settings: Settings,
    api: http::Server,
    peer: peer::Server,
    listening: Listening,
    recorder: Rc<Recorder>,
}

impl Daemon {
    /// Binds the addresses in the settings. Requires a running runtime on this thread.
    /// Daemons of one process share its metrics recorder.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub fn bind(settings: Settings, recorder: Rc<Recorder>) -> Result<Self, Error> {
        let address = settings.addresses.api;
        let error = |step, address| move |cause| Error { step, address, cause };
        let api = http::Server::bind(address, settings.http.limits())
            .map_err(error("entry.bind_api", address))?;
        let address = settings.addresses.peer;
        let peer = peer::Server::bind(address, peer::Limits::default())
            .map_err(error("entry.bind_peer", address))?;
        let listening = Listening {
            api: api.local_addr().map_err(error("entry.bind_api", settings.addresses.api))?,
            peer: peer.local_addr().map_err(error("entry.bind_peer", address))?,
        };
        Ok(Self { settings, api, peer, listening, recorder })
    }

    /// Returns the bound addresses.
    pub fn listening(&self) -> Listening {
        self.listening
    }

    /// Serves until `stop` is triggered, then finishes requests in flight and hands the failure
    /// domain over.
    pub async fn run(self, stop: Shutdown) {
        let Self { settings, api, peer, listening, recorder } = self;
        let clock: Rc<dyn Clock> = Rc::new(System::start());
        let me =
            Instance { name: settings.instance.clone(), run: rand::random(), peer: listening.peer };
        log::info!(
            "event=entry.started instance={} domain={} api={} peer={}",
            me,
            settings.domain,
            listening.api,
            listening.peer
        );
        // Background tasks continue until requests in flight have ended.
        let end = Shutdown::new();
        let shared = SharedResources::new(&settings, me, clock.clone(), end.clone());
        let readiness = Rc::new(Readiness::new(stop.clone()));
        let (entry, requests, running) = start(&settings, &shared, readiness, stop.clone());
        let handle = entry.handle.clone();
        // Peer calls are served until the end: requests in flight may still be forwarded to the
        // owner here, and the new owner checks whether this instance has stepped down.
        let peer_stop = Shutdown::new();
        let peer_handler = Rc::new(peers::PeerHandler::new(entry.clone(), requests.clone()));
        let grace = settings.http.shutdown_grace;
        let peer_server = monoio::spawn(peer.serve(peer_handler, peer_stop.clone(), grace));
        monoio::spawn(gauges::update_periodically(
            recorder.clone(),
            entry.handle.clone(),
            clock.clone(),
        ));
        let options = api::Options {
            operator_token: settings.operator_token.map(check),
            metrics: Box::new(move || recorder.render()),
            requests: Some(Rc::new(requests)),
        };
        let service = Rc::new(api::Service::new(entry, clock.clone(), options));
        api.serve(service, stop, grace).await;
        handle.send(Message::Shutdown);
        let _ = monoio::time::timeout(HAND_OVER_GRACE, running).await;
        end.trigger();
        peer_stop.trigger();
        let _ = monoio::time::timeout(HAND_OVER_GRACE, peer_server).await;
        log::info!("event=entry.stopped");
    }
}

/// Time for the last batch to reach the log and for a peer to take over.
const HAND_OVER_GRACE: Duration = Duration::from_secs(3);

/// Starts the tasks of the process. Returns the backend of the API, the proxy of quick requests and
/// the task of the state machine. No quick request is accepted once `stop` is triggered.
fn start(
    settings: &Settings,
    shared: &SharedResources,
    readiness: Rc<Readiness>,
    stop: Shutdown,
) -> (Rc<Entry>, Proxy, JoinHandle<()>) {
    let SharedResources { me, clock, .. } = shared.clone();
    let domains = settings.domains.iter().map(|domain| domain.name.clone()).collect();
    let directory = Rc::new(Directory::new(me.clone(), settings.domain.clone(), domains));
    let members = shared.start_membership(settings);
    let reachability = Rc::new(ReachabilityReporter::new(
        settings.domain.clone(),
        members.clone(),
        directory.clone(),
        clock.clone(),
    ));
    let controller = shared.controller(settings, reachability.clone(), readiness.clone());
    let handle = controller.handle();
    let config = shared.start_config(settings);
    let objective = assembly::objective(settings);
    let subscriber = policy::ConfigSubscriber {
        owner: handle.clone(),
        objective,
        log_level: LevelFilter::from(settings.log_level),
        readiness: readiness.clone(),
    };
    monoio::spawn(subscriber.run(config.subscribe()));
    let deduplicator = requests::start_records(&me, shared.store.clone(), clock.clone());
    let deps = requests::Dependencies {
        runners: Rc::new(http::Client::new(http::Limits::default())),
        peers: shared.peers.clone(),
        deduplicator: deduplicator.clone(),
        handle: handle.clone(),
        clock: clock.clone(),
    };
    let requests = requests::start(settings, &me, deps, stop);
    let subscriber = members::MembershipSubscriber {
        directory: directory.clone(),
        owner: handle.clone(),
        config: config.clone(),
        requests: requests.clone(),
    };
    monoio::spawn(subscriber.run(members.subscribe()));
    let running = monoio::spawn(controller.run());
    let binder =
        DomainBinder { deduplicator, clock: clock.clone(), domain: settings.domain.clone() };
    let entry = Entry {
        binder,
        me,
        domain: settings.domain.clone(),
        handle,
        peers: shared.peers.clone(),
        requests: requests.clone(),
        clock: clock.clone(),
        directory,
        reachability,
        configuration: api::Configuration::new(config.clone(), clock, objective),
        config,
        readiness,
        last_statuses: LastStatuses::default(),
    };
    (Rc::new(entry), requests, running)
}

fn check(token: Secret) -> api::TokenCheck {
    Box::new(move |offered| token.matches(offered))
}
