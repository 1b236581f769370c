//! The task that owns the settings of a process, and the tasks that read the log and call peers on
//! its behalf.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use rand::Rng;

use super::gossip::Digest;
use super::handle::{Command, Handle, Proposal};
use super::machine::Timing;
use super::publish::{Id, Publication, PublishOutcome};
use super::value::Value;
use super::{Effect, Machine, Message, STREAM, wire};
use crate::clock::Clock;
use crate::shutdown::{Shutdown, until};
use crate::store::{Offset, Store};
use crate::{domain, peer};

/// How long the log may delay the response to a read while there are no new records.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Minimum delay after a failed read. Up to the same span is added at random, so that instances
/// which lost the log at the same time do not retry at the same time.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Delay after an empty read that the log answered in less than this time, so that reads of a log
/// that does not delay its responses do not busy-loop.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two ticks of the machine.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Identity and dependencies of an instance's settings.
pub struct Setup {
    /// Name of the instance.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Timeouts and intervals of the machine.
    pub timing: Timing,
    /// Store that holds the settings stream.
    pub store: Rc<dyn Store>,
    /// Client for calls to peers.
    pub peers: Rc<peer::Client>,
    /// Source of the time.
    pub clock: Rc<dyn Clock>,
    /// Stops the tasks when triggered.
    pub stop: Shutdown,
}

/// Starts the tasks on the current runtime.
///
/// Their channel is unbounded, but its senders are not: at most one read, one tick, the pending
/// changes that the machine admits, and the calls that the servers admit are in it at once.
pub fn start(setup: Setup) -> Handle {
    let (sender, inbox) = unbounded::channel();
    let seed = rand::rng().random();
    let now = setup.clock.now();
    let machine = Machine::new(&setup.name, &setup.domain, setup.timing.clone(), seed, now);
    let reader = ReadTask {
        store: Rc::clone(&setup.store),
        clock: Rc::clone(&setup.clock),
        commands: sender.clone(),
    };
    let stop = setup.stop.clone();
    monoio::spawn(until(stop.clone(), reader.run()));
    monoio::spawn(until(stop.clone(), tick(Rc::clone(&setup.clock), sender.clone())));
    let task = ConfigTask {
        machine,
        store: setup.store,
        peers: setup.peers,
        clock: setup.clock,
        commands: sender.clone(),
        waiting: BTreeMap::new(),
        subscribers: Vec::new(),
    };
    monoio::spawn(until(stop, task.run(inbox)));
    Handle::new(sender)
}

async fn tick(clock: Rc<dyn Clock>, commands: unbounded::Tx<Command>) {
    while deliver(&commands, Message::Tick).await.is_some() {
        clock.sleep(TICK_INTERVAL).await;
    }
}

/// Sends a message to the task that owns the machine and returns the next offset to read, or `None`
/// once that task has stopped.
async fn deliver(commands: &unbounded::Tx<Command>, message: Message) -> Option<Offset> {
    let (sender, receiver) = oneshot::channel();
    commands.send(Command::HandleAndReply(message, sender)).ok()?;
    receiver.await.ok()
}

/// Reads the stream and sends its pages to the task that owns the machine.
struct ReadTask {
    store: Rc<dyn Store>,
    clock: Rc<dyn Clock>,
    commands: unbounded::Tx<Command>,
}

impl ReadTask {
    async fn run(self) {
        let mut position = 0;
        while let Some(next) = self.read(position).await {
            position = next;
        }
    }

    /// Reads one page and returns the next offset to read, or `None` once the task that owns the
    /// machine has stopped.
    async fn read(&self, position: Offset) -> Option<Offset> {
        let started = self.clock.now();
        match self.store.read(STREAM, position, READ_WAIT).await {
            Ok(page) => {
                let returned_early =
                    page.records.is_empty() && self.clock.now().since(started) < MIN_READ_INTERVAL;
                let next = deliver(&self.commands, Message::Page(page)).await;
                if returned_early {
                    self.clock.sleep(MIN_READ_INTERVAL).await;
                }
                next
            }
            Err(error) => {
                log::warn!("event=config.read_failed {error}");
                let next = deliver(&self.commands, Message::ReadFailed).await;
                let delay = READ_RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>());
                self.clock.sleep(delay).await;
                next
            }
        }
    }
}

/// Owns the machine and executes its effects.
struct ConfigTask {
    machine: Machine,
    store: Rc<dyn Store>,
    peers: Rc<peer::Client>,
    clock: Rc<dyn Clock>,
    commands: unbounded::Tx<Command>,
    waiting: BTreeMap<Id, oneshot::Sender<PublishOutcome>>,
    subscribers: Vec<unbounded::Tx<Rc<Value>>>,
}

impl ConfigTask {
    async fn run(mut self, mut inbox: unbounded::Rx<Command>) {
        while let Some(command) = inbox.recv().await {
            self.execute(command);
        }
    }

