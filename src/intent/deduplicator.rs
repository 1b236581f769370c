//! Runs the machine over the log: a handle for requests, and the task that owns the state.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use futures_util::{pin_mut, select_biased};
use local_sync::{mpsc::unbounded, oneshot};

use super::admission_decision::{AdmissionDecision, Refusal};
use super::domain_binding::{DomainBinding, is_job};
use super::key::{Key, Request};
use super::machine::{CallResult, Effect, Input, Machine, Now, RequestId, Stats};
use super::partition::{KeyState, Partition};
use super::permit::Permit;
use super::policy::Policy;
use super::record::{AttemptId, Entry, ExecutionOutcome};
use crate::clock::{Clock, Unix};
use crate::domain;
use crate::store::{self, Store};

/// Maximum sleep of the task while no work is due.
const IDLE: Duration = Duration::from_secs(3600);

/// Answer to a request for execution.
pub enum Admission {
    /// The request may run once.
    Granted(Permit),
    /// An earlier request has won the key.
    Duplicate(KeyState),
    /// The request has not run and never will.
    NotRun(Refusal),
}

/// Admits requests so that the work of an idempotency key runs at most once.
///
/// A cloneable handle to the [`Driver`] task.
#[derive(Clone)]
pub struct Deduplicator {
    sender: unbounded::Tx<Message>,
}

/// Task that owns the state of one instance and calls the log.
pub struct Driver {
    machine: Machine,
    store: Rc<dyn Store>,
    clock: Rc<dyn Clock>,
    call_timeout: Duration,
    receiver: unbounded::Rx<Message>,
    calls: FuturesUnordered<LocalBoxFuture<'static, Input>>,
    requesters: HashMap<RequestId, Requester>,
    last_request_id: RequestId,
}

/// Message of a handle, permit or execution to the task.
pub(super) enum Message {
    Begin { request: Request, timeout: Duration, requester: Requester },
    Record(Entry),
    Preload,
    Stats(oneshot::Sender<Stats>),
}

/// Where to send the answer of a request, and the data of its permit.
pub(super) struct Requester {
    key: Key,
    created: Unix,
    reply: oneshot::Sender<Admission>,
    sender: unbounded::Tx<Message>,
}

impl Deduplicator {
    /// Creates a handle and its task for the instance `name`; `run` identifies the process.
    ///
    /// The handle works once [`Driver::run`] is polled.
    pub fn new(
        name: &str,
        run: u64,
        policy: Policy,
        store: Rc<dyn Store>,
        clock: Rc<dyn Clock>,
    ) -> (Self, Driver) {
        let (sender, receiver) = unbounded::channel();
        let driver = Driver {
            call_timeout: policy.call_timeout,
            machine: Machine::new(name, run, policy),
            store,
            clock,
            receiver,
            calls: FuturesUnordered::new(),
            requesters: HashMap::new(),
            last_request_id: 0,
        };
        (Self { sender }, driver)
    }

    /// Reads every partition now, so that the first requests do not wait for it.
    pub fn preload(&self) {
        // Ignored if the task has ended: no request needs the partitions then.
        let _ = self.sender.send(Message::Preload);
    }

    /// Claims the key of `request`, waiting at most `timeout` for the log.
    ///
    /// Dropping the future cancels the claim; a key that was won meanwhile is released.
    pub async fn begin(&self, request: Request, timeout: Duration) -> Admission {
        let (reply, answer) = oneshot::channel();
        let sender = self.sender.clone();
        let requester =
            Requester { key: request.key.clone(), created: request.created, reply, sender };
        // If the task has ended, the reply sender is dropped and `answer` fails below.
        let _ = self.sender.send(Message::Begin { request, timeout, requester });
        answer.await.unwrap_or(Admission::NotRun(Refusal::ShuttingDown))
    }

    /// Binds a job to a failure domain: that of `request` or, if an earlier submission used the
    /// same key, that of the earlier one.
    pub async fn bind_job(&self, request: Request, timeout: Duration) -> DomainBinding {
        let Some(domain) = request.domain.clone().filter(|_| is_job(&request)) else {
            return DomainBinding::NotRun(Refusal::KeyReused);
        };
        match self.begin(request, timeout).await {
            Admission::Granted(permit) => {
                let attempt = permit.attempt();
                permit.retain_intent();
                DomainBinding::Bound { attempt, domain, duplicate: false, accepted: false }
            }
            Admission::Duplicate(state) => DomainBinding::from_state(state),
            Admission::NotRun(refusal) => DomainBinding::NotRun(refusal),
        }
    }

    /// Records that the owner of `domain` has the job of `request` in its log; `attempt` comes from
    /// its [`DomainBinding::Bound`].
    pub fn record_acceptance(&self, request: &Request, attempt: AttemptId, domain: domain::Name) {
        let Request { key, created, .. } = request.clone();
        let outcome = ExecutionOutcome::Accepted(domain);
        // If the task has ended, a retry submits the job again, and the owner detects the repeat.
        let _ =
            self.sender.send(Message::Record(Entry::Outcome { attempt, key, created, outcome }));
    }

