//! The task that owns the settings of a process, and the tasks that read the log and call peers
//! for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use local_sync::mpsc::unbounded;
use local_sync::oneshot;
use rand::Rng;

use super::gossip::Digest;
use super::handle::{Ask, Handle, Proposal};
use super::machine::Timing;
use super::publish::{Id, Publication, PublishOutcome};
use super::value::Value;
use super::{Effect, Machine, Message, STREAM, wire};
use crate::clock::Clock;
use crate::shutdown::{Shutdown, until};
use crate::store::{Offset, Store};
use crate::{domain, peer};

/// How long the log may hold a read back while there is nothing new.
const READ_WAIT: Duration = Duration::from_secs(2);
/// Shortest rest after a failed read; up to as much again is added at random, so that instances
/// which lost the log together do not come back together.
const READ_RETRY: Duration = Duration::from_millis(500);
/// Least time between reads that bring nothing, should the log not hold them back.
const READ_REST: Duration = Duration::from_millis(200);
/// Rest between two ticks of the machine.
const TICK: Duration = Duration::from_millis(200);
/// How long a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Who this instance is and what it reaches.
pub struct Setup {
    /// Name of the instance.
    pub name: String,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Spans to go by.
    pub timing: Timing,
    /// The log.
    pub store: Rc<dyn Store>,
    /// Calls to peers.
    pub peers: Rc<peer::Client>,
    /// Time.
    pub clock: Rc<dyn Clock>,
    /// Ends the tasks when triggered.
    pub stop: Shutdown,
}

/// Starts the tasks on the present runtime.
///
/// Their channel has no bound of its own; what goes through it has: one read, one tick, as many
/// changes as the machine lets wait, and the calls that the servers admit.
pub fn start(setup: Setup) -> Handle {
    let (sender, inbox) = unbounded::channel();
    let seed = rand::rng().random();
    let now = setup.clock.now();
    let machine = Machine::new(&setup.name, &setup.domain, setup.timing.clone(), seed, now);
    let reader = Reader {
        store: Rc::clone(&setup.store),
        clock: Rc::clone(&setup.clock),
        asks: sender.clone(),
    };
    let stop = setup.stop.clone();
    monoio::spawn(until(stop.clone(), reader.run()));
    monoio::spawn(until(stop.clone(), tick(Rc::clone(&setup.clock), sender.clone())));
    let keeper = Keeper {
        machine,
        store: setup.store,
        peers: setup.peers,
        clock: setup.clock,
        asks: sender.clone(),
        waiting: BTreeMap::new(),
        subscribers: Vec::new(),
    };
    monoio::spawn(until(stop, keeper.run(inbox)));
    Handle::new(sender)
}

async fn tick(clock: Rc<dyn Clock>, asks: unbounded::Tx<Ask>) {
    while tell(&asks, Message::Tick).await.is_some() {
        clock.sleep(TICK).await;
    }
}

/// Passes a message to the owner of the machine and returns the next offset to read; `None` once
/// the owner is gone.
async fn tell(asks: &unbounded::Tx<Ask>, message: Message) -> Option<Offset> {
    let (sender, receiver) = oneshot::channel();
    asks.send(Ask::Read(message, sender)).ok()?;
    receiver.await.ok()
}

/// Reads the stream and hands the pages to the owner of the machine.
struct Reader {
    store: Rc<dyn Store>,
    clock: Rc<dyn Clock>,
    asks: unbounded::Tx<Ask>,
}

impl Reader {
    async fn run(self) {
        let mut position = 0;
        while let Some(next) = self.read(position).await {
            position = next;
        }
    }

    /// Reads one page and returns the next offset to read; `None` once the owner is gone.
    async fn read(&self, position: Offset) -> Option<Offset> {
        let began = self.clock.now();
        match self.store.read(STREAM, position, READ_WAIT).await {
            Ok(page) => {
                let hasty = page.records.is_empty() && self.clock.now().since(began) < READ_REST;
                let next = tell(&self.asks, Message::Page(page)).await;
                if hasty {
                    self.clock.sleep(READ_REST).await;
                }
                next
            }
            Err(error) => {
                log::warn!("event=config.read_failed {error}");
                let next = tell(&self.asks, Message::ReadFailed).await;
                let rest = READ_RETRY.mul_f64(1.0 + rand::random::<f64>());
                self.clock.sleep(rest).await;
                next
            }
        }
    }
}

