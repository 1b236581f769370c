//! The task that runs a cell's state machine and executes its effects.

mod background;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use futures_util::FutureExt;
use local_sync::mpsc::unbounded::{Rx, Tx, channel};
use local_sync::oneshot;

use super::activity::{OwnerActivity, Stopwatch, ThreadProfiler};
use super::caller::Caller;
use super::dependencies::{
    Discovery, Journal, JournalSnapshot, PolicyService, PollRequest, StartCommand, WorkerClient,
    WorkerError, WorkerInfo,
};
use super::job::Run;
use super::machine::{Answer, Call, CallId, Effect, Machine, Message, PolicyQuery, StoreHealth};
use super::peer as wire;
use super::record::WorkerId;
use super::timings::{APPEND_TIMEOUT, TICK};
use super::{Epoch, Id};
use crate::clock::{Clock, Instant, Unix};
use crate::peer;

/// Maximum number of messages processed between two steps of the machine. It is the number that
/// arrives in a tenth of a second at the busiest sites, so that a placement round does not follow
/// every few messages.
const MAX_MESSAGES_PER_STEP: usize = 1_024;

/// Time for which an owner that ends waits for its last decisions to be stored.
const LAST_APPENDS_TIMEOUT: Duration = Duration::from_millis(200);

/// Interfaces to external systems, shared by the tasks of an instance.
pub struct Dependencies {
    /// Journals of the cells.
    pub journal: Rc<dyn Journal>,
    /// Workers.
    pub workers: Rc<dyn WorkerClient>,
    /// The policy service.
    pub policy_service: Rc<dyn PolicyService>,
    /// The platform's lists.
    pub discovery: Rc<dyn Discovery>,
    /// Other instances.
    pub peers: Rc<peer::Client>,
    /// Clock that also advances while the instance is suspended.
    pub clock: Rc<dyn Clock>,
    /// Time that the instance spends on each activity while it owns a cell.
    pub profiler: Rc<ThreadProfiler>,
}

/// Read access to the machine, executed by the task that owns it.
type Inspection = Box<dyn FnOnce(&Machine, Instant)>;

enum Input {
    Message(Message),
    Call { call: Call, caller: Caller, reply: oneshot::Sender<Answer> },
    Inspect(Inspection),
    End,
}

impl Input {
    /// Activity to which processing the input is attributed.
    const fn duty(&self) -> OwnerActivity {
        match self {
            Self::Message(message) => message.activity(),
            Self::Call { .. } | Self::End => OwnerActivity::Call,
            Self::Inspect(_) => OwnerActivity::Watch,
        }
    }
}

/// Handle to the task.
#[derive(Clone)]
pub struct OwnerHandle {
    inputs: Tx<Input>,
}

impl OwnerHandle {
    /// Sends a message to the machine.
    pub fn send(&self, message: Message) {
        // The send fails when the task has ended; the next owner obtains the information itself.
        let _ = self.inputs.send(Input::Message(message));
    }

    /// Executes a call; `None` when the task ended before it answered.
    pub async fn call(&self, call: Call, caller: Caller) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.inputs.send(Input::Call { call, caller, reply }).ok()?;
        answer.await.ok()
    }

    /// Reads from the machine; `None` when the task has ended.
    pub async fn inspect<T: 'static>(
        &self,
        inspect: impl FnOnce(&Machine, Instant) -> T + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let inspection = move |machine: &Machine, now| {
            let _ = sender.send(inspect(machine, now));
        };
        self.inputs.send(Input::Inspect(Box::new(inspection))).ok()?;
        receiver.await.ok()
    }

    /// Stops the task.
    pub fn stop(&self) {
        let _ = self.inputs.send(Input::End);
    }
}

/// Why an owner ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EndReason {
    /// Its instance shuts down.
    #[display("stopped on request")]
    Requested,
    /// Another owner has taken the cell over.
    #[display("{_0}")]
    Replaced(String),
}

/// Task of a cell's owner.
pub struct OwnerTask {
    cell: Id,
    cells: u32,
    me: SocketAddr,
    machine: Machine,
    deps: Rc<Dependencies>,
    inputs: Rx<Input>,
    handle: OwnerHandle,
    pending_replies: BTreeMap<CallId, oneshot::Sender<Answer>>,
    last_call: CallId,
    ended: Rc<Cell<bool>>,
    profiler: Rc<ThreadProfiler>,
    /// Called at each step with the health of the store.
    report_health: Box<dyn Fn(StoreHealth)>,
}

impl OwnerTask {
    /// Builds the task for `machine`, which owns `cell` of `cells`.
    pub fn new(
        cell: Id,
        cells: u32,
        me: SocketAddr,
        machine: Machine,
        deps: Rc<Dependencies>,
        health: Box<dyn Fn(StoreHealth)>,
    ) -> (Self, OwnerHandle) {
        let (sender, inputs) = channel();
        let handle = OwnerHandle { inputs: sender };
        let owner = Self {
            cell,
            cells,
            me,
            machine,
            inputs,
            handle: handle.clone(),
            pending_replies: BTreeMap::new(),
            last_call: 0,
            ended: Rc::new(Cell::new(false)),
            profiler: deps.profiler.clone(),
            deps,
            report_health: health,
        };
        (owner, handle)
    }

