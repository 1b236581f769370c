//! The router run over sockets: a handle for callers and the task that owns the state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use local_sync::mpsc::unbounded::{self, Tx};
use local_sync::oneshot;

use super::handler::Access;
use super::link::{Answer, Call, Link};
use super::peer::Peers;
use super::request::{self, Doubt, Refusal};
use super::share::{Ask, Grant, Holder, Keeper, Position, Terms};
use super::{Policy, Router};
use crate::clock::Clock;
use crate::domain;
use crate::intent::{Guard, Permit};
use crate::job::Effect;
use crate::membership::Member;
use crate::telemetry::names;

mod driver;
mod dump;
mod exchange;
mod work;

pub use driver::Driver;
pub use dump::{Dump, RunnerDump, ServiceDump};

/// Whether and by whom the slots of the domain's runners are balanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// No owner is known: each instance uses what it owns.
    Unknown,
    /// The owner at this peer address keeps the shares.
    Follower(Keeper, SocketAddr),
    /// This instance is the owner.
    Owner(Keeper),
}

/// The end of a request, with its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The runner's whole answer.
    Whole(Answer),
    /// Nothing reached a runner, and nothing will.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// When a further try makes sense.
        retry_after: Duration,
    },
    /// A runner may have worked on it, or still does.
    Unknown {
        /// Identity under which the runner knows it.
        id: request::Id,
        /// Why.
        doubt: Doubt,
        /// When a further try makes sense.
        retry_after: Duration,
    },
}

impl Reply {
    /// Its kind, for metrics.
    const fn outcome(&self) -> &'static str {
        match self {
            Self::Whole(_) => "whole",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// A request that another failure domain passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Passed {
    /// Service addressed.
    pub service: String,
    /// Whether a second run does harm.
    pub effect: Effect,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Time left to the caller.
    pub budget: Duration,
}

/// What the task needs from its process.
pub struct Options {
    /// Limits and budgets.
    pub policy: Policy,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Its place among the entry instances of the domain.
    pub position: Position,
    /// Random number of the process.
    pub run: u64,
    /// Time for which its own slots rest after the start; see [`Holder::new`]. The loan span when
    /// none is given.
    pub rest: Option<Duration>,
    /// Way to runners.
    pub link: Rc<dyn Link>,
    /// Way to other entry instances.
    pub peers: Rc<dyn Peers>,
    /// Time.
    pub clock: Rc<dyn Clock>,
    /// Record of at-most-once work; without it such work is refused.
    pub guard: Option<Guard>,
    /// Who may ask for what.
    pub access: Access,
}

/// Handle to the request routing of one instance.
#[derive(Clone)]
pub struct Proxy {
    home: Tx<Message>,
    guard: Option<Guard>,
    access: Rc<Access>,
    clock: Rc<dyn Clock>,
}

/// What handles tell the task.
enum Message {
    Submit(Submission),
    Members(Vec<Member>),
    Role(Role),
    Keep(Ask, oneshot::Sender<Option<Grant>>),
    Drain(oneshot::Sender<()>),
    Observe(oneshot::Sender<Dump>),
}

/// A request on its way to the task.
struct Submission {
    call: Call,
    effect: Effect,
    forwarded: bool,
    permit: Option<Permit>,
    reply: oneshot::Sender<Reply>,
}

impl Proxy {
    /// Builds a handle and the task behind it.
    pub fn new(options: Options) -> (Self, Driver) {
        let (home, inbox) = unbounded::channel();
        let Options { policy, domain, position, run, rest, .. } = options;
        let Options { link, peers, clock, guard, access, .. } = options;
        let terms = Terms::for_run_limit(policy.run_limit);
        let usable_from = clock.now().after(rest.unwrap_or(terms.loan));
        let holder = Holder::new(position, run, terms, usable_from);
        let router = Router::new(policy, domain, holder, run);
        let driver = Driver::new(router, terms, run, link, peers, Rc::clone(&clock), inbox);
        (Self { home, guard, access: Rc::new(access), clock }, driver)
    }

    /// Takes in the list of instances as it is now believed.
    pub fn set_members(&self, members: Vec<Member>) {
        self.tell(Message::Members(members));
    }

    /// Takes in who keeps the shares of the domain's runners.
    pub fn set_role(&self, role: Role) {
        self.tell(Message::Role(role));
    }

    /// Answers a call for shares as the domain's keeper; `None` when this instance is not the
    /// keeper or a later call of the same instance came first.
    pub async fn keep(&self, ask: Ask) -> Option<Grant> {
        let (reply, answer) = oneshot::channel();
        self.tell(Message::Keep(ask, reply));
        answer.await.ok().flatten()
    }

    /// Answers a request that another domain passed on; the other domain keeps its record.
    pub async fn run_passed(&self, passed: Passed) -> Reply {
        let Passed { service, effect, content_type, body, budget } = passed;
        let call = Call { id: request::Id::from_raw(0), service, content_type, body, budget };
        self.submit(call, effect, true, None).await
    }

    /// Runs a request of a caller. With `permit`, its end is recorded under the permit's key; the
    /// key is given back when nothing was run.
    pub async fn run(&self, call: Call, effect: Effect, permit: Option<Permit>) -> Reply {
        self.submit(call, effect, false, permit).await
    }

    /// Refuses new requests from now on and returns once every request taken has been answered.
    pub async fn drain(&self) {
        let (reply, drained) = oneshot::channel();
        self.tell(Message::Drain(reply));
        let _ = drained.await;
    }

    /// The state of the task; `None` when it has ended.
    pub async fn dump(&self) -> Option<Dump> {
        let (reply, dump) = oneshot::channel();
        self.tell(Message::Observe(reply));
        dump.await.ok()
    }

    /// Record of at-most-once work, when there is one.
    pub(super) fn guard(&self) -> Option<&Guard> {
        self.guard.as_ref()
    }

    /// Who may ask for what.
    pub(super) fn access(&self) -> &Access {
        &self.access
    }

    /// Time.
    pub(super) fn clock(&self) -> &dyn Clock {
        &*self.clock
    }

    async fn submit(
        &self,
        call: Call,
        effect: Effect,
        forwarded: bool,
        permit: Option<Permit>,
    ) -> Reply {
        let (reply, answer) = oneshot::channel();
        let arrived = self.clock.now();
        self.tell(Message::Submit(Submission { call, effect, forwarded, permit, reply }));
        // Without a task the message is dropped, and with it the permit: nothing ran.
        let ended =
            Reply::NotRun { refusal: Refusal::ShuttingDown, retry_after: Duration::from_secs(1) };
        let reply = answer.await.unwrap_or(ended);
        names::REQUESTS.increment(&[("outcome", reply.outcome())]);
        names::REQUEST.record(self.clock.now().since(arrived), &[]);
        reply
    }

    fn tell(&self, message: Message) {
        // A task that has ended answers nobody; each caller above says what that means.
        let _ = self.home.send(message);
    }
}
