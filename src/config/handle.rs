//! How the rest of the process uses the settings.

use std::rc::Rc;

use bytes::Bytes;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;

use super::gossip::{Digest, Peer, SyncStatus};
use super::publish::{Id, PublishOutcome};
use super::state::State;
use super::value::{Value, Version};
use super::{Change, Message, wire};
use crate::codec;
use crate::peer::{self, Code, Refusal};
use crate::store::Offset;

/// Values as they come into force.
pub type Values = unbounded::Rx<Rc<Value>>;

/// What the task that owns the machine is asked.
pub(super) enum Ask {
    /// Pass a message to the machine.
    Tell(Message),
    /// Pass a message to the machine, then tell the next offset to read.
    Read(Message, oneshot::Sender<Offset>),
    /// Publish a change.
    Publish(Proposal, oneshot::Sender<PublishOutcome>),
    /// Tell what became of a change.
    Outcome(Id, oneshot::Sender<Option<PublishOutcome>>),
    /// Tell the value in force.
    Value(oneshot::Sender<Option<Rc<Value>>>),
    /// Send every value in force from now on.
    Subscribe(unbounded::Tx<Rc<Value>>),
    /// Tell the status of every instance.
    Standings(oneshot::Sender<Vec<SyncStatus>>),
    /// Take a peer's digest and tell an own one.
    Digest(Digest, oneshot::Sender<Digest>),
    /// Tell the state in force.
    State(oneshot::Sender<Option<State>>),
}

/// A change that an operator wants.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Identity by which the operator can ask again.
    pub id: Id,
    /// Version that the operator saw; `None` for the one in force at this instance.
    pub base: Option<Version>,
    /// The operator.
    pub by: String,
    /// What changes.
    pub change: Change,
}

/// Reaches the task that holds the settings of this process.
#[derive(Clone)]
pub struct Handle {
    asks: unbounded::Tx<Ask>,
}

impl Handle {
    pub(super) fn new(asks: unbounded::Tx<Ask>) -> Self {
        Self { asks }
    }

    /// The value in force; `None` until one is.
    pub async fn value(&self) -> Option<Rc<Value>> {
        self.ask(Ask::Value).await.flatten()
    }

    /// The value in force, if one is, then every newer one as it comes into force.
    pub fn subscribe(&self) -> Values {
        let (sender, receiver) = unbounded::channel();
        // The receiver ends at once when the task has stopped.
        let _ = self.asks.send(Ask::Subscribe(sender));
        receiver
    }

    /// Publishes a change and answers once its place in the log is known, or after a bounded wait
    /// with [`PublishOutcome::Unknown`].
    ///
    /// Dropping the future does not withdraw the change.
    pub async fn publish(&self, proposal: Proposal) -> PublishOutcome {
        let id = proposal.id;
        let (sender, receiver) = oneshot::channel();
        if self.asks.send(Ask::Publish(proposal, sender)).is_err() {
            return PublishOutcome::NotReady;
        }
        receiver.await.unwrap_or(PublishOutcome::Unknown(id))
    }

    /// What became of a change; `None` when this instance cannot tell.
    pub async fn outcome(&self, id: Id) -> Option<PublishOutcome> {
        self.ask(|sender| Ask::Outcome(id, sender)).await.flatten()
    }

    /// The status of this instance, which comes first, and of all that it has heard of.
    pub async fn sync_statuses(&self) -> Vec<SyncStatus> {
        self.ask(Ask::Standings).await.unwrap_or_default()
    }

    /// Names the peers to exchange digests with, this instance not among them.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        // A task that has stopped needs no peers.
        let _ = self.asks.send(Ask::Tell(Message::Peers(peers)));
    }

    /// Answers a peer's call; `None` when `method` is not one of the settings' methods.
    pub async fn handle(&self, method: &str, body: &[u8]) -> Option<Result<Bytes, Refusal>> {
        match method {
            wire::DIGEST => Some(self.exchange(body).await),
            wire::FETCH => Some(self.fetched().await),
            _ => None,
        }
    }

    async fn exchange(&self, body: &[u8]) -> Result<Bytes, Refusal> {
        let wire: wire::Digest = peer::decode(body)?;
        let digest: Digest = wire.try_into().map_err(|error: wire::Error| malformed(&error))?;
        let own = self.ask(|sender| Ask::Digest(digest, sender)).await.ok_or_else(stopped)?;
        codec::encode(&wire::Digest::from(&own)).map_err(|error| malformed(&error))
    }

    async fn fetched(&self) -> Result<Bytes, Refusal> {
        let state = self.ask(Ask::State).await.ok_or_else(stopped)?;
        let fetched = wire::FetchResponse { state: state.as_ref().map(wire::State::from) };
        codec::encode(&fetched).map_err(|error| malformed(&error))
    }

    async fn ask<T>(&self, ask: impl FnOnce(oneshot::Sender<T>) -> Ask) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.asks.send(ask(sender)).ok()?;
        receiver.await.ok()
    }
}

fn malformed(error: &dyn std::fmt::Display) -> Refusal {
    Refusal::new(Code::Malformed, error)
}

fn stopped() -> Refusal {
    Refusal::new(Code::Busy, "the settings' task has stopped")
}