    /// Counters since the start; `None` if the task has ended.
    pub async fn stats(&self) -> Option<Stats> {
        let (reply, answer) = oneshot::channel();
        let _ = self.sender.send(Message::Stats(reply));
        answer.await.ok()
    }
}

impl Driver {
    /// Runs until every handle, permit and execution is dropped and their records are written, or
    /// until `grace` has passed since the last of them was dropped.
    pub async fn run(mut self, grace: Duration) {
        let mut closing = None;
        while !closing.is_some_and(|end| self.clock.now() >= end || self.machine.is_idle()) {
            let input = self.next(closing.is_some()).await;
            if let Some(input) = input {
                self.handle(input);
            } else if closing.is_none() {
                closing = Some(self.clock.now().after(grace));
            }
        }
    }

    /// Waits for the next input; `None` once no handle, permit or execution is left.
    async fn next(&mut self, closing: bool) -> Option<Input> {
        let now = self.clock.now();
        let idle = self.machine.next_wakeup(now).map_or(IDLE, |wake| wake.since(now));
        let timer = self.clock.sleep(idle).fuse();
        pin_mut!(timer);
        if closing {
            return select_biased! {
                input = self.calls.select_next_some() => Some(input),
                () = timer => Some(Input::Tick),
            };
        }
        select_biased! {
            input = self.calls.select_next_some() => Some(input),
            message = self.receiver.recv().fuse() => self.accept(message?),
            () = timer => Some(Input::Tick),
        }
    }

    fn accept(&mut self, message: Message) -> Option<Input> {
        Some(match message {
            Message::Begin { request, timeout, requester } => {
                self.last_request_id += 1;
                self.requesters.insert(self.last_request_id, requester);
                Input::Submit { request_id: self.last_request_id, request, timeout }
            }
            Message::Record(entry) => Input::Record(entry),
            Message::Preload => Input::Preload,
            Message::Stats(reply) => {
                // The caller may have dropped its future.
                let _ = reply.send(self.machine.stats());
                Input::Tick
            }
        })
    }

    fn handle(&mut self, input: Input) {
        let now = Now { instant: self.clock.now(), unix: self.clock.unix() };
        for effect in self.machine.handle(input, now) {
            match effect {
                Effect::Append { partition, payload } => self.append(partition, payload),
                Effect::Read { partition, from } => self.read(partition, from),
                Effect::Reply { request_id, decision } => self.reply(request_id, decision),
            }
        }
    }

    fn append(&self, partition: u16, payload: bytes::Bytes) {
        let store = Rc::clone(&self.store);
        let timeout = self.clock.sleep(self.call_timeout);
        metrics::counter!("intent_appends_total").increment(1);
        let call = async move {
            let stream = Partition::stream_name(partition);
            let answer = select_biased! {
                answer = store.append(&stream, payload).fuse() => answer.map_err(|error| log_error(&error)),
                () = timeout.fuse() => Err(store::AppendOutcome::Unknown),
            };
            Input::CallEnded { partition, call: CallResult::Append(answer) }
        };
        self.calls.push(call.boxed_local());
    }

    fn read(&self, partition: u16, from: store::Offset) {
        let store = Rc::clone(&self.store);
        let timeout = self.clock.sleep(self.call_timeout);
        metrics::counter!("intent_reads_total").increment(1);
        let call = async move {
            let stream = Partition::stream_name(partition);
            let page = select_biased! {
                page = store.read(&stream, from, Duration::ZERO).fuse() => {
                    page.map_err(|error| log_error(&error)).ok()
                }
                () = timeout.fuse() => None,
            };
            Input::CallEnded { partition, call: CallResult::Read(page) }
        };
        self.calls.push(call.boxed_local());
    }

    /// Answers a request. If its caller has gone, the permit is dropped, which releases the key.
    fn reply(&mut self, request_id: RequestId, decision: AdmissionDecision) {
        let Some(Requester { key, created, reply, sender }) = self.requesters.remove(&request_id)
        else {
            return;
        };
        let admission = match decision {
            AdmissionDecision::Granted(attempt) => {
                Admission::Granted(Permit::new(attempt, key, created, sender))
            }
            AdmissionDecision::Duplicate(state) => Admission::Duplicate(state),
            AdmissionDecision::NotRun(refusal) => {
                log::info!("event=intent.not_run key={:?} cause=\"{refusal}\"", key.to_string());
                Admission::NotRun(refusal)
            }
        };
        let _ = reply.send(admission);
    }
}

fn log_error(error: &store::Error) -> store::AppendOutcome {
    log::warn!("event=intent.log_failed {error}");
    error.outcome
}
