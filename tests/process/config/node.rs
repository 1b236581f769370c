//! Instances that run only the settings, each with its own server for peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use oriolefork::clock;
use oriolefork::config::gossip::Peer;
use oriolefork::config::machine::Timing;
use oriolefork::config::publish::Id;
use oriolefork::config::{Change, Handle, Proposal, PublishOutcome, follow};
use oriolefork::peer::{self, Code, Refusal};
use oriolefork::shutdown::Shutdown;
use oriolefork::{http, store};

const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// One instance.
pub struct Node {
    pub peer: Peer,
    pub handle: Handle,
    stop: Shutdown,
}

struct PeerMethods(Handle);

impl peer::Handler for PeerMethods {
    fn handle(
        &self,
        _peer: SocketAddr,
        method: &str,
        body: Bytes,
    ) -> LocalBoxFuture<'_, Result<Bytes, Refusal>> {
        let method = method.to_owned();
        async move {
            let unknown = || Refusal { code: Code::UnknownMethod, reason: method.clone() };
            self.0.handle(&method, &body).await.unwrap_or_else(|| Err(unknown()))
        }
        .boxed_local()
    }
}

impl Node {
    /// Starts an instance on the current runtime, with the log at address `log`.
    pub fn start(name: &str, domain: &str, log: SocketAddr) -> Self {
        let http = Rc::new(http::Client::new(http::Limits::default()));
        let stop = Shutdown::new();
        let handle = follow::start(follow::Setup {
            name: name.to_owned(),
            domain: domain.into(),
            timing: Timing::default(),
            store: Rc::new(store::http::Client::new(log, http, STORE_TIMEOUT)),
            peers: Rc::new(peer::Client::new(peer::Limits::default())),
            clock: Rc::new(clock::System::start()),
            stop: stop.clone(),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = peer::Server::bind(any, peer::Limits::default()).unwrap();
        let address = server.local_addr().unwrap();
        let methods = Rc::new(PeerMethods(handle.clone()));
        monoio::spawn(server.serve(methods, stop.clone(), Duration::ZERO));
        let peer = Peer { name: name.to_owned(), domain: domain.into(), address };
        Self { peer, handle, stop }
    }

    /// Publishes a change based on the version in force at this instance.
    pub async fn publish(&self, by: &str, change: Change) -> PublishOutcome {
        let proposal = Proposal { id: Id::random(), base: None, by: by.to_owned(), change };
        self.handle.publish(proposal).await
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.stop.trigger();
    }
}

/// Makes all instances peers of each other.
pub fn connect(nodes: &[Node]) {
    for node in nodes {
        let peers = nodes.iter().map(|other| other.peer.clone());
        let others = peers.filter(|peer| *peer != node.peer).collect();
        node.handle.set_peers(others);
    }
}