    /// Runs until another instance takes over or the handle stops it; returns the reason.
    pub async fn run(mut self) -> EndReason {
        self.follow_roster();
        self.save_learned();
        self.report_activities();
        self.watch_load();
        let reason = self.run_loop().await;
        self.ended.set(true);
        if reason == EndReason::Requested {
            self.save_last_snapshot().await;
        }
        reason
    }

    async fn run_loop(&mut self) -> EndReason {
        let mut stopwatch = self.profiler.stopwatch();
        loop {
            let first = monoio::time::timeout(TICK, self.inputs.recv()).await.ok().flatten();
            stopwatch.restart();
            if self.drain_inputs(first, &mut stopwatch) {
                return EndReason::Requested;
            }
            let (now, unix) = (self.deps.clock.now(), self.deps.clock.unix());
            (self.report_health)(self.machine.store_health(now));
            let mut round = Duration::ZERO;
            let effects = self.machine.step_by_activity(now, unix, &mut |activity| {
                let elapsed = stopwatch.record(activity);
                if activity == OwnerActivity::Placement {
                    round = elapsed;
                }
            });
            self.machine.delay_next_round(round);
            for effect in effects {
                let activity = effect.activity();
                if let Some(reason) = self.execute(effect) {
                    return EndReason::Replaced(reason);
                }
                stopwatch.record(activity);
            }
        }
    }

    /// Processes the queued inputs, `first` before the others; `true` when the task is to stop.
    fn drain_inputs(&mut self, first: Option<Input>, stopwatch: &mut Stopwatch) -> bool {
        // All of them had arrived by now, since nothing else runs on the thread meanwhile.
        let (now, unix) = (self.deps.clock.now(), self.deps.clock.unix());
        let mut next = first;
        let mut activity = None;
        for _ in 0..MAX_MESSAGES_PER_STEP {
            let Some(input) = next.take().or_else(|| self.inputs.try_recv().ok()) else { break };
            let before = activity.replace(input.duty());
            if let Some(before) = before.filter(|before| *before != input.duty()) {
                stopwatch.record(before);
            }
            if self.process(input, now, unix) {
                return true;
            }
        }
        if let Some(activity) = activity {
            stopwatch.record(activity);
        }
        false
    }

    /// Processes one input; `true` when the task is to stop.
    fn process(&mut self, input: Input, now: Instant, unix: Unix) -> bool {
        match input {
            Input::Message(message) => self.machine.handle(message, now, unix),
            Input::Call { call, caller, reply } => {
                self.last_call += 1;
                let id = self.last_call;
                self.pending_replies.insert(id, reply);
                self.machine.handle(Message::Call { id, call, caller }, now, unix);
            }
            Input::Inspect(inspect) => inspect(&self.machine, now),
            Input::End => return true,
        }
        false
    }

    fn execute(&mut self, effect: Effect) -> Option<String> {
        match effect {
            Effect::Append { sequence, batch } => self.append(sequence, batch),
            Effect::Poll { worker, peer, poll, timeout } => self.poll(worker, peer, poll, timeout),
            Effect::Start { worker, peer, start, timeout } => {
                self.start(worker, peer, start, timeout);
            }
            Effect::Stop { worker, peer, run, timeout } => self.stop(worker, peer, run, timeout),
            Effect::QueryPolicy(question) => self.query_policy(question),
            Effect::Reply { id, answer } => {
                if let Some(reply) = self.pending_replies.remove(&id) {
                    // The send fails when the caller no longer waits.
                    let _ = reply.send(answer);
                }
            }
            Effect::Save(snapshot) => self.save_snapshot(snapshot),
            Effect::StepDown { reason } => return Some(reason),
        }
        None
    }