    /// Executes one command. Responses to receivers that were dropped are discarded.
    fn execute(&mut self, command: Command) {
        match command {
            Command::Handle(message) => self.handle(message),
            Command::HandleAndReply(message, sender) => {
                self.handle(message);
                let _ = sender.send(self.machine.position());
            }
            Command::Publish(proposal, sender) => self.publish(proposal, sender),
            Command::Outcome(id, sender) => {
                let _ = sender.send(self.machine.outcome(id));
            }
            Command::Value(sender) => {
                let _ = sender.send(self.machine.value());
            }
            Command::Subscribe(sender) => self.subscribe(sender),
            Command::SyncStatuses(sender) => {
                let _ = sender.send(self.machine.sync_statuses(self.clock.now()));
            }
            Command::ExchangeDigest(digest, sender) => {
                self.handle(Message::DigestReceived(digest));
                let _ = sender.send(self.machine.digest(self.clock.now()));
            }
            Command::State(sender) => {
                let _ = sender.send(self.machine.state().cloned());
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let (now, unix) = (self.clock.now(), self.clock.unix());
        for effect in self.machine.handle(now, unix, message) {
            self.run_effect(effect);
        }
    }

    fn publish(&mut self, proposal: Proposal, sender: oneshot::Sender<PublishOutcome>) {
        let Proposal { id, base, by, change } = proposal;
        if self.waiting.contains_key(&id) {
            let _ = sender.send(PublishOutcome::Unknown(id));
            return;
        }
        let current = self.machine.value().map(|value| value.version).unwrap_or_default();
        let base = base.unwrap_or(current);
        let at = self.clock.unix();
        self.waiting.insert(id, sender);
        self.handle(Message::Publish(Publication { id, base, by, at, change }));
    }

    fn subscribe(&mut self, sender: unbounded::Tx<Rc<Value>>) {
        if let Some(value) = self.machine.value() {
            let _ = sender.send(value);
        }
        self.subscribers.push(sender);
    }

    fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Append(id, payload) => self.append(id, payload),
            Effect::Snapshot(payload) => self.snapshot(payload),
            Effect::Answer(id, outcome) => {
                log::info!("event=config.answered id={id} outcome={:?}", outcome.to_string());
                if let Some(sender) = self.waiting.remove(&id) {
                    let _ = sender.send(outcome);
                }
            }
            Effect::InForce(value) => {
                log::info!(
                    "event=config.in_force version={} preset={}",
                    value.version,
                    value.preset
                );
                self.subscribers.retain(|subscriber| subscriber.send(Rc::clone(&value)).is_ok());
            }
            Effect::SendDigest(peer, digest) => self.exchange(peer, &digest),
            Effect::FetchState(peer) => self.fetch(peer),
        }
    }

    fn append(&self, id: Id, payload: Bytes) {
        let store = Rc::clone(&self.store);
        let commands = self.commands.clone();
        monoio::spawn(async move {
            let message = match store.append(STREAM, payload).await {
                Ok(_) => Message::Appended(id),
                Err(error) => {
                    log::warn!("event=config.append_failed id={id} {error}");
                    Message::AppendFailed(id, error.outcome)
                }
            };
            let _ = commands.send(Command::Handle(message));
        });
    }

    fn snapshot(&self, payload: Bytes) {
        let store = Rc::clone(&self.store);
        monoio::spawn(async move {
            // On failure, the machine writes the snapshot again, as it does not read it back.
            match store.append(STREAM, payload).await {
                Ok(offset) => log::info!("event=config.snapshot offset={offset}"),
                Err(error) => log::warn!("event=config.snapshot_failed {error}"),
            }
        });
    }

    fn exchange(&self, address: SocketAddr, digest: &Digest) {
        let request = wire::Digest::from(digest);
        let peers = Rc::clone(&self.peers);
        let commands = self.commands.clone();
        monoio::spawn(async move {
            let response: Result<wire::Digest, _> =
                peers.call(address, wire::DIGEST, &request, PEER_TIMEOUT).await;
            match response.map(Digest::try_from) {
                Ok(Ok(digest)) => {
                    let _ = commands.send(Command::Handle(Message::DigestReceived(digest)));
                }
                Ok(Err(error)) => log::warn!("event=config.digest_invalid peer={address} {error}"),
                Err(error) => log::debug!("event=config.digest_failed {error}"),
            }
        });
    }

    fn fetch(&self, address: SocketAddr) {
        let peers = Rc::clone(&self.peers);
        let commands = self.commands.clone();
        monoio::spawn(async move {
            let message = fetch_state(&peers, address).await;
            let _ = commands.send(Command::Handle(message));
        });
    }
}

async fn fetch_state(peers: &peer::Client, address: SocketAddr) -> Message {
    let request = wire::FetchRequest {};
    let fetched: Result<wire::FetchResponse, _> =
        peers.call(address, wire::FETCH, &request, PEER_TIMEOUT).await;
    let state = match fetched {
        Ok(fetched) => fetched.state,
        Err(error) => {
            log::warn!("event=config.fetch_failed {error}");
            None
        }
    };
    match state.map(super::State::try_from) {
        Some(Ok(state)) => Message::StateReceived(state),
        Some(Err(error)) => {
            log::warn!("event=config.fetch_invalid peer={address} {error}");
            Message::FetchFailed
        }
        None => Message::FetchFailed,
    }
}