/// Owns the machine and carries its effects out.
struct Keeper {
    machine: Machine,
    store: Rc<dyn Store>,
    peers: Rc<peer::Client>,
    clock: Rc<dyn Clock>,
    asks: unbounded::Tx<Ask>,
    waiting: BTreeMap<Id, oneshot::Sender<PublishOutcome>>,
    subscribers: Vec<unbounded::Tx<Rc<Value>>>,
}

impl Keeper {
    async fn run(mut self, mut inbox: unbounded::Rx<Ask>) {
        while let Some(ask) = inbox.recv().await {
            self.answer(ask);
        }
    }

    /// Answers one request. Whoever no longer waits for the answer does not get it.
    fn answer(&mut self, ask: Ask) {
        match ask {
            Ask::Tell(message) => self.tell(message),
            Ask::Read(message, sender) => {
                self.tell(message);
                let _ = sender.send(self.machine.position());
            }
            Ask::Publish(proposal, sender) => self.publish(proposal, sender),
            Ask::Outcome(id, sender) => {
                let _ = sender.send(self.machine.outcome(id));
            }
            Ask::Value(sender) => {
                let _ = sender.send(self.machine.value());
            }
            Ask::Subscribe(sender) => self.subscribe(sender),
            Ask::Standings(sender) => {
                let _ = sender.send(self.machine.sync_statuses(self.clock.now()));
            }
            Ask::Digest(digest, sender) => {
                self.tell(Message::DigestReceived(digest));
                let _ = sender.send(self.machine.digest(self.clock.now()));
            }
            Ask::State(sender) => {
                let _ = sender.send(self.machine.state().cloned());
            }
        }
    }

    fn tell(&mut self, message: Message) {
        let (now, unix) = (self.clock.now(), self.clock.unix());
        for effect in self.machine.handle(now, unix, message) {
            self.carry_out(effect);
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
        self.tell(Message::Publish(Publication { id, base, by, at, change }));
    }

    fn subscribe(&mut self, sender: unbounded::Tx<Rc<Value>>) {
        if let Some(value) = self.machine.value() {
            let _ = sender.send(value);
        }
        self.subscribers.push(sender);
    }

    fn carry_out(&mut self, effect: Effect) {
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
        let asks = self.asks.clone();
        monoio::spawn(async move {
            let message = match store.append(STREAM, payload).await {
                Ok(_) => Message::Appended(id),
                Err(error) => {
                    log::warn!("event=config.append_failed id={id} {error}");
                    Message::AppendFailed(id, error.outcome)
                }
            };
            let _ = asks.send(Ask::Tell(message));
        });
    }

    fn snapshot(&self, payload: Bytes) {
        let store = Rc::clone(&self.store);
        monoio::spawn(async move {
            // The machine writes it again unless it reads it back.
            match store.append(STREAM, payload).await {
                Ok(offset) => log::info!("event=config.snapshot offset={offset}"),
                Err(error) => log::warn!("event=config.snapshot_failed {error}"),
            }
        });
    }

    fn exchange(&self, address: SocketAddr, digest: &Digest) {
        let ask = wire::Digest::from(digest);
        let peers = Rc::clone(&self.peers);
        let asks = self.asks.clone();
        monoio::spawn(async move {
            let answer: Result<wire::Digest, _> =
                peers.call(address, wire::DIGEST, &ask, PEER_TIMEOUT).await;
            match answer.map(Digest::try_from) {
                Ok(Ok(digest)) => {
                    let _ = asks.send(Ask::Tell(Message::DigestReceived(digest)));
                }
                Ok(Err(error)) => log::warn!("event=config.digest_invalid peer={address} {error}"),
                Err(error) => log::debug!("event=config.digest_failed {error}"),
            }
        });
    }

    fn fetch(&self, address: SocketAddr) {
        let peers = Rc::clone(&self.peers);
        let asks = self.asks.clone();
        monoio::spawn(async move {
            let message = fetch_state(&peers, address).await;
            let _ = asks.send(Ask::Tell(message));
        });
    }
}

async fn fetch_state(peers: &peer::Client, address: SocketAddr) -> Message {
    let ask = wire::FetchRequest {};
    let fetched: Result<wire::FetchResponse, _> =
        peers.call(address, wire::FETCH, &ask, PEER_TIMEOUT).await;
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
