//! State machine by which an entry instance follows or owns its failure domain.

mod message;

use std::rc::Rc;

use bytes::Bytes;

pub use message::{Answer, Call, Effect, Heartbeat, Message, Refusal};

use crate::alert::Board;
use crate::clock::{Instant, Unix};
use crate::config;
use crate::domain::{self, Epoch, Instance};
use crate::membership::Member;
use crate::owner::Timings;
use crate::owner::active::Active;
use crate::owner::election::Election;
use crate::owner::peer_commit::StoredCopies;
use crate::owner::replica::{Applied, Replica};
use crate::placement::Policy;
use crate::store::Offset;

/// Role of the instance in its failure domain.
#[derive(Debug)]
pub enum Role {
    /// Reads the stream and detects the loss of the owner.
    Follower,
    /// Owns the domain.
    Owner(Box<Active>),
}

/// State of an entry instance in its failure domain.
#[derive(Debug)]
pub struct Machine {
    /// This process.
    pub me: Instance,
    /// Its failure domain.
    pub domain: domain::Name,
    /// Timeouts and intervals.
    pub timings: Timings,
    /// State read from the stream.
    pub replica: Replica,
    /// Current role.
    pub role: Role,
    /// Placement policy in force.
    pub policy: Policy,
    /// Operators' settings in force.
    pub settings: Rc<config::Value>,
    /// Detection of a lost owner, and claims.
    pub election: Election,
    /// Batch copies stored for an owner that cannot reach the log.
    pub copies: StoredCopies,
    pub(in crate::owner) members: Vec<Member>,
    pub(in crate::owner) stopping: bool,
    pub(in crate::owner) out: Vec<Effect>,
}

impl Machine {
    /// Creates a follower that has read nothing yet.
    pub fn new(
        me: Instance,
        domain: domain::Name,
        timings: Timings,
        policy: Policy,
        now: Instant,
    ) -> Self {
        Self {
            me,
            domain,
            timings,
            replica: Replica::default(),
            role: Role::Follower,
            policy,
            settings: Rc::default(),
            election: Election::new(now),
            copies: StoredCopies::default(),
            members: Vec::new(),
            stopping: false,
            out: Vec::new(),
        }
    }

    /// Handles a message and returns the actions to perform.
    pub fn handle(&mut self, message: Message, now: Instant, unix: Unix) -> Vec<Effect> {
        match message {
            Message::Tick => {}
            Message::Read(result) => self.on_read(result, now, unix),
            Message::Appended { tag, result } => self.on_appended(tag, result, now, unix),
            Message::Exchanged { epoch, worker, channel, result } => {
                self.on_exchanged(epoch, &worker, channel, result, now, unix);
            }
            Message::Members(members) => self.on_members(members),
            Message::Heartbeat(heartbeat) => self.on_heartbeat(&heartbeat, now),
            Message::StoreBatch(copy) => self.on_store_batch(copy),
            Message::BatchStored { from, epoch, sequence } => {
                self.on_batch_stored(&from, epoch, sequence, now, unix);
            }
            Message::HeartbeatAnswered { from, epoch } => {
                self.on_heartbeat_answered(&from, epoch, now)
            }
            Message::Call { ticket, call } => self.on_call(ticket, call, now, unix),
            Message::Expired(ticket) => self.on_expired(ticket),
            Message::Policy(policy) => self.on_policy(policy),
            Message::Settings(settings) => self.on_settings(settings),
            Message::Handover(epoch) => self.on_handover(epoch, now, unix),
            Message::Shutdown => self.stopping = true,
        }
        self.advance(now, unix);
        std::mem::take(&mut self.out)
    }

    /// Whether this instance owns the domain.
    pub fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owner(_))
    }

    /// The owner on record at this instance, if any.
    pub fn owner(&self) -> Option<&Instance> {
        match &self.role {
            Role::Owner(_) => Some(&self.me),
            Role::Follower => {
                self.election.announced_owner(self.replica.epoch()).or(self.replica.owner())
            }
        }
    }

    /// Latest epoch that this instance has read, received or claimed.
    pub fn known_epoch(&self) -> Epoch {
        self.replica.epoch().max(self.election.highest_epoch())
    }

    /// Whether the stream has been read up to the end that it had when reading began.
    pub fn is_ready(&self) -> bool {
        self.election.is_caught_up()
    }

    /// Alerts of the domain. On the owner they include those not yet in the log.
    pub fn board(&self) -> &Board {
        match &self.role {
            Role::Owner(active) => &active.board,
            Role::Follower => &self.replica.board,
        }
    }

    pub(in crate::owner) fn active(&mut self) -> Option<&mut Active> {
        match &mut self.role {
            Role::Owner(active) => Some(active),
            Role::Follower => None,
        }
    }

    fn advance(&mut self, now: Instant, unix: Unix) {
        match self.role {
            Role::Follower => self.advance_follower(now, unix),
            Role::Owner(_) => self.advance_owner(now, unix),
        }
        self.read_on(now);
    }

    /// Applies one record that directly follows those already read.
    pub(in crate::owner) fn apply_record(
        &mut self,
        offset: Offset,
        payload: &Bytes,
        now: Instant,
        unix: Unix,
    ) {
        match self.replica.apply(offset, payload, unix) {
            Applied::Claimed(claim) if claim.instance == self.me => self.become_owner(now, unix),
            Applied::Claimed(claim) => {
                self.election.record_claim(&claim, now);
                self.step_down("claimed_by_other");
            }
            Applied::Changed(batch) => self.on_changed(&batch, now, unix),
            Applied::NoEffect => self.on_unlogged_batch_read(payload, now, unix),
        }
    }

    /// Ends this instance's ownership. Callers whose change was never sent to the log are refused;
    /// the others get [`Answer::Unknown`] and have to repeat the call.
    pub(in crate::owner) fn step_down(&mut self, cause: &str) {
        let Role::Owner(mut active) = std::mem::replace(&mut self.role, Role::Follower) else {
            return;
        };
        log::warn!(
            "event=owner.stepped_down domain={} epoch={} cause={cause}",
            self.domain,
            active.epoch
        );
        if !active.unlogged.is_empty() {
            // Changes that took effect without the log are void once another instance owns the
            // domain. They cannot be removed from the state, so it is rebuilt from the log.
            self.election.restart_replay();
        }
        let owner = self.owner().cloned();
        for (ticket, answer) in active.abandon(owner.as_ref()) {
            self.out.push(Effect::Reply { ticket, answer });
        }
    }

    /// Ends this instance's ownership if `epoch` is later than its own. Returns whether it did.
    pub(in crate::owner) fn step_down_if_superseded(&mut self, epoch: Epoch, cause: &str) -> bool {
        let superseded = self.active().is_some_and(|active| epoch > active.epoch);
        if superseded {
            self.step_down(cause);
        }
        superseded
    }

    fn on_policy(&mut self, policy: Policy) {
        if let Some(active) = self.active() {
            active.engine.set_policy(policy);
        }
        self.policy = policy;
    }

    fn on_settings(&mut self, settings: Rc<config::Value>) {
        if let Some(active) = self.active() {
            active.set_settings(&settings);
        }
        self.settings = settings;
    }

    fn on_members(&mut self, members: Vec<Member>) {
        let in_domain = |member: &Member| member.domain == self.domain;
        self.members = members.into_iter().filter(in_domain).collect();
        let members = self.members.clone();
        if let Some(active) = self.active() {
            active.set_members(&members);
        }
    }
}
