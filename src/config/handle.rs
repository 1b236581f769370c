//! Handle through which the rest of the process reads and changes the settings.

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

/// Channel of the values that come into force, in order.
pub type Values = unbounded::Rx<Rc<Value>>;

/// A command to the task that owns the machine.
pub(super) enum Command {
    /// Let the machine handle a message.
    Handle(Message),
    /// Let the machine handle a message, then return the next offset to read.
    HandleAndReply(Message, oneshot::Sender<Offset>),
    /// Publish a change.
    Publish(Proposal, oneshot::Sender<PublishOutcome>),
    /// Return the outcome of a change.
    Outcome(Id, oneshot::Sender<Option<PublishOutcome>>),
    /// Return the value in force.
    Value(oneshot::Sender<Option<Rc<Value>>>),
    /// Send the value in force, then every newer one.
    Subscribe(unbounded::Tx<Rc<Value>>),
    /// Return the sync status of every known instance.
    SyncStatuses(oneshot::Sender<Vec<SyncStatus>>),
    /// Handle a peer's digest and return a digest of this instance.
    ExchangeDigest(Digest, oneshot::Sender<Digest>),
    /// Return the state in force.
    State(oneshot::Sender<Option<State>>),
}

/// A change that an operator requests.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Identity by which the operator can query the outcome later.
    pub id: Id,
    /// Version that the change is based on; `None` for the one in force at this instance.
    pub base: Option<Version>,
    /// Name of the operator.
    pub by: String,
    /// The change itself.
    pub change: Change,
}

/// Handle to the task that owns the settings of this process.
#[derive(Clone)]
pub struct Handle {
    commands: unbounded::Tx<Command>,
}

impl Handle {
    pub(super) fn new(commands: unbounded::Tx<Command>) -> Self {
        Self { commands }
    }

    /// Returns the value in force, or `None` before the first one.
    pub async fn value(&self) -> Option<Rc<Value>> {
        self.request(Command::Value).await.flatten()
    }

    /// Returns a channel that receives the value in force, if there is one, then every newer one.
    pub fn subscribe(&self) -> Values {
        let (sender, receiver) = unbounded::channel();
        // When the task has stopped, the receiver ends at once.
        let _ = self.commands.send(Command::Subscribe(sender));
        receiver
    }

    /// Publishes a change and returns its outcome once its record was read back from the log.
    ///
    /// If that takes longer than [`Timing::publish_timeout`](super::machine::Timing), the outcome
    /// is [`PublishOutcome::Unknown`] unless the record surely was not written. Dropping the future
    /// does not withdraw the change.
    pub async fn publish(&self, proposal: Proposal) -> PublishOutcome {
        let id = proposal.id;
        let (sender, receiver) = oneshot::channel();
        if self.commands.send(Command::Publish(proposal, sender)).is_err() {
            return PublishOutcome::NotReady;
        }
        receiver.await.unwrap_or(PublishOutcome::Unknown(id))
    }

    /// Returns the outcome of a change, or `None` if this instance does not know it.
    pub async fn outcome(&self, id: Id) -> Option<PublishOutcome> {
        self.request(|sender| Command::Outcome(id, sender)).await.flatten()
    }

    /// Returns the sync status of this instance, which comes first, and of all known instances.
    pub async fn sync_statuses(&self) -> Vec<SyncStatus> {
        self.request(Command::SyncStatuses).await.unwrap_or_default()
    }

    /// Replaces the peers to exchange digests with; they must not include this instance.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        // The send fails only when the task has stopped.
        let _ = self.commands.send(Command::Handle(Message::Peers(peers)));
    }

    /// Handles a peer's call; returns `None` when `method` is not a method of the settings.
    pub async fn handle(&self, method: &str, body: &[u8]) -> Option<Result<Bytes, Refusal>> {
        match method {
            wire::DIGEST => Some(self.exchange_digest(body).await),
            wire::FETCH => Some(self.fetch_state().await),
            _ => None,
        }
    }

    async fn exchange_digest(&self, body: &[u8]) -> Result<Bytes, Refusal> {
        let wire: wire::Digest = peer::decode(body)?;
        let digest: Digest = wire.try_into().map_err(|error: wire::Error| malformed(&error))?;
        let own = self
            .request(|sender| Command::ExchangeDigest(digest, sender))
            .await
            .ok_or_else(stopped)?;
        codec::encode(&wire::Digest::from(&own)).map_err(|error| malformed(&error))
    }

    async fn fetch_state(&self) -> Result<Bytes, Refusal> {
        let state = self.request(Command::State).await.ok_or_else(stopped)?;
        let response = wire::FetchResponse { state: state.as_ref().map(wire::State::from) };
        codec::encode(&response).map_err(|error| malformed(&error))
    }

    async fn request<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.commands.send(command(sender)).ok()?;
        receiver.await.ok()
    }
}

fn malformed(error: &dyn std::fmt::Display) -> Refusal {
    Refusal::new(Code::Malformed, error)
}

fn stopped() -> Refusal {
    Refusal::new(Code::Busy, "the settings' task has stopped")
}
