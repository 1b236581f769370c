//! Assembly of the daemon of an entry instance: which tasks run, and how they reach each other.

pub mod backend;
pub mod controller;
pub mod forward;
pub mod gauges;
pub mod members;
pub mod peers;
pub mod requests;
pub mod views;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;

use crate::clock::{Clock, System};
use crate::domain::Instance;
use crate::entry::backend::Entry;
use crate::entry::controller::{Borders, Controller};
use crate::membership;
use crate::owner::Timings;
use crate::owner::machine::{Machine, Message};
use crate::placement::{Leaning, Policy, Preset};
use crate::settings::{Secret, Settings, Weighs};
use crate::shutdown::Shutdown;
use crate::store::{Failover, Store};
use crate::telemetry::Recorder;
use crate::telemetry::borders::{MeasuredList, MeasuredStore, MeasuredWorkers};
use crate::{api, http, peer, store, worker};

/// Stream of a failure domain in the log.
pub fn stream(domain: &crate::domain::Name) -> String {
    format!("domain-{}", domain.as_str())
}

/// A daemon that could not start, with the step and the address at which it failed.
#[derive(Debug, Display, derive_more::Error)]
#[display("step={step} address={address} cause={cause}")]
pub struct Error {
    /// What was tried.
    pub step: &'static str,
    /// Address concerned.
    pub address: SocketAddr,
    /// Cause.
    #[error(source)]
    pub cause: io::Error,
}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listening {
    /// Callers and operators.
    pub api: SocketAddr,
    /// Other instances.
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
    /// Binds the addresses that the settings name. Needs a running runtime on this thread.
    /// Daemons of one process share its recorder.
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

    /// Addresses that are bound.
    pub fn listening(&self) -> Listening {
        self.listening
    }

    /// Serves until `stop` is triggered. Requests in flight end first, then the failure domain is
    /// handed over.
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
        let peers = Rc::new(peer::Client::new(peer::Limits::default()));
        let client = Rc::new(http::Client::new(http::Limits::default()));
        let controller = controller(&settings, &me, &clock, &peers, &client);
        let handle = controller.handle();
        let source = membership::http::Client::new(
            settings.instance_list.address,
            client.clone(),
            settings.instance_list.timeout,
        );
        let ways = requests::Ways {
            runners: Rc::new(http::Client::new(http::Limits::default())),
            peers: peers.clone(),
            store: Rc::new(MeasuredStore(log(&settings, &client))),
            handle: handle.clone(),
            clock: clock.clone(),
        };
        let requests = requests::start(&settings, &me, ways, stop.clone());
        members::start(
            Rc::new(MeasuredList(Rc::new(source))),
            handle.clone(),
            requests.clone(),
            clock.clone(),
            settings.instance_list.poll,
        );
        let running = monoio::spawn(controller.run());
        let entry = Rc::new(Entry {
            me,
            domain: settings.domain.clone(),
            handle: handle.clone(),
            peers,
            clock: clock.clone(),
        });
        // Peers are served to the very end: those whose requests this instance still has in flight
        // reach the owner through it, and the new owner asks whether this one has stepped down.
        let peer_stop = Shutdown::new();
        let peer_handler = Rc::new(peers::Peers::new(entry.clone(), requests.clone()));
        let grace = settings.http.shutdown_grace;
        let peer_server = monoio::spawn(peer.serve(peer_handler, peer_stop.clone(), grace));
        monoio::spawn(gauges::follow(recorder.clone(), handle.clone(), clock.clone()));
        let options = api::Options {
            operator_token: settings.operator_token.map(check),
            metrics: Box::new(move || recorder.render()),
            requests: Some(Rc::new(requests)),
        };
        let service = Rc::new(api::Service::new(entry, clock.clone(), options));
        api.serve(service, stop, grace).await;
        handle.send(Message::Shutdown);
        let _ = monoio::time::timeout(HAND_OVER_GRACE, running).await;
        peer_stop.trigger();
        let _ = monoio::time::timeout(HAND_OVER_GRACE, peer_server).await;
        log::info!("event=entry.stopped");
    }
}

/// Time for the last batch to reach the log and for a peer to take over.
const HAND_OVER_GRACE: Duration = Duration::from_secs(3);

fn controller(
    settings: &Settings,
    me: &Instance,
    clock: &Rc<dyn Clock>,
    peers: &Rc<peer::Client>,
    client: &Rc<http::Client>,
) -> Controller {
    let weighs = match settings.weighs {
        Weighs::Packing => Leaning::Packing,
        Weighs::Waiting => Leaning::Waiting,
    };
    let machine = Machine::new(
        me.clone(),
        settings.domain.clone(),
        timings(settings),
        Policy::of(Preset::Ordinary, weighs),
        clock.now(),
    );
    let borders = Borders {
        store: Rc::new(MeasuredStore(log(settings, client))),
        workers: Rc::new(MeasuredWorkers(Rc::new(worker::http::Client::new(client.clone())))),
        peers: peers.clone(),
        clock: clock.clone(),
        stream: stream(&settings.domain),
        worker_timeout: settings.owner.exchange_timeout,
        peer_timeout: settings.peer_calls.timeout,
    };
    Controller::new(machine, borders)
}

/// The platform's log at all its addresses.
fn log(settings: &Settings, client: &Rc<http::Client>) -> Rc<dyn Store> {
    let addresses = settings.log.addresses.iter();
    let at = |address: &SocketAddr| -> Rc<dyn Store> {
        Rc::new(store::http::Client::new(*address, client.clone(), settings.log.timeout))
    };
    Rc::new(Failover::new(addresses.map(at).collect()))
}

fn check(token: Secret) -> api::Check {
    Box::new(move |offered| token.matches(offered))
}

fn timings(settings: &Settings) -> Timings {
    let owner = &settings.owner;
    Timings {
        beat: owner.heartbeat,
        claim: owner.claim_timeout,
        lease: owner.lease,
        margin: owner.lease_margin,
        watch: owner.exchange_wait,
        commit: owner.commit_delay,
        restate_records: owner.snapshot_records,
        ..Timings::default()
    }
}
