//! The router run over sockets: a handle for callers and the task that owns the state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use local_sync::mpsc::unbounded::{self, Tx};
use local_sync::oneshot;

use super::handler::Access;
use super::peer::PeerTransport;
use super::request::{self, Refusal, UnknownCause};
use super::share::{
    CoordinatorId, LeaseDurations, LocalSlots, Position, ShareRequest, ShareResponse,
};
use super::transport::{Answer, Call, RunnerTransport};
use super::{Policy, Router};
use crate::clock::Clock;
use crate::domain;
use crate::intent::{Guard, Permit};
use crate::job::Effect;
use crate::membership::Member;
use crate::telemetry::names;

mod active_request;
mod driver;
mod dump;
mod exchange;

pub use driver::Driver;
pub use dump::{Dump, RunnerDump, ServiceDump};

/// Whether and by whom the slots of the domain's runners are balanced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// No owner is known: each instance uses what it owns.
    Unknown,
    /// The owner at this peer address keeps the shares.
    Follower(CoordinatorId, SocketAddr),
    /// This instance is the owner.
    Owner(CoordinatorId),
}

/// The end of a request, with its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The runner's whole answer.
    Complete(Answer),
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
        cause: UnknownCause,
        /// When a further try makes sense.
        retry_after: Duration,
    },
}

impl Reply {
    /// Its kind, for metrics.
    const fn outcome(&self) -> &'static str {
        match self {
            Self::Complete(_) => "whole",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// A request that another failure domain passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedRequest {
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
    /// Time for which its own slots rest after the start; see [`LocalSlots::new`]. The loan span when
    /// none is given.
    pub warm_up: Option<Duration>,
    /// Way to runners.
    pub transport: Rc<dyn RunnerTransport>,
    /// Way to other entry instances.
    pub peers: Rc<dyn PeerTransport>,
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
    sender: Tx<Message>,
    guard: Option<Guard>,
    access: Rc<Access>,
    clock: Rc<dyn Clock>,
}

/// What handles tell the task.
enum Message {
    Submit(Submission),
    Members(Vec<Member>),
    Role(Role),
    GrantShares(ShareRequest, oneshot::Sender<Option<ShareResponse>>),
    Drain(oneshot::Sender<()>),
    Dump(oneshot::Sender<Dump>),
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
        let (sender, inbox) = unbounded::channel();
        let Options { policy, domain, position, run, warm_up, .. } = options;
        let Options { transport, peers, clock, guard, access, .. } = options;
        let durations = LeaseDurations::for_run_limit(policy.run_limit);
        let usable_from = clock.now().after(warm_up.unwrap_or(durations.loan));
        let local_slots = LocalSlots::new(position, run, durations, usable_from);
        let router = Router::new(policy, domain, local_slots, run);
        let driver =
            Driver::new(router, durations, run, transport, peers, Rc::clone(&clock), inbox);
        (Self { sender, guard, access: Rc::new(access), clock }, driver)
    }

    /// Takes in the list of instances as it is now believed.
    pub fn set_members(&self, members: Vec<Member>) {
        self.send(Message::Members(members));
    }

    /// Takes in who keeps the shares of the domain's runners.
    pub fn set_role(&self, role: Role) {
        self.send(Message::Role(role));
    }

    /// Answers a call for shares as the domain's keeper; `None` when this instance is not the
    /// keeper or a later call of the same instance came first.
    pub async fn grant_shares(&self, request: ShareRequest) -> Option<ShareResponse> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::GrantShares(request, reply));
        answer.await.ok().flatten()
    }

    /// Answers a request that another domain passed on; the other domain keeps its record.
    pub async fn run_forwarded(&self, forwarded: ForwardedRequest) -> Reply {
        let ForwardedRequest { service, effect, content_type, body, budget } = forwarded;
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
        self.send(Message::Drain(reply));
        let _ = drained.await;
    }

    /// The state of the task; `None` when it has ended.
    pub async fn dump(&self) -> Option<Dump> {
        let (reply, dump) = oneshot::channel();
        self.send(Message::Dump(reply));
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
        self.send(Message::Submit(Submission { call, effect, forwarded, permit, reply }));
        // Without a task the message is dropped, and with it the permit: nothing ran.
        let ended =
            Reply::NotRun { refusal: Refusal::ShuttingDown, retry_after: Duration::from_secs(1) };
        let reply = answer.await.unwrap_or(ended);
        names::REQUESTS.increment(&[("outcome", reply.outcome())]);
        names::REQUEST.record(self.clock.now().since(arrived), &[]);
        reply
    }

    fn send(&self, message: Message) {
        // A task that has ended answers nobody; each caller above says what that means.
        let _ = self.sender.send(message);
    }
}
