//! The task that owns the router and calls runners and peers for it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture};
use futures_util::stream::{FuturesUnordered, StreamExt};
use futures_util::{pin_mut, select_biased};
use local_sync::mpsc::unbounded::Rx;
use local_sync::oneshot;

use super::active_request::ActiveRequest;
use super::exchange::ShareExchange;
use super::{Dump, Message, Submission};
use crate::clock::{Clock, Instant};
use crate::runner::attempt::{self, Outcome};
use crate::runner::peer::{ForwardOutcome, PeerTransport};
use crate::runner::request::{self, Request};
use crate::runner::share::{LeaseDurations, ShareResponse};
use crate::runner::transport::{Answer, Call, Fault, RunnerTransport};
use crate::runner::{Effect, Router};

/// Time that a passed-on request may take beyond its deadline before it counts as lost.
const FORWARD_SLACK: Duration = Duration::from_millis(500);

/// The task of one instance.
pub struct Driver {
    pub(super) router: Router,
    pub(super) exchange: ShareExchange,
    pub(super) peers: Rc<dyn PeerTransport>,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) calls: FuturesUnordered<LocalBoxFuture<'static, Completion>>,
    transport: Rc<dyn RunnerTransport>,
    inbox: Rx<Message>,
    active: HashMap<request::Id, ActiveRequest>,
    run: u64,
    serial: u64,
    drains: Vec<oneshot::Sender<()>>,
}

/// The end of a call to a runner or a peer.
pub(super) enum Completion {
    Attempt { id: attempt::Id, request: request::Id, outcome: Outcome, answer: Option<Answer> },
    Shares(Option<ShareResponse>),
}

impl Driver {
    pub(super) fn new(
        router: Router,
        durations: LeaseDurations,
        run: u64,
        transport: Rc<dyn RunnerTransport>,
        peers: Rc<dyn PeerTransport>,
        clock: Rc<dyn Clock>,
        inbox: Rx<Message>,
    ) -> Self {
        Self {
            router,
            exchange: ShareExchange::new(durations),
            peers,
            clock,
            calls: FuturesUnordered::new(),
            transport,
            inbox,
            active: HashMap::new(),
            run,
            serial: 0,
            drains: Vec::new(),
        }
    }

    /// Runs until every handle is gone and every request taken has been answered.
    pub async fn run(mut self) {
        let mut open = true;
        while open || self.active.values().any(ActiveRequest::is_awaited) {
            open = self.step(open).await;
            self.exchange_shares();
            self.complete_drains();
        }
    }

    /// Waits for the next thing to happen and acts on it; false once no handle is left.
    async fn step(&mut self, open: bool) -> bool {
        let now = self.clock.now();
        let due = self.router.next_tick().min(self.exchange.next());
        let timer = self.clock.sleep(due.since(now)).fuse();
        pin_mut!(timer);
        let mut message = None;
        let mut done = None;
        if open {
            select_biased! {
                ended = self.calls.select_next_some() => done = Some(ended),
                received = self.inbox.recv().fuse() => match received {
                    Some(received) => message = Some(received),
                    None => return false,
                },
                () = timer => {}
            }
        } else {
            select_biased! {
                ended = self.calls.select_next_some() => done = Some(ended),
                () = timer => {}
            }
        }
        let now = self.clock.now();
        if let Some(message) = message {
            self.accept(message, now);
        }
        if let Some(done) = done {
            self.end(done, now);
        }
        if self.router.next_tick() <= now {
            let effects = self.router.tick(now);
            self.carry_out(effects);
        }
        open
    }

    fn accept(&mut self, message: Message, now: Instant) {
        match message {
            Message::Submit(submission) => self.submit(submission, now),
            Message::Members(members) => {
                let effects = self.router.set_members(&members, now);
                self.carry_out(effects);
            }
            Message::Role(role) => self.exchange.set_role(role, now),
            Message::GrantShares(request, reply) => {
                // Whoever asked may have gone.
                let _ = reply.send(self.exchange.grant_shares(&request, now));
            }
            Message::Drain(reply) => {
                self.router.drain();
                self.drains.push(reply);
            }
            Message::Dump(reply) => {
                let _ = reply.send(Dump::of(&self.router, now));
            }
        }
    }

