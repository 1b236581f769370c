//! Runs the router over sockets: a handle for callers and the task that owns the state.

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
use crate::intent::{Deduplicator, Permit};
use crate::job::Effect;
use crate::membership::Member;
use crate::telemetry::names;

mod active_request;
mod driver;
mod dump;
mod exchange;

pub use driver::Driver;
pub use dump::{Dump, RunnerDump, ServiceDump};

/// Role of this instance in the sharing of the domain's runner slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// No coordinator is known: each instance uses only the slots it owns.
    Unknown,
    /// The domain's owner at this peer address is the coordinator.
    Follower(CoordinatorId, SocketAddr),
    /// This instance is the owner and the coordinator.
    Owner(CoordinatorId),
}

/// Outcome of a request, with its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The runner's complete response.
    Complete(Answer),
    /// Nothing reached a runner, and nothing will.
    NotRun {
        /// Reason.
        refusal: Refusal,
        /// Delay after which another attempt makes sense.
        retry_after: Duration,
    },
    /// A runner may have run the request or may still be running it.
    Unknown {
        /// Identity that was sent to the runner.
        id: request::Id,
        /// Reason.
        cause: UnknownCause,
        /// Delay after which another attempt makes sense.
        retry_after: Duration,
    },
}

impl Reply {
    /// Label of the outcome in metrics.
    const fn outcome(&self) -> &'static str {
        match self {
            Self::Complete(_) => "whole",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// A request forwarded by another failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// Service addressed.
    pub service: String,
    /// Whether the request may run more than once.
    pub effect: Effect,
    /// Media type of the body.
    pub content_type: Option<String>,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Time until the caller's deadline.
    pub budget: Duration,
}

/// Configuration and dependencies of the task.
pub struct Options {
    /// Limits and budgets.
    pub policy: Policy,
    /// Failure domain of the instance.
    pub domain: domain::Name,
    /// Position among the entry instances of the domain.
    pub position: Position,
    /// Random number that identifies the run of the process.
    pub run: u64,
    /// Time after the start before the instance uses its own slots, see [`LocalSlots::new`]; by
    /// default the duration of a loan.
    pub warm_up: Option<Duration>,
    /// Transport to the runners.
    pub transport: Rc<dyn RunnerTransport>,
    /// Transport to other entry instances.
    pub peers: Rc<dyn PeerTransport>,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Recorder of at-most-once work; without it such work is refused.
    pub deduplicator: Option<Deduplicator>,
    /// Accepted services and their tokens.
    pub access: Access,
}

/// Handle to the request routing of one instance.
#[derive(Clone)]
pub struct Proxy {
    sender: Tx<Message>,
    deduplicator: Option<Deduplicator>,
    access: Rc<Access>,
    clock: Rc<dyn Clock>,
}

/// Messages from handles to the task.
enum Message {
    Submit(Submission),
    Members(Vec<Member>),
    Role(Role),
    GrantShares(ShareRequest, oneshot::Sender<Option<ShareResponse>>),
    Drain(oneshot::Sender<()>),
    Dump(oneshot::Sender<Dump>),
}

/// A request handed over to the task.
struct Submission {
    call: Call,
    effect: Effect,
    forwarded: bool,
    permit: Option<Permit>,
    reply: oneshot::Sender<Reply>,
}

impl Proxy {
    /// Creates a handle and its task.
    pub fn new(options: Options) -> (Self, Driver) {
        let (sender, inbox) = unbounded::channel();
        let Options { policy, domain, position, run, warm_up, .. } = options;
        let Options { transport, peers, clock, deduplicator, access, .. } = options;
        let durations = LeaseDurations::for_run_limit(policy.run_limit);
        let usable_from = clock.now().after(warm_up.unwrap_or(durations.loan));
        let local_slots = LocalSlots::new(position, run, durations, usable_from);
        let router = Router::new(policy, domain, local_slots, run);
        let driver =
            Driver::new(router, durations, run, transport, peers, Rc::clone(&clock), inbox);
        (Self { sender, deduplicator, access: Rc::new(access), clock }, driver)
    }

    /// Replaces the list of instances.
    pub fn set_members(&self, members: Vec<Member>) {
        self.send(Message::Members(members));
    }

    /// Sets this instance's role in slot sharing.
    pub fn set_role(&self, role: Role) {
        self.send(Message::Role(role));
    }

    /// Handles a share request as coordinator; returns `None` when this instance is not the
    /// coordinator or a later request of the same instance came first.
    pub async fn grant_shares(&self, request: ShareRequest) -> Option<ShareResponse> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::GrantShares(request, reply));
        answer.await.ok().flatten()
    }

    /// Runs a request forwarded by another domain; that domain records at-most-once work.
    pub async fn run_forwarded(&self, forwarded: ForwardedRequest) -> Reply {
        let ForwardedRequest { service, effect, content_type, body, budget } = forwarded;
        let call = Call { id: request::Id::from_raw(0), service, content_type, body, budget };
        self.submit(call, effect, true, None).await
    }

    /// Runs a caller's request. With `permit`, the outcome is recorded under the permit's key; the
    /// key is released when nothing ran.
    pub async fn run(&self, call: Call, effect: Effect, permit: Option<Permit>) -> Reply {
        self.submit(call, effect, false, permit).await
    }

    /// Refuses new requests from now on and returns once every accepted request is answered.
    pub async fn drain(&self) {
        let (reply, drained) = oneshot::channel();
        self.send(Message::Drain(reply));
        let _ = drained.await;
    }

    /// State of the task; `None` when it has ended.
    pub async fn dump(&self) -> Option<Dump> {
        let (reply, dump) = oneshot::channel();
        self.send(Message::Dump(reply));
        dump.await.ok()
    }

    /// Recorder of at-most-once work, if there is one.
    pub(super) fn deduplicator(&self) -> Option<&Deduplicator> {
        self.deduplicator.as_ref()
    }

    /// Accepted services and their tokens.
    pub(super) fn access(&self) -> &Access {
        &self.access
    }

    /// Clock.
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
        // If the task has ended, the message and its permit are dropped: nothing ran.
        let ended =
            Reply::NotRun { refusal: Refusal::ShuttingDown, retry_after: Duration::from_secs(1) };
        let reply = answer.await.unwrap_or(ended);
        names::REQUESTS.increment(&[("outcome", reply.outcome())]);
        names::REQUEST.record(self.clock.now().since(arrived), &[]);
        reply
    }

    fn send(&self, message: Message) {
        // The send fails only when the task has ended; each caller handles the missing reply.
        let _ = self.sender.send(message);
    }
}