    fn append(&self, sequence: u64, batch: Bytes) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        let (cell, epoch) = (self.cell, self.machine.epoch);
        monoio::spawn(async move {
            let sent = deps.clock.now();
            let append = deps.journal.append(cell, epoch, sequence, batch, APPEND_TIMEOUT);
            let outcome = deps.profiler.measure(OwnerActivity::Append, append).await;
            handle.send(Message::Appended { sequence, sent, outcome });
        });
    }

    fn poll(&self, worker: WorkerId, peer: SocketAddr, poll: PollRequest, timeout: Duration) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        monoio::spawn(async move {
            let sent = deps.clock.now();
            let poll = deps.workers.poll(peer, &worker, &poll, timeout);
            let outcome = deps.profiler.measure(OwnerActivity::Poll, poll).await;
            handle.send(Message::Polled { worker, sent, outcome });
        });
    }

    fn start(&self, worker: WorkerId, peer: SocketAddr, start: StartCommand, timeout: Duration) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        monoio::spawn(async move {
            let command = deps.workers.start(peer, &worker, &start, timeout);
            let outcome = deps.profiler.measure(OwnerActivity::Command, command).await;
            handle.send(Message::Started { worker, run: start.run, outcome });
        });
    }

    fn stop(&self, worker: WorkerId, peer: SocketAddr, run: Run, timeout: Duration) {
        let (deps, handle) = (self.deps.clone(), self.handle.clone());
        let epoch: Epoch = self.machine.epoch;
        monoio::spawn(async move {
            let command = deps.workers.stop(peer, &worker, run, epoch, timeout);
            let outcome: Result<u64, WorkerError> =
                deps.profiler.measure(OwnerActivity::Command, command).await;
            handle.send(Message::Stopped { worker, run, outcome });
        });
    }

    fn query_policy(&self, query: PolicyQuery) {
        let (deps, handle, me) = (self.deps.clone(), self.handle.clone(), self.me);
        monoio::spawn(async move {
            let number = query.number;
            let call = query_policy_service(&deps, me, query).boxed_local();
            let eligibility = deps.profiler.measure(OwnerActivity::Policy, call).await;
            if let Err(cause) = &eligibility {
                log::info!("event=advice.no_answer question={number} cause={cause:?}");
            }
            handle.send(Message::PolicyAnswered { query: number, eligibility: eligibility.ok() });
        });
    }

    fn save_snapshot(&self, snapshot: JournalSnapshot) {
        let saving = self.store_snapshot(snapshot);
        let handle = self.handle.clone();
        monoio::spawn(async move {
            let is_saved = saving.await;
            handle.send(Message::SnapshotSaved(is_saved));
        });
    }

    /// Stores a snapshot; returns whether it is stored.
    fn store_snapshot(&self, snapshot: JournalSnapshot) -> impl Future<Output = bool> + 'static {
        let (deps, cell, epoch) = (self.deps.clone(), self.cell, self.machine.epoch);
        let claim = self.machine.claim_number();
        async move {
            let (offset, bytes) = (snapshot.offset, snapshot.state.as_ref().map_or(0, Bytes::len));
            match deps.journal.save_snapshot(cell, epoch, claim, &snapshot).await {
                Ok(()) => {
                    log::info!("event=journal.saved cell={cell} offset={offset} bytes={bytes}");
                    true
                }
                Err(cause) => {
                    log::warn!("event=journal.save_failed cell={cell} cause={cause:?}");
                    false
                }
            }
        }
    }

    /// Saves a snapshot of all that is stored, when no other instance has taken the cell over.
    ///
    /// Guards against a planned stop of all instances that lasts longer than the store retains
    /// records.
    async fn save_last_snapshot(&mut self) {
        self.wait_stored().await;
        if let Some(snapshot) = self.machine.last_snapshot() {
            self.store_snapshot(snapshot).await;
        }
    }

    /// Waits for a limited time until all decisions are stored, and makes none meanwhile.
    async fn wait_stored(&mut self) {
        let deadline = self.deps.clock.now().after(LAST_APPENDS_TIMEOUT);
        while !self.machine.is_stored() && self.deps.clock.now() < deadline {
            let input = monoio::time::timeout(TICK, self.inputs.recv()).await.ok().flatten();
            let Some(Input::Message(message @ Message::Appended { .. })) = input else { continue };
            self.machine.handle(message, self.deps.clock.now(), self.deps.clock.unix());
            for effect in self.machine.take_effects() {
                if matches!(effect, Effect::Append { .. } | Effect::Reply { .. }) {
                    self.execute(effect);
                }
            }
        }
    }
}

async fn query_policy_service(
    deps: &Dependencies,
    me: SocketAddr,
    query: PolicyQuery,
) -> Result<super::dependencies::Eligibility, String> {
    let timeout = query.timeout;
    if query.proxy == me {
        return deps.policy_service.eligible_workers(&query.step, &query.workers, timeout).await;
    }
    let request = wire::PolicyRequest {
        step: query.step,
        workers: query.workers,
        timeout_ms: crate::clock::millis(timeout),
    };
    let answer: Result<Result<super::dependencies::Eligibility, String>, peer::Error> =
        deps.peers.call(query.proxy, wire::POLICY, &request, timeout + timeout / 4).await;
    answer.map_err(|error| error.to_string())?
}

/// Cell that a worker belongs to. All workers of a rack belong to the same cell, so that a gang
/// that needs a single rack finds it there.
pub fn cell_of(listed: &WorkerInfo, cells: u32) -> Id {
    let rack = listed.rack.as_deref().unwrap_or(&listed.domain);
    Id((xxhash_rust::xxh3::xxh3_64(rack.as_bytes()) % u64::from(cells.max(1))) as u32)
}