    fn submit(&mut self, mut submission: Submission, now: Instant) {
        self.serial += 1;
        let id = request::Id::from_raw(self.run.wrapping_add(self.serial));
        submission.call.id = id;
        let request = Request {
            id,
            service: submission.call.service.clone(),
            effect: submission.effect,
            deadline: now.after(submission.call.budget),
            forwarded: submission.forwarded,
        };
        self.active.insert(id, ActiveRequest::new(submission));
        let effects = self.router.submit(request, now);
        self.carry_out(effects);
    }

    fn end(&mut self, done: Completion, now: Instant) {
        let (id, request, outcome, answer) = match done {
            Completion::Attempt { id, request, outcome, answer } => (id, request, outcome, answer),
            Completion::Shares(response) => {
                let effects = self.exchange.finish(&mut self.router, response, now);
                return self.carry_out(effects);
            }
        };
        if let Some(active_request) = self.active.get_mut(&request) {
            match outcome {
                Outcome::NotSent | Outcome::Refused { .. } => active_request.end_not_sent(),
                _ => active_request.end_sent(id, answer),
            }
        }
        let effects = self.router.finish(id, outcome, now);
        self.carry_out(effects);
        self.remove_finished(request);
    }

    pub(super) fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { attempt, request, peer, budget, timeout } => {
                    self.send(attempt, request, peer, budget, timeout);
                }
                Effect::Forward { attempt, request, peer, budget } => {
                    self.forward(attempt, request, peer, budget);
                }
                Effect::Answer { request, outcome } => {
                    if let Some(active_request) = self.active.get_mut(&request) {
                        active_request.answer(request, outcome);
                    }
                    self.remove_finished(request);
                }
            }
        }
    }

    fn send(
        &mut self,
        id: attempt::Id,
        request: request::Id,
        peer: SocketAddr,
        budget: Duration,
        timeout: Duration,
    ) {
        let Some(active_request) = self.active.get_mut(&request) else { return };
        active_request.count_attempt();
        let call = Call { budget, ..(*active_request.call).clone() };
        let transport = Rc::clone(&self.transport);
        let attempt = async move {
            let (outcome, answer) = match transport.call(peer, &call, timeout).await {
                Ok(answer) => complete(answer),
                Err(error) => {
                    log::debug!("event=runner.call_failed request={request} {error}");
                    (outcome_of(&error.fault), None)
                }
            };
            Completion::Attempt { id, request, outcome, answer }
        };
        self.calls.push(attempt.boxed_local());
    }

    fn forward(
        &mut self,
        id: attempt::Id,
        request: request::Id,
        peer: SocketAddr,
        budget: Duration,
    ) {
        let Some(active_request) = self.active.get_mut(&request) else { return };
        active_request.count_attempt();
        let call = Call { budget, ..(*active_request.call).clone() };
        let (peers, effect) = (Rc::clone(&self.peers), active_request.effect);
        let attempt = async move {
            let ended = peers.run(peer, &call, effect, budget + FORWARD_SLACK).await;
            let (outcome, answer) = match ended {
                Ok(ForwardOutcome::Complete(answer)) => complete(answer),
                Ok(ForwardOutcome::NotRun { retry_after }) => {
                    (Outcome::Refused { retry_after }, None)
                }
                Ok(ForwardOutcome::Unknown) => (Outcome::Broken, None),
                Err(fault) => (outcome_of(&fault), None),
            };
            Completion::Attempt { id, request, outcome, answer }
        };
        self.calls.push(attempt.boxed_local());
    }

    fn remove_finished(&mut self, id: request::Id) {
        if self.active.get(&id).is_some_and(ActiveRequest::is_finished) {
            self.active.remove(&id);
        }
    }

    fn complete_drains(&mut self) {
        if self.drains.is_empty() || self.active.values().any(ActiveRequest::is_awaited) {
            return;
        }
        for drained in self.drains.drain(..) {
            let _ = drained.send(());
        }
    }
}

/// A whole answer, which may still say that the runner failed.
fn complete(answer: Answer) -> (Outcome, Option<Answer>) {
    (Outcome::Complete { failed: answer.status >= 500 }, Some(answer))
}

fn outcome_of(fault: &Fault) -> Outcome {
    match fault {
        Fault::NotSent(_) => Outcome::NotSent,
        Fault::Broken(_) => Outcome::Broken,
        Fault::Mismatched => Outcome::Mismatched,
    }
}
