//! The task that owns the state machine of the failure domain and carries out its effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use local_sync::mpsc::unbounded::{Rx, Tx, channel};
use local_sync::oneshot;

use crate::clock::{Clock, Instant, Unix};
use crate::domain::Epoch;
use crate::entry::peers::{HeartbeatResponse, StoreBatchResponse};
use crate::entry::reachability::ReachabilityReporter;
use crate::entry::readiness::Readiness;
use crate::owner::journal::AppendRequest;
use crate::owner::machine::{Answer, Call, Effect, Heartbeat, Machine, Message};
use crate::owner::session::ExchangeRequest;
use crate::owner::{BatchCopy, Ticket, machine};
use crate::peer;
use crate::store::{Offset, Store};
use crate::worker::{self, WorkerTransport};

/// Peer method that carries an owner's heartbeat.
pub const HEARTBEAT: &str = "owner/beat";
/// Peer method by which an owner that cannot reach the log asks an instance to store a batch.
pub const STORE_BATCH: &str = "owner/hold";
/// Peer method by which an owner asks an instance to take over.
pub const HANDOVER: &str = "owner/handover";

/// Longest time between two steps of the machine.
const TICK: Duration = Duration::from_millis(25);

/// Closure that reads the machine, run by the task that owns it.
type Inspection = Box<dyn FnOnce(&Machine, Instant, Unix)>;

/// Input of the controller.
enum Input {
    Message(Message),
    Call { ticket: Ticket, call: Call, reply: oneshot::Sender<Answer> },
    Expire(Ticket),
    Inspect(Inspection),
}

/// Handle to the controller.
#[derive(Clone)]
pub struct Handle {
    inputs: Tx<Input>,
    tickets: Rc<std::cell::Cell<Ticket>>,
}

/// Interfaces that carry out the machine's effects.
pub struct Dependencies {
    /// The platform's log.
    pub store: Rc<dyn Store>,
    /// Calls to the workers.
    pub workers: Rc<dyn WorkerTransport>,
    /// Calls to other instances.
    pub peers: Rc<peer::Client>,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Name of the stream of the failure domain.
    pub stream: String,
    /// Timeout of an exchange, in addition to the time that the worker may wait.
    pub worker_timeout: Duration,
    /// Timeout of a call to another instance.
    pub peer_timeout: Duration,
    /// Receives the results of calls to other instances and workers.
    pub reachability: Rc<ReachabilityReporter>,
    /// Whether this instance should receive traffic.
    pub readiness: Rc<Readiness>,
}

/// Runs the state machine and carries out its effects.
pub struct Controller {
    machine: Machine,
    deps: Rc<Dependencies>,
    inputs: Rx<Input>,
    handle: Handle,
    waiting: BTreeMap<Ticket, oneshot::Sender<Answer>>,
}

impl Handle {
    /// Sends a message to the machine.
    pub fn send(&self, message: Message) {
        // The controller ends only with the process, so a message that it misses has no effect.
        let _ = self.inputs.send(Input::Message(message));
    }

    /// Requests a change from the owner on this instance and waits at most `within`.
    ///
    /// After that time the machine withdraws the change if it has not been sent to the log yet, so
    /// that the answer states correctly whether the change may take effect.
    pub async fn call(&self, clock: &dyn Clock, call: Call, within: Duration) -> Answer {
        let (reply, mut answer) = oneshot::channel();
        let ticket = self.tickets.get() + 1;
        self.tickets.set(ticket);
        if self.inputs.send(Input::Call { ticket, call, reply }).is_err() {
            return Answer::Refused(machine::Refusal::NotOwner(None));
        }
        monoio::select! {
            answered = &mut answer => answered.unwrap_or(Answer::Unknown),
            () = clock.sleep(within) => {
                let _ = self.inputs.send(Input::Expire(ticket));
                answer.await.unwrap_or(Answer::Unknown)
            }
        }
    }

    /// Runs `read` on the machine and returns its result, or `None` if the controller has ended.
    pub async fn inspect<T: 'static>(
        &self,
        read: impl FnOnce(&Machine, Instant, Unix) -> T + 'static,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let inspection: Inspection = Box::new(move |machine, now, unix| {
            let _ = reply.send(read(machine, now, unix));
        });
        self.inputs.send(Input::Inspect(inspection)).ok()?;
        answer.await.ok()
    }
}

impl Controller {
    /// Creates the controller of `machine`.
    pub fn new(machine: Machine, deps: Dependencies) -> Self {
        let (sender, inputs) = channel();
        let handle = Handle { inputs: sender, tickets: Rc::default() };
        Self { machine, deps: Rc::new(deps), inputs, handle, waiting: BTreeMap::new() }
    }

