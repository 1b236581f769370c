//! The machine run over the log: a handle for requests and the task that owns the state.

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

/// Longest sleep of the task while nothing is due.
const IDLE: Duration = Duration::from_secs(3600);

/// The answer to a request that wants to run.
pub enum Admission {
    /// It may be tried once.
    Granted(Permit),
    /// An earlier request has won the key.
    Duplicate(KeyState),
    /// It has run nothing and never will.
    NotRun(Refusal),
}

/// Handle to the intents of one instance.
#[derive(Clone)]
pub struct Deduplicator {
    home: unbounded::Tx<Message>,
}

/// The task that owns the intents of one instance and calls the log for them.
pub struct Driver {
    machine: Machine,
    store: Rc<dyn Store>,
    clock: Rc<dyn Clock>,
    call_timeout: Duration,
    inbox: unbounded::Rx<Message>,
    calls: FuturesUnordered<LocalBoxFuture<'static, Input>>,
    asking: HashMap<RequestId, Asking>,
    last_request_id: RequestId,
}

/// What handles, permits and tries tell the task.
pub(super) enum Message {
    Begin { request: Request, timeout: Duration, asking: Asking },
    Record(Entry),
    Preload,
    Stats(oneshot::Sender<Stats>),
}

/// Who asked, and what a permit needs.
pub(super) struct Asking {
    key: Key,
    created: Unix,
    reply: oneshot::Sender<Admission>,
    home: unbounded::Tx<Message>,
}

impl Deduplicator {
    /// Builds a handle and the task behind it, for the process `run` of the instance `name`.
    pub fn new(
        name: &str,
        run: u64,
        policy: Policy,
        store: Rc<dyn Store>,
        clock: Rc<dyn Clock>,
    ) -> (Self, Driver) {
        let (home, inbox) = unbounded::channel();
        let driver = Driver {
            call_timeout: policy.call_timeout,
            machine: Machine::new(name, run, policy),
            store,
            clock,
            inbox,
            calls: FuturesUnordered::new(),
            asking: HashMap::new(),
            last_request_id: 0,
        };
        (Self { home }, driver)
    }

    /// Reads every partition now, so that the first requests need not wait for it.
    pub fn preload(&self) {
        // A deduplicator that has ended has nothing to read for.
        let _ = self.home.send(Message::Preload);
    }

    /// Asks to run `request`, waiting for the log no longer than `timeout`.
    ///
    /// Dropping the future gives up; a key that was won meanwhile is given back.
    pub async fn begin(&self, request: Request, timeout: Duration) -> Admission {
        let (reply, answer) = oneshot::channel();
        let home = self.home.clone();
        let asking = Asking { key: request.key.clone(), created: request.created, reply, home };
        // When the task has ended, the dropped sender answers below.
        let _ = self.home.send(Message::Begin { request, timeout, asking });
        answer.await.unwrap_or(Admission::NotRun(Refusal::ShuttingDown))
    }

    /// Fixes the failure domain that takes a job: that of `request` or, when an earlier submission
    /// with the same key came first, that of the earlier one.
    pub async fn bind_job(&self, request: Request, timeout: Duration) -> DomainBinding {
        let Some(domain) = request.domain.clone().filter(|_| is_job(&request)) else {
            return DomainBinding::NotRun(Refusal::KeyReused);
        };
        match self.begin(request, timeout).await {
            Admission::Granted(permit) => {
                let attempt = permit.attempt();
                permit.keep();
                DomainBinding::Bound { attempt, domain, duplicate: false, accepted: false }
            }
            Admission::Duplicate(state) => DomainBinding::repeated(state),
            Admission::NotRun(refusal) => DomainBinding::NotRun(refusal),
        }
    }

    /// Records that the owner of `domain` has the job of `request` in its log; `attempt` is the
    /// one of its [`DomainBinding::Bound`].
    pub fn record_acceptance(&self, request: &Request, attempt: AttemptId, domain: domain::Name) {
        let Request { key, created, .. } = request.clone();
        let outcome = ExecutionOutcome::Accepted(domain);
        // When the task has ended, a retry hands the job over again, and the owner knows it.
        let _ = self.home.send(Message::Record(Entry::Outcome { attempt, key, created, outcome }));
    }

    /// Counts since the start; `None` when the task has ended.
    pub async fn stats(&self) -> Option<Stats> {
        let (reply, answer) = oneshot::channel();
        let _ = self.home.send(Message::Stats(reply));
        answer.await.ok()
    }
}

impl Driver {
    /// Runs until every handle, permit and try is gone and their records are written, or until
    /// `grace` has passed since the last of them went.
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

    /// Waits for the next input; `None` once no handle is left.
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
            message = self.inbox.recv().fuse() => self.accept(message?),
            () = timer => Some(Input::Tick),
        }
    }

    fn accept(&mut self, message: Message) -> Option<Input> {
        Some(match message {
            Message::Begin { request, timeout, asking } => {
                self.last_request_id += 1;
                self.asking.insert(self.last_request_id, asking);
                Input::Submit { request_id: self.last_request_id, request, timeout }
            }
            Message::Record(entry) => Input::Record(entry),
            Message::Preload => Input::Preload,
            Message::Stats(reply) => {
                // Whoever asked may have gone.
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
                answer = store.append(&stream, payload).fuse() => answer.map_err(|error| report(&error)),
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
                    page.map_err(|error| report(&error)).ok()
                }
                () = timeout.fuse() => None,
            };
            Input::CallEnded { partition, call: CallResult::Read(page) }
        };
        self.calls.push(call.boxed_local());
    }

    /// Answers a request. One that no longer waits gives its permit back by dropping it.
    fn reply(&mut self, request_id: RequestId, decision: AdmissionDecision) {
        let Some(Asking { key, created, reply, home }) = self.asking.remove(&request_id) else {
            return;
        };
        let admission = match decision {
            AdmissionDecision::Granted(attempt) => {
                Admission::Granted(Permit::new(attempt, key, created, home))
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

fn report(error: &store::Error) -> store::AppendOutcome {
    log::warn!("event=intent.log_failed {error}");
    error.outcome
}
