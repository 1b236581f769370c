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

use super::exchange::Exchange;
use super::work::Work;
use super::{Dump, Message, Submission};
use crate::clock::{Clock, Instant};
use crate::runner::attempt::{self, Outcome};
use crate::runner::link::{Answer, Call, Fault, Link};
use crate::runner::peer::{Ended, Peers};
use crate::runner::request::{self, Request};
use crate::runner::share::{Grant, Terms};
use crate::runner::{Effect, Router};

/// Time that a passed-on request may take beyond its deadline before it counts as lost.
const FORWARD_SLACK: Duration = Duration::from_millis(500);

/// The task of one instance.
pub struct Driver {
    pub(super) router: Router,
    pub(super) exchange: Exchange,
    pub(super) peers: Rc<dyn Peers>,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) calls: FuturesUnordered<LocalBoxFuture<'static, Done>>,
    link: Rc<dyn Link>,
    inbox: Rx<Message>,
    works: HashMap<request::Id, Work>,
    run: u64,
    serial: u64,
    drains: Vec<oneshot::Sender<()>>,
}

/// The end of a call to a runner or a peer.
pub(super) enum Done {
    Attempt { id: attempt::Id, request: request::Id, outcome: Outcome, answer: Option<Answer> },
    Shares(Option<Grant>),
}

impl Driver {
    pub(super) fn new(
        router: Router,
        terms: Terms,
        run: u64,
        link: Rc<dyn Link>,
        peers: Rc<dyn Peers>,
        clock: Rc<dyn Clock>,
        inbox: Rx<Message>,
    ) -> Self {
        Self {
            router,
            exchange: Exchange::new(terms),
            peers,
            clock,
            calls: FuturesUnordered::new(),
            link,
            inbox,
            works: HashMap::new(),
            run,
            serial: 0,
            drains: Vec::new(),
        }
    }

    /// Runs until every handle is gone and every request taken has been answered.
    pub async fn run(mut self) {
        let mut open = true;
        while open || self.works.values().any(Work::is_owed) {
            open = self.step(open).await;
            self.exchange_shares();
            self.end_drains();
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
            Message::Keep(ask, reply) => {
                // Whoever asked may have gone.
                let _ = reply.send(self.exchange.keep(&ask, now));
            }
            Message::Drain(reply) => {
                self.router.drain();
                self.drains.push(reply);
            }
            Message::Observe(reply) => {
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
        self.works.insert(id, Work::new(submission));
        let effects = self.router.submit(request, now);
        self.carry_out(effects);
    }

    fn end(&mut self, done: Done, now: Instant) {
        let (id, request, outcome, answer) = match done {
            Done::Attempt { id, request, outcome, answer } => (id, request, outcome, answer),
            Done::Shares(grant) => {
                let effects = self.exchange.end(&mut self.router, grant, now);
                return self.carry_out(effects);
            }
        };
        if let Some(work) = self.works.get_mut(&request) {
            match outcome {
                Outcome::NotSent | Outcome::Refused { .. } => work.end_unsent(),
                _ => work.end_sent(id, answer),
            }
        }
        let effects = self.router.finish(id, outcome, now);
        self.carry_out(effects);
        self.forget(request);
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
                Effect::Answer { request, verdict } => {
                    if let Some(work) = self.works.get_mut(&request) {
                        work.answer(request, verdict);
                    }
                    self.forget(request);
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
        let Some(work) = self.works.get_mut(&request) else { return };
        work.begin();
        let call = Call { budget, ..(*work.call).clone() };
        let link = Rc::clone(&self.link);
        let attempt = async move {
            let (outcome, answer) = match link.call(peer, &call, timeout).await {
                Ok(answer) => whole(answer),
                Err(error) => {
                    log::debug!("event=runner.call_failed request={request} {error}");
                    (outcome_of(&error.fault), None)
                }
            };
            Done::Attempt { id, request, outcome, answer }
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
        let Some(work) = self.works.get_mut(&request) else { return };
        work.begin();
        let call = Call { budget, ..(*work.call).clone() };
        let (peers, effect) = (Rc::clone(&self.peers), work.effect);
        let attempt = async move {
            let ended = peers.run(peer, &call, effect, budget + FORWARD_SLACK).await;
            let (outcome, answer) = match ended {
                Ok(Ended::Whole(answer)) => whole(answer),
                Ok(Ended::NotRun { retry_after }) => (Outcome::Refused { retry_after }, None),
                Ok(Ended::Unknown) => (Outcome::Broken, None),
                Err(fault) => (outcome_of(&fault), None),
            };
            Done::Attempt { id, request, outcome, answer }
        };
        self.calls.push(attempt.boxed_local());
    }

    fn forget(&mut self, id: request::Id) {
        if self.works.get(&id).is_some_and(Work::is_over) {
            self.works.remove(&id);
        }
    }

    fn end_drains(&mut self) {
        if self.drains.is_empty() || self.works.values().any(Work::is_owed) {
            return;
        }
        for drained in self.drains.drain(..) {
            let _ = drained.send(());
        }
    }
}

/// A whole answer, which may still say that the runner failed.
fn whole(answer: Answer) -> (Outcome, Option<Answer>) {
    (Outcome::Whole { failed: answer.status >= 500 }, Some(answer))
}

fn outcome_of(fault: &Fault) -> Outcome {
    match fault {
        Fault::NotSent(_) => Outcome::NotSent,
        Fault::Broken(_) => Outcome::Broken,
        Fault::Mismatched => Outcome::Mismatched,
    }
}