    /// Returns a handle to this controller.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Runs until the machine has stopped.
    ///
    /// A step is due one tick after the last step, regardless of inspections in between. If the
    /// time counted from the last input, an owner whose state is read more often than once a tick
    /// would send no heartbeat and commit nothing until another message arrived.
    pub async fn run(mut self) {
        let mut due = self.deps.clock.now().after(TICK);
        loop {
            let left = due.since(self.deps.clock.now());
            let message = match monoio::time::timeout(left, self.inputs.recv()).await {
                Err(_) => Message::Tick,
                Ok(None) => return,
                Ok(Some(Input::Message(message))) => message,
                Ok(Some(Input::Call { ticket, call, reply })) => {
                    self.waiting.insert(ticket, reply);
                    Message::Call { ticket, call }
                }
                Ok(Some(Input::Expire(ticket))) => Message::Expired(ticket),
                Ok(Some(Input::Inspect(inspection))) => {
                    let now = self.deps.clock.now();
                    inspection(&self.machine, now, self.deps.clock.unix());
                    if now < due {
                        continue;
                    }
                    Message::Tick
                }
            };
            if self.step(message) {
                return;
            }
            due = self.deps.clock.now().after(TICK);
        }
    }

    /// Handles one message and returns whether the machine has stopped.
    fn step(&mut self, message: Message) -> bool {
        let now = self.deps.clock.now();
        let unix = self.deps.clock.unix();
        let mut stopped = false;
        for effect in self.machine.handle(message, now, unix) {
            match effect {
                Effect::Read { from, wait } => self.read(from, wait),
                Effect::Append(request) => self.append(request),
                Effect::Exchange { epoch, worker, request } => {
                    self.exchange(epoch, worker, request)
                }
                Effect::Heartbeat { to, heartbeat } => self.send_heartbeat(&to, &heartbeat),
                Effect::StoreBatch { to, copy } => self.store_batch(&to, &copy),
                Effect::Handover { to, epoch } => self.hand_over(to, epoch),
                Effect::Reply { ticket, answer } => {
                    if let Some(reply) = self.waiting.remove(&ticket) {
                        let _ = reply.send(answer);
                    }
                }
                Effect::Stopped => stopped = true,
            }
        }
        self.deps.readiness.set_caught_up(self.machine.is_ready());
        stopped
    }

    fn read(&self, from: Offset, wait: Duration) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        monoio::spawn(async move {
            let result = deps.store.read(&deps.stream, from, wait).await;
            handle.send(Message::Read(result));
        });
    }

    fn append(&self, AppendRequest { tag, payload }: AppendRequest) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        monoio::spawn(async move {
            let result = deps.store.append(&deps.stream, payload).await;
            handle.send(Message::Appended { tag, result });
        });
    }

    fn exchange(&self, epoch: Epoch, worker: worker::Name, request: ExchangeRequest) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        monoio::spawn(async move {
            let timeout = deps.worker_timeout;
            let result = deps.workers.exchange(request.address, &request.exchange, timeout).await;
            deps.reachability.record_exchange(&worker, &result);
            handle.send(Message::Exchanged { epoch, worker, channel: request.channel, result });
        });
    }

    fn send_heartbeat(&self, to: &[SocketAddr], heartbeat: &Heartbeat) {
        for peer in to.iter().copied() {
            let (deps, handle) = (self.deps.clone(), self.handle.clone());
            let heartbeat = heartbeat.clone();
            monoio::spawn(async move {
                let answer = deps.peers.call(peer, HEARTBEAT, &heartbeat, deps.peer_timeout).await;
                deps.reachability.record_call(peer, &answer);
                if let Ok(HeartbeatResponse { from, epoch }) = answer {
                    handle.send(Message::HeartbeatAnswered { from, epoch });
                }
            });
        }
    }

    fn store_batch(&self, to: &[SocketAddr], copy: &BatchCopy) {
        for peer in to.iter().copied() {
            let (deps, handle) = (self.deps.clone(), self.handle.clone());
            let copy = copy.clone();
            monoio::spawn(async move {
                let answer = deps.peers.call(peer, STORE_BATCH, &copy, deps.peer_timeout).await;
                if let Ok(StoreBatchResponse { from, kept: true }) = answer {
                    let (epoch, sequence) = (copy.epoch, copy.sequence);
                    handle.send(Message::BatchStored { from, epoch, sequence });
                }
            });
        }
    }

    fn hand_over(&self, to: SocketAddr, epoch: Epoch) {
        let deps = self.deps.clone();
        monoio::spawn(async move {
            let answer: Result<(), _> =
                deps.peers.call(to, HANDOVER, &epoch, deps.peer_timeout).await;
            if let Err(error) = answer {
                log::warn!("event=owner.handover_failed {error}");
            }
        });
    }
}
